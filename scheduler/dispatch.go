package scheduler

import (
	"slices"
	"time"
)

// dispatchVerdict is the decision on a queued request when its shard is dispatched.
type dispatchVerdict uint8

const (
	dispatchNow       dispatchVerdict = iota
	skipRequest                       // a check holds it back; others may be sent
	holdForSlots                      // it does not fit the slot limit; smaller ones may be backfilled
	shedRequest                       // it cannot be answered in time
	backfillExhausted                 // no more requests may be backfilled past the one that waits for slots
)

// dispatch sends a shard's requests in tag order while they fit the slot limit of its node. When the first
// that may be sent does not fit, smaller ones are backfilled, until the total slot cost of those sent past it
// would exceed its own.
func (s *Scheduler) dispatch(queue *shardQueue) {
	n := queue.node
	if n == nil {
		return
	}
	n.releaseLostSlots(s.now)
	var head *request // the first request that waits for slots
	for i := 0; i < len(queue.requests) && s.isUsable(n); {
		r := queue.requests[i]
		switch s.verdictFor(queue, r, head) {
		case skipRequest:
			i++
		case holdForSlots:
			n.depthReached = true
			if head == nil {
				head = r
			}
			i++
		case shedRequest: // it leaves the queue, so i is now the index of the next request
			s.finishUnserved(r, 0)
		case backfillExhausted:
			return
		case dispatchNow:
			if head != nil {
				head.backfilledCost += r.slotCost
			}
			i = s.dispatchAt(queue, i)
			if head != nil && !head.queued { // it joined the operation that was just sent
				head = nil
			}
		}
	}
}

// verdictFor decides on one request of a shard whose node is usable.
func (s *Scheduler) verdictFor(queue *shardQueue, r, head *request) dispatchVerdict {
	n := queue.node
	switch {
	case !s.mayDispatch(r, n, nil):
		return skipRequest
	case s.now >= r.objectiveAt || s.now+s.expectedLatency(n, r) > r.ExpiresAt:
		return shedRequest
	case s.exceedsSlots(queue, r):
		return holdForSlots
	case head != nil && head.backfilledCost+r.slotCost > head.slotCost:
		return backfillExhausted
	case !s.slowStartAllows(n, r.Units):
		return skipRequest
	}
	return dispatchNow
}

// dispatchAt sends the request at an index of the queue, with the requests that join it as one operation, and
// returns the index of the request that follows it.
func (s *Scheduler) dispatchAt(queue *shardQueue, index int) int {
	r, n := queue.requests[index], queue.node
	s.backlog.dequeue(r)
	s.sendAttempt(r, n, nil)
	if s.batcher == nil || r.attempts > 1 {
		return index
	}
	s.mergeOperation(r, n)
	index, _ = slices.BinarySearchFunc(queue.requests, r, compareTags)
	return index
}

// mayDispatch reports whether the order of its key, earlier requests that may be unread, the limits on
// retries and its volume's quota allow a request to be sent to a node; with a leader, as a member of the
// leader's operation.
func (s *Scheduler) mayDispatch(r *request, n *node, leader *request) bool {
	if !s.keys.isTurn(r, leader, s.now) {
		return false
	}
	if r.isOrdered() && r.attempts == 0 && s.arrivals.isCollecting(s.now) {
		return false
	}
	if r.attempts > 0 && !s.mayRetry(r, n) {
		return false
	}
	return r.quotaCharged || r.volume.plan.Limit <= 0 || s.quotaRemaining(r.volume) >= r.Units
}

// sendAttempt starts an attempt. Without a leader, the attempt takes slots of the node and advances the
// virtual time to its start tag. A member of an operation, which has a leader, uses no slots of its own.
func (s *Scheduler) sendAttempt(r *request, n *node, leader *request) {
	if r.attempts > 0 {
		s.retries.recordRetry(s.now)
	}
	s.chargeQuota(r)
	r.attempts++
	s.inFlight++
	r.node, r.sentAt, r.leader, r.operationUnits = n, s.now, leader, r.Units
	r.slotsReleased = leader != nil
	send := Send{ID: r.ID, Server: n.Server, Timeout: s.attemptTimeout(r), StartBefore: r.retryDeadline()}
	if leader == nil {
		r.shard.virtualTime = max(r.shard.virtualTime, r.startTag)
		n.inFlight = append(n.inFlight, r)
		n.slotsUsed += r.slotCost
	} else {
		send.Leader = leader.ID
	}
	n.lastSentAt, n.hasSent = s.now, true
	s.recordSend(r, n)
	s.emit(send)
}

// attemptTimeout returns the timeout of an attempt. That of an idempotent request ends with the latency
// objective: a later answer has little value, and a node that is overloaded with requests for which no client
// waits may never recover. Other attempts may last until the client's wait ends (0), as ending them earlier
// would leave the outcome uncertain.
func (s *Scheduler) attemptTimeout(r *request) time.Duration {
	if r.class.Idempotency != Idempotent || r.objectiveAt <= s.now {
		return 0
	}
	return r.objectiveAt - s.now
}
