package daemon

import (
	"time"

	"landingpaddle/extent"
	"landingpaddle/internal/proto"
	"landingpaddle/scheduler"
)

// Operation is what goes to a node as one request: one attempt, or the attempts of several requests that the
// scheduler merged. The loop owns it; drivers may read it while they carry it out.
type Operation struct {
	server  scheduler.Server
	members []*attempt       // the leader first
	extent  extent.Operation // what a ranged one covers, once it is sealed

	// DriverState belongs to the driver that carries the operation out.
	DriverState any
}

// newOperation returns an operation of one attempt.
func newOperation(a *attempt) *Operation { return &Operation{server: a.server, members: []*attempt{a}} }

// Server is the node that the operation goes to.
func (o *Operation) Server() scheduler.Server { return o.server }

// Responder is who waits for the answer; of several members the leader's.
func (o *Operation) Responder() Responder { return o.members[0].request.call.Responder }

// Deadline is when the loop ends the leader's attempt, by the scheduler's clock.
func (o *Operation) Deadline() time.Duration { return o.members[0].deadline }

func (o *Operation) isRanged() bool { return o.members[0].request.call.isRanged() }

// seal fixes what the operation covers, once it is known who is part of it.
func (o *Operation) seal(planner *extent.Planner) {
	if !o.isRanged() || len(o.extent.Members) > 0 {
		return
	}
	ids := make([]uint32, len(o.members))
	for i, member := range o.members {
		ids[i] = member.request.id
	}
	o.extent = planner.SealOperation(ids)
}

// dispatch hands this batch's operations to the upstream.
func (l *loop) dispatch() {
	operations := l.undispatched
	l.undispatched = nil
	for _, operation := range operations {
		for _, sendable := range l.sendable(operation) {
			l.shared.Stats.Attempts.Add(uint64(len(sendable.members)))
			l.drivers.Upstream.Send(sendable)
		}
	}
	clear(operations)
	l.undispatched = operations[:0]
}

// sendable is what of an operation is still to be sent, sealed. Members whose request has its end or whose
// time is up are withheld. Without them the others' ranges may not touch any more, so each of these is sent
// alone.
func (l *loop) sendable(operation *Operation) []*Operation {
	var remaining []*attempt
	for _, member := range operation.members {
		switch {
		case member.ended:
		case member.request.done || member.deadline <= l.now:
			l.shared.Stats.Withheld.Add(1)
			l.reportUnsent(member, scheduler.NotApplicable)
		default:
			remaining = append(remaining, member)
		}
	}
	if len(remaining) == len(operation.members) {
		operation.seal(l.planner)
		return []*Operation{operation}
	}
	return l.separate(remaining)
}

// separate makes an operation of each attempt. Of several of one ordered key only the first is sent: the
// others go back to the scheduler as not sent, as nodes carried out in any order what was sent side by
// side.
func (l *loop) separate(attempts []*attempt) []*Operation {
	var operations []*Operation
	sentKeys := map[uint64]bool{}
	for _, a := range attempts {
		if key, ordered := l.orderingKey(a.request); ordered {
			if sentKeys[key] {
				l.reportUnsent(a, scheduler.ConnectFailed)
				continue
			}
			sentKeys[key] = true
		}
		a.operation = newOperation(a)
		a.operation.seal(l.planner)
		operations = append(operations, a.operation)
	}
	return operations
}

// orderingKey is the key that orders a request; false if none does.
func (l *loop) orderingKey(r *request) (key uint64, ordered bool) {
	event := &r.call.Request
	return event.Key, event.Key != 0 && l.settings.Classes[event.Class].OrderedByKey
}

// reportUnsent ends an attempt that was not sent, in the next batch.
func (l *loop) reportUnsent(a *attempt, code scheduler.ResultCode) {
	l.shared.inbox.put(operationResult{operation: newOperation(a), code: code})
}

// operationEnded takes in how an operation ended: each member has its own part of that.
func (l *loop) operationEnded(result operationResult) {
	operation := result.operation
	var parts []extent.Part
	if result.code == scheduler.OK && operation.isRanged() {
		parts = operation.extent.Distribute(unreadableRanges(result.answer), result.payload)
	}
	for i, member := range operation.members {
		end := attemptEnd{code: result.code, answer: result.answer, payload: result.payload, isLeader: i == 0}
		if parts != nil {
			end.payload = parts[i].Data
			if !parts[i].OK {
				end.code = scheduler.Error
			}
		}
		l.attemptEnded(member, end)
	}
}

// unreadableRanges are the parts of an operation that its node could not serve.
func unreadableRanges(answer proto.Answer) []extent.Range {
	var ranges []extent.Range
	for _, unreadable := range answer.Unreadable {
		ranges = append(ranges, extent.Range{Offset: unreadable.Offset, Length: unreadable.Length})
	}
	return ranges
}
