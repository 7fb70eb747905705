package daemon

import (
	"bytes"
	"fmt"
	"slices"
	"sync"
	"testing"
	"time"

	"landingpaddle/internal/config"
	"landingpaddle/internal/proto"
	"landingpaddle/scheduler"
)

// disk is a fake node that holds bytes and notes every operation in the order in which it is carried out.
type disk struct {
	*fakeNode
	mu    sync.Mutex
	bytes map[uint64][]byte // by volume
	ops   []proto.Request
	calls [][]uint16 // members cancelled, by operation calls
	// Where set, first sees an operation; it tells whether it has dealt with it.
	first func(n int, c *proto.Conn, f proto.Frame, q proto.Request) bool
}

const diskBytes = 1 << 16

func content(volume uint64, at int) byte { return byte(uint64(at)*31 + uint64(at>>8)*7 + volume) }

func (d *disk) volume(v uint64) []byte {
	if d.bytes[v] == nil {
		d.bytes[v] = make([]byte, diskBytes)
		for i := range d.bytes[v] {
			d.bytes[v][i] = content(v, i)
		}
	}
	return d.bytes[v]
}

func (d *disk) serve(c *proto.Conn, f proto.Frame, q proto.Request) error {
	if f.Type == proto.TypeCancel {
		var call proto.Cancel
		if len(f.Header) > 0 {
			if err := f.Decode(&call); err != nil {
				return err
			}
		}
		d.mu.Lock()
		d.calls = append(d.calls, call.Members)
		d.mu.Unlock()
	}
	if f.Type != proto.TypeRequest {
		return nil
	}
	d.mu.Lock()
	d.ops = append(d.ops, q)
	n := len(d.ops)
	d.mu.Unlock()
	if d.first != nil && d.first(n, c, f, q) {
		return nil
	}
	return d.do(c, f, q, nil)
}

// do carries an operation out and answers it.
func (d *disk) do(c *proto.Conn, f proto.Frame, q proto.Request, bad []proto.UnreadableRange) error {
	a := proto.Answer{Code: proto.OK, Unreadable: bad}
	d.mu.Lock()
	var data []byte
	if q.Ranged {
		at := d.volume(q.DataVolume())[q.Offset : q.Offset+uint64(q.Length)]
		if q.Write {
			copy(at, f.Payload)
		} else {
			data = slices.Clone(at)
		}
	}
	d.mu.Unlock()
	c.CloseStream(f.Stream)
	_ = c.Send(proto.TypeAnswer, f.Stream, a, data) // a connection that is gone is a test's own doing
	return nil
}

func answer(c *proto.Conn, f proto.Frame, a proto.Answer) bool {
	c.CloseStream(f.Stream)
	_ = c.Send(proto.TypeAnswer, f.Stream, a, nil)
	return true
}

func (d *disk) ranged() (out []proto.Request) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, q := range d.ops {
		if q.Ranged {
			out = append(out, q)
		}
	}
	return out
}

// extents is a rig with 4 KiB operations in 16 KiB extents over two cells. The loop gathers batches of a
// fifth of a second, so that what a test asks at once is held at once.
type extents struct {
	*rig
	c     *caller
	disks []*disk
}

func newExtents(t *testing.T, change func(*Config)) *extents {
	t.Parallel()
	x := &extents{rig: newRig(t)}
	for cell := range uint16(2) {
		d := &disk{bytes: map[uint64][]byte{}}
		d.fakeNode = x.node(cell, d.serve)
		x.disks = append(x.disks, d)
	}
	x.start(func(cfg *Config) {
		cfg.Site.Extents = &config.Extents{
			Size:         16 << 10,
			MaxOperation: 16 << 10,
			MaxMembers:   16,
			MaxPieces:    4,
			Cells:        2,
		}
		cfg.Site.Limits.BatchInterval = 200 * time.Millisecond
		cfg.Site.MaxUnits = 1000
		cfg.Site.Classes = append(
			cfg.Site.Classes,
			config.Class{Name: "put", LatencyObjective: 2 * time.Second,
				Writes: true, Deadline: 4 * time.Second, PriorityWeight: 1,
				Idempotency: config.Idempotency(scheduler.NotIdempotent)},
		)
		if change != nil {
			change(cfg)
		}
	})
	for range x.disks {
		x.logged("node listed")
	}
	x.c = x.client()
	x.warm()
	return x
}

