package scheduler

import (
	"fmt"
	"testing"
	"time"
)

// Extra slots beyond the depth are for volumes that have had no more than their share.
func TestConcurrency_ExtraSlotsAreForVolumesNotAhead(t *testing.T) {
	driver := startDriver(t, smallSiteSettings(), 1)
	driver.fixDepth(1).latency = 0
	var requests []Event
	for range 4 {
		requests = append(requests, driver.newRequest(nil))
	}
	requests = append(requests, driver.newRequest(func(r *Request) { r.Volume = 2 }))
	wantEqual(t, "one of the volume with four, one of the other", sentIDs(driver.handle(requests...)), 1, 5)
}

func TestConcurrency_DepthFallsAtSlowNode(t *testing.T) {
	settings := smallSiteSettings()
	settings.Instances = 6
	driver := startDriver(t, settings, 1)
	n := driver.node(0)
	for range 30 {
		driver.now += time.Second
		driver.handle(driver.newRequest(nil))
		driver.finishAttempt(driver.lastID, 0, 0, OK, 900*ms)
	}
	if n.depth > 1.01 {
		t.Errorf("depth is %v at a node far over the target latency, want 1.01 at most", n.depth)
	}
}

// Attempts whose answers never come must not use slots until the client's wait is over.
func TestConcurrency_ReleasesSlotsOfLostAttempts(t *testing.T) {
	driver := startDriver(t, smallSiteSettings(), 1)
	n := driver.fixDepth(1)
	n.latency, n.deviation = 600*ms, 10*ms
	driver.handle(driver.newRequest(nil), driver.newRequest(nil))
	wantEqual(t, "none while the first may still be answered", sentIDs(driver.advance(300*ms)))
	wantEqual(t, "the second once the first counts as lost", sentIDs(driver.advance(390*ms)), 2)
}

// Where one request of each instance is more than a node can serve in time, instances pace the requests that
// start after the virtual time.
func TestConcurrency_SlotLimitFallsWithLatency(t *testing.T) {
	settings := smallSiteSettings()
	settings.Instances = 256
	driver := startDriver(t, settings, 1)
	n, queue := driver.fixDepth(8), driver.queue(0)
	queue.virtualTime = 1
	const twiceThreshold = 2 * congestionThreshold * 1000 * ms
	for _, test := range []struct {
		latency time.Duration
		ahead   bool
		want    float64
	}{
		{200 * ms, true, 0.5},
		{twiceThreshold, true, 0.5 / 16},
		{2 * time.Second, true, 1. / 256},
		{0, false, 8.5},
		{twiceThreshold, false, 0.5 / 16},
	} {
		t.Run(fmt.Sprintf("latency=%v/ahead=%v", test.latency, test.ahead), func(t *testing.T) {
			n.latency = test.latency
			r := &request{Request: Request{Units: 1}, class: driver.scheduler.classes[0], volume: &volume{},
				reservedUnits: 1}
			if test.ahead {
				r.startTag = 2
			}
			if got := driver.scheduler.slotLimit(queue, r); got != test.want {
				t.Errorf("slot limit is %v, want %v", got, test.want)
			}
		})
	}
}

// Requests of less priority weight a unit must not fill a node that makes those of more weight wait; where
// nothing waits at a node, all classes, plans and parts of the reserve get the same slots.
func TestConcurrency_SlotLimitFallsEarlierForLowerPriority(t *testing.T) {
	settings := smallSiteSettings()
	settings.Instances, settings.ShareWeight = 256, 0.3
	settings.Classes[0].PriorityWeight = 3
	settings.Classes = append(settings.Classes,
		Class{LatencyObjective: 2 * time.Second, Deadline: 4 * time.Second, PriorityWeight: 1})
	settings.Plans[0].PriorityWeight = 1.5
	driver := startDriver(t, settings, 1)
	scheduler := driver.scheduler
	n, queue := driver.fixDepth(8), driver.queue(0)
	scheduler.latency.runningMedian, queue.virtualTime = 200*ms, 1
	highPriority := func() *request {
		return &request{Request: Request{Units: 2}, class: scheduler.classes[0], reservedUnits: 2,
			startTag: 2, volume: &volume{plan: Plan{PriorityWeight: 1.5}}}
	}
	for _, test := range []struct {
		name          string
		lowerPriority func(*request)
	}{
		{"class", func(r *request) { r.class = scheduler.classes[1] }},
		{"plan", func(r *request) { r.volume.plan.PriorityWeight = 0.9 }},
		{"reserve", func(r *request) { r.reservedUnits = 0 }},
	} {
		t.Run(test.name, func(t *testing.T) {
			r := highPriority()
			test.lowerPriority(r)
			n.latency = 200 * ms
			limit, highest := scheduler.slotLimit(queue, r), scheduler.slotLimit(queue, highPriority())
			if limit != highest {
				t.Errorf("slot limit is %v where nothing waits, want %v", limit, highest)
			}
			n.latency = 500 * ms
			limit, highest = scheduler.slotLimit(queue, r), scheduler.slotLimit(queue, highPriority())
			if limit >= highest/2 {
				t.Errorf("slot limit is %v where requests wait, want under half of %v", limit, highest)
			}
		})
	}
}

