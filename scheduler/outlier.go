package scheduler

import "time"

const (
	initialBackoff      = 50 * time.Millisecond // mean backoff after the first failure
	maxBackoff          = time.Second           // maximum mean backoff
	maxBackoffDoublings = 10                    // keeps the shift in range after many failures
	// lossDeviations is the number of mean deviations above the mean latency beyond which an attempt counts
	// as lost.
	lossDeviations = 8
)

// isUsable reports whether requests may be sent to a node: it must be listed as ready, and after failures it
// gets one request at a time, the first after a backoff.
func (s *Scheduler) isUsable(n *node) bool {
	return n.Status == Ready && (n.failures == 0 || (n.slotsUsed == 0 && s.now >= n.retryAt))
}

// lossTimeout returns how long an attempt may be in flight before it counts as lost.
func (n *node) lossTimeout() time.Duration { return n.latency + lossDeviations*n.deviation }

// recordNodeResult updates the failures and the latency of a node from the result of an attempt.
func (s *Scheduler) recordNodeResult(n *node, r *request, result AttemptResult) {
	lost := s.isLost(n, r, result)
	silent := lost && result.Latency > min(n.lossTimeout(), s.objectives.shortest/2)
	s.detectOutlier(n, r, result.Code, silent)
	switch {
	case r.leader != nil: // an operation is recorded once, with its leader
	case lost:
		s.recordLoss(n, result.Latency)
	case result.Code == OK && !s.review.stalled:
		s.recordLatency(n, r, result.Latency)
	}
}

// isLost reports whether a timeout indicates a fault of the node. It does so only if the node has answered
// nothing since the attempt was sent and the wait was long enough: otherwise only that attempt's answer is
// missing, or the client's wait was short. A timeout while this process stalled indicates nothing.
func (s *Scheduler) isLost(n *node, r *request, result AttemptResult) bool {
	return result.Code == TimedOut && !s.review.stalled && n.lastAnswerAt <= r.sentAt &&
		result.Latency > min(n.latency, s.objectives.shortest/2)
}

// detectOutlier counts a node's consecutive failures. An error is an answer and resets the count. Answers of
// a healthy node may be lost with a connection: one reset does not count as a failure, further ones without
// an answer in between do. A timeout counts if silent is true: it indicates a fault of the node and was
// longer than the loss timeout or half of the shortest objective.
func (s *Scheduler) detectOutlier(n *node, r *request, code ResultCode, silent bool) {
	switch {
	case code == OK || code == Error:
		n.failures, n.consecutiveResets, n.lastAnswerAt = 0, 0, s.now
		n.observeError(code == Error)
	case r.leader != nil: // an operation fails once, with its leader
	case code == Reset && n.consecutiveResets == 0:
		n.consecutiveResets++
	case code == ConnectFailed || code == Reset || code == Overloaded || silent:
		n.failures++
		n.retryAt = s.now + s.backoff(n)
	}
}

func (n *node) observeError(isError bool) {
	n.errorRate *= 1 - latencyGain
	if isError {
		n.errorRate += latencyGain
	}
}

// backoff returns how long no request is sent to a failing node: it grows fourfold with each failure, up to a
// mean of maxBackoff, and is randomized so that instances do not retry in step.
func (s *Scheduler) backoff(n *node) time.Duration {
	mean := min(maxBackoff, initialBackoff<<min(2*(n.failures-1), maxBackoffDoublings))
	return mean/2 + time.Duration(s.random.Int64N(int64(mean)))
}
