package scheduler

import "time"

// Action is an output of the scheduler that its driver carries out: one of the types below. At present the
// scheduler returns only Send, Reject, Fail, SetTimer, WatchEndpoints and, if enabled, CollectArrivals.
type Action interface{ isAction() }

// Send starts an attempt. The attempts of a request are numbered from 0 in send order.
type Send struct {
	ID          uint32
	Server      Server
	Timeout     time.Duration // of the attempt; 0: until the request's ExpiresAt
	StartBefore time.Duration // clock value after which the attempt must not begin; 0: no limit
	Leader      uint32        // ID of the request whose operation the attempt joins; 0: it joins none
}

// Reject is a final answer that guarantees that a retry is safe.
type Reject struct {
	ID         uint32
	RetryAfter time.Duration // how long the client should wait before a retry; 0: not stated
}

// Fail is a final answer without that guarantee: the request may have taken effect.
type Fail struct{ ID uint32 }

// Cancel cancels an attempt.
type Cancel struct {
	ID      uint32
	Attempt int
}

// SetTimer requests a TimerFired with its token after a delay.
type SetTimer struct {
	Token uint32
	After time.Duration
}

// CheckHealth requests a HealthCheckResult of a node.
type CheckHealth struct{ Server Server }

// CloseIdle closes the idle connections to a node.
type CloseIdle struct{ Server Server }

// AllPeers as SendToPeer.To addresses every other instance.
const AllPeers = ^uint32(0)

// SendToPeer sends a message to one instance or to all.
type SendToPeer struct {
	To   uint32
	Body []byte
}

// WriteLog writes a line to the log of the instance.
type WriteLog struct{ Text string }

// WatchEndpoints opens (On) or closes the watch of the endpoint list. An open watch, and calls that still
// wait for a response, end only once a newer call is established.
type WatchEndpoints struct {
	On              bool
	ResponseTimeout time.Duration // within which the call must be established, else it is given up
}

// FetchEndpoints requests the full endpoint list once.
type FetchEndpoints struct{}

// CollectArrivals requests that all requests that arrived before a clock value be read and passed to the
// scheduler. ArrivalsCollected must follow once that is done, or after a timeout; time in which the process
// did not run does not count.
type CollectArrivals struct {
	Before       time.Duration
	StallTimeout time.Duration // after which the collection is given up if none of the requests was read
	Timeout      time.Duration // after which it is given up in any case
}

func (Send) isAction()            {}
func (Reject) isAction()          {}
func (Fail) isAction()            {}
func (Cancel) isAction()          {}
func (SetTimer) isAction()        {}
func (CheckHealth) isAction()     {}
func (CloseIdle) isAction()       {}
func (SendToPeer) isAction()      {}
func (WriteLog) isAction()        {}
func (WatchEndpoints) isAction()  {}
func (FetchEndpoints) isAction()  {}
func (CollectArrivals) isAction() {}
