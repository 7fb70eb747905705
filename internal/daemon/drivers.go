package daemon

import (
	"time"

	"landingpaddle/internal/proto"
	"landingpaddle/scheduler"
)

// Decider decides as the scheduler does; scheduler.Scheduler is one. The loop calls it from its one
// goroutine.
type Decider interface {
	Handle(now time.Duration, event scheduler.Event)
	Decide(now time.Duration) []scheduler.Action
}

// Drivers carry the scheduler's actions out. The native protocol is one implementation, the platform's
// another. The loop calls them from its one goroutine; none of them may block.
type Drivers struct {
	Upstream  Upstream
	Endpoints EndpointSource
	Peers     PeerSender // nil: no messages between instances
}

// Responder waits for the answer of a call.
type Responder interface {
	// Respond gives the call its one final answer. The loop calls it once.
	Respond(answer proto.Answer, payload []byte)
}

// Upstream carries attempts out. For each operation sent it calls EventLoop.OperationEnded once, unless the
// operation was cancelled before.
type Upstream interface {
	Send(operation *Operation)
	// Cancel ends an operation that nobody waits for any more.
	Cancel(operation *Operation)
	// CancelMember ends one member of an operation that others still wait for. The place counts from 0.
	CancelMember(operation *Operation, place int)
	// CheckHealth asks a node whether it serves. EventLoop.ReportHealthCheck takes the result.
	CheckHealth(server scheduler.Server)
	// CloseIdle closes the connections to a node on which nothing is in flight.
	CloseIdle(server scheduler.Server)
}

// EndpointSource watches and fetches the endpoint list. EventLoop.ReceiveUpdate takes the updates,
// EventLoop.ReportListFailure the failures.
type EndpointSource interface {
	Watch(on bool)
	Fetch()
	// FetchFull fetches the full list, after a change that could not be applied.
	FetchFull()
}

// PeerSender sends messages to other instances. Messages may be lost.
type PeerSender interface {
	Send(to uint32, body []byte) error
}

// Hooks let a testbed stand between the parts of an instance. All are nil in service.
type Hooks struct {
	// Gate is passed before all reads, writes and batches.
	Gate func()
	// Decider returns what decides in place of the scheduler that it is given.
	Decider func(settings scheduler.Settings, host Decider) Decider
	// OnAnswer is called after each final answer to a client of the native protocol.
	OnAnswer func(conn *proto.Conn, stream uint64, answer proto.Answer, payload []byte)
}
