package testbed

import (
	"time"

	"landingpaddle/internal/config"
)

// minWorkPerUnit is the least work of a unit from which a node's rate is reckoned.
const minWorkPerUnit = 100 * time.Microsecond

// slowStart is how a restarted node's capacity grows, and what it was sent meanwhile.
type slowStart struct {
	cold    bool // false: started long ago, with its full capacity
	started time.Time
	rules   *config.Rules

	arrived []arrivedUnits // within the overload window; its owner locks
	sum     float64        // of their units
}

// arrivedUnits is the size of a request and when it arrived.
type arrivedUnits struct {
	at    time.Time
	units float64
}

// capacity is the part of its work that the node can do now; it grows evenly over the slow-start period.
func (s *slowStart) capacity() float64 {
	if !s.cold || s.rules.SlowStartPeriod <= 0 {
		return 1
	}
	warmth := (1 - s.rules.ColdFraction) * time.Since(s.started).Seconds() / s.rules.SlowStartPeriod.Seconds()
	return min(1, s.rules.ColdFraction+warmth)
}

// add takes in an arriving request and tells whether it overloads a cold node: sent more than the stated
// multiple of what the node can do now, over the overload window.
func (s *slowStart) add(units float64, model *config.NodeModel) (collapses bool) {
	observed := s.rules.SlowStartPeriod + s.rules.OverloadWindow
	if !s.cold || s.rules.SlowStartPeriod <= 0 || time.Since(s.started) > observed {
		return false
	}
	now := time.Now()
	s.arrived = append(s.arrived, arrivedUnits{now, units})
	s.sum += units
	for now.Sub(s.arrived[0].at) > s.rules.OverloadWindow {
		s.sum -= s.arrived[0].units
		s.arrived = s.arrived[1:]
	}
	rate := float64(model.Cores) / max(model.PerUnit, minWorkPerUnit).Seconds() * s.capacity()
	return s.sum > s.rules.OverloadFactor*rate*s.rules.OverloadWindow.Seconds()
}
