package testbed

import "landingpaddle/internal/proto"

// requestKey names one request: a client's retry has the token of the first request.
type requestKey struct {
	token uint64
	try   int
}

func keyOf(event Event) requestKey { return requestKey{event.Token, event.Try} }

// attemptKey names an attempt at a node.
type attemptKey struct {
	request requestKey
	piece   int
	node    int
	attempt int
}

// requestTraces puts events together by requests and attempts.
type requestTraces struct {
	byKey   map[requestKey]*requestTrace
	sent    []*requestTrace // in the order sent
	attempt map[attemptKey]*attemptTrace
}

// requestTrace is one request of a client and all that came of it.
type requestTrace struct {
	sent     Event
	ends     []Event // answers, and how else it ended
	attempts []*attemptTrace
}

// attemptTrace is one attempt as its node saw it. Times are in Unix nanoseconds.
type attemptTrace struct {
	arrive      Event
	repliedAt   int64 // when the answer was written; 0: never
	cancelledAt int64 // when it was cancelled, its connection ended or its node stopped; 0: never
	code        proto.Code
	tookEffect  bool
	ended       bool
	sum         uint64 // checksum of the bytes, once ended
}

func newRequestTraces() requestTraces {
	return requestTraces{byKey: map[requestKey]*requestTrace{}, attempt: map[attemptKey]*attemptTrace{}}
}

// add takes in the next event in order of time.
func (r *requestTraces) add(event Event) {
	switch event.Kind {
	case KindSent:
		request := &requestTrace{sent: event}
		r.byKey[keyOf(event)] = request
		r.sent = append(r.sent, request)
	case KindAnswer, KindBroken, KindClientLeft, KindTimedOut:
		if request := r.byKey[keyOf(event)]; request != nil {
			request.ends = append(request.ends, event)
		}
	case KindNodeStopped:
		r.cancelAttemptsAt(event)
	default:
		r.addToAttempt(event)
	}
}

// addToAttempt takes in a node's event of an attempt.
func (r *requestTraces) addToAttempt(event Event) {
	key := attemptKey{keyOf(event), event.Piece, event.Node, event.Attempt}
	if event.Kind == KindArrive {
		attempt := &attemptTrace{arrive: event}
		r.attempt[key] = attempt
		if request := r.byKey[keyOf(event)]; request != nil {
			request.attempts = append(request.attempts, attempt)
		}
		return
	}
	attempt := r.attempt[key]
	if attempt == nil {
		return
	}
	switch event.Kind {
	case KindOverloaded, KindNotApplicable, KindRepeat, KindEnd, KindCancel:
		attempt.code = event.Code
		attempt.tookEffect = event.Kind == KindEnd && event.Write
		attempt.ended, attempt.sum = event.Kind == KindEnd, event.Sum
	case KindReplied:
		if attempt.repliedAt == 0 {
			attempt.repliedAt = event.Time
		}
	case KindCancelArrived:
		if attempt.cancelledAt == 0 {
			attempt.cancelledAt = event.Time
		}
	}
}

// cancelAttemptsAt takes in that a node stopped: nothing at it is replied to any more.
func (r *requestTraces) cancelAttemptsAt(stopped Event) {
	for key, attempt := range r.attempt {
		if key.node == stopped.Node && attempt.repliedAt == 0 && attempt.cancelledAt == 0 {
			attempt.cancelledAt = stopped.Time
		}
	}
}

// answer is a request's first final answer; false if it has none.
func (t *requestTrace) answer() (Event, bool) {
	for _, event := range t.ends {
		if event.Kind == KindAnswer {
			return event, true
		}
	}
	return Event{}, false
}

// countEnds is how many of a request's ends are of a kind.
func (t *requestTrace) countEnds(kind Kind) (count int) {
	for _, event := range t.ends {
		if event.Kind == kind {
			count++
		}
	}
	return count
}

// mayHaveRun is false for an attempt that its node rejected, or that was not applicable there.
func (a *attemptTrace) mayHaveRun() bool {
	return a.code != proto.Overloaded && a.code != proto.NotApplicable
}
