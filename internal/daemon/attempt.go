package daemon

import (
	"slices"
	"time"

	"landingpaddle/internal/proto"
	"landingpaddle/scheduler"
)

// attempt is one attempt to have a request served by a node.
type attempt struct {
	request       *request
	operation     *Operation
	number        int // index among the attempts of the request, from 0
	server        scheduler.Server
	nodeStartedAt time.Duration // start of the node process that the scheduler chose
	startBefore   time.Duration // the first byte must be sent by then; 0: no bound
	startedAt     time.Duration
	deadline      time.Duration
	timeout       *timer
	isProlonged   bool // its time-out was postponed for an unread answer
	ended         bool
}

// unreadAnswerTime is the time that a driver has to read an answer that has arrived when its attempt's time
// is up.
const unreadAnswerTime = 10 * time.Millisecond

// startAttempt starts an attempt. Its deadline follows from send.Timeout and is never after the request's
// expiry. The scheduler sends the members of one operation consecutively, those after the first with it as
// Leader; dispatch then passes the operation to the upstream.
func (l *loop) startAttempt(send scheduler.Send) {
	r := l.requests[send.ID]
	if r == nil {
		return
	}
	a := &attempt{
		request:       r,
		number:        r.attempts,
		server:        send.Server,
		nodeStartedAt: l.shared.notifiedEndpoints.get(send.Server).startedAt,
		startBefore:   send.StartBefore,
		startedAt:     l.now,
		deadline:      r.expiresAt,
	}
	if send.Timeout > 0 {
		a.deadline = min(a.deadline, l.now+send.Timeout)
	}
	r.attempts++
	r.lastServer = send.Server
	r.inFlight = append(r.inFlight, a)
	if r.call.isRanged() {
		l.planner.AttemptSent(r.id)
	}
	l.joinOperation(a, send.Leader)
	a.timeout = l.timers.set(a.deadline, func() { l.timeOut(a) })
}

// timeOut ends an attempt whose time is up. If the process did not run for a while, its answer may have
// arrived and be unread: then the attempt is given unreadAnswerTime once, provided that the client still
// waits then.
func (l *loop) timeOut(a *attempt) {
	until := l.now + unreadAnswerTime
	if !a.isProlonged && until < a.request.expiresAt && l.drivers.Upstream.HasUnreadAnswer(a.operation) {
		a.isProlonged = true
		a.timeout = l.timers.set(until, func() { l.timeOut(a) })
		return
	}
	l.abort(a, scheduler.TimedOut)
}

// joinOperation adds an attempt to the last undispatched operation if leader is the ID of that operation's
// first request. Otherwise, or if leader is 0, the attempt starts a new operation.
func (l *loop) joinOperation(a *attempt, leader uint32) {
	if last := len(l.undispatched) - 1; leader != 0 && last >= 0 {
		if operation := l.undispatched[last]; operation.members[0].request.id == leader {
			a.operation = operation
			operation.members = append(operation.members, a)
			return
		}
	}
	a.operation = newOperation(a)
	l.undispatched = append(l.undispatched, a.operation)
}

// abort ends an attempt that has no result yet, because its time is up or it was cancelled. The operation is
// cancelled at its node once none of its members waits any more. Until then only the one member is cancelled,
// at once: a write that is aborted here but stays in an operation at its node can be executed after a later
// write of its key.
func (l *loop) abort(a *attempt, code scheduler.ResultCode) {
	if a.ended {
		return
	}
	l.attemptEnded(a, attemptEnd{code: code})
	members := a.operation.members
	if slices.ContainsFunc(members, func(member *attempt) bool { return !member.ended }) {
		l.drivers.Upstream.CancelMember(a.operation, slices.Index(members, a))
		return
	}
	l.drivers.Upstream.Cancel(a.operation)
}

// attemptEnd is how an attempt ended.
type attemptEnd struct {
	code     scheduler.ResultCode
	answer   proto.Answer // the node's answer to the whole operation
	payload  []byte       // the attempt's part of the answer's data
	isLeader bool         // if so, the answer's MeteredRate and ElsewhereUnits are those of its volume
}

// attemptEnded records how an attempt ended and reports it to the scheduler. The first attempt that succeeds
// resolves its request at once.
func (l *loop) attemptEnded(a *attempt, end attemptEnd) {
	if a.ended {
		l.shared.Stats.LateResults.Add(1)
		return // the attempt has its one result already, such as a time-out
	}
	a.ended = true
	l.timers.cancel(a.timeout)
	l.shared.Stats.countAttempt(end.code)
	r := a.request
	r.inFlight = slices.DeleteFunc(r.inFlight, func(other *attempt) bool { return other == a })
	r.lastReason = attemptReason(end.code)
	r.mayHaveRun = r.mayHaveRun || end.code.MayHaveRun()
	if r.call.isRanged() {
		l.planner.AttemptEnded(r.id, end.code.MayHaveRun())
		l.logLatePiece(a, end.code)
	}
	result := scheduler.AttemptResult{
		ID:      r.id,
		Attempt: a.number,
		Server:  a.server,
		Code:    end.code,
		Latency: l.now - a.startedAt,
		Load:    end.answer.Load,
	}
	if end.isLeader {
		result.MeteredRate = int(end.answer.MeteredRate)
		result.ElsewhereUnits = float64(end.answer.ElsewhereUnits)
	}
	if end.code == scheduler.OK {
		l.resolve(r, clientAnswer(end.answer), end.payload)
	} else if r.call.attemptsStopped.Load() {
		l.endStopped(r.call)
	}
	result.RequestDone = r.done
	l.notify(result)
	l.release(r)
}

// clientAnswer returns a node's answer as sent to the client: without the fields meant for the instance.
func clientAnswer(answer proto.Answer) proto.Answer {
	answer.Code, answer.MeteredRate, answer.ElsewhereUnits, answer.Load = proto.OK, 0, 0, nil
	return answer
}

// logLatePiece logs a piece that may have been written after its call was answered.
func (l *loop) logLatePiece(a *attempt, code scheduler.ResultCode) {
	call := a.request.call
	if !call.answered || !call.Request.Write || !code.MayHaveRun() {
		return
	}
	piece := a.request.piece.Range
	l.shared.log.Info("write piece ended after its call was answered", keyToken, call.Token,
		keyDataVolume, call.DataVolume, keyOffset, piece.Offset, keyLength, piece.Length,
		keyNode, l.shared.cfg.NodeName(a.server), keyCode, code)
}
