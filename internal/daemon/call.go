package daemon

import (
	"slices"
	"sync/atomic"
	"time"

	"landingpaddle/extent"
	"landingpaddle/internal/proto"
	"landingpaddle/scheduler"
)

// Call is one client's request while the daemon processes it. The frontend sets the exported fields and
// submits the call; from then on the loop owns it.
type Call struct {
	Responder    Responder
	Request      scheduler.Request // the loop sets ID and the times
	ReceivedAt   time.Duration     // when its last byte arrived, by the scheduler's clock
	BacklogSince time.Duration     // clock value since which connections wait to be accepted; 0: none does
	Timeout      time.Duration     // how long the client waits, counted from ReceivedAt
	Token        uint64            // identifies the call in logs
	Range        *extent.Range     // bytes of a ranged request; nil: not ranged
	DataVolume   uint64            // the volume that a ranged request reads or writes

	rangedID     uint64     // the planner's ID of a ranged call; 0: not ranged
	requests     []*request // one, or one for each piece of a ranged call
	overdueTimer *timer
	answered     bool

	// closed is true once the call is answered, or its client has disconnected or cancelled: no attempt may
	// start any more. Drivers read it on any goroutine.
	closed atomic.Bool
	// attemptsStopped is true once no further attempt may start, though the call is open.
	attemptsStopped atomic.Bool
}

// mayStartAttempt reports whether an attempt of the call may start.
func (c *Call) mayStartAttempt() bool { return !c.closed.Load() && !c.attemptsStopped.Load() }

func (c *Call) isRanged() bool { return c.rangedID != 0 }

// startCall passes a submitted call to the scheduler: as one request, or as one for each piece of its range.
func (l *loop) startCall(call *Call) {
	expiresAt := call.ReceivedAt + call.Timeout - l.shared.cfg.ResponseMargin
	call.overdueTimer = l.timers.set(expiresAt+l.shared.cfg.AnswerSlack, func() { l.failOverdue(call) })
	event := call.Request
	event.ArrivedAt, event.ExpiresAt, event.BacklogSince = call.ReceivedAt, expiresAt, call.BacklogSince
	if call.Range != nil {
		l.startRangedCall(call, event)
		return
	}
	r := &request{call: call, id: l.nextRequestID(), expiresAt: expiresAt}
	l.requests[r.id], call.requests = r, []*request{r}
	event.ID = r.id
	l.notify(event)
}

// startRangedCall splits a call into pieces and passes these to the scheduler.
func (l *loop) startRangedCall(call *Call, event scheduler.Request) {
	l.lastRangedID++
	pieces, err := l.planner.Add(extent.Request{
		ID:         l.lastRangedID,
		DataVolume: call.DataVolume,
		Range:      *call.Range,
		Write:      event.Write,
		Class:      event.Class,
		Plan:       event.Plan,
		Units:      int(event.Units),
		ReceivedAt: call.ReceivedAt,
		RetrySafe:  l.settings.Classes[event.Class].RetrySafe(),
	}, l.nextRequestID)
	if err != nil {
		l.shared.log.Debug("range rejected", keyToken, call.Token, keyError, err)
		l.finish(call, proto.Answer{Code: proto.Rejected, Reason: ReasonBadRange}, nil)
		return
	}
	call.rangedID = l.lastRangedID
	for i, piece := range pieces {
		r := &request{call: call, piece: piece, id: piece.ID, expiresAt: event.ExpiresAt}
		l.requests[r.id], call.requests = r, append(call.requests, r)
		event.ID, event.Cell, event.Units = piece.ID, piece.Cell, float64(piece.Units)
		event.Continuation = i > 0
		l.notify(event)
	}
}

