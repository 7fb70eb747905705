package scheduler

import (
	"fmt"
	"testing"
	"time"
)

// A part of the answers of nodes that do their work may break on the way: one of them alone must not set its
// node to one request at a time. Two in a row are a node that fails.
func TestOneBrokenAnswerIsNoSickNode(t *testing.T) {
	r := start(t, settings(), 1)
	n := r.h.endpoints.nodes[server(0)]
	r.do(r.ask(nil), r.ask(nil), r.ask(nil))
	r.done(1, 0, 0, Reset, 10*ms)
	if n.failures != 0 || !r.h.isUsable(n) {
		t.Errorf("after one reset: %d failures, usable %v", n.failures, r.h.isUsable(n))
	}
	r.done(2, 0, 0, Reset, 10*ms)
	if n.failures != 1 {
		t.Errorf("after two resets: %d failures, want 1", n.failures)
	}
	r.done(3, 0, 0, OK, 10*ms)
	r.do(r.ask(nil))
	r.done(4, 0, 0, Reset, 10*ms)
	if n.failures != 0 {
		t.Errorf("a reset after an answer: %d failures, want 0", n.failures)
	}
}

// An attempt that was lost makes its node look slower for a moment, and the fleet a little: neither the nodes
// of a hall that is cut off nor those that lose a part of their answers may choke the rest.
func TestLostAttemptsSayLittleOfTheFleet(t *testing.T) {
	r := start(t, settings(), 1)
	n := r.h.endpoints.nodes[server(0)]
	for range int(2 * regressionMinCount) {
		r.h.latency.allClasses.add(1, 0.1)
	}
	n.latency, n.deviation, r.h.latency.recentMean, r.h.latency.runningMedian = 100*ms, 10*ms, 100*ms, 100*ms
	r.do(r.ask(nil))
	r.now += time.Second
	r.done(1, 0, 0, TimedOut, time.Second)
	if n.latency <= 100*ms || n.deviation != 10*ms {
		t.Errorf("after a lost attempt: mean %v, deviation %v", n.latency, n.deviation)
	}
	most := 100*ms + 100*ms/recentMeanWindow
	if r.h.latency.recentMean <= 100*ms || r.h.latency.recentMean > most {
		t.Errorf("the fleet's mean is %v, want over 100 ms and at most %v", r.h.latency.recentMean, most)
	}
	tide := r.h.latency.recentMean
	for range 20 { // the node goes on failing
		n.retryAt = 0
		q := r.ask(nil)
		r.do(q)
		r.now += time.Second
		r.done(q.ID, 0, 0, TimedOut, time.Second)
	}
	if n.failures < 10 || r.h.latency.recentMean != tide {
		t.Errorf(
			"after %d failures of one node the fleet's mean is %v, was %v",
			n.failures,
			r.h.latency.recentMean,
			tide,
		)
	}
	r.h.now += 4 * latencyHalfLife
	if got := r.h.recentLatency(n); got > n.latency/4 {
		t.Errorf("two seconds later the node seems to take %v of its %v", got, n.latency)
	}
}

// What earns little a unit must not fill a node that makes what earns much wait; where nothing waits at a
// node, all classes, plans and parts of the reserve get the same slots.
func TestSlotsFallEarlierForWhatEarnsLess(t *testing.T) {
	set := settings()
	set.Instances, set.ShareWeight = 256, 0.3
	set.Classes[0].PriorityWeight = 3
	set.Classes = append(
		set.Classes,
		Class{LatencyObjective: 2 * time.Second, Deadline: 4 * time.Second, PriorityWeight: 1},
	)
	set.Plans[0].PriorityWeight = 1.5
	r := start(t, set, 1)
	n, s := r.fix(8), r.h.endpoints.shards[0]
	r.h.latency.runningMedian, s.virtualTime = 200*ms, 1
	dear := func() *request {
		return &request{Request: Request{Units: 2}, class: r.h.classes[0], reservedUnits: 2, startTag: 2,
			volume: &volume{plan: Plan{PriorityWeight: 1.5}}}
	}
	others := map[string]func(*request){
		"class":   func(q *request) { q.class = r.h.classes[1] },
		"plan":    func(q *request) { q.volume.plan.PriorityWeight = 0.9 },
		"reserve": func(q *request) { q.reservedUnits = 0 },
	}
	for name, cheaper := range others {
		q := dear()
		cheaper(q)
		n.latency = 200 * ms
		if got, most := r.h.slotLimit(s, q), r.h.slotLimit(s, dear()); got != most {
			t.Errorf("%s: %v slots where nothing waits, want %v", name, got, most)
		}
		n.latency = 500 * ms
		if got, most := r.h.slotLimit(s, q), r.h.slotLimit(s, dear()); got >= most/2 {
			t.Errorf("%s: %v slots where requests wait, want under half of %v", name, got, most)
		}
	}
}

