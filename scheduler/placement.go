package scheduler

import "math"

// errorExponent is the power to which a node's fraction of answers without error is raised; a new object's
// estimated wait is divided by the result.
const errorExponent = 3.0

// placeNewObject picks the shard for an object that may be placed anywhere: the one with the least expected
// wait. Shards without a ready node, or whose node has failures or is not allowed by slow start, are avoided;
// where there are no others, any shard serves as well, and that of the lowest cell is picked.
func (s *Scheduler) placeNewObject(r *request) *shardQueue {
	var best *shardQueue
	least := math.Inf(1)
	for _, queue := range s.endpoints.shards {
		wait := math.MaxFloat64
		if n := queue.node; n != nil && n.failures == 0 && s.slowStartAllows(n, r.Units) {
			wait = s.placementWait(queue, r)
		}
		if wait < least {
			best, least = queue, wait
		}
	}
	return best
}

// placementWait estimates a new object's wait at a shard, in seconds: the work in flight and queued, in
// requests, times the node's latency for one. The age of its oldest attempt is the first sign that a node is
// stuck. A node that fails most requests quickly appears fast and idle, so errors increase the wait. Nodes
// that have never answered appear alike, so their waits are randomized: instances that start would otherwise
// all pick the same one.
func (s *Scheduler) placementWait(queue *shardQueue, r *request) float64 {
	n := queue.node
	wait := s.expectedLatency(n, r).Seconds()
	if len(n.inFlight) > 0 {
		wait = max(wait, (s.now - n.inFlight[0].sentAt).Seconds())
	}
	wait *= 1 + n.slotsUsed + queue.queuedUnits/max(s.settings.MeanUnits, 1)
	wait /= math.Pow(1-n.errorRate, errorExponent)
	if n.lastAnswerAt == 0 {
		wait *= 0.5 + s.random.Float64()
	}
	return wait
}
