package daemon

import (
	"time"

	"landingpaddle/internal/proto"
	"landingpaddle/scheduler"
)

// Decider receives events and returns actions, as scheduler.Scheduler does. The loop calls it from a single
// goroutine.
type Decider interface {
	Handle(now time.Duration, event scheduler.Event)
	Decide(now time.Duration) []scheduler.Action
}

// Drivers execute the scheduler's actions. There are two implementations: that of the native protocol, which
// Instance uses, and that of package platform. The loop calls them from a single goroutine; none of them may
// block.
type Drivers struct {
	Upstream  Upstream
	Endpoints EndpointSource
	Arrivals  ArrivalCollector // nil: calls are submitted in the order of their arrival
	Peers     PeerSender       // nil: no messages between instances
}

// Responder receives the answer to a call.
type Responder interface {
	// Respond gives the call its one final answer. The loop calls it once.
	Respond(answer proto.Answer, payload []byte)
}

// Upstream sends operations to nodes. For each one it calls EventLoop.OperationEnded once, unless the
// operation was cancelled before.
type Upstream interface {
	Send(operation *Operation)
	// Cancel ends an operation none of whose members waits any more.
	Cancel(operation *Operation)
	// CancelMember ends one member of an operation while other members still wait. The index counts from 0.
	CancelMember(operation *Operation, index int)
	// HasUnreadAnswer reports whether something has arrived on an operation's connection that may be its
	// answer and was not passed to EventLoop.OperationEnded yet.
	HasUnreadAnswer(operation *Operation) bool
	// CheckHealth sends a health check to a node. EventLoop.ReportHealthCheck receives the result.
	CheckHealth(server scheduler.Server)
	// CloseIdle closes the connections to a node on which nothing is in flight.
	CloseIdle(server scheduler.Server)
}

// EndpointSource watches and fetches the endpoint list. EventLoop.ReceiveUpdate receives the updates,
// EventLoop.ReportListFailure the failures.
type EndpointSource interface {
	// Watch opens the watch, or ends it.
	Watch(call scheduler.WatchEndpoints)
	// Fetch fetches the changes since EventLoop.ListVersion, or the full list.
	Fetch()
	// FetchFull fetches the full list, after a change that could not be applied.
	FetchFull()
}

// ArrivalCollector makes sure that requests that have arrived are submitted, whichever goroutine reads them.
type ArrivalCollector interface {
	// Collect reports whether every request that arrived before the time that the action states has been
	// submitted or rejected. If not, it calls EventLoop.ReportArrivalsCollected once that is so, or after one
	// of the action's timeouts. A request behind another one of the same connection that is not answered yet
	// does not count.
	Collect(action scheduler.CollectArrivals) (isComplete bool)
}

// PeerSender sends messages to other instances. Messages may be lost.
type PeerSender interface {
	Send(to uint32, body []byte) error
}

// Hooks let a testbed intercept the parts of an instance. All are nil in production.
type Hooks struct {
	// Gate is called before each read, write and batch, and may block.
	Gate func()
	// Decider returns the replacement of the instance's scheduler, which is passed as original.
	Decider func(settings scheduler.Settings, original Decider) Decider
	// OnAnswer is called after each final answer to a client of the native protocol.
	OnAnswer func(conn *proto.Conn, stream uint64, answer proto.Answer, payload []byte)
}
