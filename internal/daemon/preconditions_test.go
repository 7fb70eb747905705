package daemon

import (
	"testing"
	"time"

	"landingpaddle/internal/proto"
	"landingpaddle/scheduler"
)

// The handshake of the connection that a request waits for reports a later start of the node than the
// endpoint list. That is another, cold process than the one that the scheduler decided on: the request is not
// sent before the scheduler has decided again.
func TestUpstreamPool_SendsToRestartedNodeOnlyAfterNewDecision(t *testing.T) {
	env := newTestEnvironment(t)
	startedAt := time.Now().Add(-2 * time.Minute).UnixNano()
	node := &fakeNode{listener: env.listen(), connections: make(chan *proto.Conn, 64)}
	hello := proto.Hello{Role: "node", StartedAt: startedAt + int64(time.Minute)}
	env.serve(node, proto.Config{Hello: hello}, echo)
	endpoint := node.endpoint(0, scheduler.Ready)
	endpoint.StartedAt = startedAt
	env.registry.Put(endpoint)
	env.start(nil)
	env.awaitLog("node=" + node.listener.Addr().String())
	client := env.connectClient()
	if answer := client.call(nil); answer.Code != proto.OK {
		t.Errorf("got %+v; want OK", answer)
	}
	stats := &env.instance.Stats
	if node.requestCount.Load() != 1 || stats.ConnectFailed.Load() != 1 || stats.Attempts.Load() != 2 {
		t.Errorf("got %d requests at the node, %d failed connects, %d attempts; want 1, 1 and 2",
			node.requestCount.Load(), stats.ConnectFailed.Load(), stats.Attempts.Load())
	}
}