// warm makes the connections and leaves the loop at the start of a batch's time.
func (x *extents) warm() {
	x.t.Helper()
	for cell := range int32(2) {
		if a := x.c.wait(x.c.ask(func(q *proto.Request) { q.Cell = cell })); a.Code != proto.OK {
			x.t.Fatalf("warming: %+v", a)
		}
	}
}

// volumeAt is a volume whose first extent lies in a cell, the nth of them.
func (x *extents) volumeAt(cell, nth int) uint64 {
	set := x.inst.cfg.Site.Extents.Planner()
	for v := uint64(100); ; v++ {
		if set.Cell(v, 0) == cell {
			if nth--; nth < 0 {
				return v
			}
		}
	}
}

// read asks for bytes of a volume.
func (x *extents) read(volume, offset uint64, length uint32, change func(*proto.Request)) uint64 {
	return x.c.ask(func(q *proto.Request) {
		q.Volume, q.Ranged, q.Offset, q.Length = volume, true, offset, length
		if change != nil {
			change(q)
		}
	})
}

// write sends bytes of one value.
func (x *extents) write(volume, offset uint64, length int, b byte, change func(*proto.Request)) uint64 {
	return x.c.send(bytes.Repeat([]byte{b}, length), func(q *proto.Request) {
		q.Volume, q.Ranged, q.Offset, q.Length = volume, true, offset, uint32(length)
		q.Write, q.Class = true, 1
		if change != nil {
			change(q)
		}
	})
}

// got checks that a read was served with the bytes that its volume holds there.
func (x *extents) got(stream, volume, offset uint64, length int) {
	x.t.Helper()
	if a := x.c.wait(stream); a.Code != proto.OK {
		x.t.Errorf("read %d: %+v", stream, a)
		return
	}
	x.c.mu.Lock()
	defer x.c.mu.Unlock()
	body := x.c.bodies[stream]
	if len(body) != length {
		x.t.Errorf("read %d: %d bytes of %d", stream, len(body), length)
	}
	for i, b := range body {
		if b != content(volume, int(offset)+i) {
			x.t.Errorf("read %d: byte %d is wrong", stream, i)
			return
		}
	}
}

// Eight neighbours read by eight requests at once are one operation, each gets its own bytes; with merging
// off they are eight. Overlapping and equal ranges share it too, uncopied.
func TestNeighboursAreReadAtOnce(t *testing.T) {
	for _, alone := range []bool{false, true} {
		t.Run(fmt.Sprint("alone ", alone), func(t *testing.T) {
			x := newExtents(t, func(cfg *Config) { cfg.Site.Extents.MergingDisabled = alone })
			v := x.volumeAt(0, 0)
			var ids []uint64
			for i := range uint64(8) {
				ids = append(ids, x.read(v, i*2000, 2000+uint32(i%2)*100, nil))
			}
			for i, id := range ids {
				x.got(id, v, uint64(i)*2000, 2000+i%2*100)
			}
			ops, st, want := x.disks[0].ranged(), &x.inst.Stats, 1
			if alone {
				want = 8
			}
			if len(ops) != want || st.Operations.Load() != uint64(want) {
				t.Errorf("%d operations, %d counted; want %d", len(ops), st.Operations.Load(), want)
			}
			if !alone && (len(ops[0].Members) != 8 || ops[0].Length != 16100 || st.Saved.Load() != 7) {
				t.Errorf("%d members, %d saved: %+v", len(ops[0].Members), st.Saved.Load(), ops[0])
			}
			if st.Copied.Load() != 0 {
				t.Errorf("%d bytes copied", st.Copied.Load())
			}
			x.c.once()
		})
	}
}

