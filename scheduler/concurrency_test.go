package scheduler

import (
	"testing"
	"time"
)

func TestConcurrency_ExtraSlotsAreForVolumesNotAhead(t *testing.T) {
	r := start(t, settings(), 1)
	r.fix(1).latency = 0
	var evs []Event
	for range 4 {
		evs = append(evs, r.ask(nil))
	}
	evs = append(evs, r.ask(func(q *Request) { q.Volume = 2 }))
	want(t, "one of the surge, one of the other", sends(r.do(evs...)), 1, 5)
}

func TestConcurrency_DepthFallsAtSlowNode(t *testing.T) {
	set := settings()
	set.Instances = 6
	r := start(t, set, 1)
	n := r.h.endpoints.nodes[server(0)]
	for range 30 {
		r.now += time.Second
		r.do(r.ask(nil))
		r.done(r.id, 0, 0, OK, 900*ms)
	}
	if n.depth > 1.01 {
		t.Errorf("depth is %v at a node far over the target", n.depth)
	}
}

// Answers that never come must not hold slots until the client's wait is over.
func TestConcurrency_ReleasesSlotsOfLostAttempts(t *testing.T) {
	r := start(t, settings(), 1)
	n := r.fix(1)
	n.latency, n.deviation = 600*ms, 10*ms
	r.do(r.ask(nil), r.ask(nil))
	want(t, "held while the first may still answer", sends(r.pass(300*ms)))
	want(t, "the next leaves once the first is taken for lost", sends(r.pass(390*ms)), 2)
}

// Where one request of each host is more than a node can serve in time, hosts pace what is past the virtual
// time.
func TestConcurrency_SlotLimitFallsWithLatency(t *testing.T) {
	set := settings()
	set.Instances = 256
	r := start(t, set, 1)
	n, s := r.fix(8), r.h.endpoints.shards[0]
	s.virtualTime = 1
	for _, c := range []struct {
		latency time.Duration
		ahead   bool
		want    float64
	}{{200 * ms, true, 0.5}, {2 * congestionThreshold * 1000 * ms, true, 0.5 / 16}, {2 * time.Second, true,
		1. / 256},
		{0, false, 8.5}, {2 * congestionThreshold * 1000 * ms, false, 0.5 / 16}} {
		n.latency = c.latency
		q := &request{Request: Request{Units: 1}, class: r.h.classes[0], volume: &volume{}, reservedUnits: 1}
		if c.ahead {
			q.startTag = 2
		}
		if got := r.h.slotLimit(s, q); got != c.want {
			t.Errorf("latency %v, ahead %v: %v slots, want %v", c.latency, c.ahead, got, c.want)
		}
	}
}

// What earns little a unit must not fill a node that makes what earns much wait; where nothing waits at a
// node, all classes, plans and parts of the reserve get the same slots.
func TestConcurrency_SlotLimitFallsEarlierForLowerPriority(t *testing.T) {
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
func TestConcurrency_UnsetPriorityWeightsCountAlike(t *testing.T) {
	set := settings()
	set.Classes[0].PriorityWeight, set.Plans[0].PriorityWeight, set.ShareWeight = 0, 0, 0
	r := start(t, set, 1)
	q := &request{Request: Request{Units: 2}, class: r.h.classes[0], volume: &volume{}}
	if got := r.h.relativeWeight(q); got != 1 {
		t.Errorf("a unit earns %v of the most, want 1", got)
	}
}

func TestConcurrency_ManyInstancesPaceTheirSends(t *testing.T) {
	set := settings()
	set.Instances = 512
	r := start(t, set, 1)
	n := r.fix(r.h.minDepth())
	n.latency = 200 * ms
	want(t, "least depth is a quarter of a slot", []float64{n.depth}, 0.25)
	set.Instances = 2
	want(t, "and one slot where hosts are few", []float64{New(1, set).minDepth()}, 1)
	r.h.endpoints.shards[0].virtualTime = 1
	r.do(r.ask(nil), r.ask(nil))
	r.now += 200 * ms
	want(t, "the next of a volume ahead waits four latencies", sends(r.done(1, 0, 0, OK, 200*ms)))
	want(t, "one that is not ahead does not", sends(r.do(r.ask(func(q *Request) { q.Volume = 2 }))), 3)
}

// With many hosts each hears of a node every few seconds: one pause of the node must not hold its requests
// back until then.
func TestConcurrency_PaceForgetsOneSlowAnswer(t *testing.T) {
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

// New objects may go anywhere, so none is due at one node: where waves of restarts leave few nodes, those of
// all hosts would gather there and starve the reads that can go nowhere else. They keep the pace, whatever
// their volume has had; a read of a volume that is not ahead does not wait for it.
func TestConcurrency_NewObjectsArePaced(t *testing.T) {
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
