package daemon

import (
	"landingpaddle/internal/proto"
	"landingpaddle/scheduler"
)

// Reasons of rejections and failures: the same words in answers and logs. docs/ops/running.md says what to do
// about each.
const (
	// ReasonBadRequest: a field is out of the site's bounds.
	ReasonBadRequest = "bad-request"
	// ReasonBadRange: the range is empty, overflows, or is out of the site's bounds.
	ReasonBadRange = "bad-range"
	// ReasonOverload: more calls are open than the instance takes.
	ReasonOverload = "overload"
	// ReasonStopping: the instance shuts down.
	ReasonStopping = "stopping"
	// ReasonNotInTime: ended before any attempt, as it could not be served in time.
	ReasonNotInTime = "not-in-time"
	// ReasonNodeOverloaded: the node took no more when the last attempt came.
	ReasonNodeOverloaded = "node-full"
	// ReasonNodeTimeout: the last attempt got no answer in time.
	ReasonNodeTimeout = "node-timeout"
	// ReasonNodeUnreachable: nothing of the last attempt was sent.
	ReasonNodeUnreachable = "node-unreachable"
	// ReasonNodeReset: the connection broke while the last attempt was in flight.
	ReasonNodeReset = "node-reset"
	// ReasonNodeError: the node failed the last attempt.
	ReasonNodeError = "node-error"
	// ReasonCancelled: the last attempt was cancelled.
	ReasonCancelled = "cancelled"
	// ReasonNotApplicable: the node does not hold the cell, or the last attempt made no sense any more.
	ReasonNotApplicable = "not-there"
	// ReasonClientGone: the client is gone or has cancelled.
	ReasonClientGone = "client-gone"
	// ReasonOverdue: the scheduler gave no answer in time, which is a fault of the program.
	ReasonOverdue = "overdue"
	// ReasonTooLarge: the answer is larger than the client's connection takes.
	ReasonTooLarge = "answer-too-large"
)

// attemptReason is the reason word for the end of an attempt.
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

// answerEvent is the log message of an answer other than success.
func answerEvent(code proto.Code) string {
	if code == proto.Rejected {
		return "request rejected"
	}
	return "request failed"
}
