package scheduler

import (
	"runtime"
	"testing"
)

// BenchmarkVolumes_SeenOnce measures how many volumes are kept of those that are seen once.
func BenchmarkVolumes_SeenOnce(b *testing.B) {
	load := newSteadyLoad(fleetSettings(), 100_000, 10, 0)
	for range b.N {
		load.step(uint64(load.nextID))
	}
	b.ReportMetric(float64(len(load.scheduler.volumes.byID)), "volumes-kept")
}

// Volumes that were seen once are deleted, so that a million of them take no more memory than the recent
// ones; so are the records of admitted requests and of sends.
func TestVolumes_SeenOnceAreDeleted(t *testing.T) {
	load := newSteadyLoad(fleetSettings(), 100_000, 10, 0)
	for range 200_000 {
		load.step(uint64(load.nextID))
	}
	volumes := &load.scheduler.volumes
	countBefore, heapBefore := len(volumes.byID), heapInUse()
	for range 800_000 {
		load.step(uint64(load.nextID))
	}
	if count := len(volumes.byID); count > 2*countBefore+1000 || count > 500_000 {
		t.Errorf("volumes: got %d after 1,000,000, %d after 200,000, want 500,000 and double + 1000 at most",
			count, countBefore)
	}
	if len(volumes.byID) != len(volumes.order) {
		t.Errorf("got %d volumes by ID and %d in sweep order, want the same", len(volumes.byID),
			len(volumes.order))
	}
	if heap := heapInUse(); heap > 2*heapBefore+(64<<20) {
		t.Errorf("heap: got %d MiB after 1,000,000, %d MiB after 200,000, want double plus 64 MiB at most",
			heap>>20, heapBefore>>20)
	}
	const sendsInWindow = 2*100_000*3/10 + 1000
	for _, n := range load.scheduler.endpoints.nodes {
		if got := len(n.sends.items); got > 2*sendsInWindow {
			t.Errorf("got %d recorded sends, want twice the %d in the window at most", got, sendsInWindow)
		}
	}
	runtime.KeepAlive(load)
}

func heapInUse() uint64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}

// A volume that was deleted and is seen again must stay within its limit like one that was kept.
func TestVolumes_RecreatedVolumeKeepsItsQuota(t *testing.T) {
	settings := fleetSettings()
	settings.Plans[0].Limit, settings.Plans[0].Burst = 10, 20
	settings.Plans[0].Reserve, settings.MaxUnits = 2, 4
	load := newSteadyLoad(settings, 1000, 4, 0)
	volumes := &load.scheduler.volumes
	for range 10_000 {
		load.step(7)
	}
	if level := volumes.byID[7].quotaBucket.level; level > 1 {
		t.Fatalf("quota left with 1000 requests per second: got %v units, want 1 at most", level)
	}
	for range 500 { // of another volume: not enough time for the quota to refill
		load.step(8)
	}
	if volumes.byID[7] == nil {
		t.Fatal("got the volume deleted, want it kept while the bucket of its quota is not full")
	}
	for i := range 20_000 {
		load.step(uint64(9 + i%3))
	}
	if volumes.byID[7] != nil {
		t.Fatal("got the volume kept long after its buckets filled, want it deleted")
	}
	v := load.scheduler.volumeFor(Request{Volume: 7, VolumeInstances: 1})
	if remaining := load.scheduler.quotaRemaining(v); remaining > 20 {
		t.Errorf("quota of a recreated volume: got %v units, want 20 at most", remaining)
	}
}
