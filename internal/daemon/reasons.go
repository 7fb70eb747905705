package daemon

import (
	"landingpaddle/internal/proto"
	"landingpaddle/scheduler"
)

// Reasons of refusals and failures: the same words in answers and logs. docs/ops/running.md says what to do.
const (
	ReasonBad         = "bad-request"  // a field is out of the site's bounds
	ReasonRange       = "bad-range"    // the range is empty, overflows, or is over the site's bounds
	ReasonOverload    = "overload"     // more requests are open than the instance takes
	ReasonStopping    = "stopping"     // the instance stops
	ReasonHeld        = "not-in-time"  // given up before any attempt: it could not be served in time
	ReasonFull        = "node-full"    // the last attempt was turned away
	ReasonTimeout     = "node-timeout" // the last attempt got no answer in time
	ReasonUnreachable = "node-unreachable"
	ReasonReset       = "node-reset" // the connection broke while the last attempt was out
	ReasonError       = "node-error"
	ReasonCancelled   = "cancelled"
	ReasonMoot        = "not-there" // the node does not hold the cell
	ReasonClientGone  = "client-gone"
	ReasonOverdue     = "overdue" // the module gave no answer in time: a fault of ours, logged as an error
	ReasonTooLarge    = "answer-too-large"
)

// reasonOf is the word for an attempt's end.
func reasonOf(c scheduler.ResultCode) string {
	switch c {
	case scheduler.Overloaded:
		return ReasonFull
	case scheduler.TimedOut:
		return ReasonTimeout
	case scheduler.ConnectFailed:
		return ReasonUnreachable
	case scheduler.Reset:
		return ReasonReset
	case scheduler.Error:
		return ReasonError
	case scheduler.Cancelled:
		return ReasonCancelled
	case scheduler.NotApplicable:
		return ReasonMoot
	}
	return ReasonHeld
}

func codeWord(c proto.Code) string {
	switch c {
	case proto.OK:
		return "served"
	case proto.Refused:
		return "refused"
	}
	return "failed"
}
