package daemon

import (
	"errors"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"landingpaddle/internal/proto"
	"landingpaddle/scheduler"
)

// A connection that breaks with 30 attempts in flight gives each its own result, and each request one
// answer.
func TestUpstreamPool_ReportsResetForEachAttemptInFlight(t *testing.T) {
	r := newTestEnvironment(t)
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
	r.start(func(cfg *Config) { cfg.Hooks.Decider = countResults(&outcomes, scheduler.Reset) })
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

// Requests larger than a node takes are not sent and use no stream of its connection: a stream that was
// opened for one and never ended would be lost for good.
func TestUpstreamPool_OversizedRequestsTakeNoStreams(t *testing.T) {
	r := newTestEnvironment(t)
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

// A node accepts requests and never answers. Every request is answered before its client's time is up, and
// no more are in flight on a connection than was agreed.
func TestUpstreamPool_KeepsStreamLimitOfSilentNode(t *testing.T) {
	r := newTestEnvironment(t)
	n := r.node(0, ignoreRequest)
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

// A node that never greets, and a port where nobody listens: the requests are known not to have run, so
// they are rejected.
func TestUpstreamPool_RejectsRequestsToUnreachableNodes(t *testing.T) {
	r := newTestEnvironment(t)
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
