package daemon

import (
	"sync/atomic"
	"testing"
	"time"

	"landingpaddle/endpoints"
	"landingpaddle/internal/proto"
	"landingpaddle/scheduler"
)

// Each request gets exactly one final answer when the node's answers arrive within 1 ms of the attempts'
// time-outs, before or after.
func TestEventLoop_AnswersOnceWhenAnswerMeetsTimeout(t *testing.T) {
	env := newTestEnvironment(t)
	const timeout = 60 * time.Millisecond
	var answersSent atomic.Int64
	env.addNode(0, func(conn *proto.Conn, frame proto.Frame, request proto.Request) error {
		if frame.Type != proto.TypeRequest {
			return nil
		}
		// Up to 0.9 ms before or after the attempt's time-out.
		delay := request.Timeout + time.Duration(int64(request.Token%7)-3)*300*time.Microsecond
		time.AfterFunc(delay, func() {
			answersSent.Add(1)
			conn.CloseStream(frame.Stream)
			_ = conn.Send(proto.TypeAnswer, frame.Stream, proto.Answer{Code: proto.OK}, nil)
		})
		return nil
	})
	var timedOut atomic.Int64
	instance := env.start(func(cfg *Config) {
		cfg.Hooks.Decider = countResults(&timedOut, scheduler.TimedOut)
	})
	env.awaitLog("node listed")
	client := env.connectClient()
	for range 300 {
		client.sendRequest(func(q *proto.Request) { q.Timeout = timeout })
		time.Sleep(500 * time.Microsecond)
	}
	for stream := uint64(1); stream <= client.lastStream; stream++ {
		client.awaitAnswer(stream)
	}
	for answersSent.Load() < 300 {
		time.Sleep(5 * time.Millisecond)
	}
	time.Sleep(50 * time.Millisecond)
	client.expectOneAnswerEach()
	stats := &instance.Stats
	if stats.Served.Load()+stats.Rejected.Load() != 300 || stats.Overdue.Load() != 0 {
		t.Errorf("got %d served, %d rejected, %d overdue; want 300 served or rejected, 0 overdue",
			stats.Served.Load(), stats.Rejected.Load(), stats.Overdue.Load())
	}
	t.Logf(
		"served %d, timed out %d, late answers %d",
		stats.Served.Load(),
		timedOut.Load(),
		stats.LateResults.Load(),
	)
}

// If the scheduler never decides, the loop fails the call when it is overdue and logs that as an error.
func TestEventLoop_FailsAndLogsOverdueCall(t *testing.T) {
	env := newTestEnvironment(t)
	env.addNode(0, echo)
	instance := env.start(func(cfg *Config) {
		cfg.Hooks.Decider = func(scheduler.Settings, Decider) Decider { return silentDecider{} }
	})
	client := env.connectClient()
	answer := client.call(func(q *proto.Request) { q.Timeout = 100 * time.Millisecond })
	if answer.Code != proto.Failed || answer.Reason != ReasonOverdue || instance.Stats.Overdue.Load() != 1 {
		t.Errorf("got %+v; want Failed, overdue, counted once", answer)
	}
	env.awaitLog("overdue")
	client.expectOneAnswerEach()
}

// After a long pause in the execution of the loop, an attempt's time-out and the call's overdue timer are due
// in the same batch. The scheduler, notified of the time-out, decides before the loop fails the call as
// overdue.
func TestEventLoop_SchedulerDecidesBeforeOverdueAnswer(t *testing.T) {
	drivers := &stubDrivers{}
	server := scheduler.Server{Addr: [4]byte{1}, Port: 1}
	eventLoop := NewEventLoop(EventLoopConfig{AnswerSlack: 8 * time.Millisecond, TrustInitialList: true,
		InitialList: endpoints.Snapshot{
			Version:   3,
			Endpoints: []endpoints.Endpoint{{Server: server, Status: scheduler.Ready}},
		},
		Settings: scheduler.Settings{Instances: 1, MaxAttempts: 1, MeanUnits: 1, MaxUnits: 1,
			Classes: []scheduler.Class{
				{LatencyObjective: time.Second, Deadline: time.Second, Idempotency: scheduler.NotIdempotent},
			},
			Plans: []scheduler.Plan{{Weight: 1}}}})
	l := newLoop(eventLoop, Drivers{Upstream: drivers, Endpoints: drivers})
	l.now = eventLoop.Now()
	l.updateEndpoints(l.view.Restore(eventLoop.clock(), eventLoop.cfg.InitialList))
	if reason := eventLoop.Admit(1); reason != "" {
		t.Fatal("call not admitted:", reason)
	}
	l.startCall(
		&Call{
			Responder:  drivers,
			ReceivedAt: l.now,
			Timeout:    time.Second,
			Request: scheduler.Request{Units: 1, VolumeInstances: 1,
				Volume: 1},
		},
	)
	l.decide()
	if len(drivers.sent) != 1 || drivers.sent[0].Server() != server ||
		drivers.sent[0].Responder() != Responder(drivers) {
		t.Fatalf("got %d operations; want 1 to the listed node with the call's responder", len(drivers.sent))
	}
	l.now += 5 * time.Second
	l.timers.runDue(l.now)
	stats := &eventLoop.Stats
	if len(drivers.answers) != 1 || drivers.answers[0].Code != proto.Failed ||
		drivers.answers[0].Reason != ReasonNodeTimeout || stats.Overdue.Load() != 0 ||
		stats.TimedOut.Load() != 1 || drivers.cancelled != 1 || eventLoop.openCalls.Load() != 0 {
		t.Errorf("got answers %+v, overdue %d, timed out %d, cancelled %d, open %d; "+
			"want one Failed with node-timeout, 0, 1, 1, 0", drivers.answers,
			stats.Overdue.Load(), stats.TimedOut.Load(), drivers.cancelled, eventLoop.openCalls.Load())
	}
	states := l.scheduler.NodeStates()
	if len(states) != 1 || states[0].Server != server || states[0].InFlight != 0 ||
		states[0].Status != scheduler.Ready {
		t.Errorf("got node states %+v; want one ready node with nothing in flight", states)
	}
}
