package daemon

import (
	"bytes"
	"context"
	"errors"
	"log/slog"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"landingpaddle/endpoints"
	"landingpaddle/internal/config"
	"landingpaddle/internal/proto"
	"landingpaddle/internal/registry"
	"landingpaddle/scheduler"
)

// testSite has a class of reads and one of writes that are idempotent and ordered by key.
func testSite() config.Site {
	s := config.DefaultSite()
	s.Classes = []config.Class{
		{Name: "read", LatencyObjective: 2 * time.Second, Deadline: 4 * time.Second, PriorityWeight: 1},
		{
			Name:             "write",
			LatencyObjective: 2 * time.Second,
			Deadline:         4 * time.Second,
			Idempotency:      config.Idempotency(scheduler.IdempotentByKey),
			DedupScope:       config.DedupScope(scheduler.DedupCell),
			DedupWindow:      5 * time.Second,
			OrderedByKey:     true,
			Writes:           true,
			PriorityWeight:   1,
		}}
	s.Plans = []config.Plan{{Name: "p", Rate: 100, Weight: 1, PriorityWeight: 1}}
	s.Rules.OrderingPause = 50 * time.Millisecond
	return s
}

// frameHandler is what a fake node does at each frame of each connection; the request is that of a request
// frame.
type frameHandler func(conn *proto.Conn, frame proto.Frame, request proto.Request) error

// fakeNode is a node whose behaviour each test writes itself.
type fakeNode struct {
	ln    net.Listener
	got   atomic.Int64
	conns chan *proto.Conn
}

// testEnvironment is an instance with a registry and fake nodes.
type testEnvironment struct {
	t      *testing.T
	ctx    context.Context
	cancel context.CancelFunc
	wg     sync.WaitGroup
	list   *registry.Server
	lists  string
	logs   *syncBuffer
	inst   *Instance
	ended  chan error
}

// syncBuffer is a buffer that several goroutines may use.
type syncBuffer struct {
	mu sync.Mutex
	b  bytes.Buffer
}

func (s *syncBuffer) Write(p []byte) (int, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.b.Write(p)
}

func (s *syncBuffer) String() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.b.String()
}

func newTestEnvironment(t *testing.T) *testEnvironment {
	t.Helper()
	r := &testEnvironment{t: t, logs: &syncBuffer{}, ended: make(chan error, 1)}
	r.ctx, r.cancel = context.WithCancel(context.Background())
	ln := r.listen()
	r.lists = ln.Addr().String()
	r.list = registry.NewServer(registry.ServerConfig{Epoch: 1, MaxWait: time.Second})
	r.wg.Go(func() { _ = r.list.Serve(r.ctx, ln) })
	t.Cleanup(func() { r.cancel(); r.wg.Wait() })
	return r
}

func (r *testEnvironment) listen() net.Listener {
	r.t.Helper()
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		r.t.Fatal(err)
	}
	return ln
}

// node runs a fake node and lists it under a cell.
func (r *testEnvironment) node(cell uint16, serve frameHandler) *fakeNode {
	return r.nodeOf(proto.Config{}, cell, serve)
}

func (r *testEnvironment) nodeOf(cfg proto.Config, cell uint16,
	serve frameHandler) *fakeNode {
	n := &fakeNode{ln: r.listen(), conns: make(chan *proto.Conn, 64)}
	r.serve(n, cfg, serve)
	r.list.Put(n.entry(cell, scheduler.Ready))
	return n
}

// serve lets a fake node take connections.
func (r *testEnvironment) serve(n *fakeNode, cfg proto.Config,
	serve frameHandler) {
	r.wg.Go(func() {
		_ = proto.Serve(r.ctx, n.ln, cfg, 64, func(ctx context.Context, c *proto.Conn) {
			select {
			case n.conns <- c:
			default:
			}
			_ = c.Run(ctx, func(f proto.Frame) error {
				var q proto.Request
				if f.Type == proto.TypeRequest {
					n.got.Add(1)
					if err := errors.Join(f.Decode(&q), c.OpenStream(f.Stream)); err != nil {
						return err
					}
				}
				return serve(c, f, q)
			})
		})
	})
}

func (n *fakeNode) entry(cell uint16, s scheduler.Status) endpoints.Endpoint {
	server, _ := registry.ServerFromAddrPort(n.ln.Addr().(*net.TCPAddr).AddrPort())
	return endpoints.Endpoint{Server: server, Status: s, Cell: cell, NominalCapacity: 1}
}

// echo answers each request at once.
func echo(c *proto.Conn, f proto.Frame, _ proto.Request) error {
	if f.Type != proto.TypeRequest {
		return nil
	}
	c.CloseStream(f.Stream)
	return c.Send(proto.TypeAnswer, f.Stream, proto.Answer{Code: proto.OK}, []byte("data"))
}

// ignoreRequest answers nothing.
func ignoreRequest(*proto.Conn, proto.Frame, proto.Request) error { return nil }

// start runs the instance.
func (r *testEnvironment) start(change func(*Config)) *Instance {
	r.t.Helper()
	cfg := Config{Number: 0, Instances: 1, Seed: 1, Site: testSite(), Listener: r.listen(), Registry: r.lists,
		ShutdownTimeout: 5 * time.Second,
		Log:             slog.New(slog.NewTextHandler(r.logs, &slog.HandlerOptions{Level: slog.LevelDebug}))}
	if change != nil {
		change(&cfg)
	}
	inst, err := New(cfg)
	if err != nil {
		r.t.Fatal(err)
	}
	r.inst = inst
	r.wg.Go(func() { r.ended <- inst.Run(r.ctx) })
	return inst
}

// logged waits until the instance has logged a text.
func (r *testEnvironment) logged(text string) {
	r.t.Helper()
	for range 500 {
		if strings.Contains(r.logs.String(), text) {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	r.t.Fatalf("never logged: %s\n%s", text, r.logs.String())
}

// client connects a client to the instance.
func (r *testEnvironment) client() *testClient {
	r.t.Helper()
	conn, err := proto.Dial(r.ctx, r.inst.Addr().String(), proto.Config{Limits: proto.Limits{Header: 4096,
		Payload: 8 << 20, Streams: 1 << 16, Backlog: 256 << 20}})
	if err != nil {
		r.t.Fatal(err)
	}
	c := &testClient{t: r.t, conn: conn, answers: map[uint64][]proto.Answer{}, bodies: map[uint64][]byte{},
		ended: make(chan struct{})}
	r.wg.Go(func() {
		defer close(c.ended)
		_ = conn.Run(r.ctx, func(f proto.Frame) error {
			if f.Type != proto.TypeAnswer {
				return nil
			}
			var a proto.Answer
			if err := f.Decode(&a); err != nil {
				return err
			}
			conn.CloseStream(f.Stream)
			c.mu.Lock()
			defer c.mu.Unlock()
			c.answers[f.Stream] = append(c.answers[f.Stream], a)
			c.bodies[f.Stream] = f.Payload
			return nil
		})
	})
	return c
}

// echoAfter answers each request after a while.
func echoAfter(d time.Duration) frameHandler {
	return func(c *proto.Conn, f proto.Frame, q proto.Request) error {
		if f.Type == proto.TypeRequest {
			time.AfterFunc(d, func() { _ = echo(c, f, q) })
		}
		return nil
	}
}
