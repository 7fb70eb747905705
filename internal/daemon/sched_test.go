package daemon

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"net/netip"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"go.uber.org/goleak"

	"landingpaddle/endpoints"
	"landingpaddle/internal/config"
	"landingpaddle/internal/peer"
	"landingpaddle/internal/proto"
	"landingpaddle/internal/registry"
	"landingpaddle/scheduler"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

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

// fakeNode is a node whose behaviour each test writes itself.
type fakeNode struct {
	ln    net.Listener
	got   atomic.Int64
	conns chan *proto.Conn
}

// rig is an instance with a list service, fake nodes and one client's connection.
type rig struct {
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

func newRig(t *testing.T) *rig {
	r := &rig{t: t, logs: &syncBuffer{}, ended: make(chan error, 1)}
	r.ctx, r.cancel = context.WithCancel(context.Background())
	ln := r.listen()
	r.lists = ln.Addr().String()
	r.list = registry.NewServer(registry.ServerConfig{Epoch: 1, MaxWait: time.Second})
	r.wg.Go(func() { _ = r.list.Serve(r.ctx, ln) })
	t.Cleanup(func() { r.cancel(); r.wg.Wait() })
	return r
}

func (r *rig) listen() net.Listener {
	r.t.Helper()
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		r.t.Fatal(err)
	}
	return ln
}

// node runs a fake node and lists it under a cell. serve runs for each frame of each connection.
func (r *rig) node(cell uint16, serve func(c *proto.Conn, f proto.Frame, q proto.Request) error) *fakeNode {
	return r.nodeOf(proto.Config{}, cell, serve)
}

func (r *rig) nodeOf(cfg proto.Config, cell uint16,
	serve func(c *proto.Conn, f proto.Frame, q proto.Request) error) *fakeNode {
	n := &fakeNode{ln: r.listen(), conns: make(chan *proto.Conn, 64)}
	r.serve(n, cfg, serve)
	r.list.Put(n.entry(cell, scheduler.Ready))
	return n
}

