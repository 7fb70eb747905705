package scheduler

import (
	"slices"
	"time"
)

// handleResult takes in how an attempt ended. Results of attempts that are not in flight are ignored.
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
	s.learnFromResult(n, r, result)
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

// recordEffects notes what a result says of the request and its volume.
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

// requeue puts a request back for its next attempt. A new object is placed anew where a second copy of it
// does no harm or cannot come about.
func (s *Scheduler) requeue(r *request) {
	if r.Cell < 0 && (r.mayHaveRunOn == nil || r.class.Idempotency == Idempotent) {
		r.shard = s.placeNewObject(r)
	}
	s.backlog.enqueue(r)
}

// shedLate ends at once the queued requests that would miss their objective even if they were sent now, as
// they would only take slots from requests that can still be in time, and those that may not be retried any
// more.
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

// finishUnserved ends a request that is not served: by a rejection where its promise holds, else by a
// failure.
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

// finish closes a request that has its answer. While an attempt is in flight it stays known and keeps its
// key's turn.
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
