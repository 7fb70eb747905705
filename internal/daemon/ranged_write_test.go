package daemon

import (
	"fmt"
	"slices"
	"sync"
	"testing"
	"time"

	"landingpaddle/internal/proto"
	"landingpaddle/scheduler"
)

// Writes of one key over the same two extents: each node sees them in the order of arrival, no later one
// before the earlier has ended everywhere, and the last one's bytes stay.
func TestRangedCall_SplitWritesOfOneKeyStayInOrder(t *testing.T) {
	x := newRangedEnvironment(t, nil)
	v := x.volumeAt(0, 0)
	var mu sync.Mutex
	out, order := map[uint64]int{}, []uint64{}
	for _, d := range x.disks {
		d.first = func(n int, c *proto.Conn, f proto.Frame, q proto.Request) bool {
			if !q.Ranged {
				return false
			}
			mu.Lock()
			for token, n := range out {
				if token != q.Token && n > 0 {
					t.Errorf("write %d reached a node while write %d was out", q.Token, token)
				}
			}
			out[q.Token]++
			order = append(order, q.Token)
			mu.Unlock()
			time.AfterFunc(20*time.Millisecond, func() {
				mu.Lock()
				out[q.Token]--
				mu.Unlock()
				_ = d.do(c, f, q, nil)
			})
			return true
		}
	}
	var ids []uint64
	for i := range 3 {
		ids = append(ids, x.write(v, 12<<10, 8<<10, byte(i+1), func(q *proto.Request) { q.Key = 7 }))
	}
	for _, id := range ids {
		if a := x.c.wait(id); a.Code != proto.OK {
			t.Errorf("write %d: %+v", id, a)
		}
	}
	if !slices.IsSorted(order) || len(order) != 6 {
		t.Errorf("the nodes saw the writes %v", order)
	}
	for i, d := range x.disks {
		if at := 12<<10 + i*4<<10; d.bytes[v][at] != 3 || d.bytes[v][at+4<<10-1] != 3 {
			t.Errorf("node %d does not hold the last write", i)
		}
	}
	x.c.once()
}

// Writes of one key to adjacent ranges that wait at once are one operation, in which each keeps its token
// and key.
func TestMerging_WritesAdjacentRangesInOneOperation(t *testing.T) {
	x := newRangedEnvironment(t, nil)
	v := x.volumeAt(0, 0)
	var ids []uint64
	for i := range 4 {
		ids = append(ids, x.write(v, uint64(i)*1000, 1000, byte(i+1), func(q *proto.Request) { q.Key = 7 }))
	}
	for _, id := range ids {
		if a := x.c.wait(id); a.Code != proto.OK {
			t.Errorf("write %d: %+v", id, a)
		}
	}
	ops := x.disks[0].ranged()
	if len(ops) != 1 || len(ops[0].Members) != 4 {
		t.Fatalf("the node saw %+v", ops)
	}
	for i, m := range ops[0].Members {
		if m.Token != ids[i] || m.Key != 7 || x.disks[0].bytes[v][i*1000+500] != byte(i+1) {
			t.Errorf("member %d is %+v, its bytes %d", i, m, x.disks[0].bytes[v][i*1000+500])
		}
	}
	x.c.once()
}

// Two writes of different keys share an operation that does not end, and one of them times out. Its node is
// told so before a later write of its key comes, which might run first otherwise.
func TestMerging_CancelsTimedOutMemberBeforeNextWriteOfKey(t *testing.T) {
	x := newRangedEnvironment(t, nil)
	v, d := x.volumeAt(0, 0), x.disks[0]
	calls := -1
	d.first = func(n int, c *proto.Conn, f proto.Frame, q proto.Request) bool {
		if q.Ranged && len(q.Members) == 0 {
			d.mu.Lock()
			calls = len(d.calls)
			d.mu.Unlock()
		}
		return len(q.Members) > 0
	}
	patient := x.write(v, 0, 1000, 1, func(q *proto.Request) { q.Key, q.Timeout = 8, 2*time.Second })
	hasty := x.write(v, 1000, 1000, 2, func(q *proto.Request) { q.Key, q.Timeout = 7, 700*time.Millisecond })
	if a := x.c.wait(hasty); a.Code == proto.OK {
		t.Errorf("the hasty one got %+v", a)
	}
	if a := x.c.wait(x.write(v, 1000, 1000, 3, func(q *proto.Request) { q.Key = 7 })); a.Code != proto.OK {
		t.Errorf("the next of its key got %+v", a)
	}
	x.c.wait(patient)
	if len(d.ranged()) < 2 || len(d.ranged()[0].Members) != 2 {
		t.Fatalf("the node saw %+v", d.ranged())
	}
	if d.mu.Lock(); calls < 1 || fmt.Sprint(d.calls[0]) != "[1]" {
		t.Errorf("%d calls before the next write, of %v", calls, d.calls)
	}
	d.mu.Unlock()
	x.c.once()
}

