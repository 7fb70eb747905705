package daemon

import (
	"net"
	"slices"
	"sync/atomic"
	"testing"
	"time"

	"landingpaddle/internal/proto"
	"landingpaddle/internal/registry"
	"landingpaddle/scheduler"
)

// observedEvents counts the events by which the loop reports the results of a decider's actions.
type observedEvents struct {
	events          <-chan scheduler.Event
	endpointUpdates int // endpoint updates from the registry
	healthChecks    int // successful, with the load report nodeLoad
	cancelled       int // attempts
}

// nodeLoad is the load report in the node's answers to health checks.
var nodeLoad = []float64{7}

// awaitUntil counts events until done returns true. It fails the test after 5 s without an event.
func (o *observedEvents) awaitUntil(t *testing.T, done func() bool) {
	t.Helper()
	for !done() {
		select {
		case event := <-o.events:
			o.observe(event)
		case <-time.After(5 * time.Second):
			t.Fatalf("no event for 5s; got only %d endpoint updates, %d health checks, %d cancelled",
				o.endpointUpdates, o.healthChecks, o.cancelled)
		}
	}
}

func (o *observedEvents) observe(event scheduler.Event) {
	switch event := event.(type) {
	case scheduler.HealthCheckResult:
		if event.Code == scheduler.OK && slices.Equal(event.Load, nodeLoad) {
			o.healthChecks++
		}
	case scheduler.AttemptResult:
		if event.Code == scheduler.Cancelled {
			o.cancelled++
		}
	case scheduler.EndpointUpdate:
		if event.Kind != scheduler.UpdateCached {
			o.endpointUpdates++
		}
	}
}

// cancellableNode starts a node that answers only health checks and cancel frames, and counts the latter.
func cancellableNode(env *testEnvironment) (server scheduler.Server, cancels *atomic.Int64) {
	cancels = &atomic.Int64{}
	node := env.addNode(0, func(conn *proto.Conn, frame proto.Frame, _ proto.Request) error {
		switch frame.Type {
		case proto.TypeHealthCheck:
			answer := proto.Answer{Code: proto.OK, Load: nodeLoad}
			return conn.Send(proto.TypeHealthCheckResult, frame.Stream, answer, nil)
		case proto.TypeCancel:
			cancels.Add(1)
			conn.CloseStream(frame.Stream)
			return conn.Send(proto.TypeAnswer, frame.Stream, proto.Answer{Code: proto.Cancelled}, nil)
		}
		return nil
	})
	server, _ = registry.ServerFromAddrPort(node.listener.Addr().(*net.TCPAddr).AddrPort())
	return server, cancels
}

// The loop executes Send, CheckHealth, WriteLog, FetchEndpoints, SetTimer, Cancel and Fail. CloseIdle is
// scripted too, but its effect is not checked.
func TestEventLoop_ExecutesScriptedActions(t *testing.T) {
	env := newTestEnvironment(t)
	server, cancels := cancellableNode(env)
	decider := &scriptedDecider{server: server, events: make(chan scheduler.Event, 64)}
	env.start(func(cfg *Config) {
		cfg.Hooks.Decider = func(scheduler.Settings, Decider) Decider { return decider }
	})
	observed := observedEvents{events: decider.events}
	// Waits for the endpoint list: an attempt to a node that is not on it fails its preconditions.
	observed.awaitUntil(t, func() bool { return observed.endpointUpdates >= 1 })
	client := env.connectClient()
	id := client.sendRequest(nil)
	observed.awaitUntil(t, func() bool {
		isListFetched := observed.endpointUpdates >= 2 // the first one was pushed by the registry
		return observed.healthChecks >= 1 && observed.cancelled >= 1 && isListFetched
	})
	env.awaitLog("hello operators")
	answer := client.awaitAnswer(id)
	for end := time.Now().Add(5 * time.Second); cancels.Load() == 0 && time.Now().Before(end); {
		time.Sleep(time.Millisecond) // the cancel frame may still be in transit
	}
	if answer.Reason != ReasonCancelled || cancels.Load() != 1 {
		t.Errorf("got answer %+v and %d cancel frames; want reason cancelled and 1", answer, cancels.Load())
	}
}
