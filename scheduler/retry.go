package scheduler

import "time"

// retryBudget limits the attempts within a window beyond each request's first to floor + ratio * requests
// admitted within that window.
type retryBudget struct {
	enabled    bool
	floor      float64
	ratio      float64
	window     time.Duration
	admissions slidingWindow[time.Duration]
	retries    slidingWindow[time.Duration]
}

func newRetryBudget(settings Settings) retryBudget {
	return retryBudget{enabled: settings.RetryBudget, floor: settings.RetryBudgetFloor,
		ratio: settings.RetryBudgetRatio, window: settings.RetryBudgetWindow}
}

func (b *retryBudget) recordAdmission(now time.Duration) {
	if !b.enabled {
		return
	}
	b.admissions.push(now)
	b.dropOldAdmissions(now)
}

func (b *retryBudget) recordRetry(now time.Duration) {
	if b.enabled {
		b.retries.push(now)
	}
}

// allowsRetry reports whether one more retry stays within the budget. At the window's edge a retry still
// counts and an admission does not, so that the budget is kept whichever way the edge is counted.
func (b *retryBudget) allowsRetry(now time.Duration) bool {
	if !b.enabled {
		return true
	}
	b.retries.dropWhile(func(at time.Duration) bool { return at < now-b.window })
	b.dropOldAdmissions(now)
	allowed := b.floor + b.ratio*float64(len(b.admissions.values()))
	return float64(len(b.retries.values())+1) <= allowed
}

func (b *retryBudget) dropOldAdmissions(now time.Duration) {
	b.admissions.dropWhile(func(at time.Duration) bool { return at <= now-b.window })
}

// mayRetry reports whether a request may be sent again, to the given node: it must be within MaxAttempts and
// the retry budget, and a second execution must do no harm.
func (s *Scheduler) mayRetry(r *request, n *node) bool {
	if r.attempts >= s.settings.MaxAttempts || !s.retries.allowsRetry(s.now) {
		return false
	}
	if r.mayHaveRunOn == nil || r.class.Idempotency == Idempotent {
		return true
	}
	if r.class.Idempotency == NotIdempotent || s.now+timingMargin >= r.mayHaveRunSince+r.class.DedupWindow {
		return false
	}
	return r.class.deduplicates(r.mayHaveRunOn, n)
}

// deduplicates reports whether the second node ignores a duplicate of a request that has run on the first.
func (c *class) deduplicates(first, second *node) bool {
	switch c.DedupScope {
	case DedupAll:
		return true
	case DedupZone:
		return second.Zone == first.Zone
	case DedupCell:
		return second.Cell == first.Cell
	}
	return false
}

// retryDeadline returns the time after which a request that may have run must not be sent again, however late
// the connection for its next attempt is established: the end of its deduplication window, less a margin; 0:
// it cannot have run, or has no such window.
func (r *request) retryDeadline() time.Duration {
	if r.mayHaveRunOn == nil || r.class.Idempotency != IdempotentByKey {
		return 0
	}
	return r.mayHaveRunSince + r.class.DedupWindow - timingMargin
}

// isRetryable reports whether a request is queued for another attempt after one that ended with this code.
func (s *Scheduler) isRetryable(r *request, code ResultCode) bool {
	switch code {
	case OK, NotApplicable, Cancelled:
		return false
	}
	harmless := r.mayHaveRunOn == nil || r.class.Idempotency != NotIdempotent
	return harmless && s.now < r.objectiveAt && r.attempts < s.settings.MaxAttempts
}
