package scheduler

import (
	"fmt"
	"testing"
	"time"
)

func TestRetry_FollowsIdempotency(t *testing.T) {
	keyed := Class{
		LatencyObjective: time.Second,
		Deadline:         4 * time.Second,
		Idempotency:      IdempotentByKey,
		DedupScope:       DedupCell,
		DedupWindow:      500 * ms,
	}
	all := keyed
	all.DedupScope = DedupAll
	unsafe := Class{LatencyObjective: time.Second, Deadline: 4 * time.Second, Idempotency: NotIdempotent}
	for _, c := range []struct {
		name  string
		class Class
		code  ResultCode
		after time.Duration
		again int
		end   string
	}{
		{"safe, reset", settings().Classes[0], Reset, 100 * ms, 1, ""},
		{"unsafe, may have run", unsafe, Reset, 100 * ms, 0, "fail 1"},
		{"unsafe, never ran", unsafe, Overloaded, 100 * ms, 1, ""},
		{"keyed in its window", keyed, Error, 100 * ms, 1, ""},
		{"keyed past its window", keyed, Error, 600 * ms, 0, "fail 1"},
		{"keyed by all past its window", all, Error, 600 * ms, 0, "refuse 1"},
		{"keyed, never ran", keyed, Overloaded, 600 * ms, 1, ""},
	} {
		set := settings()
		set.Classes[0] = c.class
		r := start(t, set, 1)
		r.do(r.ask(nil))
		r.now += c.after
		acts := r.done(1, 0, 0, c.code, ms)
		acts = append(acts, r.pass(2*initialBackoff)...)
		got := append(ends(acts), "")
		if len(sends(acts)) != c.again || got[0] != c.end {
			t.Errorf("%s: %d further attempts and %q; want %d and %q", c.name, len(sends(acts)), got[0],
				c.again, c.end)
		}
	}
}

func TestRetry_StaysWithinDeduplicationScope(t *testing.T) {
	set := settings()
	set.Classes[0].Idempotency, set.Classes[0].DedupScope, set.Classes[0].DedupWindow = IdempotentByKey,
		DedupZone, time.Minute
	r := start(t, set, 2)
	q := &request{class: r.h.classes[0], attempts: 1, mayHaveRunOn: &node{Endpoint: Endpoint{Zone: 1}}}
	n := r.h.endpoints.nodes[server(0)]
	r.h.now = r.now
	q.mayHaveRunSince = r.now
	if r.h.mayRetry(q, n) {
		t.Error("sent again outside its zone")
	}
	n.Zone = 1
	if !r.h.mayRetry(q, n) {
		t.Error("not sent again inside its zone")
	}
}

// A keyed request that may have run says until when a further attempt of it may begin, as its connection may
// take long to come up; a first attempt, and one that is safe, may begin any time.
func TestRetry_CarriesStartDeadline(t *testing.T) {
	for _, keyed := range []bool{true, false} {
		set := settings()
		if keyed {
			set.Classes[0].Idempotency, set.Classes[0].DedupScope,
				set.Classes[0].DedupWindow = IdempotentByKey, DedupCell, 700*ms
		}
		r := start(t, set, 1)
		q := r.ask(nil)
		first, evs := r.now, []Event{q}
		for n, want := range []time.Duration{0, first + 700*ms - timingMargin} {
			var before time.Duration
			for _, a := range r.do(evs...) {
				if s, ok := a.(Send); ok {
					before = s.StartBefore
				}
			}
			if !keyed {
				want = 0
			}
			if before != want {
				t.Errorf("keyed %v, attempt %d: before %v, want %v", keyed, n, before, want)
			}
			r.h.Handle(
				r.now,
				AttemptResult{ID: q.ID, Attempt: n, Server: server(0), Code: Reset, Latency: ms},
			)
			evs = nil
			r.now += 20 * ms
		}
	}
}

