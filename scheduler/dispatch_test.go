package scheduler

import (
	"testing"
	"time"
)

func TestDispatch_BackfillsUpToCostOfHead(t *testing.T) {
	set := settings()
	set.Classes[0].LatencyObjective = 100 * time.Second
	r := start(t, set, 1)
	r.fix(4)
	r.h.classes[0].meanUnits, r.h.classes[0].count = 1, 1e9
	add := func(vol uint64, units float64) Event {
		return r.ask(func(q *Request) { q.Volume, q.Units, q.ExpiresAt = vol, units, r.now+200*time.Second })
	}
	r.h.endpoints.shards[0].virtualTime = 1
	got := r.do(add(1, 3), add(2, 3), add(3, 1))
	want(t, "3 slots of 4 leave room for 1: the small one passes the head", sends(got), 1, 3)
	got = r.do(add(4, 1), add(5, 1))
	want(t, "nothing more fits", sends(got))
	want(t, "two more small ones pass, then the head's cost is reached", sends(r.done(3, 0, 0, OK,
		r.h.objectives.shortest/2)), 4)
	want(t, "second", sends(r.done(4, 0, 0, OK, r.h.objectives.shortest/2)), 5)
	r.do(add(6, 1))
	want(t, "third is not promoted", sends(r.done(5, 0, 0, OK, r.h.objectives.shortest/2)))
	want(t, "head and the next leave when it fits", sends(r.done(1, 0, 0, OK, r.h.objectives.shortest/2)),
		2, 6)
}

func TestDispatch_SendsNothingAfterClientIsGone(t *testing.T) {
	r := start(t, settings(), 1)
	r.fix(1)
	r.do(r.ask(nil), r.ask(func(q *Request) { q.Units = 8 }))
	r.do(ClientGone{ID: 2}, ClientGone{ID: 99})
	want(t, "sent", sends(r.done(1, 0, 0, OK, ms)))
	r.done(1, 0, 0, OK, ms) // an outcome for an ended request
	r.do(ClientGone{ID: 1}) // a late one
}

func TestDispatch_ShedsRequestThatCannotBeInTime(t *testing.T) {
	r := start(t, settings(), 1)
	r.fix(8).latency = 100 * ms
	want(
		t,
		"refused at once",
		ends(r.do(r.ask(func(q *Request) { q.ExpiresAt = r.now + 50*ms }))),
		"refuse 1",
	)
}

// An attempt is given up once its answer would earn little, but only where that leaves nothing unsure.
func TestDispatch_AttemptTimeoutEndsAtLatencyObjective(t *testing.T) {
	set := settings()
	set.Classes = append(
		set.Classes,
		Class{LatencyObjective: time.Second, Deadline: 4 * time.Second, Idempotency: NotIdempotent},
	)
	r := start(t, set, 1)
	for _, c := range []struct {
		what   string
		change func(*Request)
		want   time.Duration
	}{
		{"safe, in time", nil, time.Second},
		{"a retry that is late already", func(q *Request) { q.ExpiresAt -= 2 * time.Second }, 0},
		{"unsafe", func(q *Request) { q.Class = 1 }, 0},
		{"a new object", func(q *Request) { q.Cell = NewObject }, time.Second},
	} {
		for _, a := range r.do(r.ask(c.change)) {
			if s, ok := a.(Send); ok && s.Timeout != c.want {
				t.Errorf("%s: may take %v, want %v", c.what, s.Timeout, c.want)
			}
		}
	}
}
