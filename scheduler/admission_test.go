package scheduler

import (
	"fmt"
	"testing"
	"time"
)

// A host just restarted may see only retries, whose wait is short; it must not hold them beyond that wait.
func TestAdmission_HoldsNoRetryBeyondItsDeadline(t *testing.T) {
	r := start(t, settings(), 1)
	r.do(EndpointUpdate{Kind: UpdateFull})
	r.do(r.ask(func(q *Request) { q.ExpiresAt = r.now + 200*ms }))
	for range 19 {
		r.pass(10 * ms)
	}
	r.pass(5 * ms)
	want(t, "answered", ends(r.acts), "refuse 1")
}

// Clients that come with less time than the aim are of short patience, not late retries: they are served
// while they wait, unless their size says that they cannot be back in time.
func TestAdmission_ServesImpatientClientsBySize(t *testing.T) {
	set := settings()
	set.Classes[0].LatencyObjective = 200 * ms
	r := start(t, set, 2)
	r.do(r.ask(nil)) // a first try shows the usual wait
	n := r.h.endpoints.nodes[server(1)]
	n.latency, n.depth = 10*ms, 8
	for i := range 40 {
		size := float64(1 + i%4)
		r.h.classes[0].latency.add(size, 0.010*size)
		r.h.latency.allClasses.add(size, 0.010*size)
	}
	short := func(q *Request) { q.Cell, q.ExpiresAt = 1, r.now+50*ms }
	a := r.ask(short)
	want(t, "a small one leaves", sends(r.do(a)), a.ID)
	b := r.ask(func(q *Request) { short(q); q.Units = 8 })
	want(t, "a large one is refused", ends(r.do(b)), fmt.Sprint("refuse ", b.ID))
}

// A retry that comes back past its aim must not take reserve and slots from what can still be in time.
func TestAdmission_RejectsRetryPastItsObjective(t *testing.T) {
	r := start(t, settings(), 1)
	r.do(r.ask(nil))
	late := r.ask(func(q *Request) { q.ExpiresAt = r.now + 2*time.Second })
	want(t, "late retry", ends(r.do(late)), fmt.Sprint("refuse ", late.ID))
}
