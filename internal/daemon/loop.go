package daemon

import (
	"context"
	"time"

	"landingpaddle/checkpoint"
	"landingpaddle/endpoints"
	"landingpaddle/extent"
	"landingpaddle/scheduler"
)

const (
	// counterLogInterval is the minimum time between two log messages with the counters. They are logged
	// after a batch.
	counterLogInterval = time.Minute
	// maxIdleWait is the longest wait of the loop when no timer is set.
	maxIdleWait = time.Hour
)

// loop is the state of a running EventLoop: the scheduler and all requests. The goroutine of Run owns it and
// never blocks on a socket.
type loop struct {
	shared           *EventLoop // the part that other goroutines access too
	drivers          Drivers
	decider          Decider // the scheduler, or its replacement by Hooks.Decider
	scheduler        *scheduler.Scheduler
	settings         scheduler.Settings
	savedStatistics  *checkpoint.Record // of the previous incarnation; nil: none to restore
	planner          *extent.Planner    // nil: no ranged requests
	view             *endpoints.View
	timers           timers
	requests         map[uint32]*request
	lastRequestID    uint32
	lastRangedID     uint64                        // planner's ID of the last ranged call
	undispatched     []*Operation                  // of this batch, not passed to the upstream yet
	now              time.Duration                 // start of this batch
	eventsPending    bool                          // the scheduler has received events since the last Decide
	collected        []scheduler.ArrivalsCollected // collections of this batch that were complete at once
	spareMessages    []message                     // of the previous batch; reused
	lastBatchEnd     time.Duration
	countersLoggedAt time.Duration // time of the last log of the counters
}

func newLoop(shared *EventLoop, drivers Drivers) *loop {
	cfg := &shared.cfg
	sched := scheduler.New(cfg.Seed, cfg.Settings)
	l := &loop{
		shared:    shared,
		drivers:   drivers,
		decider:   sched,
		scheduler: sched,
		settings:  cfg.Settings,
		view:      endpoints.New(cfg.ClockSkew),
		requests:  map[uint32]*request{},
	}
	if cfg.Extents != nil {
		l.planner = extent.New(*cfg.Extents)
		sched.SetBatcher(l.planner)
	}
	if drivers.Arrivals != nil {
		sched.EnableArrivalCollection()
	}
	if cfg.Hooks.Decider != nil {
		l.decider = cfg.Hooks.Decider(cfg.Settings, sched)
	}
	return l
}

// run processes messages and timers in batches until the graceful shutdown is complete or ctx ends.
func (l *loop) run(ctx context.Context) error {
	l.restore()
	close(l.shared.ready)
	wakeup := time.NewTimer(maxIdleWait)
	defer wakeup.Stop()
	stopRequested := l.shared.stopping // nil once the stop was processed
	var shutdownTimeout <-chan time.Time
	for {
		if stopRequested == nil && len(l.requests) == 0 && l.shared.openCalls.Load() == 0 {
			return nil
		}
		l.resetWakeup(wakeup)
		select {
		case <-ctx.Done():
			return context.Cause(ctx)
		case <-stopRequested:
			stopRequested = nil
			shutdownTimeout = time.After(l.shared.cfg.ShutdownTimeout)
			l.shared.log.Info("instance stopping", keyRequestsInFlight, len(l.requests))
		case <-shutdownTimeout:
			l.failOpenCalls()
			return nil
		case <-l.shared.inbox.wake:
		case <-wakeup.C:
		}
		l.awaitBatchStart()
		l.runBatch()
	}
}

// restore passes the saved state of the previous incarnation to the scheduler and makes the first decision.
func (l *loop) restore() {
	snapshot := l.loadSnapshot()
	l.now = l.shared.Now()
	l.countersLoggedAt = l.now
	l.updateEndpoints(l.view.Restore(l.shared.clock(), snapshot))
	if l.shared.cfg.TrustInitialList {
		l.view.TrustRestored()
		l.publishListVersion()
	}
	l.loadStatistics()
	l.restoreStatistics(snapshot.Endpoints)
	l.decide()
}

// resetWakeup sets wakeup to fire when the next timer is due, or after maxIdleWait if none is set.
func (l *loop) resetWakeup(wakeup *time.Timer) {
	if dueAt, ok := l.timers.next(); ok {
		wakeup.Reset(max(0, dueAt-l.shared.Now()))
	} else {
		wakeup.Reset(maxIdleWait)
	}
}

// awaitBatchStart waits for the batch interval to elapse, then calls the testbed's gate.
func (l *loop) awaitBatchStart() {
	if wait := l.lastBatchEnd + l.shared.cfg.BatchInterval - l.shared.Now(); wait > 0 {
		time.Sleep(wait)
	}
	if l.shared.cfg.Hooks.Gate != nil {
		l.shared.cfg.Hooks.Gate()
	}
}

// runBatch processes all queued messages and due timers and executes the scheduler's actions. Messages are
// processed before timers, so that an answer takes precedence over a time-out due in the same batch.
func (l *loop) runBatch() {
	l.processMessages()
	l.timers.runDue(l.now)
	if l.eventsPending {
		l.decide()
	}
	if len(l.collected) > 0 {
		l.finishCollections()
	}
	if l.eventsPending {
		// Executing the actions has produced new events (a cancelled attempt has its result at once). The
		// scheduler's decision on these must not wait for the next message.
		l.shared.inbox.signal()
	}
	l.publishPlannerStats()
	if l.now-l.countersLoggedAt >= counterLogInterval {
		l.countersLoggedAt = l.now
		l.shared.log.Info("counters", keyCounters, &l.shared.Stats)
	}
	l.lastBatchEnd = l.shared.Now()
}

// processMessages processes all queued messages. The clock is read after they are taken, so that it is not
// before the arrival of any request among them.
func (l *loop) processMessages() {
	messages := l.shared.inbox.takeAll(l.spareMessages)
	l.now = l.shared.Now()
	for _, m := range messages {
		m.apply(l)
	}
	l.spareMessages = messages
}

// finishCollections processes the requests that were read since this batch began, and then lets the scheduler
// decide on those that waited for them.
func (l *loop) finishCollections() {
	collected := l.collected
	l.collected = nil
	l.processMessages()
	for _, event := range collected {
		l.notify(event)
	}
	l.decide()
}

// notify passes an event to the scheduler.
func (l *loop) notify(event scheduler.Event) {
	l.eventsPending = true
	l.decider.Handle(l.now, event)
}

// decide executes the actions that the scheduler decides on.
func (l *loop) decide() {
	l.eventsPending = false
	l.shared.Stats.Batches.Add(1)
	for _, action := range l.decider.Decide(l.now) {
		l.execute(action)
	}
	l.dispatch()
}
