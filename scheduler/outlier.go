package scheduler

import "time"

const (
	initialBackoff      = 50 * time.Millisecond // before a failed node is tried again
	maxBackoff          = time.Second
	maxBackoffDoublings = 10
	// lossDeviations is how many mean deviations over the mean latency an attempt counts as lost.
	lossDeviations = 8
)

// isUsable reports whether a node may be sent to: it is listed as ready, and after failures it gets one
// request at a time.
func (s *Scheduler) isUsable(n *node) bool {
	return n.Status == Ready && (n.failures == 0 || (n.slotsUsed == 0 && s.now >= n.retryAt))
}

// lossTimeout is how long an attempt may be in flight before it is taken for lost.
func (n *node) lossTimeout() time.Duration { return n.latency + lossDeviations*n.deviation }

// learnFromResult learns from the end of an attempt how its node is doing.
func (s *Scheduler) learnFromResult(n *node, r *request, result AttemptResult) {
	lost := s.isLost(n, r, result)
	silent := lost && result.Latency > min(n.lossTimeout(), s.objectives.shortest/2)
	s.detectOutlier(n, r, result.Code, silent)
	switch {
	case r.leader != nil: // an operation is learned from once, by its leader
	case lost:
		s.learnLoss(n, result.Latency)
	case result.Code == OK && !s.review.stalled:
		s.learnLatency(n, r, result.Latency)
	}
}

// isLost reports whether a timeout speaks of the node. It does so only if nothing that the node answered is
// newer: else that one attempt got lost, or the client's wait was short. Of a time in which this process
// stalled it says nothing.
func (s *Scheduler) isLost(n *node, r *request, result AttemptResult) bool {
	return result.Code == TimedOut && !s.review.stalled && n.lastAnswerAt <= r.sentAt &&
		result.Latency > min(n.latency, s.objectives.shortest/2)
}

// detectOutlier counts a node's failures in a row. An error is an answer and ends the row. Of nodes that do
// their work some answers may still get lost with a connection: one reset is no failure, the second in a row
// is. A timeout counts if silent says so.
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

// backoff is how long a failing node is left alone: it grows fourfold with each failure, and is spread at
// random so that instances do not try in step.
func (s *Scheduler) backoff(n *node) time.Duration {
	mean := min(maxBackoff, initialBackoff<<min(2*(n.failures-1), maxBackoffDoublings))
	return mean/2 + time.Duration(s.random.Int64N(int64(mean)))
}
