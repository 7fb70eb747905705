package scheduler

import (
	"testing"
	"time"
)

func TestPlacement_PrefersLeastExpectedWait(t *testing.T) {
	r := start(t, settings(), 3)
	r.h.endpoints.nodes[server(0)].latency = 300 * ms
	r.h.endpoints.nodes[server(2)].failures = 1
	acts := r.do(r.ask(func(q *Request) { q.Cell = NewObject }))
	for _, a := range acts {
		if s, ok := a.(Send); ok && s.Server != server(1) {
			t.Errorf("sent to %v", s.Server)
		}
	}
	want(t, "sent", sends(acts), 1)
}

// A node stuck with one heavy request shows it by the age of that attempt.
func TestPlacement_AvoidsStuckNode(t *testing.T) {
	r := start(t, settings(), 2)
	r.do(r.ask(nil)) // at the node of cell 0
	r.h.endpoints.nodes[server(0)].deviation = time.Second
	r.h.endpoints.nodes[server(1)].latency *= 3
	r.now += 500 * ms
	r.do(r.ask(func(q *Request) { q.Cell = NewObject }))
	if got := r.h.requests[2].node.Cell; got != 1 {
		t.Errorf("put on the node of cell %d", got)
	}
}

// Nodes that turn work away at once answer fastest; without a guard they would attract the most.
func TestPlacement_OverloadedNodeDoesNotAttract(t *testing.T) {
	r := start(t, settings(), 2)
	r.do(r.ask(func(q *Request) { q.Cell = NewObject }))
	first := r.h.requests[1].node
	acts := r.done(1, 0, int(first.Cell), Overloaded, 3*ms)
	for _, a := range acts {
		if s, ok := a.(Send); ok && s.Server == first.Server {
			t.Error("sent again to the node that turned it away")
		}
	}
	want(t, "sent elsewhere", sends(acts), 1)
}

// A node that fails most of its requests fast looks quick and idle; new objects must not gather there.
func TestPlacement_AvoidsNodeWithErrors(t *testing.T) {
	r := start(t, settings(), 2)
	bad := r.h.endpoints.shards[0].node
	for range 6 {
		q := r.ask(nil)
		r.do(q)
		r.done(q.ID, 0, 0, Error, ms)
		r.do(ClientGone{ID: q.ID})
		if a := len(r.h.requests); a > 0 { // its further attempt
			r.done(q.ID, 1, 0, Error, ms)
		}
	}
	other := r.h.endpoints.shards[1].node
	bad.inFlight, bad.slotsUsed, other.lastAnswerAt, bad.latency = nil, 0, r.now, other.latency*3/4
	q := &request{Request: Request{Units: 1}, class: r.h.classes[0]}
	if s := r.h.placeNewObject(q); s.node == bad {
		t.Errorf("a new object goes to a node of which %.2f of the answers are errors", bad.errorRate)
	}
	bad.errorRate = 0
	if s := r.h.placeNewObject(q); s.node != bad {
		t.Error("a new object keeps away from the quicker node without errors")
	}
}

// Hosts that all start at once know nothing of any node: their new objects must not all go to the first.
func TestPlacement_StartingInstancesSpreadNewObjects(t *testing.T) {
	seen := map[int]int{}
	for seed := range uint64(40) {
		r := &rig{t: t, h: New(seed, settings()), now: time.Hour}
		r.do(
			EndpointUpdate{
				Kind: UpdateCached,
				Endpoints: []Endpoint{entry(0, Ready), entry(1, Ready), entry(2, Ready),
					entry(3, Ready)},
			},
		)
		seen[r.h.placeNewObject(&request{Request: Request{Units: 1}, class: r.h.classes[0]}).cell]++
	}
	for cell := range 4 {
		if seen[cell] > 20 || seen[cell] == 0 {
			t.Errorf("%d of 40 hosts put a new object on node %d", seen[cell], cell)
		}
	}
}
