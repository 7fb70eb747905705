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
	r := newTestEnvironment(t)
	var called atomic.Int64
	n := r.node(0, func(c *proto.Conn, f proto.Frame, q proto.Request) error {
		switch f.Type {
		case proto.TypeHealthCheck:
			return c.Send(
				proto.TypeHealthCheckResult,
				f.Stream,
				proto.Answer{Code: proto.OK, Load: []float64{7}},
				nil,
			)
		case proto.TypeCancel:
			called.Add(1)
			c.CloseStream(f.Stream)
			return c.Send(proto.TypeAnswer, f.Stream, proto.Answer{Code: proto.Cancelled}, nil)
		}
		return nil
	})
	server, _ := registry.ServerFromAddrPort(n.ln.Addr().(*net.TCPAddr).AddrPort())
	s := &scriptedDecider{server: server, seen: make(chan scheduler.Event, 64)}
	r.start(func(cfg *Config) { cfg.Hooks.Decider = func(scheduler.Settings, Decider) Decider { return s } })
	got := map[string]int{}
	for got["list"] < 1 { // a node that no list names is not sent to
		select {
		case ev := <-s.seen:
			if x, ok := ev.(scheduler.EndpointUpdate); ok && x.Kind != scheduler.UpdateCached {
				got["list"]++
			}
		case <-time.After(5 * time.Second):
			t.Fatal("no list came")
		}
	}
	c := r.client()
	id := c.ask(nil)
	for got["probed 100 [7]"] < 1 || got["outcome 306"] < 1 || got["list"] < 2 { // pushed, and fetched
		select {
		case ev := <-s.seen:
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
	r.logged("hello operators")
	if a := c.wait(id); a.Reason != ReasonCancelled || called.Load() != 1 {
		t.Errorf("got %+v; the node was cancelled %d times", a, called.Load())
	}
}