// A site whose unsafe writes may have run: the end of the attempt is what is given up on. It fails in that
// batch, without a refusal, a further attempt or advice.
func TestRetry_NonIdempotentWriteThatMayHaveRunFails(t *testing.T) {
	set := settings()
	set.RetryAfter, set.RetryBudget, set.RetryBudgetFloor, set.RetryBudgetWindow = false, true, 3,
		5*time.Second
	set.Classes[0].Idempotency, set.Classes[0].Writes = NotIdempotent, true
	for _, code := range []ResultCode{Error, TimedOut, Reset, Cancelled} {
		r := start(t, set, 2)
		r.do(r.ask(func(q *Request) { q.Cell = NewObject }))
		n := r.h.requests[1].node
		acts := r.done(1, 0, int(n.Cell), code, 50*ms)
		want(t, fmt.Sprint("answer after ", code), ends(acts), "fail 1")
		want(t, "further attempts", sends(acts))
	}
	for _, code := range []ResultCode{Overloaded, ConnectFailed} {
		r := start(t, set, 1)
		r.do(r.ask(nil))
		r.h.endpoints.nodes[server(0)].latency = 3 * time.Second // so long a wait would be the advice
		r.done(1, 0, 0, code, ms)
		r.pass(time.Second)
		if len(ends(r.acts)) != 1 {
			t.Errorf("after %v: answers %v", code, ends(r.acts))
		}
		for _, a := range r.acts {
			if f, ok := a.(Reject); ok && f.RetryAfter != 0 {
				t.Errorf("after %v: advice of %v where none may be given", code, f.RetryAfter)
			}
			if _, ok := a.(Fail); ok {
				t.Errorf("after %v: a failure, though nothing ran", code)
			}
		}
	}
}

func TestRetryBudget_IsFloorPlusRatio(t *testing.T) {
	set := settings()
	set.RetryBudget, set.RetryBudgetFloor, set.RetryBudgetRatio, set.RetryBudgetWindow = true, 1, 0.5,
		time.Second
	r := start(t, set, 1)
	r.do(r.ask(nil), r.ask(nil), r.ask(nil), r.ask(nil))
	for id := uint32(1); id <= 4; id++ {
		r.done(id, 0, 0, Error, ms)
		r.h.endpoints.nodes[server(0)].failures = 0
		r.do()
	}
	if got := len(sends(r.acts)) - 4; got != 3 {
		t.Errorf("%d further attempts, want 1 + 0.5 x 4 = 3", got)
	}
}

// The budget binds at any moment, counted from the host's own start.
func TestRetryBudget_HoldsInAnyWindow(t *testing.T) {
	set := settings()
	set.RetryBudget, set.RetryBudgetFloor, set.RetryBudgetRatio, set.RetryBudgetWindow = true, 3, 0.15,
		5*time.Second
	for range 2 { // a restart knows nothing of what was spent before
		r := start(t, set, 1)
		var taken, extra []time.Duration
		within := func(list []time.Duration) (n int) {
			for _, at := range list {
				if at > r.now-5*time.Second {
					n++
				}
			}
			return n
		}
		for range 400 {
			r.now += 50 * ms
			taken = append(taken, r.now)
			acts := r.do(r.ask(nil))
			for range 3 {
				var next []Action
				for _, id := range sends(acts) {
					q := r.h.requests[id]
					if q.attempts > 1 {
						extra = append(extra, r.now)
						if got, most := within(extra), 3+0.15*float64(within(taken)); float64(got) > most {
							t.Fatalf("%d further attempts in 5 s, at most %v", got, most)
						}
					}
					r.h.endpoints.nodes[server(0)].failures = 0
					next = append(next, r.done(id, q.attempts-1, 0, Error, ms)...)
				}
				acts = next
			}
		}
		if len(extra) < 20 {
			t.Fatalf("only %d further attempts: the bound was not met", len(extra))
		}
	}
}
