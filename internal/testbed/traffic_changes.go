package testbed

import (
	"math/rand/v2"
	"slices"
	"sync"
	"time"
)

// trafficChanges stores the faults that change traffic while they last.
type trafficChanges struct {
	mu        sync.Mutex
	surges    []activeSurge
	heavy     []activeHeavy
	impatient []activeImpatience
	rotations map[uint64]int // by volume: number of changes of its busiest instance
}

type activeSurge struct {
	plan    int // or allPlans
	volumes int // the first ones; 0: all
	factor  float64
	until   time.Time
}

type activeHeavy struct {
	share  float64
	factor int
	until  time.Time
}

type activeImpatience struct {
	share float64
	wait  time.Duration // limit of the wait for one answer
	until time.Time
}

func newTrafficChanges() *trafficChanges { return &trafficChanges{rotations: map[uint64]int{}} }

func (c *trafficChanges) addSurge(surge *Surge, plan int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	until := time.Now().Add(surge.Duration)
	c.surges = append(c.surges, activeSurge{plan, surge.Volumes, surge.Factor, until})
}

func (c *trafficChanges) addHeavy(heavy *HeavyRequests) {
	c.mu.Lock()
	defer c.mu.Unlock()
	until := time.Now().Add(heavy.Duration)
	c.heavy = append(c.heavy, activeHeavy{heavy.Share, heavy.Factor, until})
}

func (c *trafficChanges) addImpatient(impatient *ImpatientClients) {
	c.mu.Lock()
	defer c.mu.Unlock()
	until := time.Now().Add(impatient.Duration)
	c.impatient = append(c.impatient, activeImpatience{impatient.Share, impatient.Wait, until})
}

// rotateInstances changes the busiest instance of a share of all volumes.
func (c *trafficChanges) rotateInstances(scenario *Scenario, share float64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for i := range scenario.Traffic {
		stream := &scenario.Traffic[i]
		plan := scenario.Site.PlanNumber(stream.Plan)
		for number := range stream.Volumes {
			volume := volumeNumber(uint64(plan+1), uint64(number+1))
			if float64(mixBits(volume)%1000) < 1000*share {
				c.rotations[volume]++
			}
		}
	}
}

func (c *trafficChanges) rotation(volume uint64) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.rotations[volume]
}

// rateFactor returns the factor by which a volume's traffic currently differs from its usual rate.
func (c *trafficChanges) rateFactor(plan, volume int) float64 {
	factor := 1.0
	for _, surge := range c.activeSurges(plan) {
		if surge.volumes == 0 || volume < surge.volumes {
			factor *= surge.factor
		}
	}
	return factor
}

// maxRateFactor returns an upper bound, at least 1, of rateFactor for a plan's volumes.
func (c *trafficChanges) maxRateFactor(plan int) float64 {
	factor := 1.0
	for _, surge := range c.activeSurges(plan) {
		factor *= max(1, surge.factor)
	}
	return factor
}

// activeSurges returns the current surges of a plan's traffic, and removes those that are over.
func (c *trafficChanges) activeSurges(plan int) []activeSurge {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.surges = slices.DeleteFunc(c.surges, func(s activeSurge) bool { return time.Now().After(s.until) })
	var active []activeSurge
	for _, surge := range c.surges {
		if surge.plan == allPlans || surge.plan == plan {
			active = append(active, surge)
		}
	}
	return active
}

// apply randomly makes a request heavy or its client impatient, according to the current faults.
func (c *trafficChanges) apply(drawn *clientRequest, rng *rand.Rand) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	for _, heavy := range c.heavy {
		if now.Before(heavy.until) && rng.Float64() < heavy.share {
			drawn.request.WorkFactor = uint32(heavy.factor)
		}
	}
	for _, impatient := range c.impatient {
		if now.Before(impatient.until) && rng.Float64() < impatient.share {
			drawn.answerTimeout = impatient.wait
		}
	}
}
