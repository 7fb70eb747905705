package daemon

import (
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"landingpaddle/internal/proto"
)

// A node announces on its connection that it drains while requests are in flight. Nothing new reaches it
// after the grace, though the list still has it as ready.
func TestEventLoop_SendsNothingAfterDrainNotice(t *testing.T) {
	r := newTestEnvironment(t)
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
