package registry

import (
	"context"
	"errors"
	"net"
	"net/netip"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"go.uber.org/goleak"

	"landingpaddle/endpoints"
	"landingpaddle/internal/proto"
	"landingpaddle/internal/statefile"
	"landingpaddle/scheduler"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

func entry(port int, s scheduler.Status) endpoints.Endpoint {
	server, _ := ServerFromAddrPort(netip.AddrPortFrom(netip.MustParseAddr("127.0.0.1"), uint16(port)))
	return endpoints.Endpoint{Server: server, Status: s, Cell: uint16(port), StartedAt: 7, NominalCapacity: 1}
}

// rig is a list service and one client of it.
type rig struct {
	s    *Server
	c    *Client
	news chan endpoints.Update
	errs chan error
	told chan endpoints.Endpoint
	addr string
}

func start(t *testing.T, cfg ServerConfig, push bool, held func() (uint64, uint64)) *rig {
	t.Helper()
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	r := &rig{
		news: make(chan endpoints.Update, 64),
		errs: make(chan error, 64),
		told: make(chan endpoints.Endpoint, 64),
		addr: ln.Addr().String(),
	}
	cfg.OnAcknowledged = func(inst uint32, e endpoints.Endpoint) { r.told <- e }
	cfg.Epoch = 9
	r.s = NewServer(cfg)
	r.c = NewClient(
		ClientConfig{Addr: r.addr, Push: push, ReconnectDelay: 20 * time.Millisecond, Version: held,
			OnUpdate: func(n endpoints.Update) { r.news <- n }, OnFailure: func(err error) { r.errs <- err }},
	)
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	wg.Go(func() { _ = r.s.Serve(ctx, ln) })
	wg.Go(func() { _ = r.c.Run(ctx) })
	t.Cleanup(func() { cancel(); wg.Wait() })
	return r
}

func next[T any](t *testing.T, c chan T) T {
	t.Helper()
	select {
	case v := <-c:
		return v
	case <-time.After(5 * time.Second):
		t.Fatal("nothing came")
		panic("unreachable")
	}
}

func TestWatchTellsTheWholeThenChanges(t *testing.T) {
	r := start(t, ServerConfig{MaxWait: time.Second}, false, nil)
	r.s.Put(entry(1, scheduler.Ready))
	time.Sleep(50 * time.Millisecond)
	r.c.Watch(true)
	if n := next(t, r.news); !n.Full || len(n.Endpoints) != 1 || n.Epoch != 9 {
		t.Fatalf("first news %+v", n)
	}
	if e := next(t, r.told); e.Server.Port != 1 {
		t.Errorf("told %+v", e)
	}
	r.s.Put(entry(2, scheduler.Draining))
	n := next(t, r.news)
	if n.Full || n.BaseVersion+1 != n.Version || n.Endpoints[0].Status != scheduler.Draining {
		t.Errorf("change %+v", n)
	}
	r.c.Watch(false)
	time.Sleep(50 * time.Millisecond)
	r.s.Put(entry(3, scheduler.Ready))
	// The service takes a change in on a queue of its own: a fetch may overtake it.
	for tries := 1; ; tries++ {
		r.c.Fetch()
		n := next(t, r.news)
		if n.Full && len(n.Endpoints) == 3 {
			return
		}
		if !n.Full || tries == 100 {
			t.Fatalf("fetch %d after the watch ended: %+v", tries, n)
		}
		time.Sleep(5 * time.Millisecond)
	}
}

func TestFetchOfWhatIsHeldTellsChangesOnly(t *testing.T) {
	r := start(t, ServerConfig{MaxWait: time.Second}, false, func() (uint64, uint64) { return 9, 1 })
	r.s.Put(entry(1, scheduler.Ready))
	r.s.Put(entry(2, scheduler.Ready))
	time.Sleep(50 * time.Millisecond)
	r.c.Fetch()
	if n := next(t, r.news); n.Full || n.BaseVersion != 1 || len(n.Endpoints) != 1 ||
		n.Endpoints[0].Server.Port != 2 {
		t.Errorf("changes %+v", n)
	}
	r.c.FetchFull()
	if n := next(t, r.news); !n.Full || len(n.Endpoints) != 2 {
		t.Errorf("whole %+v", n)
	}
}

// Entries come late by the stated time; a node whose process ends is gone, late as well.
func TestEntriesAreLateAndAProcessThatEndsIsGone(t *testing.T) {
	r := start(t, ServerConfig{MaxWait: time.Second, Delay: 150 * time.Millisecond}, true, nil)
	if n := next(t, r.news); !n.Full || len(n.Endpoints) != 0 {
		t.Fatalf("empty list: %+v", n)
	}
	ctx, cancel := context.WithCancel(context.Background())
	changes := make(chan endpoints.Endpoint, 1)
	var wg sync.WaitGroup
	wg.Go(func() { _ = Register(ctx, r.addr, proto.Config{}, changes) })
	began := time.Now()
	changes <- entry(5, scheduler.Ready)
	if n := next(t,
		r.news); n.Endpoints[0].Status != scheduler.Ready || time.Since(began) < 150*time.Millisecond {
		t.Errorf("after %v: %+v", time.Since(began), n)
	}
	began = time.Now()
	cancel()
	wg.Wait()
	if n := next(t, r.news); n.Endpoints[0].Status != scheduler.Gone ||
		time.Since(began) < 140*time.Millisecond {
		t.Errorf("after %v: %+v", time.Since(began), n)
	}
}

// Calls over the service's capacity that wait too long fail; the others are served.
func TestCallsThatWaitTooLongFail(t *testing.T) {
	r := start(t, ServerConfig{Workers: 1, CallTime: 100 * time.Millisecond,
		MaxWait: 150 * time.Millisecond}, false,
		nil)
	for range 5 {
		r.c.Fetch()
	}
	for range 2 {
		next(t, r.news)
	}
	for range 3 {
		if err := next(t, r.errs); !strings.Contains(err.Error(), "busy") {
			t.Error(err)
		}
	}
}

// The service is down at the start: an asking client is told so, a pushing one is connected later.
func TestServiceDownAtTheStart(t *testing.T) {
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	addr := ln.Addr().String()
	ln.Close()
	news, errs := make(chan endpoints.Update, 8), make(chan error, 8)
	for _, push := range []bool{false, true} {
		ctx, cancel := context.WithCancel(context.Background())
		c := NewClient(ClientConfig{Addr: addr, Push: push, ReconnectDelay: 20 * time.Millisecond,
			OnUpdate: func(n endpoints.Update) { news <- n }, OnFailure: func(err error) {
				select {
				case errs <- err:
				default:
				}
			}})
		var wg sync.WaitGroup
		wg.Go(func() { _ = c.Run(ctx) })
		if !push {
			c.Watch(true)
		}
		next(t, errs)
		if push {
			ln, err := net.Listen("tcp4", addr)
			if err != nil {
				t.Fatal(err)
			}
			wg.Go(func() { _ = NewServer(ServerConfig{MaxWait: time.Second}).Serve(ctx, ln) })
			next(t, news)
		}
		cancel()
		wg.Wait()
	}
}

func TestKeptListSurvivesAndSaysWhatIsWrongWithIt(t *testing.T) {
	f := SnapshotFile{Path: filepath.Join(t.TempDir(), "list")}
	if k, err := f.Load(); err != nil || k.Version != 0 {
		t.Fatalf("no file: %+v, %v", k, err)
	}
	want := endpoints.Snapshot{
		Epoch:   3,
		Version: 4,
		Endpoints: []endpoints.Endpoint{entry(1, scheduler.Ready), entry(2,
			scheduler.Draining)},
	}
	if err := f.Save(want); err != nil {
		t.Fatal(err)
	}
	got, err := f.Load()
	if err != nil || len(got.Endpoints) != 2 || got.Endpoints[1] != want.Endpoints[1] || got.Version != 4 {
		t.Fatalf("%+v, %v", got, err)
	}
	data, _ := os.ReadFile(f.Path)
	for n := range data {
		if _, err := parseSnapshot(data[:n]); !errors.Is(err, statefile.ErrCorrupt) {
			t.Fatalf("cut at %d: %v", n, err)
		}
		bad := append([]byte(nil), data...)
		bad[n] ^= 1
		if _, err := parseSnapshot(bad); !errors.Is(err, statefile.ErrCorrupt) {
			t.Fatalf("byte %d changed: %v", n, err)
		}
	}
	f.Write = func(string, []byte) error { return syscall.ENOSPC }
	if err := f.Save(want); !errors.Is(err, syscall.ENOSPC) {
		t.Errorf("a full disk: %v", err)
	}
	f.Write = nil
	if k, err := f.Load(); err != nil || k.Version != 4 {
		t.Errorf("the old list after a failed write: %+v, %v", k, err)
	}
}

func FuzzNews(f *testing.F) {
	f.Add([]byte{0xa0})
	f.Fuzz(func(t *testing.T, data []byte) {
		n, err := DecodeUpdate(proto.Frame{Type: proto.TypeUpdate, Header: data})
		if err == nil && len(n.Endpoints) > MaxEndpoints {
			t.Fatal("more entries than the bound")
		}
		_, _ = parseSnapshot(data)
	})
}
