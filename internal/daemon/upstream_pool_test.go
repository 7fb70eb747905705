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

// When a connection breaks with 30 attempts in flight, each attempt gets a separate result, and each request
// one answer.
func TestUpstreamPool_ReportsResetForEachAttemptInFlight(t *testing.T) {
	env := newTestEnvironment(t)
	var node *fakeNode
	var broken atomic.Bool
	node = env.addNode(0, func(conn *proto.Conn, frame proto.Frame, request proto.Request) error {
		if node.requestCount.Load() >= 30 && broken.CompareAndSwap(false, true) {
			conn.Close(nil)
			return nil
		}
		if broken.Load() {
			return echo(conn, frame, request)
		}
		return nil
	})
	var resets atomic.Int64
	env.start(func(cfg *Config) { cfg.Hooks.Decider = countResults(&resets, scheduler.Reset) })
	env.awaitLog("node listed")
	client := env.connectClient()
	for range 30 {
		client.sendRequest(nil)
	}
	for stream := uint64(1); stream <= 30; stream++ {
		if answer := client.awaitAnswer(stream); answer.Code != proto.OK && answer.Code != proto.Rejected {
			t.Errorf("request %d: got %+v; want OK or Rejected", stream, answer)
		}
	}
	if resets.Load() != 30 {
		t.Errorf("got %d attempts ended as Reset; want 30", resets.Load())
	}
	client.expectOneAnswerEach()
}

// Requests larger than a node accepts are not sent and occupy no stream of its connection: a stream opened
// for such a request would never be closed and would be lost for the connection's lifetime.
func TestUpstreamPool_OversizedRequestsTakeNoStreams(t *testing.T) {
	env := newTestEnvironment(t)
	limits := proto.Limits{MaxHeader: 4096, MaxPayload: 10, MaxStreams: 4, MaxBacklog: 1 << 20}
	env.addNodeWithConfig(proto.Config{Limits: limits}, 0, echo)
	env.start(func(cfg *Config) { cfg.Site.Limits.NodeConnections = 1 })
	env.awaitLog("node listed")
	client := env.connectClient()
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
			t.Fatalf("got %+v for an oversized request; want Rejected", answer)
		}
	}
	time.Sleep(time.Second) // the scheduler's backoff for a node that seems unreachable
	if answer := client.call(nil); answer.Code != proto.OK {
		t.Errorf("got %+v for a small request after that; want OK", answer)
	}
	client.expectOneAnswerEach()
}

// A node accepts requests and never answers. Every request is answered by its time-out, and the requests
// in flight on a connection do not exceed the agreed stream limit.
func TestUpstreamPool_KeepsStreamLimitOfSilentNode(t *testing.T) {
	env := newTestEnvironment(t)
	node := env.addNode(0, ignoreRequest)
	env.start(func(cfg *Config) { cfg.Site.Limits.Streams, cfg.Site.Limits.NodeConnections = 8, 2 })
	env.awaitLog("node listed")
	client := env.connectClient()
	start := time.Now()
	for range 100 {
		client.sendRequest(func(q *proto.Request) { q.Timeout = 500 * time.Millisecond })
	}
	for stream := uint64(1); stream <= 100; stream++ {
		client.awaitAnswer(stream)
	}
	if took := time.Since(start); took > 2*time.Second {
		t.Errorf("got answers after %v; want within 2s with a time-out of 500ms", took)
	}
	if got := node.requestCount.Load(); got > 16 {
		t.Errorf("got %d requests in flight on 2 connections of 8 streams; want at most 16", got)
	}
	client.expectOneAnswerEach()
}

// A node that never completes the handshake, and a port without a listener: the requests are known not to
// have been executed, so they are rejected.
func TestUpstreamPool_RejectsRequestsToUnreachableNodes(t *testing.T) {
	env := newTestEnvironment(t)
	silent := env.listen() // the kernel accepts connections, no handshake follows
	closed := env.listen()
	closed.Close()
	t.Cleanup(func() { silent.Close() })
	for cell, ln := range []net.Listener{silent, closed} {
		env.registry.Put((&fakeNode{listener: ln}).endpoint(uint16(cell), scheduler.Ready))
	}
	env.start(nil)
	env.awaitLog("cell=1")
	client := env.connectClient()
	for cell := range int32(2) {
		answer := client.call(func(q *proto.Request) { q.Cell, q.Class = cell, 1; q.Key = uint64(cell) + 1 })
		if answer.Code != proto.Rejected ||
			answer.Reason != ReasonNodeUnreachable && answer.Reason != ReasonNotInTime {
			t.Errorf("cell %d: got %+v; want Rejected, node-unreachable or not-in-time", cell, answer)
		}
	}
	client.expectOneAnswerEach()
}
