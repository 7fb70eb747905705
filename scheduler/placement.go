package scheduler

import "math"

// errorExponent is the power of a node's part of answers without error by which a new object's wait is
// divided.
const errorExponent = 3.0

// placeNewObject picks the shard for an object that may be placed anywhere: the one with the least expected
// wait. Where no node can be used, the shard of the least cell is as good as any.
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

// placementWait estimates a new object's wait at a shard: the work at hand, in requests, times what the node
// takes for one. A stuck node shows first in the age of its oldest attempt. A node that fails most requests
// fast looks quick and idle, so errors count as wait. Nodes that never answered look alike, so their waits
// are randomized: instances that start would else all pick the same one.
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
