package daemon

import (
	"sync"
	"testing"
	"time"

	"landingpaddle/endpoints"
	"landingpaddle/internal/proto"
	"landingpaddle/scheduler"
)

// noEdges carries nothing out and notes what it was asked for.
type stubDrivers struct {
	sent []*Operation
	off  int
	got  []proto.Answer
}

func (e *stubDrivers) Send(op *Operation)                     { e.sent = append(e.sent, op) }
func (e *stubDrivers) Cancel(*Operation)                      { e.off++ }
func (e *stubDrivers) CancelMember(*Operation, int)           {}
func (e *stubDrivers) CheckHealth(scheduler.Server)           {}
func (e *stubDrivers) CloseIdle(scheduler.Server)             {}
func (e *stubDrivers) Watch(bool)                             {}
func (e *stubDrivers) Fetch()                                 {}
func (e *stubDrivers) FetchFull()                             {}
func (e *stubDrivers) Respond(a proto.Answer, payload []byte) { e.got = append(e.got, a) }

// A loop that had no turn for long finds an attempt's end and the net under the module due at once: the
// module, told of the end, must have its word before the net answers in its place.
func TestModuleSpeaksBeforeTheNet(t *testing.T) {
	edges := &stubDrivers{}
	server := scheduler.Server{Addr: [4]byte{1}, Port: 1}
	c := NewEventLoop(EventLoopConfig{AnswerSlack: 8 * time.Millisecond, TrustInitialList: true,
		InitialList: endpoints.Snapshot{
			Version:   3,
			Endpoints: []endpoints.Endpoint{{Server: server, Status: scheduler.Ready}},
		},
		Settings: scheduler.Settings{Instances: 1, MaxAttempts: 1, MeanUnits: 1, MaxUnits: 1,
			Classes: []scheduler.Class{
				{LatencyObjective: time.Second, Deadline: time.Second, Idempotency: scheduler.NotIdempotent},
			},
			Plans: []scheduler.Plan{{Weight: 1}}}})
	l := newLoop(c, Drivers{Upstream: edges, Endpoints: edges})
	l.now = c.Now()
	l.updateEndpoints(l.view.Restore(c.clock(), c.cfg.InitialList))
	if why := c.Admit(1); why != "" {
		t.Fatal(why)
	}
	l.startCall(
		&Call{
			Responder:  edges,
			ReceivedAt: l.now,
			Wait:       time.Second,
			Request: scheduler.Request{Units: 1, VolumeInstances: 1,
				Volume: 1},
		},
	)
	l.decide()
	if len(edges.sent) != 1 || edges.sent[0].Server() != server ||
		edges.sent[0].Responder() != Responder(edges) {
		t.Fatalf("%d operations sent", len(edges.sent))
	}
	l.now += 5 * time.Second
	l.timers.runDue(l.now)
	if len(edges.got) != 1 || edges.got[0].Code != proto.Failed || edges.got[0].Reason != ReasonNodeTimeout ||
		c.Stats.Overdue.Load() != 0 || c.Stats.TimedOut.Load() != 1 || edges.off != 1 ||
		c.openCalls.Load() != 0 {
		t.Errorf("answers %+v, overdue %d, timed out %d, cancelled %d, open %d", edges.got,
			c.Stats.Overdue.Load(),
			c.Stats.TimedOut.Load(), edges.off, c.openCalls.Load())
	}
	if b := l.scheduler.NodeStates(); len(b) != 1 || b[0].Server != server || b[0].InFlight != 0 ||
		b[0].Status != scheduler.Ready {
		t.Errorf("the module believes %+v", b)
	}
}

// A list service that goes on as it was may tell a restarted instance just what changed since the list it
// kept.
func TestKeptListOfOneService(t *testing.T) {
	for _, one := range []bool{true, false} {
		view := endpoints.New(0)
		view.Restore(endpoints.Clock{Now: time.Hour}, endpoints.Snapshot{Version: 3})
		if one {
			view.TrustRestored()
		}
		_, verdict := view.Apply(
			endpoints.Clock{Now: time.Hour},
			endpoints.Update{Version: 4, BaseVersion: 3},
		)
		if (verdict == endpoints.Applied) != one {
			t.Errorf("one service %v: verdict %v", one, verdict)
		}
	}
}

// A call that was admitted before the stop and reaches the loop only when the time to stop in is over has its
// answer all the same, in either order of the two.
func TestCallsThatCrossTheEndOfAStop(t *testing.T) {
	for _, first := range []bool{true, false} {
		edges := &stubDrivers{}
		c := NewEventLoop(EventLoopConfig{Settings: scheduler.Settings{Instances: 1,
			Classes: []scheduler.Class{{LatencyObjective: time.Second, Deadline: time.Second}},
			Plans:   []scheduler.Plan{{Weight: 1}}}})
		l := newLoop(c, Drivers{Upstream: edges, Endpoints: edges})
		l.now = c.Now()
		if why := c.Admit(1); why != "" {
			t.Fatal(why)
		}
		c.Stop()
		call := &Call{
			Responder:  edges,
			ReceivedAt: l.now,
			Wait:       time.Second,
			Request:    scheduler.Request{Units: 1, VolumeInstances: 1},
		}
		var wg sync.WaitGroup
		if first {
			c.Submit(call)
		} else {
			wg.Go(func() {
				time.Sleep(maxHandOver / 10)
				c.Submit(call)
			})
		}
		l.failOpenCalls()
		wg.Wait()
		if len(edges.got) != 1 || edges.got[0].Reason != ReasonStopping || c.openCalls.Load() != 0 {
			t.Errorf("taken first %v: answers %+v, %d open", first, edges.got, c.openCalls.Load())
		}
		if why := c.Admit(1); why != ReasonStopping {
			t.Errorf("after the stop: %q", why)
		}
	}
}
