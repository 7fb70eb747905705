package scheduler

import (
	"slices"
	"time"
)

// dispatchVerdict is what becomes of a queued request when its shard is dispatched.
type dispatchVerdict uint8

const (
	dispatchNow       dispatchVerdict = iota
	skipRequest                       // a guard holds it back; others may go
	holdForSlots                      // it does not fit the slot limit; smaller ones may be backfilled
	shedRequest                       // it cannot be answered in time
	backfillExhausted                 // nothing more may go past the request that waits for slots
)

// dispatch sends a shard's requests in tag order while they fit the slot limit of its node. When the first
// that may go does not fit, smaller ones may, until the slot cost of those promoted past it would exceed its
// own.
func (s *Scheduler) dispatch(queue *shardQueue) {
	n := queue.node
	if n == nil {
		return
	}
	n.releaseLostSlots(s.now)
	var head *request // the first that waits for slots
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
		case shedRequest: // it leaves the queue, so i is now the next request's
			s.finishUnserved(r, 0)
		case backfillExhausted:
			return
		case dispatchNow:
			if head != nil {
				head.backfilledCost += r.slotCost
			}
			i = s.dispatchAt(queue, i)
			if head != nil && !head.queued {
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

// dispatchAt sends the request at a place in the queue, with what may join it as one operation, and returns
// the place of the request that follows it.
func (s *Scheduler) dispatchAt(queue *shardQueue, place int) int {
	r, n := queue.requests[place], queue.node
	s.backlog.dequeue(r)
	s.sendAttempt(r, n, nil)
	if s.batcher == nil || r.attempts > 1 {
		return place
	}
	s.mergeOperation(r, n)
	place, _ = slices.BinarySearchFunc(queue.requests, r, compareTags)
	return place
}

// mayDispatch checks what concerns one request alone: its key's turn, its retries and its volume's quota.
// With a leader given, the request is to be a member of its operation.
func (s *Scheduler) mayDispatch(r *request, n *node, leader *request) bool {
	if !s.keys.isTurn(r, leader, s.now) {
		return false
	}
	if r.attempts > 0 && !s.mayRetry(r, n) {
		return false
	}
	return r.quotaCharged || r.volume.plan.Limit <= 0 || s.quotaRemaining(r.volume) >= r.Units
}

// sendAttempt starts an attempt. The virtual time advances to the start tag of what is dispatched. A member
// of an operation, which has a leader, uses no slots of its own.
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

// attemptTimeout bounds an attempt. That of an idempotent request ends with the latency objective: a later
// answer is worth little, and a node that is busy with requests for which nobody waits may never recover.
// Other attempts may take as long as the client waits (0), as ending them would leave the outcome uncertain.
func (s *Scheduler) attemptTimeout(r *request) time.Duration {
	if r.class.Idempotency != Idempotent || r.objectiveAt <= s.now {
		return 0
	}
	return r.objectiveAt - s.now
}
