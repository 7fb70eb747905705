package daemon

import (
	"slices"
	"time"

	"landingpaddle/extent"
	"landingpaddle/internal/proto"
	"landingpaddle/scheduler"
)

// request is what the scheduler knows as one: a call, or one piece of a ranged call. It lasts until it has
// its end and no attempt in flight.
type request struct {
	call       *Call
	piece      extent.Piece // of a ranged call
	id         uint32
	expiresAt  time.Duration
	attempts   int // started
	inFlight   []*attempt
	done       bool
	served     bool
	lastServer scheduler.Server // of the last attempt
	lastReason string           // reason word of the last attempt that ended; "": none has
}

// reason is the reason word of a request that was not served.
func (r *request) reason() string {
	if r.lastReason != "" {
		return r.lastReason
	}
	return ReasonNotInTime
}

// What is known of a piece of a write that was not served as a whole.
const (
	pieceDone      = "done"
	pieceUncertain = "uncertain"
	pieceUnsent    = "unsent"
)

func (r *request) pieceState() string {
	switch {
	case r.served:
		return pieceDone
	case r.attempts > 0:
		return pieceUncertain
	}
	return pieceUnsent
}

// nextRequestID returns an ID that no request has. 0 is none.
func (l *loop) nextRequestID() uint32 {
	for {
		l.lastRequestID++
		if _, used := l.requests[l.lastRequestID]; !used && l.lastRequestID != 0 {
			return l.lastRequestID
		}
	}
}

// resolve ends a request, by the scheduler's decision or by being served, and with it its call once all
// pieces have their end.
func (l *loop) resolve(r *request, answer proto.Answer, payload []byte) {
	if r.done {
		return
	}
	r.done, r.served = true, answer.Code == proto.OK
	if !r.call.isRanged() {
		l.finish(r.call, answer, payload)
		return
	}
	pieces, withdrawn := l.planner.Resolve(r.id, pieceOutcome(answer.Code), payload)
	if pieces != nil {
		l.finishRanged(r.call, answer, pieces)
	}
	l.withdraw(withdrawn)
}

// finishRanged gives a ranged call its final answer: that of its last piece, with what is known of all.
func (l *loop) finishRanged(call *Call, answer proto.Answer, pieces *extent.Answer) {
	setPieceCounts(&answer, pieces)
	answer.Unreadable = nil
	if pieces.Outcome == extent.Failed {
		answer.Code, answer.RetryAfter = proto.Failed, 0
	}
	var payload []byte
	if len(pieces.Data) == 1 {
		payload = pieces.Data[0]
	} else if pieces.Outcome == extent.Served {
		payload = slices.Concat(pieces.Data...)
		l.shared.Stats.Copied.Add(uint64(len(payload)))
	}
	l.finish(call, answer, payload)
}

func pieceOutcome(code proto.Code) extent.Outcome {
	switch code {
	case proto.OK:
		return extent.Served
	case proto.Rejected:
		return extent.Rejected
	}
	return extent.Failed
}

// withdraw tells the scheduler that nothing is owed for requests any more.
func (l *loop) withdraw(ids []uint32) {
	for _, id := range ids {
		if r := l.requests[id]; r != nil {
			r.done = true
			l.notify(scheduler.ClientGone{ID: id})
			l.release(r)
		}
	}
}

// release forgets a request that has its end and no attempt in flight.
func (l *loop) release(r *request) {
	if !r.done || len(r.inFlight) > 0 {
		return
	}
	delete(l.requests, r.id)
	if r.call.isRanged() {
		l.planner.Forget(r.id)
	}
}
