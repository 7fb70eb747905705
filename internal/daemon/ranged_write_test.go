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

// Writes of one key to the same two extents reach each node in the order of arrival, none before the previous
// one has ended on both nodes, and the last one's bytes remain.
func TestRangedCall_SplitWritesOfOneKeyStayInOrder(t *testing.T) {
	env := newRangedEnvironment(t, nil)
	volume := env.volumeAt(0, 0)
	var mu sync.Mutex
	inFlight, order := map[uint64]int{}, []uint64{}
	for _, disk := range env.disks {
		disk.intercept = func(n int, conn *proto.Conn, frame proto.Frame, request proto.Request) bool {
			if !request.Ranged {
				return false
			}
			mu.Lock()
			for token, pieces := range inFlight {
				if token != request.Token && pieces > 0 {
					t.Errorf("got write %d while write %d was in flight; want one at a time",
						request.Token, token)
				}
			}
			inFlight[request.Token]++
			order = append(order, request.Token)
			mu.Unlock()
			time.AfterFunc(20*time.Millisecond, func() {
				mu.Lock()
				inFlight[request.Token]--
				mu.Unlock()
				_ = disk.execute(conn, frame, request, nil)
			})
			return true
		}
	}
	var ids []uint64
	for i := range 3 {
		ids = append(ids, env.sendWrite(volume, 12<<10, 8<<10, byte(i+1), withKey(7)))
	}
	for _, id := range ids {
		if answer := env.defaultClient.awaitAnswer(id); answer.Code != proto.OK {
			t.Errorf("write %d: got %+v; want OK", id, answer)
		}
	}
	if !slices.IsSorted(order) || len(order) != 6 {
		t.Errorf("got writes in the order %v; want 6 pieces in the order of arrival", order)
	}
	for i, disk := range env.disks {
		if at := 12<<10 + i*4<<10; disk.bytes[volume][at] != 3 || disk.bytes[volume][at+4<<10-1] != 3 {
			t.Errorf("node %d: got bytes other than those of the last write", i)
		}
	}
	env.defaultClient.expectOneAnswerEach()
}

// Writes of one key to adjacent ranges that are queued together become one operation, in which each member
// keeps its token and key.
func TestMerging_WritesAdjacentRangesInOneOperation(t *testing.T) {
	env := newRangedEnvironment(t, nil)
	volume := env.volumeAt(0, 0)
	var ids []uint64
	for i := range 4 {
		ids = append(ids, env.sendWrite(volume, uint64(i)*1000, 1000, byte(i+1), withKey(7)))
	}
	for _, id := range ids {
		if answer := env.defaultClient.awaitAnswer(id); answer.Code != proto.OK {
			t.Errorf("write %d: got %+v; want OK", id, answer)
		}
	}
	ops := env.disks[0].rangedOperations()
	if len(ops) != 1 || len(ops[0].Members) != 4 {
		t.Fatalf("got operations %+v; want 1 with 4 members", ops)
	}
	for i, member := range ops[0].Members {
		if member.Token != ids[i] || member.Key != 7 || env.disks[0].bytes[volume][i*1000+500] != byte(i+1) {
			t.Errorf("member %d: got %+v and byte %d; want its token, key and byte", i, member,
				env.disks[0].bytes[volume][i*1000+500])
		}
	}
	env.defaultClient.expectOneAnswerEach()
}

// Two writes of different keys share an operation that does not end, and one of them times out. The node must
// receive its cancellation before a later write of its key, which it might otherwise execute first.
func TestMerging_CancelsTimedOutMemberBeforeNextWriteOfKey(t *testing.T) {
	env := newRangedEnvironment(t, nil)
	volume, disk := env.volumeAt(0, 0), env.disks[0]
	cancelsBefore := -1
	disk.intercept = func(n int, conn *proto.Conn, frame proto.Frame, request proto.Request) bool {
		if request.Ranged && len(request.Members) == 0 {
			disk.mu.Lock()
			cancelsBefore = len(disk.cancelled)
			disk.mu.Unlock()
		}
		return len(request.Members) > 0
	}
	long := env.sendWrite(volume, 0, 1000, 1, func(q *proto.Request) { q.Key, q.Timeout = 8, 2*time.Second })
	short := env.sendWrite(volume, 1000, 1000, 2, func(q *proto.Request) {
		q.Key, q.Timeout = 7, 700*time.Millisecond
	})
	if answer := env.defaultClient.awaitAnswer(short); answer.Code == proto.OK {
		t.Errorf("got %+v for the short time-out; want a failure", answer)
	}
	answer := env.defaultClient.awaitAnswer(env.sendWrite(volume, 1000, 1000, 3, withKey(7)))
	if answer.Code != proto.OK {
		t.Errorf("got %+v for the next write of the key; want OK", answer)
	}
	env.defaultClient.awaitAnswer(long)
	if len(disk.rangedOperations()) < 2 || len(disk.rangedOperations()[0].Members) != 2 {
		t.Fatalf("got operations %+v; want 2 or more, the first with 2 members", disk.rangedOperations())
	}
	if disk.mu.Lock(); cancelsBefore < 1 || fmt.Sprint(disk.cancelled[0]) != "[1]" {
		t.Errorf("got %d cancels before the next write, of members %v; want 1 or more, the first of [1]",
			cancelsBefore, disk.cancelled)
	}
	disk.mu.Unlock()
	env.defaultClient.expectOneAnswerEach()
}

