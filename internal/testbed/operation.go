package testbed

import (
	"context"
	"time"

	"landingpaddle/internal/proto"
)

// operation is work that a node executes as a whole: one attempt, or several merged ones.
type operation struct {
	conn     *proto.Conn
	instance int
	stream   uint64
	request  proto.Request
	members  []member
	payload  []byte          // bytes of a write
	data     []byte          // bytes that a read has read
	sums     []uint64        // by member: checksum of its bytes, once executed
	number   uint64          // of this operation among its node's, from 1
	ctx      context.Context // ends when the operation is cancelled or answered
	cancel   context.CancelFunc
	arrived  time.Time

	state      operationState // guarded by the process's lock
	registered bool           // in its deduplication group; guarded by the process's lock
}

type operationState uint8

const (
	operationQueued operationState = iota
	operationRunning
	operationCancelled // while queued or running: it takes no effect
	operationDone
)

// member is one request's part of an operation.
type member struct {
	proto.Member
	dropped bool // it is a duplicate, or was cancelled while queued
}

// effectToken returns the key under which a deduplication group registers a piece of a request.
func (m *member) effectToken() uint64 { return m.Token ^ uint64(m.Piece)<<48 }

// membersOf returns the members of a request's operation; a request that was not merged has one. It returns
// false if a member's bytes are outside the operation's.
func membersOf(request *proto.Request) ([]member, bool) {
	if len(request.Members) == 0 {
		return []member{{Member: proto.Member{
			Token:     request.Token,
			Volume:    request.Volume,
			Key:       request.Key,
			Plan:      request.Plan,
			Units:     request.Units,
			Length:    request.Length,
			Piece:     request.Piece,
			ClientTry: request.ClientTry,
			Client:    request.Client,
		}}}, true
	}
	members := make([]member, len(request.Members))
	for i, m := range request.Members {
		if uint64(m.Offset)+uint64(m.Length) > uint64(request.Length) {
			return nil, false
		}
		members[i].Member = m
	}
	return members, true
}

// withMember returns an operation reduced to one of its members, for the log and the deduplication group.
func (o *operation) withMember(m member) *operation {
	return &operation{
		instance:   o.instance,
		request:    o.request,
		number:     o.number,
		members:    []member{m},
		registered: o.registered,
	}
}

// event returns an event of one member of an operation, without the fields that the process adds.
func (o *operation) event(kind Kind, m member, code proto.Code) Event {
	request := &o.request
	event := Event{
		Kind:      kind,
		Instance:  o.instance,
		Token:     m.Token,
		ClientTry: int(m.ClientTry),
		Attempt:   int(request.Attempt),
		Class:     int(request.Class),
		Plan:      int(m.Plan),
		Volume:    m.Volume,
		Key:       m.Key,
		Units:     int(m.Units),
		Code:      code,
		Write:     request.Write,
		Client:    int(m.Client),
		Operation: o.number,
		Piece:     int(m.Piece),
	}
	if request.Ranged {
		event.DataVolume = request.DataVolume()
		event.Offset, event.Length = request.Offset+uint64(m.Offset), uint64(m.Length)
	}
	return event
}
