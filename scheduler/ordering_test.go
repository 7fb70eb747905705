package scheduler

import (
	"testing"
)

func TestOrdering_OneRequestPerKeyAtATime(t *testing.T) {
	set := settings()
	set.Classes[0].OrderedByKey, set.OrderingPause = true, 100*ms
	r := start(t, set, 1)
	key := func(q *Request) { q.Key = 5 }
	want(t, "one at a time", sends(r.do(r.ask(key), r.ask(key), r.ask(key), r.ask(nil))), 1, 4)
	want(t, "the next after its end", sends(r.done(1, 0, 0, OK, ms)), 2)
	r.do(ClientGone{ID: 2})
	want(t, "not while an attempt has no outcome", sends(r.pass(10*ms)))
	r.do(AttemptResult{ID: 2, Server: server(0), Code: TimedOut, Latency: 20 * ms, RequestDone: true})
	want(t, "the key rests", sends(r.pass(95*ms)))
	want(t, "then goes on", sends(r.pass(5*ms)), 3)
}

func TestOrdering_ForgetsKeysAfterPause(t *testing.T) {
	set := settings()
	set.Classes[0].OrderedByKey, set.OrderingPause = true, 100*ms
	r := start(t, set, 1)
	for key := range uint64(50) {
		r.do(r.ask(func(q *Request) { q.Key, q.Volume = key+1, key }))
		r.now += 10 * ms
		code := OK
		if key%2 == 0 {
			code = TimedOut
		}
		r.do(AttemptResult{ID: r.id, Server: server(0), Code: code, Latency: 10 * ms, RequestDone: true})
	}
	if got := len(r.h.keys.byKey); got > 12 {
		t.Errorf("%d keys are remembered, want those of the last 100 ms", got)
	}
}
