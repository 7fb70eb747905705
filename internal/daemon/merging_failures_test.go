package daemon

import (
	"bytes"
	"testing"
	"time"

	"landingpaddle/internal/proto"
)

// A node cannot read one byte of a merged read. Only the member whose range contains the byte fails.
func TestMerging_UnreadableByteFailsOnlyItsReaders(t *testing.T) {
	env := newRangedEnvironment(t, nil)
	volume, disk := env.volumeAt(0, 0), env.disks[0]
	disk.intercept = func(n int, conn *proto.Conn, frame proto.Frame, request proto.Request) bool {
		const badOffset = 4500
		if !request.Ranged || badOffset < request.Offset ||
			badOffset >= request.Offset+uint64(request.Length) {
			return false
		}
		unreadable := []proto.UnreadableRange{{Offset: badOffset - request.Offset, Length: 1}}
		_ = disk.execute(conn, frame, request, unreadable)
		return true
	}
	var ids []uint64
	for i := range uint64(4) {
		ids = append(ids, env.sendRead(volume, i*2000, 2000, nil))
	}
	for i, id := range ids {
		if i != 2 {
			env.expectRead(id, volume, uint64(i)*2000, 2000)
			continue
		}
		answer := env.defaultClient.awaitAnswer(id)
		if answer.Code == proto.OK || answer.Reason != ReasonNodeError {
			t.Errorf("got %+v for the range with the unreadable byte; want node-error", answer)
		}
	}
	ops := disk.rangedOperations()
	if len(ops[0].Members) != 4 {
		t.Errorf("got first operation %+v; want 4 members", ops[0])
	}
	for _, request := range ops[1:] {
		if request.Offset != 4000 || len(request.Members) != 0 {
			t.Errorf("got repeated operation %+v; want only offset 4000, not merged", request)
		}
	}
	env.defaultClient.expectOneAnswerEach()
}

// The connection breaks during a merged read, or the node sends bytes that are not a frame. Each member is
// retried alone and served.
func TestMerging_RetriesMembersOfLostReadAlone(t *testing.T) {
	for name, breakConnection := range map[string]func(conn *proto.Conn){
		"reset":   func(conn *proto.Conn) { conn.Close(nil) },
		"corrupt": func(conn *proto.Conn) { conn.SendRaw(bytes.Repeat([]byte("this is no frame "), 10)) },
	} {
		t.Run(name, func(t *testing.T) {
			env := newRangedEnvironment(t, nil)
			volume, disk := env.volumeAt(0, 0), env.disks[0]
			disk.intercept = func(n int, conn *proto.Conn, frame proto.Frame, request proto.Request) bool {
				if len(request.Members) > 0 {
					breakConnection(conn)
				}
				return len(request.Members) > 0
			}
			var ids []uint64
			for i := range uint64(4) {
				ids = append(ids, env.sendRead(volume, i*1000, 1000, nil))
			}
			for i, id := range ids {
				env.expectRead(id, volume, uint64(i)*1000, 1000)
			}
			if ops := disk.rangedOperations(); len(ops) != 5 || len(ops[0].Members) != 4 {
				t.Errorf("got %d operations, the first with %d members; want 5 and 4",
					len(ops), len(ops[0].Members))
			}
			env.defaultClient.expectOneAnswerEach()
		})
	}
}

// A node sends a drain notice when a merged read arrives, and rejects the read. Each member is retried alone
// on the next node of the cell, and the draining node receives no more operations.
func TestMerging_RetriesMembersAloneAfterDrain(t *testing.T) {
	env := newRangedEnvironment(t, nil)
	volume, disk := env.volumeAt(0, 0), env.disks[0]
	next := &fakeDisk{bytes: map[uint64][]byte{}}
	disk.intercept = func(n int, conn *proto.Conn, frame proto.Frame, request proto.Request) bool {
		if !request.Ranged {
			return false
		}
		_ = conn.Send(proto.TypeDrain, 0, nil, nil)
		next.fakeNode = env.addNode(0, next.serve)
		return sendAnswer(conn, frame, proto.Answer{Code: proto.Overloaded})
	}
	var ids []uint64
	for i := range uint64(4) {
		ids = append(ids, env.sendRead(volume, i*1000, 1000, nil))
	}
	for i, id := range ids {
		env.expectRead(id, volume, uint64(i)*1000, 1000)
	}
	if first, retries := disk.rangedOperations(), next.rangedOperations(); len(first) != 1 ||
		len(first[0].Members) != 4 || len(retries) != 4 {
		t.Errorf("got %d operations at the draining node, %d at the next; want 1 with 4 members, and 4",
			len(first), len(retries))
	}
	env.defaultClient.expectOneAnswerEach()
}

// Members of a merged read are cancelled while queued, while in flight, and after their answer. Each
// cancellation ends only its own call, the other members are served, and the operation is not cancelled while
// a member waits.
func TestMerging_ServesOthersWhenMembersAreCancelled(t *testing.T) {
	env := newRangedEnvironment(t, nil)
	volume, disk := env.volumeAt(0, 0), env.disks[0]
	pending := make(chan func(), 8)
	disk.intercept = func(n int, conn *proto.Conn, frame proto.Frame, request proto.Request) bool {
		if request.Ranged {
			pending <- func() { _ = disk.execute(conn, frame, request, nil) }
		}
		return request.Ranged
	}
	cancel := func(id uint64) { _ = env.defaultClient.conn.Send(proto.TypeCancel, id, nil, nil) }
	var ids []uint64
	for i := range uint64(5) {
		ids = append(ids, env.sendRead(volume, i*1000, 1000, nil))
	}
	cancel(ids[4]) // queued
	serve := <-pending
	cancel(ids[1]) // in flight
	cancel(ids[0]) // in flight, the leader
	for env.instance.Stats.ClientGone.Load() < 3 {
		time.Sleep(time.Millisecond)
	}
	serve()
	for _, i := range []int{2, 3} {
		env.expectRead(ids[i], volume, uint64(i)*1000, 1000)
	}
	cancel(ids[2]) // answered
	if answer := env.defaultClient.awaitAnswer(ids[0]); answer.Reason != ReasonClientGone {
		t.Errorf("got %+v for the cancelled leader; want reason client-gone", answer)
	}
	if ops := disk.rangedOperations(); len(ops) != 1 || len(ops[0].Members) != 4 {
		t.Errorf("got %d operations, the first with %d members; want 1 and 4", len(ops), len(ops[0].Members))
	}
	env.defaultClient.call(nil) // answered only after the cancel of the answered read was processed
	env.defaultClient.expectOneAnswerEach()
}

// A node answers a merged read with too few bytes and an unreadable range outside the operation. Each member
// is retried and served.
func TestMerging_RetriesAfterInvalidAnswer(t *testing.T) {
	env := newRangedEnvironment(t, nil)
	volume, disk := env.volumeAt(0, 0), env.disks[0]
	disk.intercept = func(n int, conn *proto.Conn, frame proto.Frame, request proto.Request) bool {
		return len(request.Members) > 0 && sendAnswer(conn, frame, proto.Answer{Code: proto.OK,
			Unreadable: []proto.UnreadableRange{{Offset: 1 << 63, Length: 1 << 63}}})
	}
	ids := []uint64{env.sendRead(volume, 0, 1000, nil), env.sendRead(volume, 1000, 1000, nil)}
	for i, id := range ids {
		env.expectRead(id, volume, uint64(i)*1000, 1000)
	}
	env.defaultClient.expectOneAnswerEach()
}
