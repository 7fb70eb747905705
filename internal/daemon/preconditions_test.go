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
	r := newTestEnvironment(t)
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
