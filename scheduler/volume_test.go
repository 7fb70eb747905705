package scheduler

import (
	"runtime"
	"testing"
)

// BenchmarkVolumes_SeenOnce shows what volumes that are seen once leave behind.
func BenchmarkVolumes_SeenOnce(b *testing.B) {
	s := newSteady(scaleSettings(), 100_000, 10, 0)
	for range b.N {
		s.step(uint64(s.next))
	}
	b.ReportMetric(float64(len(s.h.volumes.byID)), "volumes-kept")
}

// Volumes that were seen once are forgotten, so that a million of them take no more memory than those that
// came lately; so are the records of taken requests, of sends and of keys.
func TestVolumes_SeenOnceAreForgotten(t *testing.T) {
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

// A volume that is forgotten and comes again is held to its limit as one that was known all along.
func TestVolumes_ForgottenVolumeKeepsItsQuota(t *testing.T) {
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

func heapInUse() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}
