package scheduler

import "time"

// Action is an output of the scheduler that its driver carries out: one of the types below. At present the
// scheduler returns Send, Reject, Fail, SetTimer and WatchEndpoints only.
type Action interface{ isAction() }

// Send starts an attempt. Attempts of a request are numbered from 0 in the order of their sends.
type Send struct {
	ID          uint32
	Server      Server
	Timeout     time.Duration // of the attempt; 0: as long as the client waits
	StartBefore time.Duration // clock value after which the attempt must not begin; 0: no bound
	Leader      uint32        // the request whose operation the attempt joins; 0: it joins none
}

// Reject is a final answer that promises that a retry does no harm.
type Reject struct {
	ID         uint32
	RetryAfter time.Duration // how long the client should wait before a retry; 0: not stated
}

// Fail is a final answer that promises nothing.
type Fail struct{ ID uint32 }

// Cancel cancels an attempt.
type Cancel struct {
	ID      uint32
	Attempt int
}

// SetTimer asks for a TimerFired after a while.
type SetTimer struct {
	Token uint32
	After time.Duration
}

// CheckHealth asks for a HealthCheckResult of a node.
type CheckHealth struct{ Server Server }

// CloseIdle closes idle connections to a node.
type CloseIdle struct{ Server Server }

// AllPeers as SendToPeer.To addresses every other instance.
const AllPeers = ^uint32(0)

// SendToPeer sends a message to one instance or to all.
type SendToPeer struct {
	To   uint32
	Body []byte
}

// WriteLog writes a line for the operators.
type WriteLog struct{ Text string }

// WatchEndpoints opens or ends the standing watch of the endpoint list.
type WatchEndpoints struct{ On bool }

// FetchEndpoints asks for the full endpoint list once.
type FetchEndpoints struct{}

func (Send) isAction()           {}
func (Reject) isAction()         {}
func (Fail) isAction()           {}
func (Cancel) isAction()         {}
func (SetTimer) isAction()       {}
func (CheckHealth) isAction()    {}
func (CloseIdle) isAction()      {}
func (SendToPeer) isAction()     {}
func (WriteLog) isAction()       {}
func (WatchEndpoints) isAction() {}
func (FetchEndpoints) isAction() {}
