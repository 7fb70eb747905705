package scheduler

import (
	"runtime"
	"testing"
)

// BenchmarkVolumes_SeenOnce shows what volumes that are seen once leave behind.
func BenchmarkVolumes_SeenOnce(b *testing.B) {
	load := newSteadyLoad(fleetSettings(), 100_000, 10, 0)
	for range b.N {
		load.step(uint64(load.nextID))
	}
	b.ReportMetric(float64(len(load.scheduler.volumes.byID)), "volumes-kept")
}

// Volumes that were seen once are forgotten, so that a million of them take no more memory than those that
// came recently; so are the records of admitted requests, of sends and of keys.
func TestVolumes_SeenOnceAreForgotten(t *testing.T) {
	load := newSteadyLoad(fleetSettings(), 100_000, 10, 0)
	for range 200_000 {
		load.step(uint64(load.nextID))
	}
	volumes := &load.scheduler.volumes
	knownBefore, heapBefore := len(volumes.byID), heapInUse()
	for range 800_000 {
		load.step(uint64(load.nextID))
	}
	if known := len(volumes.byID); known > 2*knownBefore+1000 || known > 500_000 {
		t.Errorf("%d volumes known after 1,000,000, %d after 200,000", known, knownBefore)
	}
	if len(volumes.byID) != len(volumes.order) {
		t.Errorf("%d volumes known, %d looked through", len(volumes.byID), len(volumes.order))
	}
	if heap := heapInUse(); heap > 2*heapBefore+(64<<20) {
		t.Errorf("heap %d MiB after 1,000,000, %d MiB after 200,000", heap>>20, heapBefore>>20)
	}
	const sendsInWindow = 2*100_000*3/10 + 1000
	for _, n := range load.scheduler.endpoints.nodes {
		if got := len(n.sends.items); got > 2*sendsInWindow {
			t.Errorf("%d sends recorded, %d in the window", got, sendsInWindow)
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

// A volume that is forgotten and comes again is held to its limit as one that was known all along.
func TestVolumes_ForgottenVolumeKeepsItsQuota(t *testing.T) {
	settings := fleetSettings()
	settings.Plans[0].Limit, settings.Plans[0].Burst = 10, 20
	settings.Plans[0].Reserve, settings.MaxUnits = 2, 4
	load := newSteadyLoad(settings, 1000, 4, 0)
	volumes := &load.scheduler.volumes
	for range 10_000 {
		load.step(7)
	}
	if level := volumes.byID[7].limit.level; level > 1 {
		t.Fatalf("the quota of a volume with 1000 requests per second still holds %v", level)
	}
	for range 500 { // another volume comes: not enough time for the quota to refill
		load.step(8)
	}
	if volumes.byID[7] == nil {
		t.Fatal("forgotten while the bucket of its quota is not full")
	}
	for i := range 20_000 {
		load.step(uint64(9 + i%3))
	}
	if volumes.byID[7] != nil {
		t.Fatal("still known long after its buckets filled")
	}
	v := load.scheduler.volumeFor(Request{Volume: 7, VolumeInstances: 1})
	if remaining := load.scheduler.quotaRemaining(v); remaining > 20 {
		t.Errorf("a forgotten volume has %v units, its bucket holds 20", remaining)
	}
}