// A read over an extent's edge goes to two nodes, and its bytes come back as one.
func TestAReadOverAnEdge(t *testing.T) {
	x := newExtents(t, nil)
	v := x.volumeAt(0, 0)
	x.got(x.read(v, 16<<10-100, 300, nil), v, 16<<10-100, 300)
	if a, b := x.disks[0].ranged(), x.disks[1].ranged(); len(a) != 1 || len(b) != 1 || a[0].Length != 100 ||
		b[0].Offset != 16<<10 || a[0].Piece != 0 || b[0].Piece != 1 {
		t.Errorf("the nodes saw %+v and %+v", a, b)
	}
	x.c.once()
}

// Of a merged read some bytes cannot be served: only those who need them see that.
func TestABadByteHurtsOnlyThoseWhoNeedIt(t *testing.T) {
	x := newExtents(t, nil)
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

// The connection breaks with a merged read out, or its answer is no frame: each member is repeated alone and
// served.
func TestAMergedReadIsLost(t *testing.T) {
	for name, lose := range map[string]func(c *proto.Conn){
		"reset":   func(c *proto.Conn) { c.Close(nil) },
		"corrupt": func(c *proto.Conn) { c.Raw(bytes.Repeat([]byte("this is no frame "), 10)) },
	} {
		t.Run(name, func(t *testing.T) {
			x := newExtents(t, nil)
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

// A merged read is late: the member of little patience is answered at its time, the others get their bytes,
// and what the node was told is the time of the most urgent.
func TestMembersOfDifferentPatience(t *testing.T) {
	x := newExtents(t, nil)
	v, d := x.volumeAt(0, 0), x.disks[0]
	late := make(chan func(), 8)
	d.first = func(n int, c *proto.Conn, f proto.Frame, q proto.Request) bool {
		if q.Ranged {
			late <- func() { _ = d.do(c, f, q, nil) }
		}
		return q.Ranged
	}
	patient := x.read(v, 0, 1000, nil)
	short := x.read(v, 1000, 1000, func(q *proto.Request) { q.Timeout = 700 * time.Millisecond })
	start := time.Now()
	if a := x.c.wait(short); a.Code == proto.OK || time.Since(start) > 1500*time.Millisecond {
		t.Errorf("the hasty one got %+v after %v", a, time.Since(start))
	}
	if len(x.c.all(patient)) != 0 {
		t.Error("the patient one was answered with it")
	}
	(<-late)()
	x.got(patient, v, 0, 1000)
	if ops := d.ranged(); len(ops[0].Members) != 2 || ops[0].Timeout > 700*time.Millisecond {
		t.Errorf("the node saw %+v", ops[0])
	}
	for x.inst.Stats.Late.Load() == 0 { // the hasty one's part came after its client's time
		time.Sleep(time.Millisecond)
	}
	x.c.once()
}

// One of 40 ms patience never joins where the node takes longer, by the module's own reckoning.
func TestTooHastyToJoin(t *testing.T) {
	x := newExtents(t, func(cfg *Config) { cfg.Site.Limits.BatchInterval = 0 })
	v, d := x.volumeAt(0, 0), x.disks[0]
	d.first = func(n int, c *proto.Conn, f proto.Frame, q proto.Request) bool {
		time.AfterFunc(60*time.Millisecond, func() { _ = d.do(c, f, q, nil) })
		return true
	}
	for range 24 { // until the module knows what a read takes here
		x.c.wait(x.read(v, 0, 10, nil))
	}
	var ids []uint64
	for i := range uint64(40) {
		ids = append(ids, x.read(v, i*10, 10, func(q *proto.Request) {
			if i%2 == 1 {
				q.Timeout = 40 * time.Millisecond
			}
		}))
	}
	for i, id := range ids {
		if a := x.c.wait(id); (a.Code == proto.OK) != (i%2 == 0) {
			t.Errorf("read %d got %+v", i, a)
		}
	}
	for _, q := range d.ranged()[24:] {
		for _, m := range q.Members {
			if m.Offset/10%2 != 0 && q.Offset/10%2 == 0 {
				t.Errorf("a hasty one left with others: %+v", q)
			}
		}
	}
	x.c.once()
}

// The node drains as the merged read reaches it: it turns it away, each member goes to the node that holds
// the cell next, alone, and the drained one gets nothing more.
func TestADrainBetweenMergeAndSend(t *testing.T) {
	x := newExtents(t, nil)
	v, d := x.volumeAt(0, 0), x.disks[0]
	next := &disk{bytes: map[uint64][]byte{}}
	d.first = func(n int, c *proto.Conn, f proto.Frame, q proto.Request) bool {
		if !q.Ranged {
			return false
		}
		_ = c.Send(proto.TypeDrain, 0, nil, nil)
		next.fakeNode = x.node(0, next.serve)
		return answer(c, f, proto.Answer{Code: proto.Overloaded})
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

// Writes of one key over the same two extents: each node sees them in the order taken, no later one before
// the earlier is over everywhere, and the last one's bytes stay.
func TestSplitWritesOfOneKeyStayInOrder(t *testing.T) {
	x := newExtents(t, nil)
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

// Writes that touch, of one key, held at once, are one operation in which each keeps its token and key.
func TestWritesThatTouchAreOne(t *testing.T) {
	x := newExtents(t, nil)
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

// Two writes of different keys share an operation that does not end; the first one's time is up. Its node
// is told so before a later write of its key comes, which else could run first.
func TestAMembersTimeIsToldBeforeItsKeyGoesOn(t *testing.T) {
	x := newExtents(t, nil)
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

// Three writes of one key wait as one operation for a connection; the first one's client leaves. The other
// two do not touch what has gone any more, and must still not be out side by side.
func TestWritesOfOneKeyAfterOneHasLeft(t *testing.T) {
	x := newExtents(t, nil)
	v := x.volumeAt(0, 0)
	slow := &disk{bytes: map[uint64][]byte{}}
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

// A split write's second piece is turned away for good and its first has run: failed, and what is where is
// told and logged. Had the first been turned away too, it would be a refusal.
func TestASplitWriteThatFailsInPart(t *testing.T) {
	x := newExtents(t, nil)
	v := x.volumeAt(0, 0)
	full := func(n int, c *proto.Conn, f proto.Frame, q proto.Request) bool {
		return q.Ranged && answer(c, f, proto.Answer{Code: proto.Overloaded})
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

// Members are cancelled while held, while out, and after their answer: each ends alone, the others are
// served, and the node is not cancelled while one of them waits.
func TestAMemberLeavesInEveryState(t *testing.T) {
	x := newExtents(t, nil)
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

// A thousand members want the same 4 KiB: a few operations, each client its own copy of the bytes, none made
// on the way.
func TestAThousandWantTheSame(t *testing.T) {
	x := newExtents(t, func(cfg *Config) { cfg.Site.Extents.MaxMembers = 64 })
	v := x.volumeAt(0, 0)
	var ids []uint64
	for range 1000 {
		ids = append(ids, x.read(v, 4096, 4096, nil))
	}
	for _, id := range ids {
		x.got(id, v, 4096, 4096)
	}
	if n := len(x.disks[0].ranged()); n > 100 {
		t.Errorf("%d operations", n)
	} else {
		t.Logf("1000 requests, %d operations", n)
	}
	if n := x.inst.Stats.Copied.Load(); n != 0 {
		t.Errorf("%d bytes copied", n)
	}
	x.c.once()
}

// Two volumes read the same bytes, one of them is at its limit: it does not ride along for nothing, and the
// other is not held up.
func TestAMemberAtItsLimit(t *testing.T) {
	x := newExtents(t, func(cfg *Config) {
		cfg.Site.Plans = append(cfg.Site.Plans, config.Plan{Name: "limited", Rate: 1, Limit: 0.001, Burst: 1,
			Weight: 1, PriorityWeight: 1})
	})
	v := x.volumeAt(0, 0)
	free := x.read(v, 0, 1000, nil)
	limited := x.read(v+1, 1000, 1000, func(q *proto.Request) { q.Data, q.Plan = v, 1 })
	other := x.read(v+2, 2000, 1000, func(q *proto.Request) { q.Data = v })
	again := x.read(v+3, 0, 2000, func(q *proto.Request) { q.Data = v })
	x.got(free, v, 0, 1000)
	x.got(again, v, 0, 2000)
	x.got(other, v, 2000, 1000)
	if a := x.c.wait(limited); a.Code != proto.Rejected {
		t.Errorf("over its limit: %+v", a)
	}
	for _, q := range x.disks[0].ranged() {
		for _, m := range q.Members {
			if m.Volume == v+1 {
				t.Error("the one at its limit was sent")
			}
		}
	}
	if ops := x.disks[0].ranged(); len(ops) != 1 || len(ops[0].Members) != 3 {
		t.Errorf("the node saw %d operations", len(ops))
	}
	x.c.once()
}

// Ranges that are none are refused at once with a word, and nothing reaches a node.
func TestBadRanges(t *testing.T) {
	x := newExtents(t, nil)
	v := x.volumeAt(0, 0)
	for name, id := range map[string]uint64{
		"empty":          x.read(v, 10, 0, nil),
		"overflow":       x.read(v, 1<<64-5, 10, nil),
		"too many":       x.read(v, 0, 80<<10, nil),
		"over payload":   x.read(v, 0, 9<<20, nil),
		"short payload":  x.write(v, 0, 10, 1, func(q *proto.Request) { q.Length = 11 }),
		"payload on get": x.write(v, 0, 10, 1, func(q *proto.Request) { q.Write, q.Class = false, 0 }),
	} {
		if a := x.c.wait(id); a.Code != proto.Rejected || a.Reason != ReasonBadRange {
			t.Errorf("%s: %+v", name, a)
		}
	}
	x.got(x.read(v, 1, 1, nil), v, 1, 1)
	if n := len(x.disks[0].ranged()) + len(x.disks[1].ranged()); n != 1 {
		t.Errorf("%d operations reached nodes", n)
	}
	x.c.once()
}

// The scheduler stops with merged operations out and others held: all are answered, nothing is left.
func TestStopWithOperationsOut(t *testing.T) {
	x := newExtents(t, nil)
	v, d := x.volumeAt(0, 0), x.disks[0]
	d.first = func(n int, c *proto.Conn, f proto.Frame, q proto.Request) bool {
		time.AfterFunc(300*time.Millisecond, func() { _ = d.do(c, f, q, nil) })
		return true
	}
	var ids []uint64
	for i := range uint64(12) {
		ids = append(ids, x.read(v, i*1000, 1000, nil))
	}
	for x.inst.Stats.Merged.Load() == 0 {
		time.Sleep(time.Millisecond)
	}
	x.inst.Stop()
	x.logged("instance stopping")
	if err := <-x.ended; err != nil {
		t.Error(err)
	}
	<-x.c.ended
	x.logged("all.admitted=14 all.served=14")
	x.logged("all.saved=11")
	for i, id := range ids {
		x.got(id, v, uint64(i)*1000, 1000)
	}
	x.c.once()
}

// Garbage in a node's answer to an operation: too few bytes, bad ranges beyond the operation.
func TestANodeThatAnswersNonsense(t *testing.T) {
	x := newExtents(t, nil)
	v, d := x.volumeAt(0, 0), x.disks[0]
	d.first = func(n int, c *proto.Conn, f proto.Frame, q proto.Request) bool {
		return len(q.Members) > 0 && answer(c, f, proto.Answer{Code: proto.OK,
			Unreadable: []proto.UnreadableRange{{Offset: 1 << 63, Length: 1 << 63}}})
	}
	ids := []uint64{x.read(v, 0, 1000, nil), x.read(v, 1000, 1000, nil)}
	for i, id := range ids {
		x.got(id, v, uint64(i)*1000, 1000)
	}
	x.c.once()
}
