package daemon

import (
	"landingpaddle/internal/proto"
	"landingpaddle/scheduler"
)

// Reasons of refusals and failures: the same words in answers and logs. docs/ops/running.md says what to do.
const (
	ReasonBadRequest      = "bad-request"  // a field is out of the site's bounds
	ReasonBadRange        = "bad-range"    // the range is empty, overflows, or is over the site's bounds
	ReasonOverload        = "overload"     // more requests are open than the instance takes
	ReasonStopping        = "stopping"     // the instance stops
	ReasonNotInTime       = "not-in-time"  // given up before any attempt: it could not be served in time
	ReasonNodeOverloaded  = "node-full"    // the last attempt was turned away
	ReasonNodeTimeout     = "node-timeout" // the last attempt got no answer in time
	ReasonNodeUnreachable = "node-unreachable"
	ReasonNodeReset       = "node-reset" // the connection broke while the last attempt was out
	ReasonNodeError       = "node-error"
	ReasonCancelled       = "cancelled"
	ReasonNotApplicable   = "not-there" // the node does not hold the cell
	ReasonClientGone      = "client-gone"
	// the module gave no answer in time: a fault of ours, logged as an error
	ReasonOverdue  = "overdue"
	ReasonTooLarge = "answer-too-large"
)

// reasonOf is the word for an attempt's end.
func reasonOf(c scheduler.ResultCode) string {
	switch c {
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

func codeWord(c proto.Code) string {
	switch c {
	case proto.OK:
		return "served"
	case proto.Rejected:
		return "refused"
	}
	return "failed"
}
