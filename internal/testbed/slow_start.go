package testbed

import (
	"time"

	"landingpaddle/internal/config"
)

// minWorkPerUnit is the lower bound of the work per unit in the calculation of a node's rate, which would be
// infinite for a model without work.
const minWorkPerUnit = 100 * time.Microsecond

// slowStart models a restarted node's growing capacity and records the load that arrives while it is cold.
type slowStart struct {
	cold    bool // false: started long ago, with full capacity
	started time.Time
	rules   *config.Rules

	arrived    []arrivedUnits // within the overload window; guarded by the process's lock
	arrivedSum float64        // of their units; guarded by the process's lock
}

// arrivedUnits is the size of a request and its arrival time.
type arrivedUnits struct {
	at    time.Time
	units float64
}

// capacity returns the current fraction of the node's full capacity. It grows linearly over the slow-start
// period.
func (s *slowStart) capacity() float64 {
	if !s.cold || s.rules.SlowStartPeriod <= 0 {
		return 1
	}
	gained := (1 - s.rules.ColdFraction) * time.Since(s.started).Seconds() / s.rules.SlowStartPeriod.Seconds()
	return min(1, s.rules.ColdFraction+gained)
}

// add records an arriving request and reports whether it makes a cold node collapse: whether the units that
// arrived within the overload window exceed OverloadFactor times the units that the node can serve in that
// window at its current capacity.
func (s *slowStart) add(units float64, model *config.NodeModel) (collapses bool) {
	trackingPeriod := s.rules.SlowStartPeriod + s.rules.OverloadWindow
	if !s.cold || s.rules.SlowStartPeriod <= 0 || time.Since(s.started) > trackingPeriod {
		return false
	}
	now := time.Now()
	s.arrived = append(s.arrived, arrivedUnits{now, units})
	s.arrivedSum += units
	for now.Sub(s.arrived[0].at) > s.rules.OverloadWindow {
		s.arrivedSum -= s.arrived[0].units
		s.arrived = s.arrived[1:]
	}
	rate := float64(model.Cores) / max(model.PerUnit, minWorkPerUnit).Seconds() * s.capacity()
	return s.arrivedSum > s.rules.OverloadFactor*rate*s.rules.OverloadWindow.Seconds()
}
