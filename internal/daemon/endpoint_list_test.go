package daemon

import (
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"landingpaddle/internal/proto"
)

// A node sends a drain notice on its connection while requests are in flight. From 100 ms after the notice
// was processed it receives no more requests, although it is still ready in the endpoint list.
func TestEventLoop_SendsNothingAfterDrainNotice(t *testing.T) {
	env := newTestEnvironment(t)
	node := env.addNode(0, echo)
	env.start(nil)
	env.awaitLog("node listed")
	client := env.connectClient()
	var stop atomic.Bool
	var wg sync.WaitGroup
	wg.Go(func() {
		for !stop.Load() {
			client.sendRequest(func(q *proto.Request) { q.Timeout = 300 * time.Millisecond })
			time.Sleep(time.Millisecond)
		}
	})
	conn := <-node.connections
	time.Sleep(50 * time.Millisecond)
	if err := conn.Send(proto.TypeDrain, 0, nil, nil); err != nil {
		t.Fatal(err)
	}
	env.awaitLog("node draining")
	time.Sleep(100 * time.Millisecond)
	before := node.requestCount.Load()
	time.Sleep(200 * time.Millisecond)
	stop.Store(true)
	wg.Wait()
	if after := node.requestCount.Load(); after != before {
		t.Errorf("got %d requests at the node after its drain notice; want 0", after-before)
	}
	for stream := uint64(1); stream <= client.lastStream; stream++ {
		client.awaitAnswer(stream)
	}
	client.expectOneAnswerEach()
}
