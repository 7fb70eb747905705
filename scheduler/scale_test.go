package scheduler

import (
	"fmt"
	"runtime"
	"testing"
	"time"
)

// scaleSettings are those of a fleet with everything in force that keeps records over time.
func scaleSettings() Settings {
	set := settings()
	set.SlowStartPeriod, set.OverloadWindow, set.OverloadFactor, set.ColdCapacity = 10*time.Second,
		3*time.Second, 2, 50
	set.RetryBudget, set.RetryBudgetFloor, set.RetryBudgetRatio, set.RetryBudgetWindow = true, 5, 0.1,
		10*time.Second
	return set
}

// steady drives one host at a rate: each request is answered a little later by its node.
type steady struct {
	h     *Scheduler
	now   time.Duration
	gap   time.Duration
	nodes int
	next  uint32
	out   []Send // oldest first
}

func newSteady(set Settings, rate, nodes int, boot time.Duration) *steady {
	s := &steady{h: New(1, set), now: time.Hour, gap: time.Second / time.Duration(rate), nodes: nodes}
	m := EndpointUpdate{Kind: UpdateFull}
	for i := range nodes {
		at := Server{Addr: [4]byte{10, 0, byte(i >> 8), byte(i)}, Port: 1}
		m.Endpoints = append(
			m.Endpoints,
			Endpoint{Server: at, Status: Ready, Cell: uint16(i), StartedAt: boot},
		)
	}
	s.h.Handle(s.now, m)
	s.h.Decide(s.now)
	return s
}

// step takes one request of the volume in and, once a few are out, ends the oldest attempt.
func (s *steady) step(volume uint64) {
	s.now += s.gap
	s.h.Handle(s.now, Request{ID: s.next, Cell: int(s.next) % s.nodes, VolumeInstances: 1, Volume: volume,
		ExpiresAt: s.now + time.Second, Units: 1})
	s.next++
	s.decide()
	if len(s.out) > 4 {
		done := s.out[0]
		s.out = s.out[1:]
		s.h.Handle(
			s.now,
			AttemptResult{ID: done.ID, Server: done.Server, Code: OK, Latency: ms, RequestDone: true},
		)
		s.decide()
	}
}

func (s *steady) decide() {
	for _, a := range s.h.Decide(s.now) {
		if a, ok := a.(Send); ok {
			s.out = append(s.out, a)
		}
	}
}

// BenchmarkRequest shows the cost of one request by the rate at which they come and by the number of nodes.
func BenchmarkRequest(b *testing.B) {
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

// BenchmarkManyVolumes shows what volumes that are seen once leave behind.
func BenchmarkManyVolumes(b *testing.B) {
	s := newSteady(scaleSettings(), 100_000, 10, 0)
	for range b.N {
		s.step(uint64(s.next))
	}
	b.ReportMetric(float64(len(s.h.volumes.byID)), "volumes-kept")
}

// Volumes that were seen once are forgotten, so that a million of them take no more memory than those that
// came lately; so are the records of taken requests, of sends and of keys.
func TestAMillionVolumesSeenOnceAreForgotten(t *testing.T) {
	set := scaleSettings()
	s := newSteady(set, 100_000, 10, 0)
	for range 200_000 {
		s.step(uint64(s.next))
	}
	kept, heap := len(s.h.volumes.byID), heapInUse()
	for range 800_000 {
		s.step(uint64(s.next))
	}
	if got := len(s.h.volumes.byID); got > 2*kept+1000 || got > 500_000 {
		t.Errorf("%d volumes kept after 1,000,000, %d after 200,000", got, kept)
	}
	if len(s.h.volumes.byID) != len(s.h.volumes.order) {
		t.Errorf("%d volumes known, %d looked through", len(s.h.volumes.byID), len(s.h.volumes.order))
	}
	if got := heapInUse(); got > 2*heap+(64<<20) {
		t.Errorf("heap %d MiB after 1,000,000, %d MiB after 200,000", got>>20, heap>>20)
	}
	for _, n := range s.h.endpoints.nodes {
		if got, most := len(n.sends.items), 2*100_000*3/10+1000; got > 2*most {
			t.Errorf("%d sends remembered, %d in the window", got, most)
		}
	}
	runtime.KeepAlive(s)
}

func heapInUse() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

// A volume that is forgotten and comes again is held to its limit as one that was known all along.
func TestAForgottenVolumeGetsNothingNew(t *testing.T) {
	set := scaleSettings()
	set.Plans[0].Limit, set.Plans[0].Burst, set.Plans[0].Reserve, set.MaxUnits = 10, 20, 2, 4
	s := newSteady(set, 1000, 4, 0)
	for range 10_000 {
		s.step(7)
	}
	spent := s.h.volumes.byID[7].limit.level
	if spent > 1 {
		t.Fatalf("the limit of a volume asked for 1000 a second still holds %v", spent)
	}
	for range 500 { // others come: not enough time for the limit to fill
		s.step(8)
	}
	if s.h.volumes.byID[7] == nil {
		t.Fatal("forgotten while its limit's store is not full")
	}
	for i := range 20_000 {
		s.step(uint64(9 + i%3))
	}
	if s.h.volumes.byID[7] != nil {
		t.Fatal("still known long after its stores filled")
	}
	if v := s.h.volumeFor(Request{Volume: 7, VolumeInstances: 1}); s.h.quotaRemaining(v) > 20 {
		t.Errorf("a forgotten volume has %v units, its store holds 20", s.h.quotaRemaining(v))
	}
}

// Nodes that are gone for very long are forgotten; those that come back in time are not, and one whose
// attempt is still out stays until that is over.
func TestGoneNodesAreForgotten(t *testing.T) {
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

// An answer from a node finds its own request's mark, never one of another node with the same number: a new
// object that moved on had marks at two nodes, and the number of the one was looked for at the other.
func TestMarksAreTheNodesOwn(t *testing.T) {
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

// The line forgets from its head, keeps numbers, and takes no more than twice what it holds.
func TestLine(t *testing.T) {
	var l slidingWindow[int]
	for i := range 10_000 {
		l.push(i)
		l.dropWhile(func(v int) bool { return v < i-9 })
		if got := l.values(); got[len(got)-1] != i || len(got) > 10 || len(l.items) > 40 {
			t.Fatalf("after %d: %v of %d", i, got, len(l.items))
		}
		if i > 20 {
			if l.at(i-20) != nil || *l.at(i - 5) != i-5 {
				t.Fatalf("after %d: the numbers are off", i)
			}
		}
	}
}
