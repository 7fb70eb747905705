package daemon

import (
	"context"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"landingpaddle/checkpoint"
	"landingpaddle/endpoints"
	"landingpaddle/extent"
	"landingpaddle/internal/registry"
	"landingpaddle/scheduler"
)

// clockStart is the time of the scheduler's clock when an instance starts. It keeps the start times of
// recently started nodes above 0, as a start time of 0 means long ago.
const clockStart = time.Hour

// EventLoopConfig configures an event loop, independently of the protocols of its drivers.
type EventLoopConfig struct {
	Seed     uint64
	Settings scheduler.Settings

	// BatchInterval is the minimum time from the end of one batch to the start of the next.
	BatchInterval time.Duration
	// ResponseMargin is the part of a client's time-out that is reserved for the return latency.
	ResponseMargin time.Duration
	// AnswerSlack is the time from a call's expiry until the loop fails it if the scheduler has not answered.
	AnswerSlack time.Duration
	// ClockSkew is the largest difference between the clocks of a node and of the instance.
	ClockSkew time.Duration
	// ShutdownTimeout is how long open calls may still be served after Stop.
	ShutdownTimeout time.Duration

	// Extents are the settings of ranged requests; nil: there are none.
	Extents *extent.Settings

	// Snapshot is the file with the endpoint list of the previous incarnation.
	Snapshot registry.SnapshotFile
	// InitialList is the endpoint list at the start, used if Snapshot has no path.
	InitialList endpoints.Snapshot
	// TrustInitialList states that the registry's updates build on the initial list, so that changes can be
	// applied to it before a full list is received.
	TrustInitialList bool

	// StatisticsFile is the path of the checkpoint of statistics; "": none is kept.
	StatisticsFile string
	// Fingerprint holds the settings on which the meaning of statistics depends.
	Fingerprint checkpoint.Fingerprint

	// NodeName returns the name of a node in logs; nil: its address.
	NodeName func(scheduler.Server) string
	// Log may be nil: nothing is logged.
	Log   *slog.Logger
	Hooks Hooks
}

// EventLoop is an instance without its drivers. Its methods report events to the loop and may be called from
// any goroutine; Run runs the loop.
type EventLoop struct {
	cfg               EventLoopConfig
	log               *slog.Logger
	startedAt         time.Time
	inbox             *inbox
	snapshots         chan endpoints.Snapshot     // the latest one not saved yet, if any
	listVersion       atomic.Pointer[listVersion] // never nil
	openCalls         atomic.Int64                // calls admitted and not answered
	notifiedEndpoints notifiedEndpoints
	ready             chan struct{}
	stopping          chan struct{}
	stopOnce          sync.Once

	// Stats may be read at any time.
	Stats Stats
}

// listVersion is the version of an endpoint list; the zero value means none.
type listVersion struct{ epoch, version uint64 }

// NewEventLoop returns an event loop; Run starts it.
func NewEventLoop(cfg EventLoopConfig) *EventLoop {
	e := &EventLoop{
		cfg:       cfg,
		log:       cfg.Log,
		startedAt: time.Now(),
		inbox:     newInbox(),
		snapshots: make(chan endpoints.Snapshot, 1),
		ready:     make(chan struct{}),
		stopping:  make(chan struct{}),
	}
	if e.log == nil {
		e.log = slog.New(slog.DiscardHandler)
	}
	if e.cfg.NodeName == nil {
		e.cfg.NodeName = serverAddress
	}
	e.listVersion.Store(&listVersion{})
	return e
}

// Run processes events until the graceful shutdown begun by Stop is complete, and then returns nil, or until
// ctx ends, which acts as a kill: open calls get no answer, and Run returns the context's cause.
func (e *EventLoop) Run(ctx context.Context, drivers Drivers) error {
	return newLoop(e, drivers).run(ctx)
}

// Ready returns a channel that is closed once the scheduler has received the initial endpoint list.
func (e *EventLoop) Ready() <-chan struct{} { return e.ready }

// IsReady reports whether the scheduler has received the initial endpoint list.
func (e *EventLoop) IsReady() bool { return isClosed(e.ready) }

// Stop begins the graceful shutdown: no new calls are admitted, the loop answers all open ones within the
// shutdown timeout, then Run returns.
func (e *EventLoop) Stop() { e.stopOnce.Do(func() { close(e.stopping) }) }

// Stopping reports whether Stop was called, after which no new calls are admitted.
func (e *EventLoop) Stopping() bool { return isClosed(e.stopping) }

func isClosed(channel <-chan struct{}) bool {
	select {
	case <-channel:
		return true
	default:
		return false
	}
}

// Now returns the time of the scheduler's clock.
func (e *EventLoop) Now() time.Duration { return clockStart + time.Since(e.startedAt) }

// ArrivalTime returns a time of arrival as a time of the scheduler's clock. The zero time stands for now: the
// connection does not tell when its data arrived.
func (e *EventLoop) ArrivalTime(at time.Time) time.Duration {
	if at.IsZero() {
		return e.Now()
	}
	return clockStart + at.Sub(e.startedAt)
}

// AtTime returns a time of the scheduler's clock as a time with a monotonic reading.
func (e *EventLoop) AtTime(at time.Duration) time.Time { return e.startedAt.Add(at - clockStart) }

// clock returns the times of the scheduler's clock and of the wall clock.
func (e *EventLoop) clock() endpoints.Clock {
	return endpoints.Clock{Now: e.Now(), Wall: time.Now().UnixNano()}
}

// ListVersion returns the version of the current endpoint list; zeros if no changes can be applied to it.
func (e *EventLoop) ListVersion() (epoch, version uint64) {
	current := e.listVersion.Load()
	return current.epoch, current.version
}