// failOverdue fails a call that the scheduler has not answered when its time is up, and logs that as an
// error: it is a bug of the scheduler or the loop.
func (l *loop) failOverdue(call *Call) {
	if !call.answered && l.eventsPending {
		// If the loop's goroutine did not run for a long period, an attempt's end and this timer may be
		// processed in one batch. The scheduler has received the end but not decided yet; it decides first.
		l.decide()
	}
	if call.answered {
		return
	}
	l.shared.Stats.Overdue.Add(1)
	attempts := 0
	for _, r := range call.requests {
		attempts += r.attempts
	}
	l.shared.log.Error("call overdue", keyToken, call.Token, keyAttempts, attempts,
		keyAge, l.now-call.ReceivedAt)
	l.failCall(call, ReasonOverdue)
}

// endCall ends a call for a reason of its frontend. It does nothing if the call is answered or not started.
func (l *loop) endCall(call *Call, reason string) {
	if call.answered || call.requests == nil {
		return
	}
	if reason == ReasonClientGone {
		l.shared.Stats.ClientGone.Add(1)
	}
	l.failCall(call, reason)
}

// endStopped ends a call whose attempts were stopped, unless one is in flight. The call is rejected if no
// attempt can have run.
func (l *loop) endStopped(call *Call) {
	isInFlight := func(r *request) bool { return len(r.inFlight) > 0 }
	switch {
	case call.answered || call.requests == nil || slices.ContainsFunc(call.requests, isInFlight):
	case call.isRanged() || call.requests[0].mayHaveRun:
		l.failCall(call, ReasonOverload)
	default:
		l.finish(call, Rejection(&l.settings, ReasonOverload), nil)
		l.withdraw([]uint32{call.requests[0].id})
	}
}

// Rejection returns the answer to a request that a driver or the loop rejects, not the scheduler.
func Rejection(settings *scheduler.Settings, reason string) proto.Answer {
	answer := proto.Answer{Code: proto.Rejected, Reason: reason}
	if settings.RetryAfter {
		answer.RetryAfter = settings.MaxRetryAfter
	}
	return answer
}

// failCall answers a call as failed and withdraws its requests from the scheduler.
func (l *loop) failCall(call *Call, reason string) {
	answer := proto.Answer{Code: proto.Failed, Reason: reason}
	var withdrawn []uint32
	if call.isRanged() {
		var pieces *extent.Answer
		if pieces, withdrawn = l.planner.Abandon(call.rangedID); pieces != nil {
			setPieceCounts(&answer, pieces)
		}
	} else {
		withdrawn = []uint32{call.requests[0].id}
	}
	l.finish(call, answer, nil)
	l.withdraw(withdrawn)
}

// setPieceCounts sets an answer's counts of the call's pieces by state.
func setPieceCounts(answer *proto.Answer, pieces *extent.Answer) {
	answer.Done = uint16(pieces.Done)
	answer.Uncertain = uint16(pieces.Uncertain)
	answer.Unsent = uint16(pieces.Unsent)
}

// finish gives a call its one final answer. It does nothing if the call is already answered.
func (l *loop) finish(call *Call, answer proto.Answer, payload []byte) {
	if call.answered {
		return
	}
	call.answered = true
	call.closed.Store(true)
	l.timers.cancel(call.overdueTimer)
	l.shared.Stats.countAnswer(answer.Code)
	if answer.Code != proto.OK {
		l.logUnserved(call, answer)
	}
	l.shared.openCalls.Add(-1)
	call.Responder.Respond(answer, payload)
}

// logUnserved logs a rejection or failure and, for a partly done write, the state and node of each piece, as
// these are recorded nowhere else.
func (l *loop) logUnserved(call *Call, answer proto.Answer) {
	l.shared.log.Debug(answerLogMessage(answer.Code), keyReason, answer.Reason, keyToken, call.Token,
		keyRetryAfter, answer.RetryAfter)
	if answer.Done == 0 || !call.Request.Write {
		return
	}
	for _, r := range call.requests {
		l.shared.log.Warn("write partly done", keyToken, call.Token, keyDataVolume, call.DataVolume,
			keyOffset, r.piece.Range.Offset, keyLength, r.piece.Range.Length, keyState, r.pieceState(),
			keyNode, l.shared.cfg.NodeName(r.lastServer), keyLastReason, r.lastReason)
	}
}
