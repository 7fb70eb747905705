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
	env := newTestEnvironment(t)
	var node *fakeNode
	var broken atomic.Bool
	node = env.node(0, func(conn *proto.Conn, frame proto.Frame, request proto.Request) error {
		if node.requestCount.Load() >= 30 && broken.CompareAndSwap(false, true) {
			conn.Close(nil)
			return nil
		}
		if broken.Load() {
			return echo(conn, frame, request)
		}
		return nil
	})
	var outcomes atomic.Int64
	env.start(func(cfg *Config) { cfg.Hooks.Decider = countResults(&outcomes, scheduler.Reset) })
	env.awaitLog("node listed")
	client := env.client()
	for range 30 {
		client.sendRequest(nil)
	}
	for stream := uint64(1); stream <= 30; stream++ {
		if answer := client.awaitAnswer(stream); answer.Code != proto.OK && answer.Code != proto.Rejected {
			t.Errorf("request %d: %+v", stream, answer)
		}
	}
	if outcomes.Load() != 30 {
		t.Errorf("%d outcomes of a reset, want 30", outcomes.Load())
	}
	client.expectOneAnswerEach()
}

// Requests larger than a node takes are not sent and use no stream of its connection: a stream that was
// opened for one and never ended would be lost for good.
func TestUpstreamPool_OversizedRequestsTakeNoStreams(t *testing.T) {
	env := newTestEnvironment(t)
	limits := proto.Limits{MaxHeader: 4096, MaxPayload: 10, MaxStreams: 4, MaxBacklog: 1 << 20}
	env.nodeWithConfig(proto.Config{Limits: limits}, 0, echo)
	env.start(func(cfg *Config) { cfg.Site.Limits.NodeConnections = 1 })
	env.awaitLog("node listed")
	client := env.client()
	for range 8 {
		client.lastStream++
		request := proto.Request{
			Token:   client.lastStream,
			Volume:  1,
			Units:   1,
			Timeout: 300 * time.Millisecond,
			Write:   true,
		}
		err := errors.Join(
			client.conn.OpenStream(client.lastStream),
			client.conn.Send(proto.TypeRequest, client.lastStream, request, make([]byte, 100)),
		)
		if err != nil {
			t.Fatal(err)
		}
		if answer := client.awaitAnswer(client.lastStream); answer.Code != proto.Rejected {
			t.Fatalf("an oversized request got %+v", answer)
		}
	}
	time.Sleep(time.Second) // the module leaves a node alone for a while that seems out of reach
	if answer := client.call(nil); answer.Code != proto.OK {
		t.Errorf("after that a small one got %+v", answer)
	}
	client.expectOneAnswerEach()
}

// A node accepts requests and never answers. Every request is answered before its client's time is up, and
// no more are in flight on a connection than was agreed.
func TestUpstreamPool_KeepsStreamLimitOfSilentNode(t *testing.T) {
	env := newTestEnvironment(t)
	node := env.node(0, ignoreRequest)
	env.start(func(cfg *Config) { cfg.Site.Limits.Streams, cfg.Site.Limits.NodeConnections = 8, 2 })
	env.awaitLog("node listed")
	client := env.client()
	start := time.Now()
	for range 100 {
		client.sendRequest(func(q *proto.Request) { q.Timeout = 500 * time.Millisecond })
	}
	for stream := uint64(1); stream <= 100; stream++ {
		client.awaitAnswer(stream)
	}
	if took := time.Since(start); took > 2*time.Second {
		t.Errorf("answered after %v, wait was 500 ms", took)
	}
	if got := node.requestCount.Load(); got > 16 {
		t.Errorf("%d in flight on 2 connections of 8", got)
	}
	client.expectOneAnswerEach()
}

// A node that never greets, and a port where nobody listens: the requests are known not to have run, so
// they are rejected.
func TestUpstreamPool_RejectsRequestsToUnreachableNodes(t *testing.T) {
	env := newTestEnvironment(t)
	mute := env.listen() // accepts by the system's backlog, greets never
	dead := env.listen()
	dead.Close()
	t.Cleanup(func() { mute.Close() })
	for cell, ln := range []net.Listener{mute, dead} {
		env.registry.Put((&fakeNode{listener: ln}).endpoint(uint16(cell), scheduler.Ready))
	}
	env.start(nil)
	env.awaitLog("cell=1")
	client := env.client()
	for cell := range int32(2) {
		answer := client.call(func(q *proto.Request) { q.Cell, q.Class = cell, 1; q.Key = uint64(cell) + 1 })
		if answer.Code != proto.Rejected ||
			answer.Reason != ReasonNodeUnreachable && answer.Reason != ReasonNotInTime {
			t.Errorf("cell %d: %+v", cell, answer)
		}
	}
	client.expectOneAnswerEach()
}
