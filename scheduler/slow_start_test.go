package scheduler

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

func coldSettings() Settings {
	set := settings()
	set.Instances, set.ColdCapacity, set.ColdFraction, set.SlowStartPeriod, set.OverloadWindow = 2, 20,
		0.25, 10*time.Second,
		time.Second
	return set
}

// A restarted host does not know what it sent to a cold node before.
func TestSlowStart_RestartedInstanceWaitsOneWindow(t *testing.T) {
	r := start(t, coldSettings(), 0)
	r.do(EndpointUpdate{Kind: UpdateCached, Endpoints: []Endpoint{{Server: server(0), Status: Ready,
		StartedAt: r.now - time.Second}}})
	want(t, "not yet", sends(r.do(r.ask(nil))))
	r.now += 500 * ms
	want(t, "not yet", sends(r.do(TimerFired{Token: tokenReview})))
	r.do(r.ask(func(q *Request) { q.ExpiresAt += 4 * time.Second }))
	r.now += 500 * ms
	if got := len(sends(r.do(r.ask(nil)))); got == 0 {
		t.Error("nothing after the window")
	}
}

func TestSlowStart_SendsShareOfInstance(t *testing.T) {
	r := start(t, coldSettings(), 0)
	r.do(
		EndpointUpdate{
			Kind:      UpdateFull,
			Endpoints: []Endpoint{{Server: server(0), Status: Ready, StartedAt: r.now}},
		},
	)
	r.fix(64).latency = 250 * ms
	var evs []Event
	for range 15 {
		evs = append(evs, r.ask(nil))
	}
	if got := len(sends(r.do(evs...))); got != 10 {
		t.Errorf("%d units in the first window, want 20 for 2 hosts = 10", got)
	}
	n := r.h.endpoints.nodes[server(0)]
	r.h.now += 6 * time.Second // the window then starts 5 s after the boot: a quarter and half of the rest
	if !r.h.slowStartAllows(n, 25) || r.h.slowStartAllows(n, 26) {
		t.Error("later it bears 10 x 0.625 / 0.25 = 25")
	}
	r.h.now += 6 * time.Second
	if !r.h.slowStartAllows(n, 1000) {
		t.Error("warm, it bears anything")
	}
}

// Where the part is less than a request, one may go in a window, up to the rule's multiple of the part.
func TestSlowStart_ManyInstancesTakeTurns(t *testing.T) {
	set := coldSettings()
	set.Instances, set.OverloadFactor = 40, 2
	r := start(t, set, 0)
	r.do(
		EndpointUpdate{
			Kind:      UpdateFull,
			Endpoints: []Endpoint{{Server: server(0), Status: Ready, StartedAt: r.now}},
		},
	)
	r.fix(64).latency = 250 * ms
	units := func(u float64) Event { return r.ask(func(q *Request) { q.Units, q.Volume = u, uint64(u) }) }
	want(t, "part of half a unit, in its turn: 2 units, not 3", sends(r.do(units(3), units(2), units(1))), 2)
}

// What a cold node serves counts less, what it does not answer counts in full.
func TestSlowStart_ServedRequestsCountLess(t *testing.T) {
	set := coldSettings()
	set.OverloadFactor = 2
	for code, more := range map[ResultCode]int{OK: 5, Overloaded: 0} {
		r := start(t, set, 0)
		r.do(
			EndpointUpdate{
				Kind:      UpdateFull,
				Endpoints: []Endpoint{{Server: server(0), Status: Ready, StartedAt: r.now}},
			},
		)
		n := r.fix(64)
		n.latency = 250 * ms
		var evs []Event
		for range 30 {
			evs = append(evs, r.ask(nil))
		}
		ids := sends(r.do(evs...))
		for _, id := range ids {
			r.h.Handle(
				r.now,
				AttemptResult{ID: id, Server: server(0), Code: code, Latency: ms, RequestDone: code == OK},
			)
		}
		n.failures = 0
		if got := len(sends(r.do())); len(ids) != 10 || got != more {
			t.Errorf("after %d answers %d: %d more, want %d", len(ids), code, got, more)
		}
	}
}

// An answer from a node finds its own request's mark, never one of another node with the same number: a new
// object that moved on had marks at two nodes, and the number of the one was looked for at the other.
func TestSlowStart_CreditsSendRecordOfAnsweringNode(t *testing.T) {
	set := scaleSettings()
	h := New(1, set)
	a, b := &node{}, &node{}
	for range 50 {
		a.sends.push(sendRecord{time.Second, 4})
	}
	b.sends.push(sendRecord{time.Second, 4})
	r := &request{sends: []sendRef{{a, 49}, {b, 0}}}
	h.creditServed(b, r)
	if got := b.sends.values()[0].units; got != 2 {
		t.Errorf("the answering node's mark counts %v, want 2", got)
	}
	if got := a.sends.values()[49].units; got != 4 {
		t.Errorf("the other node's mark counts %v, want 4", got)
	}
}

