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

// testSite returns a site with a class of reads and a class of writes that are idempotent and ordered by key.
func testSite() config.Site {
	site := config.DefaultSite()
	site.Classes = []config.Class{
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
	site.Plans = []config.Plan{{Name: "p", Rate: 100, Weight: 1, PriorityWeight: 1}}
	site.Rules.OrderingPause = 50 * time.Millisecond
	return site
}

// frameHandler handles a frame received by a fake node. The request is decoded from a request frame and zero
// for other frames. An error ends the connection.
type frameHandler func(conn *proto.Conn, frame proto.Frame, request proto.Request) error

// fakeNode is a node whose frame handler is supplied by the test.
type fakeNode struct {
	listener     net.Listener
	requestCount atomic.Int64     // request frames received
	connections  chan *proto.Conn // accepted ones, up to the buffer's capacity
}

// testEnvironment is an instance with a registry and fake nodes.
type testEnvironment struct {
	t            *testing.T
	ctx          context.Context
	cancel       context.CancelFunc
	goroutines   sync.WaitGroup
	registry     *registry.Server
	registryAddr string
	logs         *syncBuffer
	instance     *Instance
	ended        chan error // receives the result of Instance.Run
}

// syncBuffer is a buffer that is safe for concurrent use.
type syncBuffer struct {
	mu     sync.Mutex
	buffer bytes.Buffer
}

func (s *syncBuffer) Write(p []byte) (int, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.buffer.Write(p)
}

func (s *syncBuffer) String() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.buffer.String()
}

func newTestEnvironment(t *testing.T) *testEnvironment {
	t.Helper()
	env := &testEnvironment{t: t, logs: &syncBuffer{}, ended: make(chan error, 1)}
	env.ctx, env.cancel = context.WithCancel(context.Background())
	ln := env.listen()
	env.registryAddr = ln.Addr().String()
	env.registry = registry.NewServer(registry.ServerConfig{Epoch: 1, MaxWait: time.Second})
	env.goroutines.Go(func() { _ = env.registry.Serve(env.ctx, ln) })
	t.Cleanup(func() { env.cancel(); env.goroutines.Wait() })
	return env
}

func (e *testEnvironment) listen() net.Listener {
	e.t.Helper()
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		e.t.Fatal(err)
	}
	return ln
}

// addNode starts a fake node, whose frames are passed to handle, and registers it for a cell.
func (e *testEnvironment) addNode(cell uint16, handle frameHandler) *fakeNode {
	return e.addNodeWithConfig(proto.Config{}, cell, handle)
}

func (e *testEnvironment) addNodeWithConfig(cfg proto.Config, cell uint16,
	handle frameHandler) *fakeNode {
	node := &fakeNode{listener: e.listen(), connections: make(chan *proto.Conn, 64)}
	e.serve(node, cfg, handle)
	e.registry.Put(node.endpoint(cell, scheduler.Ready))
	return node
}

// serve accepts connections to a fake node in the background.
func (e *testEnvironment) serve(node *fakeNode, cfg proto.Config,
	handle frameHandler) {
	e.goroutines.Go(func() {
		_ = proto.Serve(e.ctx, node.listener, cfg, 64, func(ctx context.Context, conn *proto.Conn) {
			select {
			case node.connections <- conn:
			default:
			}
			_ = conn.Run(ctx, func(frame proto.Frame) error {
				var request proto.Request
				if frame.Type == proto.TypeRequest {
					node.requestCount.Add(1)
					if err := errors.Join(frame.Decode(&request), conn.OpenStream(frame.Stream)); err != nil {
						return err
					}
				}
				return handle(conn, frame, request)
			})
		})
	})
}

func (n *fakeNode) endpoint(cell uint16, status scheduler.Status) endpoints.Endpoint {
	server, _ := registry.ServerFromAddrPort(n.listener.Addr().(*net.TCPAddr).AddrPort())
	return endpoints.Endpoint{Server: server, Status: status, Cell: cell, NominalCapacity: 1}
}

// echo answers each request immediately.
func echo(conn *proto.Conn, frame proto.Frame, _ proto.Request) error {
	if frame.Type != proto.TypeRequest {
		return nil
	}
	conn.CloseStream(frame.Stream)
	return conn.Send(proto.TypeAnswer, frame.Stream, proto.Answer{Code: proto.OK}, []byte("data"))
}

// ignoreRequest accepts every frame and never answers.
func ignoreRequest(*proto.Conn, proto.Frame, proto.Request) error { return nil }

// start starts an instance in the background. change modifies its default configuration; it may be nil.
func (e *testEnvironment) start(change func(*Config)) *Instance {
	e.t.Helper()
	cfg := Config{
		Instances:       1,
		Seed:            1,
		Site:            testSite(),
		Listener:        e.listen(),
		Registry:        e.registryAddr,
		ShutdownTimeout: 5 * time.Second,
		Log:             slog.New(slog.NewTextHandler(e.logs, &slog.HandlerOptions{Level: slog.LevelDebug})),
	}
	if change != nil {
		change(&cfg)
	}
	instance, err := New(cfg)
	if err != nil {
		e.t.Fatal(err)
	}
	e.instance = instance
	e.goroutines.Go(func() { e.ended <- instance.Run(e.ctx) })
	return instance
}

// awaitLog waits up to 5 s until the log contains a text.
func (e *testEnvironment) awaitLog(text string) {
	e.t.Helper()
	for range 500 {
		if strings.Contains(e.logs.String(), text) {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	e.t.Fatalf("not logged within 5s: %s\nlog:\n%s", text, e.logs.String())
}

// connectClient connects a client to the instance.
func (e *testEnvironment) connectClient() *testClient {
	e.t.Helper()
	conn, err := proto.Dial(
		e.ctx,
		e.instance.Addr().String(),
		proto.Config{Limits: proto.Limits{MaxHeader: 4096,
			MaxPayload: 8 << 20, MaxStreams: 1 << 16, MaxBacklog: 256 << 20}},
	)
	if err != nil {
		e.t.Fatal(err)
	}
	client := &testClient{
		t:        e.t,
		conn:     conn,
		answers:  map[uint64][]proto.Answer{},
		payloads: map[uint64][]byte{},
		ended:    make(chan struct{}),
	}
	e.goroutines.Go(func() {
		defer close(client.ended)
		_ = conn.Run(e.ctx, func(frame proto.Frame) error {
			if frame.Type != proto.TypeAnswer {
				return nil
			}
			var answer proto.Answer
			if err := frame.Decode(&answer); err != nil {
				return err
			}
			conn.CloseStream(frame.Stream)
			client.mu.Lock()
			defer client.mu.Unlock()
			client.answers[frame.Stream] = append(client.answers[frame.Stream], answer)
			client.payloads[frame.Stream] = frame.Payload
			return nil
		})
	})
	return client
}

// echoAfter answers each request after a delay.
func echoAfter(delay time.Duration) frameHandler {
	return func(conn *proto.Conn, frame proto.Frame, request proto.Request) error {
		if frame.Type == proto.TypeRequest {
			time.AfterFunc(delay, func() { _ = echo(conn, frame, request) })
		}
		return nil
	}
}
