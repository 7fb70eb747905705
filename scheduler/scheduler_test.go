package scheduler

import (
	"fmt"
	"testing"
	"time"
)

// Without any node, each request is answered once and no state of it remains after its deadline.
func TestScheduler_AnswersEveryRequestOnceInTime(t *testing.T) {
	driver := startDriver(t, smallSiteSettings(), 1)
	driver.handle(EndpointUpdate{Kind: UpdateFull}) // the list is empty
	for range 20 {
		driver.handle(driver.newRequest(nil))
		driver.advance(100 * ms)
	}
	for range 400 {
		driver.advance(10 * ms)
	}
	if got := finalAnswers(driver.actions); len(got) != 20 || len(driver.scheduler.requests) != 0 {
		t.Errorf("got %d answers and %d open requests, want 20 and 0", len(got),
			len(driver.scheduler.requests))
	}
}

// Settings that are empty or lack values, unusual requests and unused events do not stop the scheduler: each
// request is sent or answered.
func TestScheduler_ToleratesUnusualSettingsAndRequests(t *testing.T) {
	for _, test := range []struct {
		name     string
		settings Settings
	}{
		{"no settings", Settings{}},
		{"no plans", Settings{Classes: smallSiteSettings().Classes, MaxAttempts: 1}},
		{"plan without weight", Settings{Classes: smallSiteSettings().Classes, MaxAttempts: 1,
			Plans: []Plan{{Reserve: 1, Limit: 1}}, SlowStartPeriod: time.Second}},
		{"class without times", Settings{Classes: []Class{{OrderedByKey: true}}, Plans: []Plan{{}},
			MaxAttempts: 1}},
	} {
		t.Run(test.name, func(t *testing.T) {
			driver := startDriver(t, test.settings, 1)
			requests := unusualRequests(driver)
			driver.handle(requests...)
			driver.handle(EndpointUpdate{Kind: UpdateFull}, AttemptResult{ID: 77}, HealthCheckResult{},
				PeerMessage{}, ResponseStarted{}, TimerFired{Token: 9})
			for range 300 {
				driver.advance(10 * ms)
			}
			answers, sent := len(finalAnswers(driver.actions)), len(sentIDs(driver.actions))
			if answers+sent < len(requests) {
				t.Errorf("got %d answers and %d sends, want %d in total at least", answers, sent,
					len(requests))
			}
		})
	}
	t.Run("requests that cannot be placed", func(t *testing.T) {
		driver := startDriver(t, smallSiteSettings(), 0)
		answers := finalAnswers(driver.handle(driver.newRequest(asNewObject)))
		wantEqual(t, "answers, new object without any node", answers, "reject 1")
		answers = finalAnswers(driver.handle(driver.newRequest(func(r *Request) { r.Class = 9 })))
		wantEqual(t, "answers, unknown class", answers, "reject 2")
	})
}

// unusualRequests returns requests for all combinations of listed and unlisted cells, sizes from zero to very
// large, and deadlines from the past to one second ahead.
func unusualRequests(driver *testDriver) (requests []Event) {
	for _, cell := range []int{0, 5, NewObject} {
		for _, units := range []float64{0, 1, 1000} {
			for _, timeLeft := range []time.Duration{-1, 0, ms, time.Second} {
				requests = append(requests, driver.newRequest(func(r *Request) {
					r.Cell, r.Units, r.ExpiresAt, r.Key = cell, units, driver.now+timeLeft, 1
					r.VolumeInstances, r.Plan = 0, cell+1
				}))
			}
		}
	}
	return requests
}

// In a large fleet, each request is answered or in flight after unusual traffic: volumes with more instances
// than exist, cells that no node holds, a very long batch, and an hour without events.
func TestScheduler_AnswersUnusualTrafficAtFullSize(t *testing.T) {
	settings := smallSiteSettings()
	settings.Instances, settings.InstanceIndex = 220, 219
	settings.Plans[0].Limit, settings.Plans[0].Burst = 10, 30
	driver := startDriver(t, settings, 3)
	var requests []Event
	for i := range 5000 {
		requests = append(requests, driver.newRequest(func(r *Request) {
			r.Cell, r.VolumeInstances, r.Volume, r.Units = i%9-1, (i%3)*500, uint64(i%50), float64(i%9)
			r.ExpiresAt = driver.now + time.Duration(i%5)*ms
		}))
	}
	driver.handle(requests...)
	for range 100 {
		driver.advance(10 * ms)
	}
	driver.advance(time.Hour)
	if got := len(finalAnswers(driver.actions)); got+driver.scheduler.inFlight != 5000 {
		t.Errorf("got %d answers and %d in flight, want 5000 in total", got, driver.scheduler.inFlight)
	}
}

// The same events at the same times give the same actions.
func TestScheduler_IsDeterministic(t *testing.T) {
	first, second := runFixedEvents(t), runFixedEvents(t)
	if first != second {
		t.Error("two runs of the same events: got different actions, want the same")
	}
}

// runFixedEvents passes a fixed series of requests and results and returns all actions as text.
func runFixedEvents(t *testing.T) string {
	t.Helper()
	driver := startDriver(t, smallSiteSettings(), 5)
	for i := range 200 {
		driver.now += 3 * ms
		driver.handle(driver.newRequest(func(r *Request) {
			r.Cell, r.Volume, r.Units = i%6-1, uint64(i%7), float64(1+i%4)
		}))
		if i%3 != 0 {
			continue
		}
		for _, id := range []uint32{driver.lastID, driver.lastID / 2} {
			if r := driver.scheduler.requests[id]; r != nil && r.node != nil {
				driver.finishAttempt(id, 0, int(r.node.Cell), OK, time.Duration(i)*ms)
			}
		}
	}
	return fmt.Sprint(driver.actions)
}

// FuzzScheduler passes events drawn from a seed to a scheduler: requests of all classes, results of every
// code in any order, endpoint updates of every kind, client disconnects and late timers. Each request must
// get one final answer within overdueAfter of its deadline and no attempt after it, the number of attempts
// must stay within MaxAttempts, a request that is not idempotent must not be sent again once it may have run,
// nothing may be sent to a node that is not listed as ready, and no state of the requests may remain at the
// end.
func FuzzScheduler(f *testing.F) {
	for seed := range uint64(8) {
		f.Add(seed, uint8(seed*37))
	}
	f.Fuzz(func(t *testing.T, seed uint64, shape uint8) {
		newRandomDriver(t, seed, shape).run(600)
	})
}

// BenchmarkScheduler_Request measures the cost of one request by the request rate and the number of nodes.
func BenchmarkScheduler_Request(b *testing.B) {
	for _, nodes := range []int{10, 100, 1000} {
		for _, rate := range []int{1_000, 10_000, 100_000} {
			for _, startKnown := range []bool{false, true} {
				// With a known start time long ago, the node is warm: its send records must not be scanned.
				startedAt := time.Duration(0)
				if startKnown {
					startedAt = time.Second
				}
				name := fmt.Sprintf("nodes=%d/rate=%d/startKnown=%v", nodes, rate, startKnown)
				b.Run(name, func(b *testing.B) {
					load := newSteadyLoad(fleetSettings(), rate, nodes, startedAt)
					for range 4 * rate { // past the window of the send records
						load.step(uint64(load.nextID % 64))
					}
					b.ResetTimer()
					for range b.N {
						load.step(uint64(load.nextID % 64))
					}
				})
			}
		}
	}
}
