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
	// counterLogInterval is how often an instance that works logs its counters.
	counterLogInterval = time.Minute
	// idleWakeup is when the loop wakes at the latest, without timers and messages.
	idleWakeup = time.Hour
)

// loop is the state of a running EventLoop: the scheduler and all requests. The goroutine of Run owns it and
// never blocks on a socket.
type loop struct {
	shared          *EventLoop // what other goroutines see as well
	drivers         Drivers
	decider         Decider // the scheduler, or what Hooks.Decider put in its place
	scheduler       *scheduler.Scheduler
	settings        scheduler.Settings
	savedStatistics *checkpoint.Record // of the incarnation before; nil: none to restore
	planner         *extent.Planner    // nil: no ranged requests
	view            *endpoints.View
	timers          timers
	requests        map[uint32]*request
	lastRequestID   uint32
	lastRangedID    uint64        // of a ranged call
	undispatched    []*Operation  // decided on in this batch
	now             time.Duration // of this batch
	notified        bool          // the scheduler has had events since the last Decide
	spareMessages   []message     // of the batch before; reused
	lastBatchEnd    time.Duration
	countersLogged  time.Duration // when they were last
}

func newLoop(shared *EventLoop, drivers Drivers) *loop {
	cfg := &shared.cfg
	module := scheduler.New(cfg.Seed, cfg.Settings)
	l := &loop{
		shared:    shared,
		drivers:   drivers,
		decider:   module,
		scheduler: module,
		settings:  cfg.Settings,
		view:      endpoints.New(cfg.ClockSkew),
		requests:  map[uint32]*request{},
	}
	if cfg.Extents != nil {
		l.planner = extent.New(*cfg.Extents)
		module.SetBatcher(l.planner)
	}
	if cfg.Hooks.Decider != nil {
		l.decider = cfg.Hooks.Decider(cfg.Settings, module)
	}
	return l
}

// run gathers what happens into batches until the graceful shutdown is over or ctx ends.
func (l *loop) run(ctx context.Context) error {
	l.restore()
	close(l.shared.ready)
	wakeup := time.NewTimer(idleWakeup)
	defer wakeup.Stop()
	stopRequested := l.shared.stopping // nil from the request on
	var shutdownTimeout <-chan time.Time
	for {
		if stopRequested == nil && len(l.requests) == 0 && l.shared.openCalls.Load() == 0 {
			return nil
		}
		l.schedule(wakeup)
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

// restore hands the scheduler what the incarnation before left and decides for the first time.
func (l *loop) restore() {
	snapshot := l.loadSnapshot()
	l.now = l.shared.Now()
	l.countersLogged = l.now
	l.updateEndpoints(l.view.Restore(l.shared.clock(), snapshot))
	if l.shared.cfg.TrustInitialList {
		l.view.TrustRestored()
		l.publishListVersion()
	}
	l.loadStatistics()
	l.restoreStatistics(snapshot.Endpoints)
	l.decide()
}

// schedule sets the wake-up to when the next timer is due.
func (l *loop) schedule(wakeup *time.Timer) {
	if dueAt, ok := l.timers.next(); ok {
		wakeup.Reset(max(0, dueAt-l.shared.Now()))
	} else {
		wakeup.Reset(idleWakeup)
	}
}

// awaitBatchStart keeps the batch interval, and passes the testbed's gate.
func (l *loop) awaitBatchStart() {
	if wait := l.lastBatchEnd + l.shared.cfg.BatchInterval - l.shared.Now(); wait > 0 {
		time.Sleep(wait)
	}
	if l.shared.cfg.Hooks.Gate != nil {
		l.shared.cfg.Hooks.Gate()
	}
}

// runBatch hands all that has happened to the scheduler and carries out what it asks for. Messages go before
// timers, so that an answer wins over a time-out that is due in the same batch.
func (l *loop) runBatch() {
	l.now = l.shared.Now()
	messages := l.shared.inbox.takeAll(l.spareMessages)
	for _, m := range messages {
		m.apply(l)
	}
	l.spareMessages = messages
	l.timers.runDue(l.now)
	if l.notified {
		l.decide()
	}
	if l.notified {
		// Carrying out has given the scheduler events (a cancelled attempt has its result at once). What it
		// wants done about them must not wait for the next message.
		l.shared.inbox.signal()
	}
	l.publishPlannerStats()
	if l.now-l.countersLogged >= counterLogInterval {
		l.countersLogged = l.now
		l.shared.log.Info("counters", keyCounters, &l.shared.Stats)
	}
	l.lastBatchEnd = l.shared.Now()
}

// notify hands the scheduler an event.
func (l *loop) notify(event scheduler.Event) {
	l.notified = true
	l.decider.Handle(l.now, event)
}

// decide carries out what the scheduler decides on.
func (l *loop) decide() {
	l.notified = false
	l.shared.Stats.Batches.Add(1)
	for _, action := range l.decider.Decide(l.now) {
		l.carryOut(action)
	}
	l.dispatch()
}
