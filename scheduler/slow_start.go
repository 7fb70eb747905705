package scheduler

import (
	"math"
	"time"
)

// sumTolerance is far above the relative rounding error of a running sum of units.
const sumTolerance = 1e-6

// sendRecord is a send that counts against a node's slow-start capacity.
type sendRecord struct {
	at    time.Duration
	units float64
}

// sendRef identifies a sendRecord by its node and its index among all records of that node.
type sendRef struct {
	node  *node
	index int
}

// slowStartAllows reports whether the given units may be sent to a node now. A cold node accepts ColdCapacity
// from all instances in any window, and more as it warms up; this instance uses its even share. Where that
// share is less than one unit, the smallest request, instances take turns.
func (s *Scheduler) slowStartAllows(n *node, units float64) bool {
	age, window := s.now-n.StartedAt, s.overloadWindow()
	if n.StartedAt == 0 || s.settings.SlowStartPeriod == 0 || age >= s.settings.SlowStartPeriod+window {
		return true
	}
	if n.StartedAt < s.startedAt && s.now-s.startedAt < window {
		return false // earlier sends of a restarted instance are unknown: assume they took its whole share
	}
	if s.instanceShare(s.settings.ColdCapacity) >= 1 {
		return s.fitsOverloadWindow(n, units, s.instanceShare(s.slowStartCapacity(age-window)))
	}
	return s.slowStartTurnAllows(n, units)
}

// slowStartTurnAllows is slowStartAllows where there are more instances than units of cold capacity, so that
// the share of each is less than a request. They take turns of one window each. Any window overlaps two turns
// at most, so each turn gets half of the capacity; a turn is shared by the number of instances that can each
// send a request of mean size in it. All instances together stay within the capacity, at the price that many
// instances reject most of a cold shard's requests.
func (s *Scheduler) slowStartTurnAllows(n *node, units float64) bool {
	age, window := s.now-n.StartedAt, s.overloadWindow()
	instances := float64(max(s.settings.Instances, 1))
	meanUnits := max(s.settings.MeanUnits, 1)
	turn := age / window
	turnCapacity := s.slowStartCapacity((turn-1)*window) / 2
	turns := math.Ceil(instances / max(1, math.Floor(turnCapacity/meanUnits)))
	isOwnTurn := math.Mod(float64(turn)+float64(s.settings.InstanceIndex), turns) == 0
	return isOwnTurn && s.fitsOverloadWindow(n, units, turnCapacity/math.Ceil(instances/turns))
}

// slowStartCapacity returns the units that a node accepts in a window that begins sinceStart after the node's
// start: the cold capacity at first, growing linearly to that of a warm node at the end of the slow start.
func (s *Scheduler) slowStartCapacity(sinceStart time.Duration) float64 {
	if sinceStart <= 0 || s.settings.ColdFraction <= 0 {
		return s.settings.ColdCapacity
	}
	progress := sinceStart.Seconds() / s.settings.SlowStartPeriod.Seconds()
	return s.settings.ColdCapacity * (1 + (1/s.settings.ColdFraction-1)*progress)
}

// overloadWindow returns OverloadWindow, but at least 1 ns, as ages are divided by it.
func (s *Scheduler) overloadWindow() time.Duration { return max(s.settings.OverloadWindow, 1) }

// fitsOverloadWindow reports whether a node's sends of one window and the given units stay within a capacity.
// Only where the running sum is too close to the capacity to decide are the sends added up one by one, so
// that the result does not depend on rounding.
func (s *Scheduler) fitsOverloadWindow(n *node, units, capacity float64) bool {
	n.dropOldSends(s.now, s.overloadWindow())
	total := units + n.unitsSent
	if math.Abs(total-capacity) > sumTolerance*(1+capacity) {
		return total < capacity
	}
	total = units
	for _, record := range n.sends.values() {
		total += record.units
	}
	return total <= capacity
}

// recordSend counts an attempt against its node's slow-start capacity. Sends are recorded for warm nodes too,
// since a node that restarts is cold at once.
func (s *Scheduler) recordSend(r *request, n *node) {
	n.dropOldSends(s.now, s.settings.OverloadWindow)
	r.sendRefs = append(r.sendRefs, sendRef{n, n.sends.pushed()})
	n.sends.push(sendRecord{s.now, r.Units})
	n.unitsSent += r.Units
}

// dropOldSends drops the records of sends before the window, in amortized constant time.
func (n *node) dropOldSends(now, window time.Duration) {
	n.sends.dropWhile(func(record sendRecord) bool {
		if record.at >= now-window {
			return false
		}
		n.unitsSent -= record.units
		return true
	})
	if len(n.sends.values()) == 0 {
		n.unitsSent = 0
	}
}

// creditServed divides the recorded units of a request that a node has served by the overload factor:
// requests that the node keeps up with do not overload it, while those that it does not answer count in full.
func (s *Scheduler) creditServed(n *node, r *request) {
	factor := s.settings.OverloadFactor
	if factor <= 1 {
		return
	}
	for _, ref := range r.sendRefs {
		if ref.node != n {
			continue // the index is valid only in the records of its own node
		}
		if record := n.sends.at(ref.index); record != nil {
			n.unitsSent -= record.units - record.units/factor
			record.units /= factor
		}
	}
}
