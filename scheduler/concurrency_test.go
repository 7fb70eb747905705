package scheduler

import (
	"fmt"
	"testing"
	"time"
)

// Only volumes that have received no more than their share get extra slots beyond the depth.
func TestConcurrency_ExtraSlotsAreForVolumesNotAhead(t *testing.T) {
	driver := startDriver(t, smallSiteSettings(), 1)
	driver.fixDepth(1).latency = 0
	var requests []Event
	for range 4 {
		requests = append(requests, driver.newRequest(nil))
	}
	requests = append(requests, driver.newRequest(func(r *Request) { r.Volume = 2 }))
	wantEqual(t, "sent, one request of each volume", sentIDs(driver.handle(requests...)), 1, 5)
}

// A node whose latency stays far above the target gets the minimum depth.
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
		t.Errorf("depth at a node far above the target latency: got %v, want 1.01 at most", n.depth)
	}
}

// Attempts whose answers are lost must not use slots until the client's deadline.
func TestConcurrency_ReleasesSlotsOfLostAttempts(t *testing.T) {
	driver := startDriver(t, smallSiteSettings(), 1)
	n := driver.fixDepth(1)
	n.latency, n.deviation = 600*ms, 10*ms
	driver.handle(driver.newRequest(nil), driver.newRequest(nil))
	wantEqual(t, "sent while the first may still be answered", sentIDs(driver.advance(300*ms)))
	wantEqual(t, "sent once the first counts as lost", sentIDs(driver.advance(390*ms)), 2)
}

// Where one request of each instance is more than a node can serve in time, the slot limit falls below one,
// so that instances pace the requests whose start tag is beyond the virtual time.
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
				t.Errorf("slot limit: got %v, want %v", got, test.want)
			}
		})
	}
}

// Requests of lower priority weight per unit must not fill a node at which those of higher weight wait. Where
// nothing waits at the node, requests of all classes and plans, inside and outside the reserve, have the same
// slot limit.
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
				t.Errorf("slot limit where nothing waits: got %v, want %v", limit, highest)
			}
			n.latency = 500 * ms
			limit, highest = scheduler.slotLimit(queue, r), scheduler.slotLimit(queue, highPriority())
			if limit >= highest/2 {
				t.Errorf("slot limit where requests wait: got %v, want under half of %v", limit, highest)
			}
		})
	}
}

// Without priority weights in the settings, all requests have the same weight.
func TestConcurrency_UnsetPriorityWeightsAreEqual(t *testing.T) {
	settings := smallSiteSettings()
	settings.Classes[0].PriorityWeight, settings.Plans[0].PriorityWeight, settings.ShareWeight = 0, 0, 0
	driver := startDriver(t, settings, 1)
	r := &request{Request: Request{Units: 2}, class: driver.scheduler.classes[0], volume: &volume{}}
	if got := driver.scheduler.relativeWeight(r); got != 1 {
		t.Errorf("relative weight: got %v, want 1", got)
	}
}

// Where there are more instances than fleetSlots, the minimum depth is less than one slot. An instance then
// spaces the sends of a volume that is ahead by the node's latency divided by the slot limit, and sends at
// once for a volume that is not ahead.
func TestConcurrency_ManyInstancesPaceTheirSends(t *testing.T) {
	settings := smallSiteSettings()
	settings.Instances = 512
	driver := startDriver(t, settings, 1)
	n := driver.fixDepth(driver.scheduler.minDepth())
	n.latency = 200 * ms
	wantEqual(t, "minimum depth", []float64{n.depth}, 0.25)
	settings.Instances = 2
	wantEqual(t, "minimum depth with two instances", []float64{New(1, settings).minDepth()}, 1)
	driver.queue(0).virtualTime = 1
	driver.handle(driver.newRequest(nil), driver.newRequest(nil))
	driver.now += 200 * ms
	sent := sentIDs(driver.finishAttempt(1, 0, 0, OK, 200*ms))
	wantEqual(t, "sent for a volume ahead after one of the four latencies that it must wait", sent)
	notAhead := driver.newRequest(func(r *Request) { r.Volume = 2 })
	wantEqual(t, "sent at once for a volume that is not ahead", sentIDs(driver.handle(notAhead)), 3)
}

// With many instances, each gets an answer of a node only every few seconds: the high latency of one pause of
// the node must not hold back requests until the next answer.
func TestConcurrency_PaceRecoversAfterOneSlowAnswer(t *testing.T) {
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
	initial := driver.scheduler.slotLimit(queue, r)
	driver.scheduler.now += 4 * latencyHalfLife
	if later := driver.scheduler.slotLimit(queue, r); later < 4*initial {
		t.Errorf("slot limit: got %v at a slow answer and %v later, want four times as much", initial,
			later)
	}
}

// New objects may be placed on any node. Where restarts leave few nodes, the new objects of all instances
// would concentrate there and starve reads that no other node can serve. New objects are therefore paced even
// if their volume is not ahead; a read of such a volume is not paced.
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
	wantEqual(t, "sent, of a new object and a read", sentIDs(driver.handle(newObject, read)), read.ID)
}
