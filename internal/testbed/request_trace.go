package testbed

import "landingpaddle/internal/proto"

// requestKey identifies one request: a client's retry has the token of the first request and a different try.
type requestKey struct {
	token uint64
	try   int
}

func keyOf(event Event) requestKey { return requestKey{event.Token, event.ClientTry} }

// attemptKey identifies an attempt at a node.
type attemptKey struct {
	request requestKey
	piece   int
	node    int
	attempt int
}

// requestTraces groups events by requests and attempts.
type requestTraces struct {
	byKey         map[requestKey]*requestTrace
	sent          []*requestTrace // in the order sent
	attemptsByKey map[attemptKey]*attemptTrace
}

// requestTrace is one request of a client with its attempts and the events that ended it.
type requestTrace struct {
	sent      Event
	endEvents []Event // answers, timeouts and lost or closed connections
	attempts  []*attemptTrace
}

// attemptTrace is one attempt according to its node's log. Times are in Unix nanoseconds.
type attemptTrace struct {
	arrive      Event
	repliedAt   int64 // when the answer was queued on the connection; 0: not
	cancelledAt int64 // when it was cancelled, its connection ended or its node stopped; 0: not
	code        proto.Code
	tookEffect  bool
	ended       bool   // executed (KindEnd)
	sum         uint64 // checksum of the bytes; 0 until ended
}

func newRequestTraces() requestTraces {
	return requestTraces{byKey: map[requestKey]*requestTrace{}, attemptsByKey: map[attemptKey]*attemptTrace{}}
}

// add records an event; events must be added in order of time.
func (r *requestTraces) add(event Event) {
	switch event.Kind {
	case KindSent:
		request := &requestTrace{sent: event}
		r.byKey[keyOf(event)] = request
		r.sent = append(r.sent, request)
	case KindAnswer, KindBroken, KindClientLeft, KindTimedOut:
		if request := r.byKey[keyOf(event)]; request != nil {
			request.endEvents = append(request.endEvents, event)
		}
	case KindNodeStopped:
		r.cancelAttemptsAt(event)
	default:
		r.addToAttempt(event)
	}
}

// addToAttempt records a node's event of an attempt.
func (r *requestTraces) addToAttempt(event Event) {
	key := attemptKey{keyOf(event), event.Piece, event.Node, event.Attempt}
	if event.Kind == KindArrive {
		attempt := &attemptTrace{arrive: event}
		r.attemptsByKey[key] = attempt
		if request := r.byKey[keyOf(event)]; request != nil {
			request.attempts = append(request.attempts, attempt)
		}
		return
	}
	attempt := r.attemptsByKey[key]
	if attempt == nil {
		return
	}
	switch event.Kind {
	case KindOverloaded, KindNotApplicable, KindDuplicate, KindEnd, KindCancel:
		attempt.code = event.Code
		attempt.tookEffect = event.Kind == KindEnd && event.Write
		attempt.ended, attempt.sum = event.Kind == KindEnd, event.Checksum
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

// cancelAttemptsAt marks a stopped node's unanswered attempts as cancelled: it sends no more answers.
func (r *requestTraces) cancelAttemptsAt(stopped Event) {
	for key, attempt := range r.attemptsByKey {
		if key.node == stopped.Node && attempt.repliedAt == 0 && attempt.cancelledAt == 0 {
			attempt.cancelledAt = stopped.Time
		}
	}
}

// answer returns a request's first final answer; false if it has none.
func (t *requestTrace) answer() (Event, bool) {
	for _, event := range t.endEvents {
		if event.Kind == KindAnswer {
			return event, true
		}
	}
	return Event{}, false
}

// countEndEvents returns the number of a request's endEvents that are of a kind.
func (t *requestTrace) countEndEvents(kind Kind) (count int) {
	for _, event := range t.endEvents {
		if event.Kind == kind {
			count++
		}
	}
	return count
}

// mayHaveRun reports whether an attempt may have run: its node answered neither Overloaded nor NotApplicable.
func (a *attemptTrace) mayHaveRun() bool {
	return a.code != proto.Overloaded && a.code != proto.NotApplicable
}
