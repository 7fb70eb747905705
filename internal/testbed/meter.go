package testbed

import (
	"sync"
	"time"
)

// Meter counts the units that all nodes served for each volume, by period. It is safe for concurrent use.
type Meter struct {
	mu           sync.Mutex
	period       time.Duration
	start        time.Time
	current      map[uint64]float64 // units by volume in the current period
	previous     map[uint64]float64 // units by volume in the last completed period
	periodNumber int64              // number of the current period, from 0
}

// NewMeter returns a meter with periods of the given length; 0 disables it.
func NewMeter(period time.Duration) *Meter {
	return &Meter{
		period:   period,
		start:    time.Now(),
		current:  map[uint64]float64{},
		previous: map[uint64]float64{},
	}
}

// recordServed counts units and returns 1 plus the units a second served for the volume in the last
// completed period, in percent of its rate. It returns 0, which reports nothing, in the first period, with a
// disabled meter, or for a rate of 0.
func (m *Meter) recordServed(volume uint64, units, rate float64) uint32 {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.period <= 0 || rate <= 0 {
		return 0
	}
	if number := int64(time.Since(m.start) / m.period); number != m.periodNumber {
		if number > m.periodNumber+1 { // nothing was counted in the last completed period
			m.current = map[uint64]float64{}
		}
		m.previous, m.current, m.periodNumber = m.current, map[uint64]float64{}, number
	}
	m.current[volume] += units
	if m.periodNumber == 0 {
		return 0
	}
	return 1 + uint32(100*m.previous[volume]/(rate*m.period.Seconds()))
}

// elsewhereCounter counts the units that one incarnation of a node served, by volume and instance, to report
// to each instance the units served to the others. It is guarded by the process's lock.
type elsewhereCounter struct {
	served   map[uint64]map[int]float64 // units by volume and instance
	reported map[uint64]map[int]float64 // units of others that were reported to each instance
}

func newElsewhereCounter() elsewhereCounter {
	return elsewhereCounter{served: map[uint64]map[int]float64{}, reported: map[uint64]map[int]float64{}}
}

// add counts units served to an instance and, if report is set, returns the units served to other instances
// since the last report to this one; 0 otherwise.
func (c *elsewhereCounter) add(volume uint64, instance int, units float64, report bool) uint32 {
	byInstance := c.served[volume]
	if byInstance == nil {
		byInstance = map[int]float64{}
		c.served[volume], c.reported[volume] = byInstance, map[int]float64{}
	}
	byInstance[instance] += units
	if !report {
		return 0
	}
	others := 0.0
	for other, units := range byInstance {
		if other != instance {
			others += units
		}
	}
	sinceReport := others - c.reported[volume][instance]
	c.reported[volume][instance] = others
	return uint32(max(0, sinceReport))
}
