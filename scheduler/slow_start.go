package scheduler

import (
	"math"
	"time"
)

// sumTolerance is far more than the part by which a running sum of units can be off by rounding.
const sumTolerance = 1e-6

// sendRecord is a send that counts against a node's slow-start capacity.
type sendRecord struct {
	at    time.Duration
	units float64
}

// sendRef finds a sendRecord again: the node and the record's index among all of that node.
type sendRef struct {
	node  *node
	index int
}

// slowStartAllows reports whether a node may be sent so many units more now. A cold node takes a stated
// capacity in any window over all instances; this instance uses its even share. Where that share is less than
// the usual request, instances take turns.
func (s *Scheduler) slowStartAllows(n *node, units float64) bool {
	age, window := s.now-n.StartedAt, s.overloadWindow()
	if n.StartedAt == 0 || s.settings.SlowStartPeriod == 0 || age >= s.settings.SlowStartPeriod+window {
		return true
	}
	if n.StartedAt < s.startedAt && s.now-s.startedAt < window {
		return false // an instance that just restarted does not know what it sent before: assume all
	}
	if s.instanceShare(s.settings.ColdCapacity) >= 1 {
		return s.fitsOverloadWindow(n, units, s.instanceShare(s.slowStartCapacity(age-window)))
	}
	return s.slowStartTurnAllows(n, units)
}

// slowStartTurnAllows is slowStartAllows for so many instances that each one's share is less than a request.
// They take turns of one window each, as many at a time as leave each a usual request. Any window meets two
// turns at most, which share the capacity: all instances at once stay within it, at the price that many
// reject most of a cold shard's requests.
func (s *Scheduler) slowStartTurnAllows(n *node, units float64) bool {
	age, window := s.now-n.StartedAt, s.overloadWindow()
	instances := float64(max(s.settings.Instances, 1))
	usual := max(s.settings.MeanUnits, 1)
	turn := age / window
	turnCapacity := s.slowStartCapacity((turn-1)*window) / 2
	turns := math.Ceil(instances / max(1, math.Floor(turnCapacity/usual)))
	isOurs := math.Mod(float64(turn)+float64(s.settings.InstanceIndex), turns) == 0
	return isOurs && s.fitsOverloadWindow(n, units, turnCapacity/math.Ceil(instances/turns))
}

// slowStartCapacity is how many units a node takes in a window that begins so long after its start: the cold
// capacity at first, growing evenly to that of a warm node at the end of the slow start.
func (s *Scheduler) slowStartCapacity(sinceStart time.Duration) float64 {
	if sinceStart <= 0 || s.settings.ColdFraction <= 0 {
		return s.settings.ColdCapacity
	}
	progress := sinceStart.Seconds() / s.settings.SlowStartPeriod.Seconds()
	return s.settings.ColdCapacity * (1 + (1/s.settings.ColdFraction-1)*progress)
}

func (s *Scheduler) overloadWindow() time.Duration { return max(s.settings.OverloadWindow, 1) }

// fitsOverloadWindow reports whether units more stay within a capacity over one window. Only where the
// running sum is too near to the capacity to tell are the sends added up one by one, so that the answer does
// not hang on rounding.
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
	r.sends = append(r.sends, sendRef{n, n.sends.pushed()})
	n.sends.push(sendRecord{s.now, r.Units})
	n.unitsSent += r.Units
}

// dropOldSends forgets what was sent before the window. It costs the same however many sends are recorded.
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

// creditServed reduces what a node has served by the overload factor: what it keeps up with does not overload
// it, while what it does not answer counts in full.
func (s *Scheduler) creditServed(n *node, r *request) {
	factor := s.settings.OverloadFactor
	if factor <= 1 {
		return
	}
	for _, ref := range r.sends {
		if ref.node != n {
			continue // records are counted by node: another's index means nothing here
		}
		if record := n.sends.at(ref.index); record != nil {
			n.unitsSent -= record.units - record.units/factor
			record.units /= factor
		}
	}
}