// Settings that tell no worths leave all requests alike.
func TestWorthsNotToldCountAlike(t *testing.T) {
	set := settings()
	set.Classes[0].PriorityWeight, set.Plans[0].PriorityWeight, set.ShareWeight = 0, 0, 0
	r := start(t, set, 1)
	q := &request{Request: Request{Units: 2}, class: r.h.classes[0], volume: &volume{}}
	if got := r.h.relativeWeight(q); got != 1 {
		t.Errorf("a unit earns %v of the most, want 1", got)
	}
}

// With many hosts each hears of a node every few seconds: one pause of the node must not hold its requests
// back until then.
func TestOneSlowAnswerIsForgottenForThePace(t *testing.T) {
	set := settings()
	set.Instances = 256
	r := start(t, set, 1)
	n, s := r.fix(8), r.h.endpoints.shards[0]
	for range int(2 * regressionMinCount) {
		r.h.latency.allClasses.add(1, 0.05)
	}
	s.virtualTime, n.latency, n.latencyUpdatedAt = 1, 600*ms, r.now
	q := &request{
		Request:       Request{Units: 1},
		class:         r.h.classes[0],
		volume:        &volume{},
		reservedUnits: 1,
		startTag:      2,
	}
	slow := r.h.slotLimit(s, q)
	r.h.now += 4 * latencyHalfLife
	if later := r.h.slotLimit(s, q); later < 4*slow {
		t.Errorf("%v slots just after a slow answer, %v later", slow, later)
	}
}

// A node that fails most of its requests fast looks quick and idle; new objects must not gather there.
func TestNewObjectsKeepAwayFromErrors(t *testing.T) {
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

// A site whose unsafe writes may have run: the end of the attempt is what is given up on. It fails in that
// batch, without a refusal, a further attempt or advice.
func TestUnsafeWritesThatMayHaveRunFailAtOnce(t *testing.T) {
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

// The budget binds at any moment, counted from the host's own start.
func TestBudgetBindsAtAnyMomentAndAfterAStart(t *testing.T) {
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

// Hosts that all start at once know nothing of any node: their new objects must not all go to the first.
func TestNewObjectsOfHostsThatStartSpread(t *testing.T) {
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

// New objects may go anywhere, so none is due at one node: where waves of restarts leave few nodes, those of
// all hosts would gather there and starve the reads that can go nowhere else. They keep the pace, whatever
// their volume has had; a read of a volume that is not ahead does not wait for it.
func TestNewObjectsKeepThePaceOfASlowNode(t *testing.T) {
	set := settings()
	set.Instances = 256
	r := start(t, set, 1)
	n := r.h.endpoints.nodes[server(0)]
	n.latency, n.latencyUpdatedAt, n.lastAnswerAt = 700*ms, r.now, r.now
	n.lastSentAt, n.hasSent = r.now, true
	r.now += 10 * ms
	want(t, "a read leaves, a new object is held", sends(r.do(r.ask(func(q *Request) { q.Cell = NewObject }),
		r.ask(func(q *Request) { q.Volume = 2 }))), 2)
}

// With 250 ms to stop, what was held, placed or waits for a further attempt when a drain is told must not
// reach the node either: nor may a probe.
func TestADrainWithLittleGraceStopsWhatIsHeld(t *testing.T) {
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