// serve lets a fake node take connections.
func (r *rig) serve(n *fakeNode, cfg proto.Config,
	serve func(c *proto.Conn, f proto.Frame, q proto.Request) error) {
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

func silent(*proto.Conn, proto.Frame, proto.Request) error { return nil }

// start runs the instance and waits until it knows as many nodes.
func (r *rig) start(change func(*Config)) *Instance {
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

func (r *rig) logged(text string) {
	r.t.Helper()
	for range 500 {
		if strings.Contains(r.logs.String(), text) {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	r.t.Fatalf("never logged: %s\n%s", text, r.logs.String())
}

// caller collects all answers to what it sends.
type caller struct {
	t       *testing.T
	conn    *proto.Conn
	mu      sync.Mutex
	answers map[uint64][]proto.Answer
	bodies  map[uint64][]byte
	ended   chan struct{}
	next    uint64
}

func (r *rig) client() *caller {
	r.t.Helper()
	conn, err := proto.Dial(r.ctx, r.inst.Addr().String(), proto.Config{Limits: proto.Limits{Header: 4096,
		Payload: 8 << 20, Streams: 1 << 16, Backlog: 256 << 20}})
	if err != nil {
		r.t.Fatal(err)
	}
	c := &caller{t: r.t, conn: conn, answers: map[uint64][]proto.Answer{}, bodies: map[uint64][]byte{},
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

func (c *caller) ask(change func(*proto.Request)) uint64 { return c.send(nil, change) }

func (c *caller) send(payload []byte, change func(*proto.Request)) uint64 {
	c.t.Helper()
	c.next++
	q := proto.Request{Token: c.next, Volume: 1, Units: 1, Timeout: 4 * time.Second, VolumeInstances: 1}
	if change != nil {
		change(&q)
	}
	err := errors.Join(c.conn.OpenStream(c.next), c.conn.Send(proto.TypeRequest, c.next, q, payload))
	if err != nil {
		c.t.Fatal(err)
	}
	return c.next
}

// wait returns the answers to a request once there is one.
func (c *caller) wait(stream uint64) proto.Answer {
	c.t.Helper()
	for range 1000 {
		if a := c.all(stream); len(a) > 0 {
			return a[0]
		}
		time.Sleep(10 * time.Millisecond)
	}
	c.t.Fatalf("request %d: no answer", stream)
	return proto.Answer{}
}

func (c *caller) all(stream uint64) []proto.Answer {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.answers[stream]
}

// once checks that all requests have exactly one final answer.
func (c *caller) once() {
	c.t.Helper()
	c.mu.Lock()
	defer c.mu.Unlock()
	for s := uint64(1); s <= c.next; s++ {
		if n := len(c.answers[s]); n != 1 {
			c.t.Errorf("request %d has %d final answers", s, n)
		}
	}
}

func TestARequestIsServedWithItsData(t *testing.T) {
	r := newRig(t)
	r.node(0, echo)
	r.start(nil)
	r.logged("node listed")
	c := r.client()
	if a := c.wait(c.ask(nil)); a.Code != proto.OK || string(c.bodies[1]) != "data" {
		t.Errorf("got %+v, %q", a, c.bodies[1])
	}
	for _, bad := range []func(*proto.Request){
		func(q *proto.Request) { q.Class = 9 }, func(q *proto.Request) { q.Plan = 9 },
		func(q *proto.Request) { q.Units = 0 }, func(q *proto.Request) { q.Units = 1000 },
		func(q *proto.Request) { q.Timeout = 0 }, func(q *proto.Request) { q.Timeout = 100 * time.Hour },
		func(q *proto.Request) { q.Cell = -2 }, func(q *proto.Request) { q.Cell = 1 << 20 }} {
		if a := c.wait(c.ask(bad)); a.Code != proto.Rejected || a.Reason != ReasonBadRequest {
			t.Errorf("a bad request got %+v", a)
		}
	}
	c.once()
}

// A connection that breaks with 30 attempts out gives each its own outcome, and each request one answer.
func TestAResetWithThirtyAttemptsOut(t *testing.T) {
	r := newRig(t)
	var n *fakeNode
	var broken atomic.Bool
	n = r.node(0, func(c *proto.Conn, f proto.Frame, q proto.Request) error {
		if n.got.Load() >= 30 && broken.CompareAndSwap(false, true) {
			c.Close(nil)
			return nil
		}
		if broken.Load() {
			return echo(c, f, q)
		}
		return nil
	})
	var outcomes atomic.Int64
	r.start(func(cfg *Config) { cfg.Hooks.Decider = counting(&outcomes, scheduler.Reset) })
	r.logged("node listed")
	c := r.client()
	for range 30 {
		c.ask(nil)
	}
	for s := uint64(1); s <= 30; s++ {
		if a := c.wait(s); a.Code != proto.OK && a.Code != proto.Rejected {
			t.Errorf("request %d: %+v", s, a)
		}
	}
	if outcomes.Load() != 30 {
		t.Errorf("%d outcomes of a reset, want 30", outcomes.Load())
	}
	c.once()
}

// sendAll is a decider that sends every request at once to the node of its cell, and fails it when that
// fails.
type sendAll struct {
	nodes map[uint16]scheduler.Server
	acts  []scheduler.Action
	count *atomic.Int64
	code  scheduler.ResultCode
	allow time.Duration
}

func counting(n *atomic.Int64, code scheduler.ResultCode) func(scheduler.Settings, Decider) Decider {
	return func(scheduler.Settings, Decider) Decider {
		return &sendAll{nodes: map[uint16]scheduler.Server{}, count: n, code: code}
	}
}

func (s *sendAll) Handle(_ time.Duration, ev scheduler.Event) {
	switch x := ev.(type) {
	case scheduler.EndpointUpdate:
		for _, e := range x.Endpoints {
			s.nodes[e.Cell] = e.Server
		}
	case scheduler.Request:
		s.acts = append(s.acts, scheduler.Send{ID: x.ID, Server: s.nodes[uint16(x.Cell)], Timeout: s.allow})
	case scheduler.AttemptResult:
		if x.Code == s.code {
			s.count.Add(1)
		}
		if !x.RequestDone {
			s.acts = append(s.acts, scheduler.Reject{ID: x.ID})
		}
	}
}

func (s *sendAll) Decide(time.Duration) []scheduler.Action {
	acts := s.acts
	s.acts = nil
	return acts
}

// Requests over what a node takes are not sent, and cost its connection nothing: a stream that was opened
// for one and never ended would take a place for good.
func TestRequestsOverANodesLimitTakeNoStreams(t *testing.T) {
	r := newRig(t)
	r.nodeOf(proto.Config{Limits: proto.Limits{Header: 4096, Payload: 10, Streams: 4, Backlog: 1 << 20}}, 0,
		echo)
	r.start(func(cfg *Config) { cfg.Site.Limits.NodeConnections = 1 })
	r.logged("node listed")
	c := r.client()
	for range 8 {
		c.next++
		q := proto.Request{Token: c.next, Volume: 1, Units: 1, Timeout: 300 * time.Millisecond, Write: true}
		err := errors.Join(
			c.conn.OpenStream(c.next),
			c.conn.Send(proto.TypeRequest, c.next, q, make([]byte, 100)),
		)
		if err != nil {
			t.Fatal(err)
		}
		if a := c.wait(c.next); a.Code != proto.Rejected {
			t.Fatalf("an oversized request got %+v", a)
		}
	}
	time.Sleep(time.Second) // the module leaves a node alone for a while that seems out of reach
	if a := c.wait(c.ask(nil)); a.Code != proto.OK {
		t.Errorf("after that a small one got %+v", a)
	}
	c.once()
}

// A node that accepts and never answers: every request is answered before its client's time is up, and no
// more is in flight on a connection than was agreed.
func TestANodeThatNeverAnswers(t *testing.T) {
	r := newRig(t)
	n := r.node(0, silent)
	r.start(func(cfg *Config) { cfg.Site.Limits.Streams, cfg.Site.Limits.NodeConnections = 8, 2 })
	r.logged("node listed")
	c := r.client()
	start := time.Now()
	for range 100 {
		c.ask(func(q *proto.Request) { q.Timeout = 500 * time.Millisecond })
	}
	for s := uint64(1); s <= 100; s++ {
		c.wait(s)
	}
	if took := time.Since(start); took > 2*time.Second {
		t.Errorf("answered after %v, wait was 500 ms", took)
	}
	if got := n.got.Load(); got > 16 {
		t.Errorf("%d in flight on 2 connections of 8", got)
	}
	c.once()
}

// A node that cannot be greeted, a port where nobody listens: known not to have run, so refused.
func TestConnectFailures(t *testing.T) {
	r := newRig(t)
	mute := r.listen() // accepts by the system's backlog, greets never
	dead := r.listen()
	dead.Close()
	t.Cleanup(func() { mute.Close() })
	for cell, ln := range []net.Listener{mute, dead} {
		r.list.Put((&fakeNode{ln: ln}).entry(uint16(cell), scheduler.Ready))
	}
	r.start(nil)
	r.logged("cell=1")
	c := r.client()
	for cell := range int32(2) {
		a := c.wait(c.ask(func(q *proto.Request) { q.Cell, q.Class = cell, 1; q.Key = uint64(cell) + 1 }))
		if a.Code != proto.Rejected || a.Reason != ReasonNodeUnreachable && a.Reason != ReasonNotInTime {
			t.Errorf("cell %d: %+v", cell, a)
		}
	}
	c.once()
}

// The answer and the client's time-out in the same instant, over and over: always exactly one final answer.
func TestAnswerAndTimeoutInTheSameInstant(t *testing.T) {
	r := newRig(t)
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
	inst := r.start(func(cfg *Config) { cfg.Hooks.Decider = counting(&n, scheduler.TimedOut) })
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

// A node tells on its connection that it drains, while requests are being carried out: nothing new reaches it
// after the grace, though the list still has it as ready.
func TestADrainNoticeOnTheConnection(t *testing.T) {
	r := newRig(t)
	n := r.node(0, echo)
	r.start(nil)
	r.logged("node listed")
	c := r.client()
	var stop atomic.Bool
	var wg sync.WaitGroup
	wg.Go(func() {
		for !stop.Load() {
			c.ask(func(q *proto.Request) { q.Timeout = 300 * time.Millisecond })
			time.Sleep(time.Millisecond)
		}
	})
	conn := <-n.conns
	time.Sleep(50 * time.Millisecond)
	if err := conn.Send(proto.TypeDrain, 0, nil, nil); err != nil {
		t.Fatal(err)
	}
	r.logged("node draining")
	time.Sleep(100 * time.Millisecond)
	before := n.got.Load()
	time.Sleep(200 * time.Millisecond)
	stop.Store(true)
	wg.Wait()
	if after := n.got.Load(); after != before {
		t.Errorf("%d requests reached the node after its notice", after-before)
	}
	for s := uint64(1); s <= c.next; s++ {
		c.wait(s)
	}
	c.once()
}

// Ten thousand requests in one burst: each gets one answer, and those over the bound one that says when to
// come back.
func TestABurstOfTenThousand(t *testing.T) {
	r := newRig(t)
	r.node(0, echo)
	inst := r.start(func(cfg *Config) { cfg.Site.Limits.MaxOpenRequests = 2000 })
	r.logged("node listed")
	callers := []*caller{r.client(), r.client()} // one connection has 8,192 in flight at most
	for range 5000 {
		for _, c := range callers {
			c.ask(nil)
		}
	}
	overload := 0
	for _, c := range callers {
		for s := uint64(1); s <= 5000; s++ {
			if a := c.wait(s); a.Reason == ReasonOverload {
				if overload++; a.RetryAfter <= 0 {
					t.Fatal("refused without advice")
				}
			}
		}
		c.once()
	}
	t.Logf("%d over the bound, %d served", overload, inst.Stats.Served.Load())
	if open := inst.openCalls.Load(); open != 0 {
		t.Errorf("%d counted as open after all", open)
	}
}

// An instance that stops answers all that it holds, takes nothing new, and ends.
func TestStopAnswersAllThatIsHeld(t *testing.T) {
	r := newRig(t)
	r.node(0, func(c *proto.Conn, f proto.Frame, q proto.Request) error {
		if f.Type == proto.TypeRequest {
			time.AfterFunc(200*time.Millisecond, func() {
				c.CloseStream(f.Stream)
				_ = c.Send(proto.TypeAnswer, f.Stream, proto.Answer{Code: proto.OK}, nil)
			})
		}
		return nil
	})
	inst := r.start(nil)
	r.logged("node listed")
	c := r.client()
	for range 5 {
		c.ask(nil)
	}
	for inst.Stats.Attempts.Load() < 5 {
		time.Sleep(time.Millisecond)
	}
	inst.Stop()
	r.logged("instance stopping")
	if a := c.wait(c.ask(nil)); a.Reason != ReasonStopping || a.RetryAfter <= 0 {
		t.Errorf("a new request got %+v", a)
	}
	select {
	case err := <-r.ended:
		if err != nil {
			t.Errorf("ended with %v", err)
		}
	case <-time.After(5 * time.Second):
		t.Fatal("does not end")
	}
	for s := uint64(1); s <= 5; s++ {
		if a := c.wait(s); a.Code != proto.OK {
			t.Errorf("held request %d got %+v", s, a)
		}
	}
	<-c.ended
	c.once()
}

// A kill ends at once: connections close, held requests get no answer, no goroutine stays.
func TestKillEndsAtOnce(t *testing.T) {
	r := newRig(t)
	r.node(0, silent)
	inst := r.start(nil)
	r.logged("node listed")
	c := r.client()
	c.ask(nil)
	for inst.Stats.Attempts.Load() < 1 {
		time.Sleep(time.Millisecond)
	}
	start := time.Now()
	r.cancel()
	<-r.ended
	<-c.ended
	if took := time.Since(start); took > 2*time.Second || len(c.all(1)) != 0 {
		t.Errorf("ended after %v with %v", took, c.all(1))
	}
}

// A client that goes away ends its requests: nothing more is sent for them.
func TestAClientThatLeaves(t *testing.T) {
	r := newRig(t)
	r.node(0, silent)
	inst := r.start(nil)
	r.logged("node listed")
	c := r.client()
	for range 20 {
		c.ask(nil)
	}
	for inst.Stats.Admitted.Load() < 20 {
		time.Sleep(time.Millisecond)
	}
	c.conn.Close(nil)
	<-c.ended
	for inst.Stats.ClientGone.Load() < 20 {
		time.Sleep(time.Millisecond)
	}
	if open := inst.openCalls.Load(); open != 0 {
		t.Errorf("%d still open", open)
	}
}

// A module that answers nothing is caught by the net under it: one failed answer, logged as our fault.
func TestOverdueIsAnsweredAndLogged(t *testing.T) {
	r := newRig(t)
	r.node(0, echo)
	inst := r.start(func(cfg *Config) {
		cfg.Hooks.Decider = func(scheduler.Settings, Decider) Decider { return mute{} }
	})
	c := r.client()
	a := c.wait(c.ask(func(q *proto.Request) { q.Timeout = 100 * time.Millisecond }))
	if a.Code != proto.Failed || a.Reason != ReasonOverdue || inst.Stats.Overdue.Load() != 1 {
		t.Errorf("got %+v", a)
	}
	r.logged("overdue")
	c.once()
}

type mute struct{}

func (mute) Handle(time.Duration, scheduler.Event)   {}
func (mute) Decide(time.Duration) []scheduler.Action { return nil }

// The kept list: used after a restart while the list service is away; a damaged one is left out and told
// of; a full disk costs nothing but the list.
func TestKeptListAtARestart(t *testing.T) {
	r := newRig(t)
	r.node(0, echo)
	file := registry.SnapshotFile{Path: filepath.Join(t.TempDir(), "list")}
	inst := r.start(func(cfg *Config) { cfg.Snapshot = file })
	r.logged("node listed")
	for range 200 {
		if k, err := file.Load(); err == nil && len(k.Endpoints) == 1 {
			break
		}
		time.Sleep(10 * time.Millisecond)
	}
	inst.Stop()
	<-r.ended
	r.list.SetDown(true)
	r.start(func(cfg *Config) { cfg.Snapshot, cfg.Site.PollEndpoints = file, true })
	c := r.client()
	if a := c.wait(c.ask(nil)); a.Code != proto.OK {
		t.Errorf("with the kept list alone: %+v", a)
	}
	r.inst.Stop()
	<-r.ended

	if err := os.WriteFile(file.Path, []byte("damaged"), 0o644); err != nil {
		t.Fatal(err)
	}
	full := file
	full.Write = func(string, []byte) error { return syscall.ENOSPC }
	r.list.SetDown(false)
	r.start(func(cfg *Config) { cfg.Snapshot = full })
	r.logged("endpoint snapshot ignored")
	r.logged("no space left on device")
	c = r.client()
	if a := c.wait(c.ask(nil)); a.Code != proto.OK {
		t.Errorf("with a full disk: %+v", a)
	}
}

// Peers may send garbage: it is dropped, and the instance works on.
func TestPeersThatSendGarbage(t *testing.T) {
	r := newRig(t)
	r.node(0, echo)
	peers := map[uint32]netip.AddrPort{}
	other, err := peer.Listen("127.0.0.1:0", 1, peers, nil)
	if err != nil {
		t.Fatal(err)
	}
	peers[1] = other.Addr()
	var heard atomic.Int64
	inst := r.start(func(cfg *Config) {
		cfg.Instances, cfg.PeerListen, cfg.Peers = 2, "127.0.0.1:0", peers
		cfg.Hooks.Decider = func(_ scheduler.Settings, host Decider) Decider {
			return peerCount{host,
				&heard}
		}
	})
	r.logged("node listed")
	out, err := net.Dial("udp4", inst.PeerAddr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer out.Close()
	good, _ := peer.Encode(1, []byte("from a peer"))
	for i := range 200 {
		fmt.Fprintf(out, "garbage %d", i)
	}
	if _, err := out.Write(good); err != nil {
		t.Fatal(err)
	}
	c := r.client()
	if a := c.wait(c.ask(nil)); a.Code != proto.OK {
		t.Errorf("got %+v", a)
	}
	for range 200 {
		if heard.Load() == 1 {
			break
		}
		time.Sleep(10 * time.Millisecond)
	}
	if heard.Load() != 1 {
		t.Errorf("%d messages reached the module, want 1", heard.Load())
	}
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	_ = other.Run(ctx, func(scheduler.PeerMessage) {})
}

type peerCount struct {
	Decider
	n *atomic.Int64
}

func (p peerCount) Handle(now time.Duration, ev scheduler.Event) {
	if _, ok := ev.(scheduler.PeerMessage); ok {
		p.n.Add(1)
	}
	p.Decider.Handle(now, ev)
}

// Probe, Close, Tell, Log, Fetch and Cancel are carried out as asked.
func TestEveryOtherActionIsCarriedOut(t *testing.T) {
	r := newRig(t)
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
	s := &script{server: server, seen: make(chan scheduler.Event, 64)}
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

// script sends, cancels, probes, logs and fetches once.
type script struct {
	server scheduler.Server
	seen   chan scheduler.Event
	acts   []scheduler.Action
}

func (s *script) Handle(_ time.Duration, ev scheduler.Event) {
	select {
	case s.seen <- ev:
	default:
	}
	switch x := ev.(type) {
	case scheduler.Request:
		s.acts = append(s.acts, scheduler.Send{ID: x.ID, Server: s.server},
			scheduler.CheckHealth{Server: s.server},
			scheduler.WriteLog{Text: "hello operators"}, scheduler.FetchEndpoints{},
			scheduler.SetTimer{Token: 5,
				After: 100 * time.Millisecond}, scheduler.CloseIdle{Server: s.server})
	case scheduler.TimerFired:
		s.acts = append(s.acts, scheduler.Cancel{ID: 1, Attempt: 0})
	case scheduler.AttemptResult:
		s.acts = append(s.acts, scheduler.Fail{ID: x.ID})
	}
}

func (s *script) Decide(time.Duration) []scheduler.Action {
	acts := s.acts
	s.acts = nil
	return acts
}

// A node whose greeting tells of a newer start than the list, on the very connection that a request waits
// for, is another process than the one decided on, and cold: the request is not sent before it is decided
// on anew.
func TestGreetingOfANewerStart(t *testing.T) {
	r := newRig(t)
	boot := time.Now().Add(-2 * time.Minute).UnixNano()
	n := &fakeNode{ln: r.listen(), conns: make(chan *proto.Conn, 64)}
	r.serve(n, proto.Config{Hello: proto.Hello{Role: "node", StartedAt: boot + int64(time.Minute)}}, echo)
	e := n.entry(0, scheduler.Ready)
	e.StartedAt = boot
	r.list.Put(e)
	r.start(nil)
	r.logged("node=" + n.ln.Addr().String())
	c := r.client()
	if a := c.wait(c.ask(nil)); a.Code != proto.OK {
		t.Errorf("got %+v", a)
	}
	if s := &r.inst.Stats; n.got.Load() != 1 || s.ConnectFailed.Load() != 1 || s.Attempts.Load() != 2 {
		t.Errorf("%d requests came, %d attempts were not made, %d decided on; want 1, 1 and 2", n.got.Load(),
			s.ConnectFailed.Load(), s.Attempts.Load())
	}
}
