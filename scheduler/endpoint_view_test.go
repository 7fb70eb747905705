package scheduler

import (
	"testing"
	"time"
)

func TestEndpointView_SendsNothingToDrainingOrGoneNodes(t *testing.T) {
	for _, st := range []Status{Draining, Gone} {
		r := start(t, settings(), 1)
		r.do(EndpointUpdate{Kind: UpdateDelta, Endpoints: []Endpoint{entry(0, st)}})
		want(t, "sent", sends(r.do(r.ask(nil))))
		r.do(
			EndpointUpdate{
				Kind:      UpdateDelta,
				Endpoints: []Endpoint{{Server: server(7), Status: Ready, Cell: 0}},
			},
		)
		want(t, "the node in its place serves the shard", sends(r.acts), 1)
	}
	r := start(t, settings(), 1)
	r.do(EndpointUpdate{Kind: UpdateFull})
	want(t, "left out of a full list", sends(r.do(r.ask(nil))))
}

// With 250 ms to stop, what was held, placed or waits for a further attempt when a drain is told must not
// reach the node either: nor may a probe.
func TestEndpointView_DrainStopsQueuedRequests(t *testing.T) {
	set := settings()
	set.DrainGrace, set.HealthChecks = 250*ms, true
	r := start(t, set, 1)
	n := r.fix(1)
	r.do(r.ask(nil), r.ask(nil), r.ask(func(q *Request) { q.Cell = NewObject }))
	if len(n.inFlight) == 0 || len(r.h.endpoints.shards[0].requests) == 0 {
		t.Fatalf("%d out, %d held: the test needs both", len(n.inFlight),
			len(r.h.endpoints.shards[0].requests))
	}
	before := len(r.acts)
	r.do(EndpointUpdate{Kind: UpdateDelta, Endpoints: []Endpoint{entry(0, Draining)}})
	r.done(1, 0, 0, Error, ms) // would be tried again
	for range 8 {
		r.pass(500 * ms)
	}
	for _, a := range r.acts[before:] {
		switch a := a.(type) {
		case Send, CheckHealth:
			t.Errorf("after the drain was told: %#v", a)
		}
	}
	if got := len(ends(r.acts)); got != 3 {
		t.Errorf("%d final answers, want 3: %v", got, ends(r.acts))
	}
}

// Nodes that are gone for very long are forgotten; those that come back in time are not, and one whose
// attempt is still out stays until that is over.
func TestEndpointView_ForgetsRemovedNodes(t *testing.T) {
	s := newSteady(scaleSettings(), 1000, 3, 0)
	all := []Endpoint{}
	for _, n := range s.h.endpoints.nodes {
		all = append(all, n.Endpoint)
	}
	one := all[:1]
	s.h.Handle(s.now, EndpointUpdate{Kind: UpdateFull, Endpoints: one})
	s.now += removedNodeRetention / 2
	s.h.Handle(s.now, EndpointUpdate{Kind: UpdateFull, Endpoints: all[:2]})
	s.now += removedNodeRetention/2 + time.Second
	s.h.Handle(s.now, EndpointUpdate{Kind: UpdateFull, Endpoints: one})
	if len(s.h.endpoints.nodes) != 2 {
		t.Fatalf("%d nodes known, want the listed one and the one that went just now",
			len(s.h.endpoints.nodes))
	}
	s.now += removedNodeRetention + time.Second
	s.h.Handle(s.now, EndpointUpdate{Kind: UpdateFull, Endpoints: one})
	if len(s.h.endpoints.nodes) != 1 || len(s.h.endpoints.removals) != 0 {
		t.Fatalf("%d nodes known and %d departures, want 1 and 0", len(s.h.endpoints.nodes),
			len(s.h.endpoints.removals))
	}
}
