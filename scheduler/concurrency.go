package scheduler

import (
	"cmp"
	"math"
	"time"
)

const (
	initialDepth          = 8.0  // slots at a new or restarted node
	fleetSlots            = 128  // slots that all instances together may use at a node that answers quickly
	congestionThreshold   = 0.3  // of the shortest objective: higher latencies reduce fleetSlots
	congestionExponent    = 4.0  // fleetSlots is divided by (latency / threshold) to this power
	maxDepth              = 24.0 // slots; also limits the attempts in flight at a node, lost ones included
	depthGain             = 3.0  // slots that all instances together add to the target depth per period
	depthStep             = 0.5  // fraction of the difference to the target depth that is applied per period
	targetLatencyFraction = 0.1  // target latency at a node, as a fraction of the shortest objective
	extraSlots            = 8.0  // added to the limit at latency 0, for start tags up to the virtual time
	extraSlotsThreshold   = 0.5  // of the shortest objective: latency from which there are no extra slots
	// minAdaptPeriod is the minimum period after which a node's depth is adapted; the period is the node's
	// latency where that is longer.
	minAdaptPeriod = 50 * time.Millisecond
)

// exceedsSlots reports whether a request must wait for slots of its shard's node. Where none are in use, any
// slot cost fits. Pacing (isPaced) holds back requests whose start tag is beyond the virtual time, and all
// new objects: any node can store these, and where few nodes are ready, the new objects of all instances
// would starve the reads that only this node can serve.
func (s *Scheduler) exceedsSlots(queue *shardQueue, r *request) bool {
	n, limit := queue.node, s.slotLimit(queue, r)
	if n.slotsUsed > 0 && n.slotsUsed+r.slotCost > limit {
		return true
	}
	ahead := r.startTag > queue.virtualTime || r.Cell < 0
	return (ahead && s.isPaced(n, limit)) || len(n.inFlight) >= maxDepth
}

// slotLimit returns the number of slots that may be used at the shard's node, those of the request included.
//
// It is the depth, but no more than this instance's share of the slots of all instances. At any moment most
// instances have no requests at a given node, so the total is high at low latency; it falls steeply once the
// node's latency exceeds the congestion threshold, so that the node recovers even when all instances use it.
//
// Of that latency, the execution time, estimated by the running median, counts equally for all requests. The
// wait beyond it counts more for requests of lower priority weight: otherwise low-priority requests with long
// objectives fill a slow node, and requests with short objectives expire first.
//
// A request whose start tag is not beyond the virtual time gets extra slots, as its volume has received no
// more than its share while others may have filled the node. They shrink to 0 as the latency grows.
func (s *Scheduler) slotLimit(queue *shardQueue, r *request) float64 {
	n := queue.node
	if s.objectives.shortest <= 0 {
		return n.depth
	}
	latency := s.recentLatency(n)
	wait := max(0, latency-s.latency.runningMedian)
	weighted := (latency - wait).Seconds() + wait.Seconds()/s.relativeWeight(r)
	usage := weighted / s.objectives.shortest.Seconds()
	congestion := max(1, usage/congestionThreshold)
	limit := min(n.depth, s.instanceShare(max(1, fleetSlots/math.Pow(congestion, congestionExponent))))
	if r.startTag > queue.virtualTime {
		return limit
	}
	return limit + extraSlots*max(0, 1-usage/extraSlotsThreshold)
}

// relativeWeight returns the priority weight of a request's units relative to the largest of the settings.
// The class's weight is squared: classes of lower weight mostly have longer objectives, so their requests are
// still queued when congestion eases. A weight that is not set counts as 1.
func (s *Scheduler) relativeWeight(r *request) float64 {
	reserved := r.reservedUnits / r.Units
	classWeight := cmp.Or(r.class.PriorityWeight, 1) / cmp.Or(s.objectives.maxClassWeight, 1)
	planWeight := cmp.Or(r.volume.plan.PriorityWeight, 1) / cmp.Or(s.objectives.maxPlanWeight, 1)
	shareWeight := math.Sqrt(reserved + (1-reserved)*cmp.Or(s.settings.ShareWeight, 1))
	return classWeight * classWeight * planWeight * shareWeight
}

// isPaced reports whether a limit below one slot holds the next send back. Sends are then spaced by the
// node's latency divided by the limit, as if the last attempt used its slot for that long.
func (s *Scheduler) isPaced(n *node, limit float64) bool {
	return limit < 1 && n.hasSent && s.now-n.lastSentAt < seconds(n.latency.Seconds()/limit)
}

// targetLatency returns the latency of a node at which adaptDepth aims; 0: no class has an objective.
func (s *Scheduler) targetLatency() time.Duration {
	return time.Duration(targetLatencyFraction * float64(s.objectives.shortest))
}

// adaptDepth adapts a node's depth so that its latency meets the target, and requests wait here, in tag
// order, instead of in the node's own queue. Instances that all do so get similar shares of the node. The
// depth grows only while it holds requests back.
func (s *Scheduler) adaptDepth(n *node) {
	if n.latency <= 0 || s.objectives.shortest <= 0 {
		return
	}
	if s.now-n.depthAdaptedAt < max(n.latency, minAdaptPeriod) {
		return
	}
	fittingDepth := n.depth * float64(s.targetLatency()) / float64(n.latency)
	targetDepth := min(fittingDepth, n.depth) + s.instanceShare(depthGain)
	if targetDepth < n.depth || n.depthReached {
		n.depth = min(maxDepth, max(s.minDepth(), n.depth+depthStep*(targetDepth-n.depth)))
	}
	n.depthReached, n.depthAdaptedAt = false, s.now
}

// startingDepth returns the depth at a new or restarted node.
func (s *Scheduler) startingDepth() float64 {
	return min(initialDepth, s.instanceShare(fleetSlots))
}

// minDepth returns the minimum depth: one slot, so that each instance can send a request, or, where there are
// more instances than fleetSlots, the instance's share of fleetSlots.
func (s *Scheduler) minDepth() float64 { return min(1, s.instanceShare(fleetSlots)) }

// releaseLostSlots releases the slots of attempts that have been in flight for longer than the loss timeout:
// lost answers and requests that hang would otherwise use their slots until the client's wait ends, and a few
// of them block a node's queue. At a node that hangs, this lets a request through from time to time, as a
// probe.
func (n *node) releaseLostSlots(now time.Duration) {
	for _, r := range n.inFlight {
		if !r.slotsReleased && now-r.sentAt > n.lossTimeout() {
			r.slotsReleased = true
			n.slotsUsed -= r.slotCost
		}
	}
}
