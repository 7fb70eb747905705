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

// fakeDisk is a fake node that stores bytes and records every operation in order of arrival.
type fakeDisk struct {
	*fakeNode
	mu         sync.Mutex
	bytes      map[uint64][]byte // by volume
	operations []proto.Request
	cancelled  [][]uint16 // members of each cancel frame
	// intercept is called before the disk executes its nth operation, counted from 1, and reports whether it
	// has handled the operation itself. It may be nil.
	intercept func(n int, c *proto.Conn, f proto.Frame, q proto.Request) bool
}

const fakeDiskSize = 1 << 16

// contentByte returns the initial byte of a volume at an offset.
func contentByte(volume uint64, offset int) byte {
	return byte(uint64(offset)*31 + uint64(offset>>8)*7 + volume)
}

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
		var cancel proto.Cancel
		if len(frame.Header) > 0 {
			if err := frame.Decode(&cancel); err != nil {
				return err
			}
		}
		d.mu.Lock()
		d.cancelled = append(d.cancelled, cancel.Members)
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
	return d.execute(conn, frame, request, nil)
}

// execute executes an operation and answers it, with the ranges that could not be read.
func (d *fakeDisk) execute(conn *proto.Conn, frame proto.Frame, request proto.Request,
	unreadable []proto.UnreadableRange) error {
	answer := proto.Answer{Code: proto.OK, Unreadable: unreadable}
	d.mu.Lock()
	var data []byte
	if request.Ranged {
		stored := d.volume(request.DataVolume())[request.Offset : request.Offset+uint64(request.Length)]
		if request.Write {
			copy(stored, frame.Payload)
		} else {
			data = slices.Clone(stored)
		}
	}
	d.mu.Unlock()
	conn.CloseStream(frame.Stream)
	// An error means that the test itself has closed the connection.
	_ = conn.Send(proto.TypeAnswer, frame.Stream, answer, data)
	return nil
}

// sendAnswer answers a request without data. It returns true, as an intercept that has handled the request.
func sendAnswer(conn *proto.Conn, frame proto.Frame, answer proto.Answer) bool {
	conn.CloseStream(frame.Stream)
	_ = conn.Send(proto.TypeAnswer, frame.Stream, answer, nil)
	return true
}

// rangedOperations returns the ranged operations received so far.
func (d *fakeDisk) rangedOperations() (out []proto.Request) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, request := range d.operations {
		if request.Ranged {
			out = append(out, request)
		}
	}
	return out
}

// rangedEnvironment is a test environment with 16 KiB extents over two cells and a client. The batch interval
// is 200 ms, so that requests sent together are queued in the same batch.
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
		disk.fakeNode = env.addNode(cell, disk.serve)
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
	env.defaultClient = env.connectClient()
	env.connectToNodes()
	return env
}

// connectToNodes establishes the connections to both nodes and leaves the loop at the start of a batch
// interval.
func (e *rangedEnvironment) connectToNodes() {
	e.t.Helper()
	for cell := range int32(2) {
		if answer := e.defaultClient.call(func(q *proto.Request) { q.Cell = cell }); answer.Code != proto.OK {
			e.t.Fatalf("first request to a node: got %+v; want OK", answer)
		}
	}
}

// volumeAt returns the nth volume, counted from 0, whose first extent is located in a cell.
func (e *rangedEnvironment) volumeAt(cell, nth int) uint64 {
	settings := e.instance.cfg.Site.Extents.PlannerSettings()
	for volume := uint64(100); ; volume++ {
		if settings.Cell(volume, 0) == cell {
			if nth--; nth < 0 {
				return volume
			}
		}
	}
}

// sendRead sends a read of a range of a volume and returns its stream. change may be nil.
func (e *rangedEnvironment) sendRead(volume, offset uint64, length uint32,
	change func(*proto.Request)) uint64 {
	return e.defaultClient.sendRequest(func(q *proto.Request) {
		q.Volume, q.Ranged, q.Offset, q.Length = volume, true, offset, length
		if change != nil {
			change(q)
		}
	})
}

// sendWrite sends a write of length bytes of value b to a volume and returns its stream. change may be nil.
func (e *rangedEnvironment) sendWrite(volume, offset uint64, length int, b byte,
	change func(*proto.Request)) uint64 {
	return e.defaultClient.sendPayload(bytes.Repeat([]byte{b}, length), func(q *proto.Request) {
		q.Volume, q.Ranged, q.Offset, q.Length = volume, true, offset, uint32(length)
		q.Write, q.Class = true, 1
		if change != nil {
			change(q)
		}
	})
}

// expectRead checks that a read is served with the initial bytes of its range of the volume.
func (e *rangedEnvironment) expectRead(stream, volume, offset uint64, length int) {
	e.t.Helper()
	if answer := e.defaultClient.awaitAnswer(stream); answer.Code != proto.OK {
		e.t.Errorf("read %d: got %+v; want OK", stream, answer)
		return
	}
	e.defaultClient.mu.Lock()
	defer e.defaultClient.mu.Unlock()
	body := e.defaultClient.payloads[stream]
	if len(body) != length {
		e.t.Errorf("read %d: got %d bytes; want %d", stream, len(body), length)
	}
	for i, b := range body {
		if b != contentByte(volume, int(offset)+i) {
			e.t.Errorf("read %d: byte %d differs from the volume's initial content", stream, i)
			return
		}
	}
}
