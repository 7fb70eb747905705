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

// clockStart is the scheduler's clock at an instance's start. It keeps times before that, such as the starts
// of nodes, positive.
const clockStart = time.Hour

// EventLoopConfig is what the loop needs to know, whatever protocols its drivers speak.
type EventLoopConfig struct {
	Seed     uint64
	Settings scheduler.Settings

	// BatchInterval is the least time from one batch's end to the next one's start.
	BatchInterval time.Duration
	// ResponseMargin is the part of a client's time-out that is kept for the way of the answer.
	ResponseMargin time.Duration
	// AnswerSlack is how long after a call's deadline the loop itself fails it.
	AnswerSlack time.Duration
	// ClockSkew is how far nodes' clocks may be off.
	ClockSkew time.Duration
	// ShutdownTimeout is how long after Stop open calls may still be served.
	ShutdownTimeout time.Duration

	// Extents are the settings of ranged requests; nil: there are none.
	Extents *extent.Settings

	// Snapshot is the file of the endpoint list from before a restart.
	Snapshot registry.SnapshotFile
	// InitialList is the endpoint list of the start, used where Snapshot has no path.
	InitialList endpoints.Snapshot
	// TrustInitialList says that the registry is the same as before, so that changes to the list of the start
	// apply.
	TrustInitialList bool

	// StatisticsFile is the checkpoint of statistics; "": none is kept.
	StatisticsFile string
	// Fingerprint is the settings on which the meaning of statistics depends.
	Fingerprint checkpoint.Fingerprint

	// NodeName is how logs call a node; nil: by its address.
	NodeName func(scheduler.Server) string
	// Log may be nil: nothing is logged.
	Log   *slog.Logger
	Hooks Hooks
}

// EventLoop is an instance without its drivers. Its methods hand the loop what happens and may be called from
// any goroutine; Run is the loop.
type EventLoop struct {
	cfg               EventLoopConfig
	log               *slog.Logger
	startedAt         time.Time
	inbox             *inbox
	snapshots         chan endpoints.Snapshot     // the latest that is not saved yet, if any
	listVersion       atomic.Pointer[listVersion] // never nil
	openCalls         atomic.Int64                // admitted and not answered
	notifiedEndpoints notifiedEndpoints
	ready             chan struct{}
	stopping          chan struct{}
	stopOnce          sync.Once

	// Stats may be read at any time.
	Stats Stats
}

// listVersion is the version of an endpoint list; the zero value stands for none.
type listVersion struct{ epoch, version uint64 }

// NewEventLoop prepares an event loop; Run makes it work.
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

// Run works until Stop has been carried out, which returns nil, or until ctx ends, which is a kill: open
// calls get no answer, and Run returns the context's cause.
func (e *EventLoop) Run(ctx context.Context, drivers Drivers) error {
	return newLoop(e, drivers).run(ctx)
}

// Ready returns a channel that is closed once the scheduler has the endpoint list of the start.
func (e *EventLoop) Ready() <-chan struct{} { return e.ready }

// IsReady reports whether the scheduler has the endpoint list of the start.
func (e *EventLoop) IsReady() bool { return isClosed(e.ready) }

// Stop begins the graceful shutdown: the loop takes no new calls, answers all open ones within the shutdown
// timeout, then Run returns.
func (e *EventLoop) Stop() { e.stopOnce.Do(func() { close(e.stopping) }) }

// Stopping reports whether Stop was called: no new calls are taken any more.
func (e *EventLoop) Stopping() bool { return isClosed(e.stopping) }

func isClosed(channel <-chan struct{}) bool {
	select {
	case <-channel:
		return true
	default:
		return false
	}
}

// Now is the scheduler's clock.
func (e *EventLoop) Now() time.Duration { return clockStart + time.Since(e.startedAt) }

// clock is the scheduler's clock together with the wall clock.
func (e *EventLoop) clock() endpoints.Clock {
	return endpoints.Clock{Now: e.Now(), Wall: time.Now().UnixNano()}
}

// ListVersion returns the version of the current endpoint list; 0 if none can be followed by changes.
func (e *EventLoop) ListVersion() (epoch, version uint64) {
	current := e.listVersion.Load()
	return current.epoch, current.version
}
