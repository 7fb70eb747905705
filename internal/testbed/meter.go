package testbed

import (
	"sync"
	"time"
)

// Meter knows what each volume was served by all nodes, period by period. Any goroutine may use it.
type Meter struct {
	mu       sync.Mutex
	period   time.Duration
	start    time.Time
	current  map[uint64]float64 // units by volume in this period
	previous map[uint64]float64 // and in the last finished one
	number   int64              // of this period, from 0
}

// NewMeter returns a meter that counts in periods of that length; 0: it never counts.
func NewMeter(period time.Duration) *Meter {
	return &Meter{
		period:   period,
		start:    time.Now(),
		current:  map[uint64]float64{},
		previous: map[uint64]float64{},
	}
}

// served counts units and returns 1 + what the volume was served in the last finished period, in percent of
// its rate (units a second); 0 without a meter.
func (m *Meter) served(volume uint64, units, rate float64) uint32 {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.period <= 0 || rate <= 0 {
		return 0
	}
	if number := int64(time.Since(m.start) / m.period); number != m.number {
		if number > m.number+1 { // nothing was counted in the last finished period
			m.current = map[uint64]float64{}
		}
		m.previous, m.current, m.number = m.current, map[uint64]float64{}, number
	}
	m.current[volume] += units
	if m.number == 0 {
		return 0
	}
	return 1 + uint32(100*m.previous[volume]/(rate*m.period.Seconds()))
}

// elsewhereCounter tells instances what others were served of a volume by one incarnation of a node. Its
// owner locks.
type elsewhereCounter struct {
	served   map[uint64]map[int]float64 // units by volume and instance
	reported map[uint64]map[int]float64 // units of others that were reported to each instance
}

func newElsewhereCounter() elsewhereCounter {
	return elsewhereCounter{served: map[uint64]map[int]float64{}, reported: map[uint64]map[int]float64{}}
}

// add counts units served to an instance and, if they are reported, returns the units that other instances
// were served since the last report to this one.
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
