package registry

import (
	"context"
	"net"
	"net/netip"
	"strings"
	"sync"
	"testing"
	"time"

	"go.uber.org/goleak"

	"landingpaddle/endpoints"
	"landingpaddle/internal/proto"
	"landingpaddle/scheduler"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// endpoint returns an endpoint of 127.0.0.1 whose cell is its port.
func endpoint(port int, status scheduler.Status) endpoints.Endpoint {
	server, _ := ServerFromAddrPort(netip.AddrPortFrom(netip.MustParseAddr("127.0.0.1"), uint16(port)))
	return endpoints.Endpoint{Server: server, Status: status, Cell: uint16(port), StartedAt: 7,
		NominalCapacity: 1}
}

// testRegistry is a stand-in registry with one client.
type testRegistry struct {
	server       *Server
	client       *Client
	updates      chan endpoints.Update
	errs         chan error
	acknowledged chan endpoints.Endpoint
	addr         string
}

// startRegistry runs a registry and a client until the test ends.
func startRegistry(
	t *testing.T, cfg ServerConfig, push bool, storedVersion func() (uint64, uint64),
) *testRegistry {
	t.Helper()
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	r := &testRegistry{
		updates:      make(chan endpoints.Update, 64),
		errs:         make(chan error, 64),
		acknowledged: make(chan endpoints.Endpoint, 64),
		addr:         ln.Addr().String(),
	}
	cfg.OnAcknowledged = func(_ uint32, e endpoints.Endpoint) { r.acknowledged <- e }
	cfg.Epoch = 9
	r.server = NewServer(cfg)
	r.client = NewClient(
		ClientConfig{Addr: r.addr, Push: push, ReconnectDelay: 20 * time.Millisecond, Version: storedVersion,
			OnUpdate:  func(update endpoints.Update) { r.updates <- update },
			OnFailure: func(err error) { r.errs <- err }},
	)
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	wg.Go(func() { _ = r.server.Serve(ctx, ln) })
	wg.Go(func() { _ = r.client.Run(ctx) })
	t.Cleanup(func() { cancel(); wg.Wait() })
	return r
}

// receive receives a value that must arrive within 5 s.
func receive[T any](t *testing.T, c chan T) T {
	t.Helper()
	select {
	case v := <-c:
		return v
	case <-time.After(5 * time.Second):
		t.Fatal("nothing arrived within 5 s")
		panic("unreachable")
	}
}

// A watch sends the full list and then each change. Once it is cancelled, updates are only sent for fetches.
// The client states no stored version, so that a fetch returns the full list.
func TestClient_WatchGetsTheFullListThenChanges(t *testing.T) {
	r := startRegistry(t, ServerConfig{MaxWait: time.Second}, false, nil)
	r.server.Put(endpoint(1, scheduler.Ready))
	time.Sleep(50 * time.Millisecond) // until the registry has published the endpoint
	r.client.Watch(scheduler.WatchEndpoints{On: true})
	if update := receive(t, r.updates); !update.Full || len(update.Endpoints) != 1 || update.Epoch != 9 {
		t.Fatalf("first update: got %+v, want the full list of 1 endpoint in epoch 9", update)
	}
	if e := receive(t, r.acknowledged); e.Server.Port != 1 {
		t.Errorf("acknowledged: got %+v, want port 1", e)
	}
	r.server.Put(endpoint(2, scheduler.Draining))
	update := receive(t, r.updates)
	if update.Full || update.BaseVersion+1 != update.Version ||
		update.Endpoints[0].Status != scheduler.Draining {
		t.Errorf("change: got %+v, want a Draining endpoint and the previous version as base", update)
	}
	r.client.Watch(scheduler.WatchEndpoints{})
	time.Sleep(50 * time.Millisecond) // until the registry has received the cancellation
	r.server.Put(endpoint(3, scheduler.Ready))
	// The registry publishes a change from a timer: a fetch may be served before the change is published.
	for tries := 1; ; tries++ {
		r.client.Fetch()
		update := receive(t, r.updates)
		if update.Full && len(update.Endpoints) == 3 {
			return
		}
		if !update.Full || tries == 100 {
			t.Fatalf("fetch %d after the watch ended: got %+v, want the full list of 3", tries, update)
		}
		time.Sleep(5 * time.Millisecond)
	}
}

// The client states that it stores version 1, the first of two endpoints: Fetch returns only the second one,
// FetchFull returns both.
func TestClient_FetchGetsOnlyChangesToTheStoredList(t *testing.T) {
	r := startRegistry(t, ServerConfig{MaxWait: time.Second}, false, func() (uint64, uint64) { return 9, 1 })
	r.server.Put(endpoint(1, scheduler.Ready))
	r.server.Put(endpoint(2, scheduler.Ready))
	time.Sleep(50 * time.Millisecond) // until the registry has published both
	r.client.Fetch()
	if update := receive(t, r.updates); update.Full || update.BaseVersion != 1 ||
		len(update.Endpoints) != 1 || update.Endpoints[0].Server.Port != 2 {
		t.Errorf("changes: got %+v, want endpoint 2 with base version 1", update)
	}
	r.client.FetchFull()
	if update := receive(t, r.updates); !update.Full || len(update.Endpoints) != 2 {
		t.Errorf("full list: got %+v, want 2 endpoints", update)
	}
}

// Endpoints are published after the configured delay; a node whose process ended is removed after the same
// delay.
func TestServer_DelaysChangesAndRemovesEndedNodes(t *testing.T) {
	r := startRegistry(t, ServerConfig{MaxWait: time.Second, Delay: 150 * time.Millisecond}, true, nil)
	if update := receive(t, r.updates); !update.Full || len(update.Endpoints) != 0 {
		t.Fatalf("first update: got %+v, want an empty full list", update)
	}
	ctx, cancel := context.WithCancel(context.Background())
	changes := make(chan endpoints.Endpoint, 1)
	var wg sync.WaitGroup
	wg.Go(func() { _ = Register(ctx, r.addr, proto.Config{}, changes) })
	began := time.Now()
	changes <- endpoint(5, scheduler.Ready)
	if update := receive(t, r.updates); update.Endpoints[0].Status != scheduler.Ready ||
		time.Since(began) < 150*time.Millisecond {
		t.Errorf("registered: after %v got %+v, want Ready after 150 ms or more", time.Since(began), update)
	}
	began = time.Now()
	cancel()
	wg.Wait()
	if update := receive(t, r.updates); update.Endpoints[0].Status != scheduler.Removed ||
		time.Since(began) < 140*time.Millisecond {
		t.Errorf("process ended: after %v got %+v, want Removed after 140 ms or more",
			time.Since(began), update)
	}
}

// Calls that would wait longer than MaxWait for a worker fail; the others are served. The only worker serves
// a call in 100 ms, so that the five calls would wait 0, 100 and three times 200 ms, with 150 ms allowed.
func TestServer_FailsCallsThatWaitTooLong(t *testing.T) {
	r := startRegistry(t, ServerConfig{Workers: 1, ServiceTime: 100 * time.Millisecond,
		MaxWait: 150 * time.Millisecond}, false,
		nil)
	for range 5 {
		r.client.Fetch()
	}
	for range 2 {
		receive(t, r.updates)
	}
	for range 3 {
		if err := receive(t, r.errs); !strings.Contains(err.Error(), "busy") {
			t.Error("want an error with reason busy, got:", err)
		}
	}
}

// The registry is unreachable at the start: a polling client reports the failure, and one to which lists are
// pushed also connects once the registry is available.
func TestClient_HandlesARegistryThatIsDownAtTheStart(t *testing.T) {
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	addr := ln.Addr().String()
	ln.Close()
	updates, errs := make(chan endpoints.Update, 8), make(chan error, 8)
	for _, push := range []bool{false, true} {
		ctx, cancel := context.WithCancel(context.Background())
		c := NewClient(ClientConfig{Addr: addr, Push: push, ReconnectDelay: 20 * time.Millisecond,
			OnUpdate: func(update endpoints.Update) { updates <- update }, OnFailure: func(err error) {
				select {
				case errs <- err:
				default:
				}
			}})
		var wg sync.WaitGroup
		wg.Go(func() { _ = c.Run(ctx) })
		if !push {
			c.Watch(scheduler.WatchEndpoints{On: true})
		}
		receive(t, errs)
		if push {
			ln, err := net.Listen("tcp4", addr)
			if err != nil {
				t.Fatal(err)
			}
			wg.Go(func() { _ = NewServer(ServerConfig{MaxWait: time.Second}).Serve(ctx, ln) })
			receive(t, updates)
		}
		cancel()
		wg.Wait()
	}
}

func FuzzDecodeUpdate(f *testing.F) {
	f.Add([]byte{0xa0})
	f.Fuzz(func(t *testing.T, data []byte) {
		update, err := DecodeUpdate(proto.Frame{Type: proto.TypeUpdate, Header: data})
		if err == nil && len(update.Endpoints) > MaxEndpoints {
			t.Fatal("more endpoints than MaxEndpoints")
		}
		_, _ = parseSnapshot(data) // must not panic
	})
}
