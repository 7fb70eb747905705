package scheduler

import (
	"fmt"
	"testing"
	"time"
)

func TestScheduler_AnswersEveryRequestOnceInTime(t *testing.T) {
	r := start(t, settings(), 1)
	r.do(EndpointUpdate{Kind: UpdateFull}) // no node at all
	for range 20 {
		r.do(r.ask(nil))
		r.pass(100 * ms)
	}
	for range 400 {
		r.pass(10 * ms)
	}
	if got := ends(r.acts); len(got) != 20 || len(r.h.requests) != 0 {
		t.Errorf("%d answers for 20 requests, %d still known", len(got), len(r.h.requests))
	}
}

func TestScheduler_ToleratesUnusualSettingsAndRequests(t *testing.T) {
	for name, set := range map[string]Settings{
		"nothing":  {},
		"no plans": {Classes: settings().Classes, MaxAttempts: 1},
		"zero plan": {Classes: settings().Classes, MaxAttempts: 1, Plans: []Plan{{Reserve: 1, Limit: 1}},
			SlowStartPeriod: time.Second},
		"class without times": {Classes: []Class{{OrderedByKey: true}}, Plans: []Plan{{}}, MaxAttempts: 1},
	} {
		r := start(t, set, 1)
		var evs []Event
		for _, cell := range []int{0, 5, NewObject} {
			for _, units := range []float64{0, 1, 1000} {
				for _, left := range []time.Duration{-1, 0, ms, time.Second} {
					evs = append(evs, r.ask(func(q *Request) {
						q.Cell, q.Units, q.ExpiresAt, q.Key, q.VolumeInstances, q.Plan = cell, units,
							r.now+left, 1,
							0, cell+1
					}))
				}
			}
		}
		r.do(evs...)
		r.do(
			EndpointUpdate{Kind: UpdateFull},
			AttemptResult{ID: 77},
			HealthCheckResult{},
			PeerMessage{},
			ResponseStarted{},
			TimerFired{Token: 9},
		)
		for range 300 {
			r.pass(10 * ms)
		}
		if got, sent := len(ends(r.acts)), len(sends(r.acts)); got+sent < len(evs) {
			t.Errorf("%s: %d answers and %d sends for %d requests", name, got, sent, len(evs))
		}
	}
	r := start(t, settings(), 0)
	want(t, "a new object and no node", ends(r.do(r.ask(func(q *Request) { q.Cell = NewObject }))),
		"refuse 1")
	want(t, "an unknown class", ends(r.do(r.ask(func(q *Request) { q.Class = 9 }))), "refuse 2")
}

// Odd input at full size: writers beyond the fleet, no shard for the data, an idle hour, a very long batch.
func TestScheduler_AnswersUnusualTrafficAtFullSize(t *testing.T) {
	set := settings()
	set.Instances, set.InstanceIndex = 220, 219
	set.Plans[0].Limit, set.Plans[0].Burst = 10, 30
	r := start(t, set, 3)
	var evs []Event
	for i := range 5000 {
		evs = append(evs, r.ask(func(q *Request) {
			q.Cell, q.VolumeInstances, q.Volume, q.Units = i%9-1, (i%3)*500, uint64(i%50), float64(i%9)
			q.ExpiresAt = r.now + time.Duration(i%5)*ms
		}))
	}
	r.do(evs...)
	for range 100 {
		r.pass(10 * ms)
	}
	r.pass(time.Hour)
	if got := len(ends(r.acts)); got+r.h.inFlight != 5000 {
		t.Errorf("%d of 5000 answered, %d still out", got, r.h.inFlight)
	}
}

func TestScheduler_IsDeterministic(t *testing.T) {
	run := func() string {
		r := start(t, settings(), 5)
		for i := range 200 {
			r.now += 3 * ms
			r.do(r.ask(func(q *Request) { q.Cell, q.Volume, q.Units = i%6-1, uint64(i%7), float64(1+i%4) }))
			if i%3 == 0 {
				for _, id := range []uint32{r.id, r.id / 2} {
					if q := r.h.requests[id]; q != nil && q.node != nil {
						r.done(id, 0, int(q.node.Cell), OK, time.Duration(i)*ms)
					}
				}
			}
		}
		return fmt.Sprint(r.acts)
	}
	if run() != run() {
		t.Error("two runs differ")
	}
}

// FuzzScheduler drives a host with whatever a fleet can throw at it, by a seed: requests of all classes,
// outcomes of every code in any order, lists of any form, clients that leave, timers late. Whatever comes:
// each request gets one final answer by its time, nothing is sent for it after that, attempts stay within
// bounds, an unsafe request is not sent again while it may have run, nothing is sent to a node told as
// draining or gone, and all is forgotten.
func FuzzScheduler(f *testing.F) {
	for seed := range uint64(8) {
		f.Add(seed, uint8(seed*37))
	}
	f.Fuzz(func(t *testing.T, seed uint64, shape uint8) {
		newChaos(t, seed, shape).run(600)
	})
}

// BenchmarkScheduler_Request shows the cost of one request by the rate at which they come and by the number of
// nodes.
func BenchmarkScheduler_Request(b *testing.B) {
	for _, nodes := range []int{10, 100, 1000} {
		for _, rate := range []int{1_000, 10_000, 100_000} {
			for _, cold := range []bool{false, true} {
				boot := time.Duration(0)
				if cold {
					boot = time.Second // known, and long warm: the record of sends must not be looked through
				}
				b.Run(fmt.Sprintf("nodes=%d/rate=%d/booted=%v", nodes, rate, cold), func(b *testing.B) {
					s := newSteady(scaleSettings(), rate, nodes, boot)
					for range 4 * rate { // past the window of the record
						s.step(uint64(s.next % 64))
					}
					b.ResetTimer()
					for range b.N {
						s.step(uint64(s.next % 64))
					}
				})
			}
		}
	}
}
