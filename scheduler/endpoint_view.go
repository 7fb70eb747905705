package scheduler

import (
	"cmp"
	"slices"
	"time"
)

// removedNodeRetention is how long the state of a node is kept after it was removed from the list.
const removedNodeRetention = 10 * time.Minute

// node is the state that this instance keeps of a storage node's process.
type node struct {
	Endpoint
	inFlight          []*request    // oldest first; without the members of operations
	slotsUsed         float64       // by the attempts in flight
	depth             float64       // slots that may be used, adapted to the latency
	depthReached      bool          // the depth held a request back since it was last adapted
	latency           time.Duration // running mean, normalized to the average request
	deviation         time.Duration // running mean deviation from latency
	lastAnswerAt      time.Duration
	latencyUpdatedAt  time.Duration
	depthAdaptedAt    time.Duration
	failures          int                       // consecutive
	consecutiveResets int                       // of connections
	errorRate         float64                   // running fraction of answers that were errors
	retryAt           time.Duration             // when a node with failures may be sent a request again
	sends             slidingWindow[sendRecord] // within the last overload window
	unitsSent         float64                   // sum over sends, with rounding errors
	lastSentAt        time.Duration
	hasSent           bool
	removedAt         time.Duration // 0: it is listed
}

// restart resets the learned statistics of a node to those of an unknown one, as its process is new.
func (n *node) restart(depth float64, target time.Duration) {
	n.depth, n.latency, n.deviation = depth, target/2, target/4
	n.failures, n.consecutiveResets, n.errorRate, n.retryAt = 0, 0, 0, 0
}

// removal records when a node was removed from the list.
type removal struct {
	node *node
	at   time.Duration
}

// endpointView holds the nodes of the endpoint list and the shards that they serve.
type endpointView struct {
	nodes    map[Server]*node
	shards   []*shardQueue // by cell
	removals []removal     // oldest first
}

func compareCells(a, b *shardQueue) int { return cmp.Compare(a.cell, b.cell) }

// shardFor returns the queue for a cell and creates it on first use.
func (v *endpointView) shardFor(cell int) *shardQueue {
	i, ok := slices.BinarySearchFunc(v.shards, &shardQueue{cell: cell}, compareCells)
	if !ok {
		v.shards = slices.Insert(v.shards, i, &shardQueue{cell: cell})
	}
	return v.shards[i]
}

// removeUnlisted marks all nodes as removed that a full list does not contain.
func (v *endpointView) removeUnlisted(listed []Endpoint, now time.Duration) {
	isListed := map[Server]bool{}
	for _, e := range listed {
		isListed[e.Server] = true
	}
	for server, n := range v.nodes {
		if !isListed[server] {
			n.Status = Removed
			v.markRemoved(n, now)
		}
	}
}

func (v *endpointView) markRemoved(n *node, now time.Duration) {
	if n.removedAt == 0 {
		n.removedAt = now
		v.removals = append(v.removals, removal{n, now})
	}
}

// evictRemoved deletes nodes that were removed removedNodeRetention ago, so that they do not accumulate over
// months. A node that is listed again sooner keeps its state, and one with attempts in flight is kept.
func (v *endpointView) evictRemoved(now time.Duration) {
	for len(v.removals) > 0 && now-v.removals[0].at >= removedNodeRetention {
		oldest := v.removals[0]
		if oldest.node.removedAt == oldest.at {
			if len(oldest.node.inFlight) > 0 {
				return
			}
			delete(v.nodes, oldest.node.Server)
		}
		v.removals = v.removals[1:]
	}
}

// assignNodes assigns to each shard the ready node that holds it; of several, the one that started last.
func (v *endpointView) assignNodes() {
	ready := make([]*node, 0, len(v.nodes))
	for _, n := range v.nodes {
		if n.Status == Ready {
			ready = append(ready, n)
		}
	}
	slices.SortFunc(ready, func(a, b *node) int {
		return cmp.Or(cmp.Compare(a.StartedAt, b.StartedAt), a.Server.Compare(b.Server))
	})
	for _, queue := range v.shards {
		queue.node = nil
	}
	for _, n := range ready {
		v.shardFor(int(n.Cell)).node = n
	}
}

// applyEndpointUpdate applies an update of the endpoint list, or handles the failure to get one.
func (s *Scheduler) applyEndpointUpdate(update EndpointUpdate) {
	if update.Kind == UpdateFailed {
		s.watchFailed()
		return
	}
	s.watch.updateReceived = s.watch.updateReceived || update.Kind != UpdateCached
	if update.Kind != UpdateDelta {
		s.endpoints.removeUnlisted(update.Endpoints, s.now)
	}
	for _, e := range update.Endpoints {
		s.applyEndpoint(e)
	}
	s.endpoints.assignNodes()
	s.endpoints.evictRemoved(s.now)
}

// applyEndpoint applies one entry of an update. A later start means that the process restarted.
func (s *Scheduler) applyEndpoint(e Endpoint) {
	n := s.endpoints.nodes[e.Server]
	if n == nil {
		n = &node{}
		s.endpoints.nodes[e.Server] = n
	}
	if n.depth == 0 || e.StartedAt > n.StartedAt {
		n.restart(s.startingDepth(), s.targetLatency())
	}
	n.Endpoint = e
	if e.Status == Removed {
		s.endpoints.markRemoved(n, s.now)
	} else {
		n.removedAt = 0
	}
	s.endpoints.shardFor(int(e.Cell)) // creates the shard even if no node is ready for it
}