// All hosts at once, each sending whatever its guard lets go, must stay within the stated figure in any
// window, however many they are; and some of it must get through.
func TestSlowStart_AllInstancesStayWithinCapacity(t *testing.T) {
	for _, hosts := range []int{2, 10, 19, 30, 57, 170, 230, 300} {
		set := coldSettings()
		set.Instances, set.OverloadFactor = hosts, 2.5
		var sent []sendRecord
		var all []*rig
		for me := range hosts {
			set.InstanceIndex = me
			r := start(t, set, 0)
			r.do(
				EndpointUpdate{
					Kind:      UpdateFull,
					Endpoints: []Endpoint{{Server: server(0), Status: Ready, StartedAt: r.now}},
				},
			)
			all = append(all, r)
		}
		boot := all[0].now
		for now := boot; now < boot+set.SlowStartPeriod; now += 50 * ms {
			for i, r := range all {
				n := r.h.endpoints.nodes[server(0)]
				r.h.now = now
				for units := float64(1 + i%3); r.h.slowStartAllows(n, units); {
					n.sends.push(sendRecord{now, units})
					n.unitsSent += units
					sent = append(sent, sendRecord{at: now, units: units})
				}
			}
		}
		for i, first := range sent {
			sum := 0.0
			for _, m := range sent[i:] {
				if m.at > first.at+set.OverloadWindow {
					break
				}
				sum += m.units
			}
			most := set.ColdCapacity * (1 + 3*(first.at-boot).Seconds()/set.SlowStartPeriod.Seconds())
			if sum > most+1e-9 {
				t.Fatalf("%d hosts: %v units from %v on, %v at most", hosts, sum, first.at-boot, most)
			}
		}
		if len(sent) < 20 {
			t.Errorf("%d hosts: starved, %d sends", hosts, len(sent))
		}
	}
}

// What every cold disk server has to stand is the sum of all hosts, with unevenly spread traffic (some
// hosts ask all the time, most now and then) and sends that reach it later than they were decided on, by up
// to the time that a connection may take to come up. The operators allow N + 2 root of N + 2 requests of
// mean work in any window, N being what the settings allow then.
func TestSlowStart_UnevenAndLateSendsStayWithinTolerance(t *testing.T) {
	const window, connect = 3 * time.Second, 250 * time.Millisecond
	for _, hosts := range []int{30, 300} {
		for seed := range uint64(4) {
			rng := rand.New(rand.NewPCG(seed, uint64(hosts)))
			set := coldSettings()
			set.Instances, set.OverloadFactor, set.OverloadWindow, set.ConnectTimeout = hosts, 2.5, window,
				connect
			set.ColdCapacity, set.MeanUnits, set.MaxUnits = 62, 2, 6
			var all []*rig
			for me := range hosts {
				set.InstanceIndex = me
				r := start(t, set, 0)
				r.do(EndpointUpdate{Kind: UpdateFull,
					Endpoints: []Endpoint{{Server: server(0), Status: Ready, StartedAt: r.now}}})
				all = append(all, r)
			}
			boot, busy := all[0].now, make([]float64, hosts)
			for i := range busy { // chance of a request in a step: a few ask for several times the mean
				busy[i] = min(1, 0.02/(0.02+rng.Float64()))
			}
			var sent []sendRecord
			for now := boot; now < boot+set.SlowStartPeriod; now += 20 * ms {
				for i, r := range all {
					n, units := r.h.endpoints.nodes[server(0)], float64(1+rng.IntN(3))
					r.h.now = now
					if rng.Float64() > busy[i] || !r.h.slowStartAllows(n, units) {
						continue
					}
					n.sends.push(sendRecord{now, units})
					n.unitsSent += units
					sent = append(sent, sendRecord{now + time.Duration(rng.Int64N(int64(connect))), units})
				}
			}
			slices.SortFunc(sent, func(a, b sendRecord) int { return cmp.Compare(a.at, b.at) })
			for i, first := range sent {
				sum := 0.0
				for _, m := range sent[i:] {
					if m.at > first.at+window {
						break
					}
					sum += m.units / set.MeanUnits
				}
				n := set.ColdCapacity / set.MeanUnits * (1 +
					3*(first.at-boot).Seconds()/set.SlowStartPeriod.Seconds())
				if most := n + 2*math.Sqrt(n) + 2; sum > most {
					t.Fatalf("%d hosts, seed %d: %.1f requests of mean work from %v on, %.1f at most", hosts,
						seed, sum, first.at-boot, most)
				}
			}
			if len(sent) < 20 {
				t.Errorf("%d hosts: starved, %d sends", hosts, len(sent))
			}
		}
	}
}
