package scheduler

// Batcher tracks which queued requests could be sent to their node as one operation. It proposes members; the
// Scheduler decides on each. Request IDs must not be 0 where a Batcher is used, as a Send.Leader of 0 means
// that the attempt joins no operation.
type Batcher interface {
	// Propose is called when a request is sent for the first time, unless as a member. It calls join for each
	// other request that fits the operation, with the size in units that the whole operation would have with
	// it; join reports whether the request becomes a member. Propose must not call the Scheduler.
	Propose(id uint32, join func(id uint32, units float64) bool)
}

// SetBatcher sets the batcher that proposes queued requests to be sent as one operation. It must be called
// before the first event.
func (s *Scheduler) SetBatcher(b Batcher) { s.batcher = b }

// operation is an attempt that was just sent, together with the requests that join it.
type operation struct {
	leader *request
	node   *node
	cost   float64 // slots
}

// mergeOperation lets queued requests join an attempt that was just sent. Each member keeps its own tag,
// plan, quota, objective and place in its key's order. The operation is charged the slot cost of its whole
// size, even beyond the slot limit, which then holds back the next sends.
func (s *Scheduler) mergeOperation(leader *request, n *node) {
	op := &operation{leader: leader, node: n, cost: leader.slotCost}
	s.batcher.Propose(leader.ID, func(id uint32, units float64) bool {
		r := s.requests[id]
		if r == nil || !s.mayJoin(op, r, units) {
			return false
		}
		s.join(op, r, units)
		return true
	})
	leader.slotCost = op.cost
}

// mayJoin reports whether a queued request may become a member of an operation whose size would then be the
// given units. The request must be of the leader's shard and class and not have been sent before; slow start,
// its quota and the order of its key must allow it. It must be the next in tag order, or its finish tag must
// be ahead of the virtual time by no more than one request of maximum size. The operation must be expected to
// end within the objectives of member and leader, and no later than the sooner of the two would end alone
// plus the node's mean deviation.
func (s *Scheduler) mayJoin(op *operation, r *request, units float64) bool {
	leader, n, queue := op.leader, op.node, op.leader.shard
	if !r.queued || r.attempts > 0 || r.shard != queue || r.class != leader.class {
		return false
	}
	latency := s.recentLatency(n) + s.latency.sizeCorrection(leader.class, units)
	aheadUnits := (r.startTag + r.tagAdvance - queue.virtualTime) * r.volume.plan.Weight
	switch {
	case r != queue.requests[0] && aheadUnits > s.settings.MaxUnits:
		return false
	case s.now+latency > min(r.objectiveAt, leader.objectiveAt):
		return false
	case !s.slowStartAllows(n, r.Units):
		return false
	case latency > min(s.expectedLatency(n, leader), s.expectedLatency(n, r))+n.deviation:
		return false
	}
	return s.mayDispatch(r, n, leader)
}

// join sends a queued request as a member of an operation.
func (s *Scheduler) join(op *operation, r *request, units float64) {
	queue := op.leader.shard
	if r == queue.requests[0] {
		queue.virtualTime = max(queue.virtualTime, r.startTag)
	}
	cost := op.leader.class.slotCost(units)
	op.node.slotsUsed += cost - op.cost
	op.cost, op.leader.operationUnits = cost, units
	s.backlog.dequeue(r)
	s.sendAttempt(r, op.node, op.leader)
}

// isMemberOf reports whether a request is in flight as a member, or as the leader, of the leader's operation.
func (r *request) isMemberOf(leader *request) bool {
	return r.node != nil && (r == leader || r.leader == leader)
}
