package daemon

import (
	"sync/atomic"
	"testing"
	"time"

	"landingpaddle/endpoints"
	"landingpaddle/internal/proto"
	"landingpaddle/scheduler"
)

// Answers and time-outs come in the same instant, over and over. Each request has exactly one final answer.
func TestEventLoop_AnswersOnceWhenAnswerMeetsTimeout(t *testing.T) {
	r := newTestEnvironment(t)
	const wait = 60 * time.Millisecond
	var late atomic.Int64
	r.node(0, func(c *proto.Conn, f proto.Frame, q proto.Request) error {
		if f.Type != proto.TypeRequest {
			return nil
		}
		// Around the very end of the attempt's time, a little to either side.
		d := q.Timeout + time.Duration(int64(q.Token%7)-3)*300*time.Microsecond
		time.AfterFunc(d, func() {
			late.Add(1)
			c.CloseStream(f.Stream)
			_ = c.Send(proto.TypeAnswer, f.Stream, proto.Answer{Code: proto.OK}, nil)
		})
		return nil
	})
	var n atomic.Int64
	inst := r.start(func(cfg *Config) { cfg.Hooks.Decider = countResults(&n, scheduler.TimedOut) })
	r.logged("node listed")
	c := r.client()
	for range 300 {
		c.ask(func(q *proto.Request) { q.Timeout = wait })
		time.Sleep(500 * time.Microsecond)
	}
	for s := uint64(1); s <= c.next; s++ {
		c.wait(s)
	}
	for late.Load() < 300 {
		time.Sleep(5 * time.Millisecond)
	}
	time.Sleep(50 * time.Millisecond)
	c.once()
	st := &inst.Stats
	if st.Served.Load()+st.Rejected.Load() != 300 || st.Overdue.Load() != 0 {
		t.Errorf("served %d, refused %d, overdue %d", st.Served.Load(), st.Rejected.Load(), st.Overdue.Load())
	}
	t.Logf("served %d, timed out %d, late answers %d", st.Served.Load(), n.Load(), st.Late.Load())
}

// A scheduler that decides nothing: the loop fails the call when it is overdue and logs that as a fault.
func TestEventLoop_FailsAndLogsOverdueCall(t *testing.T) {
	r := newTestEnvironment(t)
	r.node(0, echo)
	inst := r.start(func(cfg *Config) {
		cfg.Hooks.Decider = func(scheduler.Settings, Decider) Decider { return silentDecider{} }
	})
	c := r.client()
	a := c.wait(c.ask(func(q *proto.Request) { q.Timeout = 100 * time.Millisecond }))
	if a.Code != proto.Failed || a.Reason != ReasonOverdue || inst.Stats.Overdue.Load() != 1 {
		t.Errorf("got %+v", a)
	}
	r.logged("overdue")
	c.once()
}

// A loop that was not scheduled for long finds an attempt's time-out and the call's overdue timer due at
// once. The scheduler, notified of the time-out, decides before the loop answers in its place.
func TestEventLoop_SchedulerDecidesBeforeOverdueAnswer(t *testing.T) {
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
