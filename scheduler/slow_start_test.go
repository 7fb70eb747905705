package scheduler

import (
	"cmp"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// coldSettings returns the settings of two instances whose nodes need a slow start.
func coldSettings() Settings {
	settings := smallSiteSettings()
	settings.Instances, settings.ColdCapacity, settings.ColdFraction = 2, 20, 0.25
	settings.SlowStartPeriod, settings.OverloadWindow = 10*time.Second, time.Second
	return settings
}

// startColdDriver returns a driver whose scheduler has one node, for cell 0, that starts at the current time.
func startColdDriver(t *testing.T, settings Settings) *testDriver {
	t.Helper()
	driver := startDriver(t, settings, 0)
	cold := Endpoint{Server: testServer(0), Status: Ready, StartedAt: driver.now}
	driver.handle(EndpointUpdate{Kind: UpdateFull, Endpoints: []Endpoint{cold}})
	return driver
}

// startColdFleet returns drivers of instances that share one node, which starts at the current time.
func startColdFleet(t *testing.T, settings Settings, instances int) (drivers []*testDriver) {
	t.Helper()
	settings.Instances = instances
	for index := range instances {
		settings.InstanceIndex = index
		drivers = append(drivers, startColdDriver(t, settings))
	}
	return drivers
}

// sendIfAllowed records a send to a node at time now if slow start allows it, and reports whether it does.
func (d *testDriver) sendIfAllowed(n *node, now time.Duration, units float64) bool {
	d.scheduler.now = now
	if !d.scheduler.slowStartAllows(n, units) {
		return false
	}
	n.sends.push(sendRecord{at: now, units: units})
	n.unitsSent += units
	return true
}

// sentWithin returns the units sent within a window that begins at the first of sends, which are in order of
// time.
func sentWithin(sends []sendRecord, window time.Duration) (units float64) {
	for _, record := range sends {
		if record.at > sends[0].at+window {
			break
		}
		units += record.units
	}
	return units
}

// A restarted instance has no record of its earlier sends to a cold node, so it sends nothing for one window.
func TestSlowStart_RestartedInstanceWaitsOneWindow(t *testing.T) {
	driver := startDriver(t, coldSettings(), 0)
	cold := Endpoint{Server: testServer(0), Status: Ready, StartedAt: driver.now - time.Second}
	driver.handle(EndpointUpdate{Kind: UpdateCached, Endpoints: []Endpoint{cold}})
	wantEqual(t, "sent at the start", sentIDs(driver.handle(driver.newRequest(nil))))
	driver.now += 500 * ms
	wantEqual(t, "sent within the window", sentIDs(driver.handle(TimerFired{Token: tokenReview})))
	driver.handle(driver.newRequest(func(r *Request) { r.ExpiresAt += 4 * time.Second }))
	driver.now += 500 * ms
	if got := len(sentIDs(driver.handle(driver.newRequest(nil)))); got == 0 {
		t.Error("got no sends after the window, want some")
	}
}

func TestSlowStart_SendsShareOfInstance(t *testing.T) {
	driver := startColdDriver(t, coldSettings())
	n := driver.fixDepth(64)
	n.latency = 250 * ms
	var requests []Event
	for range 15 {
		requests = append(requests, driver.newRequest(nil))
	}
	if got := len(sentIDs(driver.handle(requests...))); got != 10 {
		t.Errorf("got %d units in the first window, want 20 for 2 instances = 10", got)
	}
	// The window then begins 5 s after the node's start: a quarter of the capacity plus half of the rest.
	driver.scheduler.now += 6 * time.Second
	if !driver.scheduler.slowStartAllows(n, 25) || driver.scheduler.slowStartAllows(n, 26) {
		t.Error("units allowed halfway: got more or less, want 10 x 0.625 / 0.25 = 25")
	}
	driver.scheduler.now += 6 * time.Second
	if !driver.scheduler.slowStartAllows(n, 1000) {
		t.Error("1000 units to a warm node: got not allowed, want allowed")
	}
}

// Where the share of an instance is less than a request, instances take turns, in which each may send more.
func TestSlowStart_ManyInstancesTakeTurns(t *testing.T) {
	settings := coldSettings()
	settings.Instances, settings.OverloadFactor = 40, 2
	driver := startColdDriver(t, settings)
	driver.fixDepth(64).latency = 250 * ms
	newRequest := func(units float64) Event {
		return driver.newRequest(func(r *Request) { r.Units, r.Volume = units, uint64(units) })
	}
	sent := sentIDs(driver.handle(newRequest(3), newRequest(2), newRequest(1)))
	wantEqual(t, "sent in its turn, 2 units and not 3 for a share of half a unit", sent, 2)
}

// Requests that a cold node has served count less against its capacity, others count in full.
func TestSlowStart_ServedRequestsCountLess(t *testing.T) {
	settings := coldSettings()
	settings.OverloadFactor = 2
	for _, test := range []struct {
		name string
		code ResultCode
		more int
	}{
		{"served", OK, 5},
		{"overloaded", Overloaded, 0},
	} {
		t.Run(test.name, func(t *testing.T) {
			driver := startColdDriver(t, settings)
			n := driver.fixDepth(64)
			n.latency = 250 * ms
			var requests []Event
			for range 30 {
				requests = append(requests, driver.newRequest(nil))
			}
			sent := sentIDs(driver.handle(requests...))
			for _, id := range sent {
				driver.scheduler.Handle(driver.now, AttemptResult{ID: id, Server: testServer(0),
					Code: test.code, Latency: ms, RequestDone: test.code == OK})
			}
			n.failures = 0
			if got := len(sentIDs(driver.handle())); len(sent) != 10 || got != test.more {
				t.Errorf("after %d results: got %d more sends, want %d after 10", len(sent), got, test.more)
			}
		})
	}
}

// A result credits its own request's send record at the answering node, never by the index of its record at
// another node: a new object that was placed again has records at two nodes.
func TestSlowStart_CreditsSendRecordOfAnsweringNode(t *testing.T) {
	scheduler := New(1, fleetSettings())
	other, answering := &node{}, &node{}
	for range 50 {
		other.sends.push(sendRecord{time.Second, 4})
	}
	answering.sends.push(sendRecord{time.Second, 4})
	r := &request{sendRefs: []sendRef{{other, 49}, {answering, 0}}}
	scheduler.creditServed(answering, r)
	if got := answering.sends.values()[0].units; got != 2 {
		t.Errorf("units of the record at the answering node: got %v, want 2", got)
	}
	if got := other.sends.values()[49].units; got != 4 {
		t.Errorf("units of the record at the other node: got %v, want 4", got)
	}
}

// All instances together, each sending whenever slow start allows it, must stay within the stated capacity in
// any window, for any number of instances; some requests must still be sent.
func TestSlowStart_AllInstancesStayWithinCapacity(t *testing.T) {
	for _, instances := range []int{2, 10, 19, 30, 57, 170, 230, 300} {
		t.Run(fmt.Sprint("instances=", instances), func(t *testing.T) {
			settings := coldSettings()
			settings.OverloadFactor = 2.5
			drivers := startColdFleet(t, settings, instances)
			startedAt := drivers[0].now
			var sent []sendRecord
			for now := startedAt; now < startedAt+settings.SlowStartPeriod; now += 50 * ms {
				for i, driver := range drivers {
					n, units := driver.node(0), float64(1+i%3)
					for driver.sendIfAllowed(n, now, units) {
						sent = append(sent, sendRecord{at: now, units: units})
					}
				}
			}
			for i, first := range sent {
				units := sentWithin(sent[i:], settings.OverloadWindow)
				progress := (first.at - startedAt).Seconds() / settings.SlowStartPeriod.Seconds()
				if capacity := settings.ColdCapacity * (1 + 3*progress); units > capacity+1e-9 {
					t.Fatalf("got %v units in the window from %v on, want %v at most", units,
						first.at-startedAt, capacity)
				}
			}
			if len(sent) < 20 {
				t.Errorf("got %d sends, want 20 at least", len(sent))
			}
		})
	}
}

// The load of a cold node is the sum over all instances, with unevenly spread traffic (some instances have
// requests all the time, most only occasionally) and with sends that arrive up to one connect timeout after
// the decision. The operators allow N + 2 sqrt(N) + 2 requests of mean size in any window, where N is the
// number that the settings allow at that time.
func TestSlowStart_UnevenAndLateSendsStayWithinTolerance(t *testing.T) {
	for _, instances := range []int{30, 300} {
		for seed := range uint64(4) {
			t.Run(fmt.Sprintf("instances=%d/seed=%d", instances, seed), func(t *testing.T) {
				checkUnevenAndLateSends(t, instances, seed)
			})
		}
	}
}

func checkUnevenAndLateSends(t *testing.T, instances int, seed uint64) {
	t.Helper()
	const window, connectTimeout = 3 * time.Second, 250 * time.Millisecond
	random := rand.New(rand.NewPCG(seed, uint64(instances)))
	settings := coldSettings()
	settings.OverloadFactor, settings.OverloadWindow, settings.ConnectTimeout = 2.5, window, connectTimeout
	settings.ColdCapacity, settings.MeanUnits, settings.MaxUnits = 62, 2, 6
	drivers := startColdFleet(t, settings, instances)
	startedAt := drivers[0].now
	requestChance := make([]float64, instances) // per step: a few instances have several times the mean
	for i := range requestChance {
		requestChance[i] = min(1, 0.02/(0.02+random.Float64()))
	}

	var arrivals []sendRecord
	for now := startedAt; now < startedAt+settings.SlowStartPeriod; now += 20 * ms {
		for i, driver := range drivers {
			units := float64(1 + random.IntN(3))
			if random.Float64() > requestChance[i] || !driver.sendIfAllowed(driver.node(0), now, units) {
				continue
			}
			delay := time.Duration(random.Int64N(int64(connectTimeout)))
			arrivals = append(arrivals, sendRecord{now + delay, units})
		}
	}
	slices.SortFunc(arrivals, func(a, b sendRecord) int { return cmp.Compare(a.at, b.at) })
	for i, first := range arrivals {
		requests := sentWithin(arrivals[i:], window) / settings.MeanUnits
		progress := (first.at - startedAt).Seconds() / settings.SlowStartPeriod.Seconds()
		allowed := settings.ColdCapacity / settings.MeanUnits * (1 + 3*progress)
		if tolerated := allowed + 2*math.Sqrt(allowed) + 2; requests > tolerated {
			t.Fatalf("got %.1f requests of mean size in the window from %v on, want %.1f at most", requests,
				first.at-startedAt, tolerated)
		}
	}
	if len(arrivals) < 20 {
		t.Errorf("got %d sends, want 20 at least", len(arrivals))
	}
}
