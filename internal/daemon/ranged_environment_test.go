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
	mu         sync.Mutex
	bytes      map[uint64][]byte // by volume
	operations []proto.Request
	cancelled  [][]uint16 // members, by cancel frame
	// intercept sees an operation before the disk carries it out, and reports whether it has handled it.
	// It may be nil.
	intercept func(n int, c *proto.Conn, f proto.Frame, q proto.Request) bool
}

const fakeDiskSize = 1 << 16

func contentByte(volume uint64, at int) byte { return byte(uint64(at)*31 + uint64(at>>8)*7 + volume) }

func (d *fakeDisk) volume(volume uint64) []byte {
	if d.bytes[volume] == nil {
		d.bytes[volume] = make([]byte, fakeDiskSize)
		for i := range d.bytes[volume] {
			d.bytes[volume][i] = contentByte(volume, i)
		}
	}
	return d.bytes[volume]
}

func (d *fakeDisk) serve(conn *proto.Conn, frame proto.Frame, request proto.Request) error {
	if frame.Type == proto.TypeCancel {
		var call proto.Cancel
		if len(frame.Header) > 0 {
			if err := frame.Decode(&call); err != nil {
				return err
			}
		}
		d.mu.Lock()
		d.cancelled = append(d.cancelled, call.Members)
		d.mu.Unlock()
	}
	if frame.Type != proto.TypeRequest {
		return nil
	}
	d.mu.Lock()
	d.operations = append(d.operations, request)
	n := len(d.operations)
	d.mu.Unlock()
	if d.intercept != nil && d.intercept(n, conn, frame, request) {
		return nil
	}
	return d.carryOut(conn, frame, request, nil)
}

// carryOut carries an operation out and answers it.
func (d *fakeDisk) carryOut(conn *proto.Conn, frame proto.Frame, request proto.Request,
	unreadable []proto.UnreadableRange) error {
	answer := proto.Answer{Code: proto.OK, Unreadable: unreadable}
	d.mu.Lock()
	var data []byte
	if request.Ranged {
		at := d.volume(request.DataVolume())[request.Offset : request.Offset+uint64(request.Length)]
		if request.Write {
			copy(at, frame.Payload)
		} else {
			data = slices.Clone(at)
		}
	}
	d.mu.Unlock()
	conn.CloseStream(frame.Stream)
	// The error is that of a connection that the test itself has closed.
	_ = conn.Send(proto.TypeAnswer, frame.Stream, answer, data)
	return nil
}

// sendAnswer answers a request without data; it returns true as intercept does.
func sendAnswer(conn *proto.Conn, frame proto.Frame, answer proto.Answer) bool {
	conn.CloseStream(frame.Stream)
	_ = conn.Send(proto.TypeAnswer, frame.Stream, answer, nil)
	return true
}

// ranged returns the ranged operations that have arrived.
func (d *fakeDisk) ranged() (out []proto.Request) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, request := range d.operations {
		if request.Ranged {
			out = append(out, request)
		}
	}
	return out
}

// rangedEnvironment is a test environment with 16 KiB extents over two cells and a client. The loop gathers
// batches of a fifth of a second, so that what a test asks at once waits at once.
type rangedEnvironment struct {
	*testEnvironment
	defaultClient *testClient
	disks         []*fakeDisk
}

func newRangedEnvironment(t *testing.T, change func(*Config)) *rangedEnvironment {
	t.Helper()
	t.Parallel()
	env := &rangedEnvironment{testEnvironment: newTestEnvironment(t)}
	for cell := range uint16(2) {
		disk := &fakeDisk{bytes: map[uint64][]byte{}}
		disk.fakeNode = env.node(cell, disk.serve)
		env.disks = append(env.disks, disk)
	}
	env.start(func(cfg *Config) {
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
	for range env.disks {
		env.awaitLog("node listed")
	}
	env.defaultClient = env.client()
	env.warm()
	return env
}

// warm makes the connections and leaves the loop at the start of a batch interval.
func (e *rangedEnvironment) warm() {
	e.t.Helper()
	for cell := range int32(2) {
		if answer := e.defaultClient.call(func(q *proto.Request) { q.Cell = cell }); answer.Code != proto.OK {
			e.t.Fatalf("warming: %+v", answer)
		}
	}
}

// volumeAt is a volume whose first extent lies in a cell, the nth of them.
func (e *rangedEnvironment) volumeAt(cell, nth int) uint64 {
	set := e.instance.cfg.Site.Extents.Planner()
	for volume := uint64(100); ; volume++ {
		if set.Cell(volume, 0) == cell {
			if nth--; nth < 0 {
				return volume
			}
		}
	}
}

// read asks for bytes of a volume.
func (e *rangedEnvironment) read(volume, offset uint64, length uint32, change func(*proto.Request)) uint64 {
	return e.defaultClient.sendRequest(func(q *proto.Request) {
		q.Volume, q.Ranged, q.Offset, q.Length = volume, true, offset, length
		if change != nil {
			change(q)
		}
	})
}

// write sends bytes of one value.
func (e *rangedEnvironment) write(volume, offset uint64, length int, b byte,
	change func(*proto.Request)) uint64 {
	return e.defaultClient.sendPayload(bytes.Repeat([]byte{b}, length), func(q *proto.Request) {
		q.Volume, q.Ranged, q.Offset, q.Length = volume, true, offset, uint32(length)
		q.Write, q.Class = true, 1
		if change != nil {
			change(q)
		}
	})
}

// expectRead checks that a read was served with the bytes that its volume holds there.
func (e *rangedEnvironment) expectRead(stream, volume, offset uint64, length int) {
	e.t.Helper()
	if answer := e.defaultClient.awaitAnswer(stream); answer.Code != proto.OK {
		e.t.Errorf("read %d: %+v", stream, answer)
		return
	}
	e.defaultClient.mu.Lock()
	defer e.defaultClient.mu.Unlock()
	body := e.defaultClient.payloads[stream]
	if len(body) != length {
		e.t.Errorf("read %d: %d bytes of %d", stream, len(body), length)
	}
	for i, b := range body {
		if b != contentByte(volume, int(offset)+i) {
			e.t.Errorf("read %d: byte %d is wrong", stream, i)
			return
		}
	}
}
