package daemon

import (
	"landingpaddle/internal/proto"
	"landingpaddle/scheduler"
)

// Reasons of rejections and failures, the same in answers and logs. docs/ops/running.md describes what an
// operator can do about each.
const (
	// ReasonBadRequest: a field is out of the site's bounds, the request is ranged and the site has no
	// extents, or its body may be longer than its stated length.
	ReasonBadRequest = "bad-request"
	// ReasonBadRange: the range is empty, overflows, exceeds the site's bounds or does not match the payload.
	ReasonBadRange = "bad-range"
	// ReasonOverload: the instance's limit of open calls is reached.
	ReasonOverload = "overload"
	// ReasonStopping: the instance is shutting down.
	ReasonStopping = "stopping"
	// ReasonNotInTime: no attempt was made, as the request could not be served in time.
	ReasonNotInTime = "not-in-time"
	// ReasonNodeOverloaded: the node rejected the last attempt, as it was overloaded or draining.
	ReasonNodeOverloaded = "node-full"
	// ReasonNodeTimeout: the last attempt received no answer in time.
	ReasonNodeTimeout = "node-timeout"
	// ReasonNodeUnreachable: nothing of the last attempt was sent.
	ReasonNodeUnreachable = "node-unreachable"
	// ReasonNodeReset: the connection broke while the last attempt was in flight.
	ReasonNodeReset = "node-reset"
	// ReasonNodeError: the last attempt failed at the node.
	ReasonNodeError = "node-error"
	// ReasonCancelled: the last attempt was cancelled.
	ReasonCancelled = "cancelled"
	// ReasonNotApplicable: the node does not serve the cell, or the last attempt was no longer needed.
	ReasonNotApplicable = "not-there"
	// ReasonClientGone: the client has disconnected or has cancelled the call.
	ReasonClientGone = "client-gone"
	// ReasonOverdue: the scheduler gave no answer in time, which is a bug.
	ReasonOverdue = "overdue"
	// ReasonTooLarge: the answer exceeds the limits of the client's connection.
	ReasonTooLarge = "answer-too-large"
)

// attemptReason returns the reason for an attempt that ended with a code other than OK.
func attemptReason(code scheduler.ResultCode) string {
	switch code {
	case scheduler.Overloaded:
		return ReasonNodeOverloaded
	case scheduler.TimedOut:
		return ReasonNodeTimeout
	case scheduler.ConnectFailed:
		return ReasonNodeUnreachable
	case scheduler.Reset:
		return ReasonNodeReset
	case scheduler.Error:
		return ReasonNodeError
	case scheduler.Cancelled:
		return ReasonCancelled
	case scheduler.NotApplicable:
		return ReasonNotApplicable
	}
	return ReasonNotInTime
}

// answerLogMessage returns the log message for an answer other than success.
func answerLogMessage(code proto.Code) string {
	if code == proto.Rejected {
		return "request rejected"
	}
	return "request failed"
}