// Settings that state no priority weights leave all requests alike.
func TestConcurrency_UnsetPriorityWeightsCountAlike(t *testing.T) {
	settings := smallSiteSettings()
	settings.Classes[0].PriorityWeight, settings.Plans[0].PriorityWeight, settings.ShareWeight = 0, 0, 0
	driver := startDriver(t, settings, 1)
	r := &request{Request: Request{Units: 2}, class: driver.scheduler.classes[0], volume: &volume{}}
	if got := driver.scheduler.relativeWeight(r); got != 1 {
		t.Errorf("relative weight is %v, want 1", got)
	}
}

func TestConcurrency_ManyInstancesPaceTheirSends(t *testing.T) {
	settings := smallSiteSettings()
	settings.Instances = 512
	driver := startDriver(t, settings, 1)
	n := driver.fixDepth(driver.scheduler.minDepth())
	n.latency = 200 * ms
	wantEqual(t, "least depth, a quarter of a slot", []float64{n.depth}, 0.25)
	settings.Instances = 2
	wantEqual(t, "least depth where instances are few", []float64{New(1, settings).minDepth()}, 1)
	driver.queue(0).virtualTime = 1
	driver.handle(driver.newRequest(nil), driver.newRequest(nil))
	driver.now += 200 * ms
	sent := sentIDs(driver.finishAttempt(1, 0, 0, OK, 200*ms))
	wantEqual(t, "the next of a volume that is ahead waits for four latencies", sent)
	notAhead := driver.newRequest(func(r *Request) { r.Volume = 2 })
	wantEqual(t, "one that is not ahead does not wait", sentIDs(driver.handle(notAhead)), 3)
}

// With many instances each hears of a node every few seconds: one pause of the node must not hold its
// requests back until then.
func TestConcurrency_PaceForgetsOneSlowAnswer(t *testing.T) {
	settings := smallSiteSettings()
	settings.Instances = 256
	driver := startDriver(t, settings, 1)
	n, queue := driver.fixDepth(8), driver.queue(0)
	for range int(2 * regressionMinCount) {
		driver.scheduler.latency.allClasses.add(1, 0.05)
	}
	queue.virtualTime, n.latency, n.latencyUpdatedAt = 1, 600*ms, driver.now
	r := &request{Request: Request{Units: 1}, class: driver.scheduler.classes[0], volume: &volume{},
		reservedUnits: 1, startTag: 2}
	atOnce := driver.scheduler.slotLimit(queue, r)
	driver.scheduler.now += 4 * latencyHalfLife
	if later := driver.scheduler.slotLimit(queue, r); later < 4*atOnce {
		t.Errorf("slot limit is %v just after a slow answer and %v later, want four times as many", atOnce,
			later)
	}
}

// New objects may go to any node, so none of them is due at one node: where restarts leave few nodes, those
// of all instances would gather there and starve the reads that can go nowhere else. They are paced whatever
// their volume has had; a read of a volume that is not ahead is not.
func TestConcurrency_NewObjectsArePaced(t *testing.T) {
	settings := smallSiteSettings()
	settings.Instances = 256
	driver := startDriver(t, settings, 1)
	n := driver.node(0)
	n.latency, n.latencyUpdatedAt, n.lastAnswerAt = 700*ms, driver.now, driver.now
	n.lastSentAt, n.hasSent = driver.now, true
	driver.now += 10 * ms
	newObject := driver.newRequest(asNewObject)
	read := driver.newRequest(func(r *Request) { r.Volume = 2 })
	wantEqual(t, "the read is sent, the new object is not", sentIDs(driver.handle(newObject, read)), read.ID)
}
