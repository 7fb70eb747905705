package daemon

import (
	"time"

	"landingpaddle/extent"
	"landingpaddle/internal/proto"
	"landingpaddle/scheduler"
)

// Operation is sent to a node as one request. It holds one attempt, or the attempts of several requests that
// the scheduler merged. The loop owns it; drivers may read it while they execute it.
type Operation struct {
	server  scheduler.Server
	members []*attempt       // the leader first
	extent  extent.Operation // covered by a ranged operation; set by seal

	// DriverState belongs to the driver that executes the operation.
	DriverState any
}

// newOperation returns an operation of one attempt.
func newOperation(a *attempt) *Operation { return &Operation{server: a.server, members: []*attempt{a}} }

// Server returns the node to which the operation is sent.
func (o *Operation) Server() scheduler.Server { return o.server }

// Responder returns the responder of the call; of several members, the leader's.
func (o *Operation) Responder() Responder { return o.members[0].request.call.Responder }

// Deadline returns when the loop ends the leader's attempt, by the scheduler's clock.
func (o *Operation) Deadline() time.Duration { return o.members[0].deadline }

func (o *Operation) isRanged() bool { return o.members[0].request.call.isRanged() }

// seal sets the extent that a ranged operation covers, once its members are final. Further calls do nothing.
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

// dispatch passes this batch's operations to the upstream.
func (l *loop) dispatch() {
	operations := l.undispatched
	l.undispatched = nil
	for _, operation := range operations {
		for _, sendable := range l.sendableOperations(operation) {
			l.shared.Stats.Attempts.Add(uint64(len(sendable.members)))
			l.drivers.Upstream.Send(sendable)
		}
	}
	clear(operations)
	l.undispatched = operations[:0]
}

// sendableOperations returns the sealed operations to send in place of an operation: the operation itself
// or, if some members have ended already or are withheld because their request has ended or their time is up,
// a separate operation for each other member, as their ranges may no longer be contiguous.
func (l *loop) sendableOperations(operation *Operation) []*Operation {
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
	return l.separateOperations(remaining)
}

// separateOperations returns a sealed operation for each attempt. Of several attempts of one ordered key only
// the first is sent; the others are reported to the scheduler as not sent, because a node may execute
// concurrent operations in any order.
func (l *loop) separateOperations(attempts []*attempt) []*Operation {
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

// orderingKey returns the key by which a request is ordered; false if it is not ordered.
func (l *loop) orderingKey(r *request) (key uint64, ordered bool) {
	event := &r.call.Request
	return event.Key, event.Key != 0 && l.settings.Classes[event.Class].OrderedByKey
}

// reportUnsent queues the result of an attempt that was not sent, for the next batch.
func (l *loop) reportUnsent(a *attempt, code scheduler.ResultCode) {
	l.shared.inbox.put(operationResult{operation: newOperation(a), code: code})
}

// operationEnded ends each member's attempt with its part of the operation's result.
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

// unreadableRanges returns the ranges, relative to the operation's first byte, that the node could not serve.
func unreadableRanges(answer proto.Answer) []extent.Range {
	var ranges []extent.Range
	for _, unreadable := range answer.Unreadable {
		ranges = append(ranges, extent.Range{Offset: unreadable.Offset, Length: unreadable.Length})
	}
	return ranges
}
