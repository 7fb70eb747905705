package daemon

import (
	"sync/atomic"
	"testing"
	"time"

	"landingpaddle/scheduler"
)

// scriptedClients are clients of which the test states what is pending and unsubmitted.
type scriptedClients struct {
	pending, unsubmitted atomic.Bool
}

func (c *scriptedClients) Unaccepted() func() int {
	if !c.pending.Load() {
		return nil
	}
	return func() int {
		if c.pending.Load() {
			return 1
		}
		return 0
	}
}

func (c *scriptedClients) Unsubmitted(time.Time) []func() bool {
	if !c.unsubmitted.Load() {
		return nil
	}
	return []func() bool{c.unsubmitted.Load}
}

// awaitReport waits until the loop has received the report of a collection, and returns it.
func awaitReport(t *testing.T, loop *EventLoop) scheduler.ArrivalsCollected {
	t.Helper()
	select {
	case <-loop.inbox.wake:
	case <-time.After(5 * time.Second):
		t.Fatal("got no report of the collection within 5s")
	}
	return loop.inbox.takeAll(nil)[0].(arrivalsCollected).event
}

// A collection is complete at once if nothing is unsubmitted. Otherwise it ends once the clients that were
// pending are accepted and all requests are submitted, or after the time-out of a collection that stalls.
func TestArrivalCollector_WaitsForUnsubmittedRequests(t *testing.T) {
	const before, long, short = 3 * time.Second, 10 * time.Second, 20 * time.Millisecond
	for name, test := range map[string]struct {
		pending, unsubmitted bool
		timeout              time.Duration
		isOver               bool // the state ends after a while
	}{
		"not accepted":                   {pending: true, timeout: long, isOver: true},
		"not submitted":                  {unsubmitted: true, timeout: long, isOver: true},
		"neither accepted nor submitted": {pending: true, unsubmitted: true, timeout: long, isOver: true},
		"never accepted":                 {pending: true, timeout: short},
		"never submitted":                {unsubmitted: true, timeout: short},
	} {
		t.Run(name, func(t *testing.T) {
			loop, clients := NewEventLoop(EventLoopConfig{}), &scriptedClients{}
			collector := NewArrivalCollector(loop, clients)
			action := scheduler.CollectArrivals{Before: before, StallTimeout: test.timeout, Timeout: long}
			if !collector.Collect(action) || loop.Stats.Collections.Load() != 0 {
				t.Fatal("with nothing unsubmitted: got a collection that waits, want it complete")
			}
			clients.pending.Store(test.pending)
			clients.unsubmitted.Store(test.unsubmitted)
			if collector.Collect(action) || loop.Stats.Collections.Load() != 1 {
				t.Fatal("got the collection complete, want it to wait, counted once")
			}
			if test.isOver {
				time.Sleep(short)
				if messages := loop.inbox.takeAll(nil); len(messages) != 0 {
					t.Fatal("got a report while requests are unsubmitted, want none")
				}
				clients.pending.Store(false)
				time.Sleep(short)
				clients.unsubmitted.Store(false)
			}
			if got := awaitReport(t, loop); got.Before != before {
				t.Errorf("got a report of the collection before %v, want %v", got.Before, before)
			}
			if isGivenUp := loop.Stats.CollectionsGivenUp.Load() == 1; isGivenUp == test.isOver {
				t.Errorf("got given up %v, want %v", isGivenUp, !test.isOver)
			}
		})
	}
}

// Guards against ordered requests that were sent 50 ms after a collection began while others still waited to
// be accepted, behind hundreds of silent clients: a collection lasts as long as it makes progress.
func TestArrivalCollector_WaitsWhileProgressIsMade(t *testing.T) {
	const stallTimeout, connections = 20 * time.Millisecond, 40
	for name, test := range map[string]struct {
		timeout   time.Duration
		isGivenUp bool
	}{
		"long enough": {10 * time.Second, false},
		"too short":   {2 * stallTimeout, true},
	} {
		t.Run(name, func(t *testing.T) {
			loop, clients := NewEventLoop(EventLoopConfig{}), &slowlyAccepted{interval: stallTimeout / 5}
			clients.remaining.Store(connections)
			accepted := make(chan struct{})
			go func() {
				defer close(accepted)
				clients.accept()
			}()
			NewArrivalCollector(loop, clients).Collect(scheduler.CollectArrivals{
				Before: time.Second, StallTimeout: stallTimeout, Timeout: test.timeout})
			awaitReport(t, loop)
			if isGivenUp := clients.remaining.Load() > 0; isGivenUp != test.isGivenUp {
				t.Errorf("got a report with %d connections left, want given up %v",
					clients.remaining.Load(), test.isGivenUp)
			}
			<-accepted
		})
	}
}

// slowlyAccepted are clients whose connections are accepted one after another.
type slowlyAccepted struct {
	scriptedClients
	interval  time.Duration
	remaining atomic.Int64
}

func (c *slowlyAccepted) accept() {
	for c.remaining.Load() > 0 {
		time.Sleep(c.interval)
		c.remaining.Add(-1)
	}
}

func (c *slowlyAccepted) Unaccepted() func() int {
	return func() int { return int(c.remaining.Load()) }
}

// heldDecider emits one collection and records the events that the scheduler receives after it.
type heldDecider struct {
	requested bool
	events    []scheduler.Event
}

func (d *heldDecider) Handle(_ time.Duration, event scheduler.Event) {
	d.events = append(d.events, event)
}

func (d *heldDecider) Decide(time.Duration) []scheduler.Action {
	if d.requested {
		return nil
	}
	d.requested = true
	return []scheduler.Action{scheduler.CollectArrivals{Before: 7, Timeout: time.Second}}
}

// submittingCollector is complete at once, after the submission of a call.
type submittingCollector struct {
	loop *EventLoop
	call *Call
}

func (c *submittingCollector) Collect(scheduler.CollectArrivals) bool {
	c.loop.Submit(c.call)
	return true
}

// If a collection is complete at once, the scheduler receives the calls that were submitted meanwhile, then
// the report, and decides, all in the same batch: nothing waits where nothing was held up.
func TestEventLoop_FinishesCompleteCollectionInOneBatch(t *testing.T) {
	drivers, decider := &stubDrivers{}, &heldDecider{}
	eventLoop := NewEventLoop(EventLoopConfig{Hooks: Hooks{
		Decider: func(scheduler.Settings, Decider) Decider { return decider },
	}})
	call := &Call{Responder: drivers, ReceivedAt: eventLoop.Now(), Timeout: time.Second}
	collector := &submittingCollector{loop: eventLoop, call: call}
	l := newLoop(eventLoop, Drivers{Upstream: drivers, Endpoints: drivers, Arrivals: collector})
	l.eventsPending = true
	l.runBatch()
	if len(decider.events) != 2 {
		t.Fatalf("got events %+v, want a request and the end of the collection", decider.events)
	}
	request, isRequest := decider.events[0].(scheduler.Request)
	if !isRequest || request.ArrivedAt != call.ReceivedAt {
		t.Errorf("got event %+v, want the request, arrived at %v", decider.events[0], call.ReceivedAt)
	}
	if want := (scheduler.ArrivalsCollected{Before: 7}); decider.events[1] != want {
		t.Errorf("got event %+v, want %+v", decider.events[1], want)
	}
}
