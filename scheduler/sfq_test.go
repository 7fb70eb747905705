package scheduler

import (
	"testing"
	"time"
)

// With a backlog of two volumes, service is divided in proportion to their weights.
func TestSFQ_SharesFollowWeightsUnderBacklog(t *testing.T) {
	settings := smallSiteSettings()
	settings.Plans = append(settings.Plans, Plan{Weight: 3})
	settings.Classes[0].LatencyObjective = 100 * time.Second
	driver := startDriver(t, settings, 1)
	driver.fixDepth(1)
	var requests []Event
	for range 40 {
		for volume := range 2 {
			requests = append(requests, driver.newRequest(func(r *Request) {
				r.Volume, r.Plan, r.ExpiresAt = uint64(volume), volume, driver.now+200*time.Second
			}))
		}
	}
	driver.handle(requests...)
	served := map[uint64]int{}
	for range 40 {
		for id, r := range driver.scheduler.requests {
			if r.node != nil {
				served[r.Volume]++
				driver.finishAttempt(id, 0, 0, OK, driver.scheduler.objectives.shortest)
				break
			}
		}
	}
	if served[1] != 30 || served[0] != 10 {
		t.Errorf("requests served of 40: got %d with weight 1 and %d with weight 3, want 10 and 30",
			served[0], served[1])
	}
}

func TestSFQ_AssignsTagsAndVirtualTime(t *testing.T) {
	driver := startDriver(t, smallSiteSettings(), 1)
	driver.fixDepth(1)
	driver.handle(
		driver.newRequest(func(r *Request) { r.Units = 4 }),
		driver.newRequest(func(r *Request) { r.Units = 2 }),
		driver.newRequest(func(r *Request) { r.Volume = 2 }),
	)
	queue, volumes := driver.queue(0), driver.scheduler.volumes.byID
	var startTags []float64
	for id := uint32(1); id <= 3; id++ {
		startTags = append(startTags, driver.scheduler.requests[id].startTag)
	}
	wantEqual(t, "start tags", startTags, 0, 4, 0)
	finishTags := []float64{volumes[1].finishTags[queue], volumes[2].finishTags[queue]}
	wantEqual(t, "finish tags", finishTags, 6, 1)
	driver.finishAttempt(1, 0, 0, OK, ms)
	driver.finishAttempt(3, 0, 0, OK, ms)
	wantEqual(t, "virtual time, the start tag of the last request sent", []float64{queue.virtualTime}, 4)
}

// A volume that was idle starts at the virtual time: it gets no credit for the service that it did not use.
func TestSFQ_IdleVolumeGetsNoCredit(t *testing.T) {
	driver := startDriver(t, smallSiteSettings(), 1)
	scheduler, queue := driver.scheduler, driver.queue(0)
	queue.virtualTime = 50
	driver.handle(driver.newRequest(nil))
	tags := []float64{scheduler.requests[1].startTag, scheduler.volumes.byID[1].finishTags[queue]}
	wantEqual(t, "start tag and finish tag", tags, 50, 51)
}

func TestSFQ_SlotCostFollowsMeanSize(t *testing.T) {
	c := &class{}
	var costs []float64
	for _, units := range []float64{2, 2, 6, 1, 40} { // running means before each: none, 2, 2, 10/3, 11/4
		costs = append(costs, c.slotCost(units))
		c.count++
		c.meanUnits += (units - c.meanUnits) / c.count
	}
	wantEqual(t, "slot costs", costs, 1, 1, 3, 1, 4)
}

func TestSFQ_ReserveDoesNotAdvanceFinishTag(t *testing.T) {
	settings := smallSiteSettings()
	settings.Plans[0].Reserve = 2
	driver := startDriver(t, settings, 1)
	driver.handle(
		driver.newRequest(func(r *Request) { r.Units = 8 }),
		driver.newRequest(func(r *Request) { r.Units = 3 }),
	)
	// The reserve holds 2 units for one second and 8 for one largest request: 1 of the 11 units is beyond it.
	finishTag := driver.scheduler.volumes.byID[1].finishTags[driver.queue(0)]
	wantEqual(t, "finish tag", []float64{finishTag}, 1)
}

func TestSFQ_ServiceElsewhereAdvancesFinishTag(t *testing.T) {
	driver := startDriver(t, smallSiteSettings(), 1)
	driver.handle(driver.newRequest(nil))
	driver.handle(AttemptResult{ID: 1, Server: testServer(0), Code: OK, Latency: ms, RequestDone: true,
		ElsewhereUnits: 5})
	finishTag := driver.scheduler.volumes.byID[1].finishTags[driver.queue(0)]
	wantEqual(t, "finish tag, which includes service through other instances", []float64{finishTag}, 6)
}
