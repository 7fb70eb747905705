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

// observedEvents counts the events by which the loop tells a decider that its actions were carried out.
type observedEvents struct {
	events       <-chan scheduler.Event
	lists        int // endpoint updates of the registry
	healthChecks int // answered by the node with nodeLoad
	cancelled    int // attempts
}

// nodeLoad is the load report of the node's answers to health checks.
var nodeLoad = []float64{7}

// awaitUntil takes events in until done reports true.
func (o *observedEvents) awaitUntil(t *testing.T, done func() bool) {
	t.Helper()
	for !done() {
		select {
		case event := <-o.events:
			o.observe(event)
		case <-time.After(5 * time.Second):
			t.Fatalf("only %d lists, %d health checks, %d cancelled", o.lists, o.healthChecks, o.cancelled)
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
			o.lists++
		}
	}
}

// cancellableNode starts a node that answers health checks and cancel frames only. The latter are counted.
func cancellableNode(env *testEnvironment) (server scheduler.Server, cancels *atomic.Int64) {
	cancels = &atomic.Int64{}
	node := env.node(0, func(conn *proto.Conn, frame proto.Frame, _ proto.Request) error {
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

// CheckHealth, CloseIdle, WriteLog, FetchEndpoints, SetTimer and Cancel are carried out.
func TestEventLoop_CarriesOutEveryAction(t *testing.T) {
	env := newTestEnvironment(t)
	server, cancels := cancellableNode(env)
	decider := &scriptedDecider{server: server, events: make(chan scheduler.Event, 64)}
	env.start(func(cfg *Config) {
		cfg.Hooks.Decider = func(scheduler.Settings, Decider) Decider { return decider }
	})
	observed := observedEvents{events: decider.events}
	// A node that no list names is not sent to.
	observed.awaitUntil(t, func() bool { return observed.lists >= 1 })
	client := env.client()
	id := client.sendRequest(nil)
	observed.awaitUntil(t, func() bool {
		isListFetched := observed.lists >= 2 // the first was pushed
		return observed.healthChecks >= 1 && observed.cancelled >= 1 && isListFetched
	})
	env.awaitLog("hello operators")
	answer := client.awaitAnswer(id)
	for by := time.Now().Add(5 * time.Second); cancels.Load() == 0 && time.Now().Before(by); {
		time.Sleep(time.Millisecond) // the cancel frame may still be on its way to the node
	}
	if answer.Reason != ReasonCancelled || cancels.Load() != 1 {
		t.Errorf("got %+v; the node was cancelled %d times", answer, cancels.Load())
	}
}
