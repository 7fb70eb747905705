package daemon

import (
	"slices"
	"time"

	"landingpaddle/extent"
	"landingpaddle/internal/proto"
	"landingpaddle/scheduler"
)

// request is one request of the scheduler: a call, or one piece of a ranged call. It is kept until it has
// ended and none of its attempts is in flight.
type request struct {
	call       *Call
	piece      extent.Piece // of a ranged call
	id         uint32
	expiresAt  time.Duration
	attempts   int // number of attempts started
	inFlight   []*attempt
	done       bool
	served     bool
	mayHaveRun bool             // an attempt has ended that may have taken effect
	lastServer scheduler.Server // of the last attempt
	lastReason string           // reason of the last attempt that ended; "": none has
}

// reason returns the reason of a request that was not served.
func (r *request) reason() string {
	if r.lastReason != "" {
		return r.lastReason
	}
	return ReasonNotInTime
}

// States of the pieces of a write that was not served completely, in the log.
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

// nextRequestID returns an unused ID. 0 is not a valid ID.
func (l *loop) nextRequestID() uint32 {
	for {
		l.lastRequestID++
		if _, used := l.requests[l.lastRequestID]; !used && l.lastRequestID != 0 {
			return l.lastRequestID
		}
	}
}

// resolve ends a request by the scheduler's decision or a node's answer. It answers the call unless the call
// is ranged and its outcome still depends on other pieces.
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

// finishRanged gives a ranged call its final answer: that of the deciding piece, with the counts of all
// pieces and, if all were served, their data.
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

// withdraw notifies the scheduler that requests need no answer any more, and releases them.
func (l *loop) withdraw(ids []uint32) {
	for _, id := range ids {
		if r := l.requests[id]; r != nil {
			r.done = true
			l.notify(scheduler.RequestWithdrawn{ID: id})
			l.release(r)
		}
	}
}

// release removes a request that has ended and has no attempt in flight.
func (l *loop) release(r *request) {
	if !r.done || len(r.inFlight) > 0 {
		return
	}
	delete(l.requests, r.id)
	if r.call.isRanged() {
		l.planner.Forget(r.id)
	}
}
