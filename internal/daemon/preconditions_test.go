package daemon

import (
	"testing"
	"time"

	"landingpaddle/internal/proto"
	"landingpaddle/scheduler"
)

// The connection that a request waits for greets with a newer start than the list has. That is another
// process than the one decided on, and cold: the request is not sent before the scheduler has decided anew.
func TestUpstreamPool_SendsNothingToRestartedNodeUntilDecidedAnew(t *testing.T) {
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
	client := env.client()
	if answer := client.call(nil); answer.Code != proto.OK {
		t.Errorf("got %+v", answer)
	}
	stats := &env.instance.Stats
	if node.requestCount.Load() != 1 || stats.ConnectFailed.Load() != 1 || stats.Attempts.Load() != 2 {
		t.Errorf("%d requests came, %d attempts were not made, %d decided on; want 1, 1 and 2",
			node.requestCount.Load(), stats.ConnectFailed.Load(), stats.Attempts.Load())
	}
}
