package scheduler

import (
	"slices"
	"time"
)

// handleResult processes the end of an attempt. Results of attempts that are not in flight are ignored.
func (s *Scheduler) handleResult(result AttemptResult) {
	r := s.requests[result.ID]
	if r == nil || r.node == nil || result.Attempt != r.attempts-1 {
		return
	}
	n := r.node
	s.endAttempt(r)
	if result.Code == OK {
		s.creditServed(n, r)
	}
	s.recordNodeResult(n, r, result)
	s.recordEffects(n, r, result)
	switch {
	case r.answered || result.RequestDone:
		s.finish(r)
	case s.isRetryable(r, result.Code):
		s.requeue(r)
	default:
		s.finishUnserved(r, s.expectedLatency(n, r))
	}
}

// endAttempt removes a request's attempt from those in flight.
func (s *Scheduler) endAttempt(r *request) {
	n := r.node
	r.node = nil
	s.inFlight--
	if !r.slotsReleased {
		n.slotsUsed -= r.slotCost
	}
	n.inFlight = slices.DeleteFunc(n.inFlight, func(other *request) bool { return other == r })
}

// recordEffects records from a result whether the request may have run, whether it may still be running, and
// the units served for its volume through other instances.
func (s *Scheduler) recordEffects(n *node, r *request, result AttemptResult) {
	if result.Code.MayHaveRun() && r.mayHaveRunOn == nil {
		r.mayHaveRunOn, r.mayHaveRunSince = n, r.sentAt
	}
	if result.Code == TimedOut || result.Code == Reset || result.Code == Cancelled {
		r.uncertainAt = s.now
	}
	if result.ElsewhereUnits > 0 {
		s.chargeElsewhere(r, result.ElsewhereUnits)
	}
}

// requeue queues a request for its next attempt. The shard of a new object is picked again if a second copy
// of the object is harmless or cannot exist.
func (s *Scheduler) requeue(r *request) {
	if r.Cell < 0 && (r.mayHaveRunOn == nil || r.class.Idempotency == Idempotent) {
		r.shard = s.placeNewObject(r)
	}
	s.backlog.enqueue(r)
}

// shedLate ends the queued requests that would miss their objective even if they were sent now, as they would
// only take slots from requests that can still meet theirs, and those that may no longer be retried.
func (s *Scheduler) shedLate(queue *shardQueue) {
	n := queue.node
	for _, r := range slices.Clone(queue.requests) {
		wait := time.Duration(0)
		if n != nil {
			wait = s.expectedLatency(n, r)
		}
		if s.now+wait > r.objectiveAt || (r.attempts > 0 && n != nil && !s.mayRetry(r, n)) {
			s.backlog.dequeue(r)
			s.finishUnserved(r, wait)
		}
	}
}

// finishUnserved ends a request that is not served: with Reject if a retry by the client is safe, else with
// Fail.
func (s *Scheduler) finishUnserved(r *request, retryAfter time.Duration) {
	if r.mayHaveRunOn != nil && !r.class.RetrySafe() {
		s.emit(Fail{ID: r.ID})
		s.finish(r)
		return
	}
	if !s.settings.RetryAfter {
		retryAfter = 0
	}
	s.emit(Reject{ID: r.ID, RetryAfter: min(retryAfter, s.settings.MaxRetryAfter)})
	s.finish(r)
}

// finish closes a request that is answered or withdrawn. While an attempt is in flight, the request remains
// in the table and keeps its place in its key's order.
func (s *Scheduler) finish(r *request) {
	s.backlog.dequeue(r)
	if r.attempts == 0 {
		r.refundTags()
	}
	r.answered = true
	if r.node != nil {
		return
	}
	delete(s.requests, r.ID)
	r.volume.openRequests--
	s.keys.remove(r, s.settings.OrderingPause, s.now)
}