// Three writes of one key wait in one operation for a connection, and the first one is cancelled. The other
// two must then be sent as separate operations, and still not concurrently.
func TestMerging_SeparatedWritesOfOneKeyStayInOrder(t *testing.T) {
	env := newRangedEnvironment(t, nil)
	volume := env.volumeAt(0, 0)
	slow := &fakeDisk{bytes: map[uint64][]byte{}}
	slow.fakeNode = &fakeNode{listener: env.listen(), connections: make(chan *proto.Conn, 64)}
	endpoint := slow.endpoint(0, scheduler.Ready)
	endpoint.StartedAt = time.Now().UnixNano() // the last node of the cell to start serves it
	env.registry.Put(endpoint)
	env.awaitLog("node=" + slow.listener.Addr().String())
	var mu sync.Mutex
	inFlight := 0
	slow.intercept = func(n int, conn *proto.Conn, frame proto.Frame, request proto.Request) bool {
		mu.Lock()
		if inFlight++; inFlight > 1 {
			t.Errorf("got write %d while another of its key was in flight; want one at a time", request.Token)
		}
		mu.Unlock()
		time.AfterFunc(30*time.Millisecond, func() {
			mu.Lock()
			inFlight--
			mu.Unlock()
			_ = slow.execute(conn, frame, request, nil)
		})
		return true
	}
	var ids []uint64
	for i := range 3 {
		ids = append(ids, env.sendWrite(volume, uint64(i)*1000, 1000, byte(i+1), withKey(7)))
	}
	for env.instance.Stats.Operations.Load() == 0 {
		time.Sleep(time.Millisecond)
	}
	_ = env.defaultClient.conn.Send(proto.TypeCancel, ids[0], nil, nil)
	for env.instance.Stats.ClientGone.Load() == 0 {
		time.Sleep(time.Millisecond)
	}
	env.serve(slow.fakeNode, proto.Config{}, slow.serve) // completes the handshake that the writes wait for
	for _, id := range ids[1:] {
		if answer := env.defaultClient.awaitAnswer(id); answer.Code != proto.OK {
			t.Errorf("write %d: got %+v; want OK", id, answer)
		}
	}
	if ops := slow.rangedOperations(); len(ops) != 2 || ops[0].Token != ids[1] || ops[1].Token != ids[2] {
		t.Errorf("got operations %+v; want the second and third write, in order", ops)
	}
	env.defaultClient.expectOneAnswerEach()
}

// The second piece of a split write is rejected permanently after the first was executed: the write fails,
// and the state of its pieces is reported in the answer and logged. If the first is rejected as well, so is
// the write.
func TestRangedCall_ReportsPartlyDoneWrite(t *testing.T) {
	env := newRangedEnvironment(t, nil)
	volume := env.volumeAt(0, 0)
	overloaded := func(n int, conn *proto.Conn, frame proto.Frame, request proto.Request) bool {
		return request.Ranged && sendAnswer(conn, frame, proto.Answer{Code: proto.Overloaded})
	}
	env.disks[1].intercept = overloaded
	put := func(q *proto.Request) { q.Class = 2 }
	answer := env.defaultClient.awaitAnswer(env.sendWrite(volume, 12<<10, 24<<10, 9, put))
	if answer.Code != proto.Failed || answer.Reason != ReasonNodeOverloaded || answer.Done < 1 ||
		answer.Done+answer.Uncertain+answer.Unsent != 3 {
		t.Errorf("got %+v; want Failed, node-full, 3 pieces, at least 1 done", answer)
	}
	node := "node=" + env.disks[0].listener.Addr().String()
	for _, want := range []string{"write partly done", "state=done", node} {
		env.awaitLog(want)
	}
	env.disks[0].intercept = overloaded
	answer = env.defaultClient.awaitAnswer(env.sendWrite(volume, 12<<10, 8<<10, 9, put))
	if answer.Code != proto.Rejected || answer.Done+answer.Uncertain != 0 {
		t.Errorf("got %+v without an executed piece; want Rejected", answer)
	}
	env.defaultClient.expectOneAnswerEach()
}
