package scheduler

import (
	"math"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// crowd is a company that offers all IDs in order, each adding its units.
type crowd struct {
	ids   []uint32
	units map[uint32]float64
	most  int
	sum   float64 // of the last operation
}

func (c *crowd) Propose(id uint32, join func(uint32, float64) bool) {
	c.sum = c.units[id]
	members := 1
	for _, other := range c.ids {
		if other != id && members < c.most && join(other, c.sum+c.units[other]) {
			c.sum += c.units[other]
			members++
		}
	}
}

func (c *crowd) add(q Request) Request {
	c.ids = append(c.ids, q.ID)
	if c.units == nil {
		c.units = map[uint32]float64{}
	}
	c.units[q.ID] = q.Units
	return q
}

// crowded is a rig whose host has a company, and whose node 0 has nothing out and takes one slot.
func crowded(t *testing.T, set Settings) (*rig, *crowd, *node) {
	r := start(t, set, 1)
	c := &crowd{most: 64}
	r.h.SetBatcher(c)
	n := r.h.endpoints.nodes[server(0)]
	n.depth, n.deviation = 1, time.Second
	return r, c, n
}

// with lists the members of the operations among actions, by their lead.
func with(acts []Action) map[uint32][]uint32 {
	out := map[uint32][]uint32{}
	for _, a := range acts {
		if s, ok := a.(Send); ok && s.Leader == 0 {
			out[s.ID] = []uint32{}
		} else if ok {
			out[s.Leader] = append(out[s.Leader], s.ID)
		}
	}
	return out
}

// What is held leaves with the one whose turn it is: one operation, of the slots that its size costs, whose
// end is judged once and whose members are each over by themselves.
func TestBatching_QueuedRequestsFormOneOperation(t *testing.T) {
	r, c, n := crowded(t, settings())
	var qs []Event
	for range 4 {
		qs = append(qs, c.add(r.ask(nil)))
	}
	want(t, "members", with(r.do(qs...))[1], 2, 3, 4)
	want(
		t,
		"slots, out, depth of the queue",
		[]float64{n.slotsUsed, float64(len(n.inFlight)), float64(r.h.inFlight),
			float64(len(r.h.endpoints.shards[0].requests))},
		4,
		1,
		4,
		0,
	)
	fit := r.h.classes[0].latency.count
	for id := uint32(1); id <= 3; id++ {
		r.do(AttemptResult{ID: id, Server: server(0), Code: OK, Latency: 10 * ms, RequestDone: true})
	}
	want(t, "slots, answers learnt from", []float64{n.slotsUsed, r.h.classes[0].latency.count - fit}, 0, 1)
	want(t, "repeats", sends(r.done(4, 0, 0, Error, 10*ms)), 4)
	if _, known := r.h.requests[1]; known || len(r.h.requests) != 1 {
		t.Errorf("%d requests are known", len(r.h.requests))
	}
}

// An operation that is lost is one lost attempt: its members add nothing to what its lead added.
func TestBatching_LostOperationIsLearnedFromOnce(t *testing.T) {
	r, c, n := crowded(t, settings())
	n.latency = 100 * ms
	r.do(c.add(r.ask(nil)), c.add(r.ask(nil)), c.add(r.ask(nil)))
	r.now += time.Second
	for id := uint32(1); id <= 3; id++ {
		r.h.review.pending = false
		r.h.Handle(r.now, AttemptResult{ID: id, Server: server(0), Code: TimedOut, Latency: time.Second})
	}
	if want := 100*ms + time.Duration(lossGain*float64(time.Second)); n.latency != want {
		t.Errorf("latency %v, want %v", n.latency, want)
	}
}

// An operation that fails is one failure of its node, and its members are repeated alone.
func TestBatching_MembersOfFailedOperationAreRetriedAlone(t *testing.T) {
	r, c, n := crowded(t, settings())
	r.do(c.add(r.ask(nil)), c.add(r.ask(nil)), c.add(r.ask(nil)))
	for id := uint32(1); id <= 3; id++ {
		r.h.Handle(r.now, AttemptResult{ID: id, Server: server(0), Code: Overloaded, Latency: ms})
	}
	if n.failures != 1 {
		t.Errorf("%d failures of the node, want 1", n.failures)
	}
	n.failures = 0
	n.depth = 8
	for lead, members := range with(r.do()) {
		if len(members) > 0 {
			t.Errorf("request %d is repeated with %v", lead, members)
		}
	}
}

// Each member is held to its own volume's limit, patience and turn of its key.
func TestBatching_GuardsHoldForEachMember(t *testing.T) {
	set := limitSettings()
	set.Plans = append(set.Plans, Plan{Rate: 10, Weight: 1})
	r, c, _ := crowded(t, set)
	free := func(q *Request) { q.Plan, q.Volume = 1, 9 }
	r.do(c.add(r.ask(free)))
	acts := r.do(c.add(r.ask(func(q *Request) { q.Units = 1e6 })), c.add(r.ask(free)))
	if got := append(acts, r.done(1, 0, 0, OK, ms)...); len(with(got)) != 1 || len(with(got)[2]) != 0 {
		t.Errorf("beside a volume at its limit: %v", with(got))
	}

	r, c, n := crowded(t, settings())
	n.latency, n.deviation = 100*ms, 10*time.Second
	for range 20 {
		r.h.latency.allClasses.add(1, 0.1)
	}
	r.h.latency.recentMean = 100 * ms
	r.do(c.add(r.ask(nil)), c.add(r.ask(func(q *Request) { q.ExpiresAt = r.now + 40*ms })))
	if got := with(r.acts); len(got[1]) != 0 {
		t.Errorf("a request of 40 ms patience joined one that takes 100 ms: %v", got)
	}

	set = settings()
	set.Classes[0].OrderedByKey, set.Classes[0].Idempotency, set.Classes[0].DedupWindow = true,
		IdempotentByKey, time.Second
	r, c, _ = crowded(t, set)
	key := func(k uint64) func(*Request) { return func(q *Request) { q.Key = k } }
	first, second, third := r.ask(key(5)), r.ask(key(5)), r.ask(key(5))
	c.add(first)
	c.add(third) // offered before the second: it may not pass it
	c.add(second)
	c.add(r.ask(key(6)))
	want(t, "members", with(r.do(first, second, third))[1], 2)
}

// A member joins only while the operation ends no later for any than alone, by what the module can tell.
func TestBatching_MemberIsNotDelayed(t *testing.T) {
	r, c, n := crowded(t, settings())
	for i := range 64 { // a unit takes 10 ms here
		units := float64(1 + i%4)
		r.h.latency.allClasses.add(units, 0.01*units)
		r.h.classes[0].latency.add(units, 0.01*units)
	}
	r.h.latency.recentMean = seconds(r.h.latency.allClasses.meanTime)
	n.deviation = 15 * ms
	var qs []Event
	for range 6 {
		qs = append(qs, c.add(r.ask(nil)))
	}
	want(t, "members", with(r.do(qs...))[1], 2) // two units are 10 ms later than one, three 20 ms
}

// Over a long backlog each volume's service differs from its share without merging by less than one largest
// request beyond what start-time fair queueing itself allows, however eagerly the company offers the requests
// of one volume.
func TestBatching_KeepsSharesOfVolumes(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		set := settings()
		weights := []float64{1, float64(rapid.IntRange(1, 4).Draw(t, "weight")), 2}
		set.Plans = nil
		for _, w := range weights {
			set.Plans = append(set.Plans, Plan{Rate: 10, Weight: w})
		}
		h := New(rapid.Uint64().Draw(t, "seed"), set)
		now := time.Hour
		h.Handle(now, EndpointUpdate{Kind: UpdateFull, Endpoints: []Endpoint{entry(0, Ready)}})
		c := &crowd{most: rapid.IntRange(1, 12).Draw(t, "members"), units: map[uint32]float64{}}
		h.SetBatcher(c)
		n := h.endpoints.nodes[server(0)]
		// One slot each: backfill, which lets a volume be ahead by some more, is not what this is about.
		h.classes[0].count, h.classes[0].meanUnits = 1e9, set.MaxUnits
		id, volume := uint32(0), map[uint32]int{}
		held, served, out := make([]int, 3), make([]float64, 3), []uint32{}
		fill := func() {
			for v := range held {
				for ; held[v] < 24; held[v]++ { // every volume always has requests held
					id++
					units := float64(rapid.IntRange(1, 8).Draw(t, "units"))
					volume[id], c.units[id] = v, units
					if v == 0 {
						c.ids = append(c.ids, id) // the greedy one: all of it may merge
					}
					h.Handle(
						now,
						Request{ID: id, VolumeInstances: 1, Volume: uint64(v + 1), Plan: v, Units: units,
							ExpiresAt: now + time.Hour},
					)
				}
			}
		}
		for range 150 {
			fill()
			n.depth, n.deviation, n.latency = 3, time.Hour, ms
			for _, a := range h.Decide(now) {
				if s, ok := a.(Send); ok {
					v := volume[s.ID]
					held[v]--
					served[v] += c.units[s.ID]
					out = append(out, s.ID)
				}
			}
			for _, done := range out {
				h.Handle(
					now,
					AttemptResult{ID: done, Server: server(0), Code: OK, Latency: ms, RequestDone: true},
				)
			}
			out = out[:0]
			now += ms
			for v := range served {
				for w := range served {
					// SFQ lets two backlogged flows differ by a largest request of each; merging adds less
					// than one of the volume ahead.
					most := 2*set.MaxUnits/weights[v] + set.MaxUnits/weights[w]
					if d := served[v]/weights[v] - served[w]/weights[w]; d > most+1e-9 {
						t.Fatalf("volume %d is ahead of %d by %.1f, %.1f allowed: %v", v, w, d, most, served)
					}
				}
			}
		}
		if math.IsNaN(h.endpoints.shards[0].virtualTime) {
			t.Fatal("virtual time is lost")
		}
	})
}
