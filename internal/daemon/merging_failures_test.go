package daemon

import (
	"bytes"
	"testing"
	"time"

	"landingpaddle/internal/proto"
)

// A byte of a merged read cannot be served. Only those who need it see that.
func TestMerging_UnreadableByteFailsOnlyItsReaders(t *testing.T) {
	x := newRangedEnvironment(t, nil)
	v, d := x.volumeAt(0, 0), x.disks[0]
	d.first = func(n int, c *proto.Conn, f proto.Frame, q proto.Request) bool {
		const broken = 4500
		if !q.Ranged || broken < q.Offset || broken >= q.Offset+uint64(q.Length) {
			return false
		}
		_ = d.do(c, f, q, []proto.UnreadableRange{{Offset: broken - q.Offset, Length: 1}})
		return true
	}
	var ids []uint64
	for i := range uint64(4) {
		ids = append(ids, x.read(v, i*2000, 2000, nil))
	}
	for i, id := range ids {
		if i != 2 {
			x.got(id, v, uint64(i)*2000, 2000)
		} else if a := x.c.wait(id); a.Code == proto.OK || a.Reason != ReasonNodeError {
			t.Errorf("who needs the bad byte got %+v", a)
		}
	}
	ops := d.ranged()
	if len(ops[0].Members) != 4 {
		t.Errorf("not merged: %+v", ops[0])
	}
	for _, q := range ops[1:] {
		if q.Offset != 4000 || len(q.Members) != 0 {
			t.Errorf("repeated with others: %+v", q)
		}
	}
	x.c.once()
}

// The connection breaks with a merged read in flight, or its answer is no frame. Each member is retried
// alone and served.
func TestMerging_RetriesMembersOfLostReadAlone(t *testing.T) {
	for name, lose := range map[string]func(c *proto.Conn){
		"reset":   func(c *proto.Conn) { c.Close(nil) },
		"corrupt": func(c *proto.Conn) { c.Raw(bytes.Repeat([]byte("this is no frame "), 10)) },
	} {
		t.Run(name, func(t *testing.T) {
			x := newRangedEnvironment(t, nil)
			v, d := x.volumeAt(0, 0), x.disks[0]
			d.first = func(n int, c *proto.Conn, f proto.Frame, q proto.Request) bool {
				if len(q.Members) > 0 {
					lose(c)
				}
				return len(q.Members) > 0
			}
			var ids []uint64
			for i := range uint64(4) {
				ids = append(ids, x.read(v, i*1000, 1000, nil))
			}
			for i, id := range ids {
				x.got(id, v, uint64(i)*1000, 1000)
			}
			if ops := d.ranged(); len(ops) != 5 || len(ops[0].Members) != 4 {
				t.Errorf("%d operations, the first of %d members", len(ops), len(ops[0].Members))
			}
			x.c.once()
		})
	}
}

// The node drains as a merged read reaches it and rejects it. Each member goes alone to the node that holds
// the cell next, and the drained one gets nothing more.
func TestMerging_RetriesMembersAloneAfterDrain(t *testing.T) {
	x := newRangedEnvironment(t, nil)
	v, d := x.volumeAt(0, 0), x.disks[0]
	next := &fakeDisk{bytes: map[uint64][]byte{}}
	d.first = func(n int, c *proto.Conn, f proto.Frame, q proto.Request) bool {
		if !q.Ranged {
			return false
		}
		_ = c.Send(proto.TypeDrain, 0, nil, nil)
		next.fakeNode = x.node(0, next.serve)
		return sendAnswer(c, f, proto.Answer{Code: proto.Overloaded})
	}
	var ids []uint64
	for i := range uint64(4) {
		ids = append(ids, x.read(v, i*1000, 1000, nil))
	}
	for i, id := range ids {
		x.got(id, v, uint64(i)*1000, 1000)
	}
	if old, now := d.ranged(), next.ranged(); len(old) != 1 || len(old[0].Members) != 4 || len(now) != 4 {
		t.Errorf("%d operations at the drained node, %d at the next", len(old), len(now))
	}
	x.c.once()
}

// Members are cancelled while they wait, while in flight, and after their answer. Each ends alone, the
// others are served, and the node is not cancelled while one of them waits.
func TestMerging_ServesOthersWhenMembersAreCancelled(t *testing.T) {
	x := newRangedEnvironment(t, nil)
	v, d := x.volumeAt(0, 0), x.disks[0]
	out := make(chan func(), 8)
	d.first = func(n int, c *proto.Conn, f proto.Frame, q proto.Request) bool {
		if q.Ranged {
			out <- func() { _ = d.do(c, f, q, nil) }
		}
		return q.Ranged
	}
	cancel := func(id uint64) { _ = x.c.conn.Send(proto.TypeCancel, id, nil, nil) }
	var ids []uint64
	for i := range uint64(5) {
		ids = append(ids, x.read(v, i*1000, 1000, nil))
	}
	cancel(ids[4]) // held
	serve := <-out
	cancel(ids[1]) // out
	cancel(ids[0]) // out, and the lead
	for x.inst.Stats.ClientGone.Load() < 3 {
		time.Sleep(time.Millisecond)
	}
	serve()
	for _, i := range []int{2, 3} {
		x.got(ids[i], v, uint64(i)*1000, 1000)
	}
	cancel(ids[2]) // answered
	if a := x.c.wait(ids[0]); a.Reason != ReasonClientGone {
		t.Errorf("the lead that left got %+v", a)
	}
	if ops := d.ranged(); len(ops) != 1 || len(ops[0].Members) != 4 {
		t.Errorf("%d operations, %d members", len(ops), len(ops[0].Members))
	}
	x.c.wait(x.c.ask(nil)) // the cancel of what was answered is past
	x.c.once()
}

// A node answers a merged read with too few bytes and unreadable ranges beyond the operation.
func TestMerging_RetriesAfterInvalidAnswer(t *testing.T) {
	x := newRangedEnvironment(t, nil)
	v, d := x.volumeAt(0, 0), x.disks[0]
	d.first = func(n int, c *proto.Conn, f proto.Frame, q proto.Request) bool {
		return len(q.Members) > 0 && sendAnswer(c, f, proto.Answer{Code: proto.OK,
			Unreadable: []proto.UnreadableRange{{Offset: 1 << 63, Length: 1 << 63}}})
	}
	ids := []uint64{x.read(v, 0, 1000, nil), x.read(v, 1000, 1000, nil)}
	for i, id := range ids {
		x.got(id, v, uint64(i)*1000, 1000)
	}
	x.c.once()
}
