package daemon

import (
	"fmt"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"landingpaddle/internal/proto"
	"landingpaddle/internal/registry"
	"landingpaddle/scheduler"
)

// CheckHealth, CloseIdle, WriteLog, FetchEndpoints, SetTimer and Cancel are carried out.
func TestEventLoop_CarriesOutEveryAction(t *testing.T) {
	env := newTestEnvironment(t)
	var called atomic.Int64
	node := env.node(0, func(conn *proto.Conn, frame proto.Frame, request proto.Request) error {
		switch frame.Type {
		case proto.TypeHealthCheck:
			return conn.Send(
				proto.TypeHealthCheckResult,
				frame.Stream,
				proto.Answer{Code: proto.OK, Load: []float64{7}},
				nil,
			)
		case proto.TypeCancel:
			called.Add(1)
			conn.CloseStream(frame.Stream)
			return conn.Send(proto.TypeAnswer, frame.Stream, proto.Answer{Code: proto.Cancelled}, nil)
		}
		return nil
	})
	server, _ := registry.ServerFromAddrPort(node.listener.Addr().(*net.TCPAddr).AddrPort())
	decider := &scriptedDecider{server: server, events: make(chan scheduler.Event, 64)}
	env.start(func(cfg *Config) {
		cfg.Hooks.Decider = func(scheduler.Settings, Decider) Decider { return decider }
	})
	got := map[string]int{}
	for got["list"] < 1 { // a node that no list names is not sent to
		select {
		case ev := <-decider.events:
			if x, ok := ev.(scheduler.EndpointUpdate); ok && x.Kind != scheduler.UpdateCached {
				got["list"]++
			}
		case <-time.After(5 * time.Second):
			t.Fatal("no list came")
		}
	}
	client := env.client()
	id := client.sendRequest(nil)
	for got["probed 100 [7]"] < 1 || got["outcome 306"] < 1 || got["list"] < 2 { // pushed, and fetched
		select {
		case ev := <-decider.events:
			switch x := ev.(type) {
			case scheduler.HealthCheckResult:
				got[fmt.Sprintf("probed %d %v", x.Code, x.Load)]++
			case scheduler.AttemptResult:
				got[fmt.Sprintf("outcome %d", x.Code)]++
			case scheduler.EndpointUpdate:
				if x.Kind != scheduler.UpdateCached {
					got["list"]++
				}
			}
		case <-time.After(5 * time.Second):
			t.Fatalf("only %v", got)
		}
	}
	env.awaitLog("hello operators")
	answer := client.awaitAnswer(id)
	for by := time.Now().Add(5 * time.Second); called.Load() == 0 && time.Now().Before(by); {
		time.Sleep(time.Millisecond) // the cancel frame may still be on its way to the node
	}
	if answer.Reason != ReasonCancelled || called.Load() != 1 {
		t.Errorf("got %+v; the node was cancelled %d times", answer, called.Load())
	}
}
