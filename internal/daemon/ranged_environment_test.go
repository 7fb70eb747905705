package daemon

import (
	"bytes"
	"slices"
	"sync"
	"testing"
	"time"

	"landingpaddle/internal/config"
	"landingpaddle/internal/proto"
	"landingpaddle/scheduler"
)

// fakeDisk is a fake node that holds bytes and records every operation in order of arrival.
type fakeDisk struct {
	*fakeNode
	mu    sync.Mutex
	bytes map[uint64][]byte // by volume
	ops   []proto.Request
	calls [][]uint16 // members cancelled, by operation calls
	// first sees an operation before the disk carries it out, and reports whether it has handled it; nil: none.
	first func(n int, c *proto.Conn, f proto.Frame, q proto.Request) bool
}

const fakeDiskSize = 1 << 16

func contentByte(volume uint64, at int) byte { return byte(uint64(at)*31 + uint64(at>>8)*7 + volume) }

func (d *fakeDisk) volume(v uint64) []byte {
	if d.bytes[v] == nil {
		d.bytes[v] = make([]byte, fakeDiskSize)
		for i := range d.bytes[v] {
			d.bytes[v][i] = contentByte(v, i)
		}
	}
	return d.bytes[v]
}

func (d *fakeDisk) serve(c *proto.Conn, f proto.Frame, q proto.Request) error {
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
func (d *fakeDisk) do(c *proto.Conn, f proto.Frame, q proto.Request, bad []proto.UnreadableRange) error {
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

func sendAnswer(c *proto.Conn, f proto.Frame, a proto.Answer) bool {
	c.CloseStream(f.Stream)
	_ = c.Send(proto.TypeAnswer, f.Stream, a, nil)
	return true
}

func (d *fakeDisk) ranged() (out []proto.Request) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, q := range d.ops {
		if q.Ranged {
			out = append(out, q)
		}
	}
	return out
}

// rangedEnvironment is a test environment with 16 KiB extents over two cells and a client. The loop gathers
// batches of a fifth of a second, so that what a test asks at once waits at once.
type rangedEnvironment struct {
	*testEnvironment
	c     *testClient
	disks []*fakeDisk
}

func newRangedEnvironment(t *testing.T, change func(*Config)) *rangedEnvironment {
	t.Helper()
	t.Parallel()
	x := &rangedEnvironment{testEnvironment: newTestEnvironment(t)}
	for cell := range uint16(2) {
		d := &fakeDisk{bytes: map[uint64][]byte{}}
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

// warm makes the connections and leaves the loop at the start of a batch interval.
func (x *rangedEnvironment) warm() {
	x.t.Helper()
	for cell := range int32(2) {
		if a := x.c.wait(x.c.ask(func(q *proto.Request) { q.Cell = cell })); a.Code != proto.OK {
			x.t.Fatalf("warming: %+v", a)
		}
	}
}

// volumeAt is a volume whose first extent lies in a cell, the nth of them.
func (x *rangedEnvironment) volumeAt(cell, nth int) uint64 {
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
func (x *rangedEnvironment) read(volume, offset uint64, length uint32, change func(*proto.Request)) uint64 {
	return x.c.ask(func(q *proto.Request) {
		q.Volume, q.Ranged, q.Offset, q.Length = volume, true, offset, length
		if change != nil {
			change(q)
		}
	})
}

// write sends bytes of one value.
func (x *rangedEnvironment) write(volume, offset uint64, length int, b byte,
	change func(*proto.Request)) uint64 {
	return x.c.send(bytes.Repeat([]byte{b}, length), func(q *proto.Request) {
		q.Volume, q.Ranged, q.Offset, q.Length = volume, true, offset, uint32(length)
		q.Write, q.Class = true, 1
		if change != nil {
			change(q)
		}
	})
}

// got checks that a read was served with the bytes that its volume holds there.
func (x *rangedEnvironment) got(stream, volume, offset uint64, length int) {
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
		if b != contentByte(volume, int(offset)+i) {
			x.t.Errorf("read %d: byte %d is wrong", stream, i)
			return
		}
	}
}
