package scheduler

import (
	"testing"
	"time"
)

func TestSFQ_SharesFollowWeightsUnderBacklog(t *testing.T) {
	set := settings()
	set.Plans = append(set.Plans, Plan{Weight: 3})
	set.Classes[0].LatencyObjective = 100 * time.Second
	r := start(t, set, 1)
	r.fix(1)
	var evs []Event
	for range 40 {
		for v := range 2 {
			evs = append(evs, r.ask(func(q *Request) {
				q.Volume, q.Plan, q.ExpiresAt = uint64(v), v, r.now+200*time.Second
			}))
		}
	}
	r.do(evs...)
	count := map[uint64]int{}
	for range 40 {
		for id, q := range r.h.requests {
			if q.node != nil {
				count[q.Volume]++
				r.done(id, 0, 0, OK, r.h.objectives.shortest)
				break
			}
		}
	}
	if count[1] != 30 || count[0] != 10 {
		t.Errorf("of 40 served, weight 1 got %d and weight 3 got %d; want 10 and 30", count[0], count[1])
	}
}

func TestSFQ_AssignsTagsAndVirtualTime(t *testing.T) {
	r := start(t, settings(), 1)
	r.fix(1)
	r.do(r.ask(func(q *Request) { q.Units = 4 }), r.ask(func(q *Request) { q.Units = 2 }),
		r.ask(func(q *Request) { q.Volume = 2 }))
	s := r.h.endpoints.shards[0]
	var tags []float64
	for id := uint32(1); id <= 3; id++ {
		tags = append(tags, r.h.requests[id].startTag)
	}
	want(t, "start tags", tags, 0, 4, 0)
	want(
		t,
		"finish tags",
		[]float64{r.h.volumes.byID[1].finishTags[s], r.h.volumes.byID[2].finishTags[s]},
		6,
		1,
	)
	r.done(1, 0, 0, OK, ms)
	r.done(3, 0, 0, OK, ms)
	want(t, "virtual time is the start tag of the last one sent", []float64{s.virtualTime}, 4)
}

func TestSFQ_IdleVolumeGetsNoCredit(t *testing.T) {
	r := start(t, settings(), 1)
	s := r.h.endpoints.shards[0]
	s.virtualTime = 50
	r.do(r.ask(nil))
	want(t, "start and finish", []float64{r.h.requests[1].startTag, r.h.volumes.byID[1].finishTags[s]}, 50,
		51)
}

func TestSFQ_SlotCostFollowsMeanSize(t *testing.T) {
	c := &class{}
	var costs []float64
	for _, units := range []float64{2, 2, 6, 1, 40} { // running means before each: none, 2, 2, 10/3, 11/4
		costs = append(costs, c.slotCost(units))
		c.count++
		c.meanUnits += (units - c.meanUnits) / c.count
	}
	want(t, "slot costs", costs, 1, 1, 3, 1, 4)
}

func TestSFQ_ReserveDoesNotAdvanceFinishTag(t *testing.T) {
	set := settings()
	set.Plans[0].Reserve = 2
	r := start(t, set, 1)
	r.do(r.ask(func(q *Request) { q.Units = 8 }), r.ask(func(q *Request) { q.Units = 3 }))
	// The store holds a second of 2 units and one largest request of 8: 10 in all, so 1 of the 11 is beyond
	// it.
	want(t, "finish tag", []float64{r.h.volumes.byID[1].finishTags[r.h.endpoints.shards[0]]}, 1)
}

func TestSFQ_ServiceElsewhereAdvancesFinishTag(t *testing.T) {
	r := start(t, settings(), 1)
	r.do(r.ask(nil))
	r.do(AttemptResult{ID: 1, Server: server(0), Code: OK, Latency: ms, RequestDone: true, ElsewhereUnits: 5})
	want(
		t,
		"finish tag counts service through other hosts",
		[]float64{r.h.volumes.byID[1].finishTags[r.h.endpoints.shards[0]]},
		6,
	)
}