// Three writes of one key wait as one operation for a connection, and the first one's client leaves.
// Without it the other two must be sent alone, and still not side by side.
func TestMerging_SeparatedWritesOfOneKeyStayInOrder(t *testing.T) {
	x := newRangedEnvironment(t, nil)
	v := x.volumeAt(0, 0)
	slow := &fakeDisk{bytes: map[uint64][]byte{}}
	slow.fakeNode = &fakeNode{ln: x.listen(), conns: make(chan *proto.Conn, 64)}
	e := slow.entry(0, scheduler.Ready)
	e.StartedAt = time.Now().UnixNano()
	x.list.Put(e)
	x.logged("node=" + slow.ln.Addr().String())
	var mu sync.Mutex
	out := 0
	slow.first = func(n int, c *proto.Conn, f proto.Frame, q proto.Request) bool {
		mu.Lock()
		if out++; out > 1 {
			t.Errorf("write %d reached the node while another of its key was out", q.Token)
		}
		mu.Unlock()
		time.AfterFunc(30*time.Millisecond, func() {
			mu.Lock()
			out--
			mu.Unlock()
			_ = slow.do(c, f, q, nil)
		})
		return true
	}
	var ids []uint64
	for i := range 3 {
		ids = append(ids, x.write(v, uint64(i)*1000, 1000, byte(i+1), func(q *proto.Request) { q.Key = 7 }))
	}
	for x.inst.Stats.Operations.Load() == 0 {
		time.Sleep(time.Millisecond)
	}
	_ = x.c.conn.Send(proto.TypeCancel, ids[0], nil, nil)
	for x.inst.Stats.ClientGone.Load() == 0 {
		time.Sleep(time.Millisecond)
	}
	x.serve(slow.fakeNode, proto.Config{}, slow.serve)
	for _, id := range ids[1:] {
		if a := x.c.wait(id); a.Code != proto.OK {
			t.Errorf("write %d: %+v", id, a)
		}
	}
	if ops := slow.ranged(); len(ops) != 2 || ops[0].Token != ids[1] || ops[1].Token != ids[2] {
		t.Errorf("the node saw %+v", ops)
	}
	x.c.once()
}

// The second piece of a split write is rejected for good and the first has run: the write fails, and what
// is where is answered and logged. Had the first been rejected too, so would be the write.
func TestRangedCall_ReportsPartlyDoneWrite(t *testing.T) {
	x := newRangedEnvironment(t, nil)
	v := x.volumeAt(0, 0)
	full := func(n int, c *proto.Conn, f proto.Frame, q proto.Request) bool {
		return q.Ranged && sendAnswer(c, f, proto.Answer{Code: proto.Overloaded})
	}
	x.disks[1].first = full
	put := func(q *proto.Request) { q.Class = 2 }
	a := x.c.wait(x.write(v, 12<<10, 24<<10, 9, put))
	if a.Code != proto.Failed || a.Reason != ReasonNodeOverloaded || a.Done < 1 ||
		a.Done+a.Uncertain+a.Unsent != 3 {
		t.Errorf("got %+v", a)
	}
	node := "node=" + x.disks[0].ln.Addr().String()
	for _, want := range []string{"write partly done", "state=done", node} {
		x.logged(want)
	}
	x.disks[0].first = full
	if a := x.c.wait(x.write(v, 12<<10, 8<<10, 9, put)); a.Code != proto.Rejected || a.Done+a.Uncertain != 0 {
		t.Errorf("with nothing run: %+v", a)
	}
	x.c.once()
}
