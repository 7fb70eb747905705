package daemon

import (
	"bytes"
	"testing"
	"time"

	"landingpaddle/internal/proto"
)

// A byte of a merged read cannot be served. Only those who need it see that.
func TestMerging_UnreadableByteFailsOnlyItsReaders(t *testing.T) {
	env := newRangedEnvironment(t, nil)
	volume, disk := env.volumeAt(0, 0), env.disks[0]
	disk.intercept = func(n int, conn *proto.Conn, frame proto.Frame, request proto.Request) bool {
		const broken = 4500
		if !request.Ranged || broken < request.Offset || broken >= request.Offset+uint64(request.Length) {
			return false
		}
		unreadable := []proto.UnreadableRange{{Offset: broken - request.Offset, Length: 1}}
		_ = disk.carryOut(conn, frame, request, unreadable)
		return true
	}
	var ids []uint64
	for i := range uint64(4) {
		ids = append(ids, env.read(volume, i*2000, 2000, nil))
	}
	for i, id := range ids {
		if i != 2 {
			env.expectRead(id, volume, uint64(i)*2000, 2000)
			continue
		}
		answer := env.defaultClient.awaitAnswer(id)
		if answer.Code == proto.OK || answer.Reason != ReasonNodeError {
			t.Errorf("who needs the bad byte got %+v", answer)
		}
	}
	ops := disk.ranged()
	if len(ops[0].Members) != 4 {
		t.Errorf("not merged: %+v", ops[0])
	}
	for _, request := range ops[1:] {
		if request.Offset != 4000 || len(request.Members) != 0 {
			t.Errorf("repeated with others: %+v", request)
		}
	}
	env.defaultClient.expectOneAnswerEach()
}

// The connection breaks with a merged read in flight, or its answer is no frame. Each member is retried
// alone and served.
func TestMerging_RetriesMembersOfLostReadAlone(t *testing.T) {
	for name, lose := range map[string]func(conn *proto.Conn){
		"reset":   func(conn *proto.Conn) { conn.Close(nil) },
		"corrupt": func(conn *proto.Conn) { conn.SendRaw(bytes.Repeat([]byte("this is no frame "), 10)) },
	} {
		t.Run(name, func(t *testing.T) {
			env := newRangedEnvironment(t, nil)
			volume, disk := env.volumeAt(0, 0), env.disks[0]
			disk.intercept = func(n int, conn *proto.Conn, frame proto.Frame, request proto.Request) bool {
				if len(request.Members) > 0 {
					lose(conn)
				}
				return len(request.Members) > 0
			}
			var ids []uint64
			for i := range uint64(4) {
				ids = append(ids, env.read(volume, i*1000, 1000, nil))
			}
			for i, id := range ids {
				env.expectRead(id, volume, uint64(i)*1000, 1000)
			}
			if ops := disk.ranged(); len(ops) != 5 || len(ops[0].Members) != 4 {
				t.Errorf("%d operations, the first of %d members", len(ops), len(ops[0].Members))
			}
			env.defaultClient.expectOneAnswerEach()
		})
	}
}

// The node drains as a merged read reaches it and rejects it. Each member goes alone to the node that holds
// the cell next, and the drained one gets nothing more.
func TestMerging_RetriesMembersAloneAfterDrain(t *testing.T) {
	env := newRangedEnvironment(t, nil)
	volume, disk := env.volumeAt(0, 0), env.disks[0]
	next := &fakeDisk{bytes: map[uint64][]byte{}}
	disk.intercept = func(n int, conn *proto.Conn, frame proto.Frame, request proto.Request) bool {
		if !request.Ranged {
			return false
		}
		_ = conn.Send(proto.TypeDrain, 0, nil, nil)
		next.fakeNode = env.node(0, next.serve)
		return sendAnswer(conn, frame, proto.Answer{Code: proto.Overloaded})
	}
	var ids []uint64
	for i := range uint64(4) {
		ids = append(ids, env.read(volume, i*1000, 1000, nil))
	}
	for i, id := range ids {
		env.expectRead(id, volume, uint64(i)*1000, 1000)
	}
	if old, now := disk.ranged(), next.ranged(); len(old) != 1 || len(old[0].Members) != 4 || len(now) != 4 {
		t.Errorf("%d operations at the drained node, %d at the next", len(old), len(now))
	}
	env.defaultClient.expectOneAnswerEach()
}

// Members are cancelled while they wait, while in flight, and after their answer. Each ends alone, the
// others are served, and the node is not cancelled while one of them waits.
func TestMerging_ServesOthersWhenMembersAreCancelled(t *testing.T) {
	env := newRangedEnvironment(t, nil)
	volume, disk := env.volumeAt(0, 0), env.disks[0]
	out := make(chan func(), 8)
	disk.intercept = func(n int, conn *proto.Conn, frame proto.Frame, request proto.Request) bool {
		if request.Ranged {
			out <- func() { _ = disk.carryOut(conn, frame, request, nil) }
		}
		return request.Ranged
	}
	cancel := func(id uint64) { _ = env.defaultClient.conn.Send(proto.TypeCancel, id, nil, nil) }
	var ids []uint64
	for i := range uint64(5) {
		ids = append(ids, env.read(volume, i*1000, 1000, nil))
	}
	cancel(ids[4]) // not sent yet
	serve := <-out
	cancel(ids[1]) // out
	cancel(ids[0]) // out, and the lead
	for env.instance.Stats.ClientGone.Load() < 3 {
		time.Sleep(time.Millisecond)
	}
	serve()
	for _, i := range []int{2, 3} {
		env.expectRead(ids[i], volume, uint64(i)*1000, 1000)
	}
	cancel(ids[2]) // answered
	if answer := env.defaultClient.awaitAnswer(ids[0]); answer.Reason != ReasonClientGone {
		t.Errorf("the lead that left got %+v", answer)
	}
	if ops := disk.ranged(); len(ops) != 1 || len(ops[0].Members) != 4 {
		t.Errorf("%d operations, %d members", len(ops), len(ops[0].Members))
	}
	env.defaultClient.call(nil) // the cancel of what was answered is past
	env.defaultClient.expectOneAnswerEach()
}

// A node answers a merged read with too few bytes and unreadable ranges beyond the operation.
func TestMerging_RetriesAfterInvalidAnswer(t *testing.T) {
	env := newRangedEnvironment(t, nil)
	volume, disk := env.volumeAt(0, 0), env.disks[0]
	disk.intercept = func(n int, conn *proto.Conn, frame proto.Frame, request proto.Request) bool {
		return len(request.Members) > 0 && sendAnswer(conn, frame, proto.Answer{Code: proto.OK,
			Unreadable: []proto.UnreadableRange{{Offset: 1 << 63, Length: 1 << 63}}})
	}
	ids := []uint64{env.read(volume, 0, 1000, nil), env.read(volume, 1000, 1000, nil)}
	for i, id := range ids {
		env.expectRead(id, volume, uint64(i)*1000, 1000)
	}
	env.defaultClient.expectOneAnswerEach()
}
