package scheduler

import (
	"cmp"
	"math"
	"time"
)

const (
	initialDepth        = 8.0  // slots at a node of which nothing is known; the design's value
	fleetSlots          = 128  // that all instances together may use at a node that answers quickly
	congestionThreshold = 0.3  // of the shortest objective: a higher latency reduces fleetSlots
	congestionExponent  = 4.0  // by this power of the latency over that
	maxDepth            = 24.0 // of slots, and of attempts in flight at one node with lost ones included
	depthGain           = 3.0  // slots that all instances together gain in a period
	depthStep           = 0.5  // part of the way to the wanted depth that one period goes
	nodeTimeFraction    = 0.1  // of the shortest objective that a request may spend at its node
	extraSlots          = 8.0  // beyond the depth of one instance at an idle node, for volumes not ahead
	extraSlotsThreshold = 0.5  // of the shortest objective: at this latency there are none of them
	minAdaptPeriod      = 50 * time.Millisecond
)

// exceedsSlots reports whether a request must wait for slots of its shard's node. Pacing holds back requests
// that start after the virtual time, and all new objects: they are not bound to this node, and where few
// nodes are left the new objects of all instances would starve the reads that are.
func (s *Scheduler) exceedsSlots(queue *shardQueue, r *request) bool {
	n, limit := queue.node, s.slotLimit(queue, r)
	if n.slotsUsed > 0 && n.slotsUsed+r.slotCost > limit {
		return true
	}
	ahead := r.startTag > queue.virtualTime || r.Cell < 0
	return (ahead && s.isPaced(n, limit)) || len(n.inFlight) >= maxDepth
}

// slotLimit is how many slots may be used at the shard's node when a request joins those in flight.
//
// It is the depth, but no more than this instance's share of the slots of all instances. At any moment most
// instances have nothing at a given node, so their sum starts high; it falls steeply once the node's latency
// passes the congestion threshold, so that the node recovers even when all of them use it.
//
// The latency of the work itself counts alike for all requests. The wait beyond it counts more for requests
// of less priority weight: otherwise patient low-priority requests fill a slow node, and those with short
// objectives expire first.
//
// A request that starts no later than the virtual time gets extra slots, as its volume has had no more than
// its share while others may have filled the node. They shrink to none as the latency grows.
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

// relativeWeight is the priority weight of a request's units relative to the largest there is. The class's
// weight is squared: classes of less weight mostly have the longer objectives, so their requests are still
// queued whenever congestion eases. A weight that is not set counts as 1.
func (s *Scheduler) relativeWeight(r *request) float64 {
	reserved := r.reservedUnits / r.Units
	classWeight := cmp.Or(r.class.PriorityWeight, 1) / cmp.Or(s.objectives.maxClassWeight, 1)
	planWeight := cmp.Or(r.volume.plan.PriorityWeight, 1) / cmp.Or(s.objectives.maxPlanWeight, 1)
	shareWeight := math.Sqrt(reserved + (1-reserved)*cmp.Or(s.settings.ShareWeight, 1))
	return classWeight * classWeight * planWeight * shareWeight
}

// isPaced reports whether a limit under one slot holds the next send back. Sends are then spaced by the
// node's latency divided by the limit, as if the last one used its slot for that long.
func (s *Scheduler) isPaced(n *node, limit float64) bool {
	return limit < 1 && n.hasSent && s.now-n.lastSentAt < seconds(n.latency.Seconds()/limit)
}

// targetLatency is how long a request may be at its node.
func (s *Scheduler) targetLatency() time.Duration {
	return time.Duration(nodeTimeFraction * float64(s.objectives.shortest))
}

// adaptDepth learns the depth at which a request's time at the node meets the target, so that requests wait
// here, in tag order, and not in the node's own queue. Every instance that does so gets a like share of the
// node. The depth grows only while it holds requests back.
func (s *Scheduler) adaptDepth(n *node) {
	if n.latency <= 0 || s.objectives.shortest <= 0 {
		return
	}
	if s.now-n.depthAdaptedAt < max(n.latency, minAdaptPeriod) {
		return
	}
	fitting := n.depth * float64(s.targetLatency()) / float64(n.latency)
	wanted := min(fitting, n.depth) + s.instanceShare(depthGain)
	if wanted < n.depth || n.depthReached {
		n.depth = min(maxDepth, max(s.minDepth(), n.depth+depthStep*(wanted-n.depth)))
	}
	n.depthReached, n.depthAdaptedAt = false, s.now
}

// startingDepth is the depth at a node of which nothing is known.
func (s *Scheduler) startingDepth() float64 {
	return min(initialDepth, s.instanceShare(fleetSlots))
}

// minDepth bounds the depth from below: one request of each instance may be sent, or where instances are very
// many the share that each has of fleetSlots.
func (s *Scheduler) minDepth() float64 { return min(1, s.instanceShare(fleetSlots)) }

// releaseLostSlots takes the slots back from attempts that are in flight for far longer than the node's
// answers take: answers that get lost and requests that hang would hold theirs until the client's wait is
// over, and a few of them stop a node's queue. At a node that hangs it lets a request through now and then,
// as a trial.
func (n *node) releaseLostSlots(now time.Duration) {
	for _, r := range n.inFlight {
		if !r.slotsReleased && now-r.sentAt > n.lossTimeout() {
			r.slotsReleased = true
			n.slotsUsed -= r.slotCost
		}
	}
}
