package scheduler

import (
	"fmt"
	"testing"
	"time"
)

// An instance that just restarted may have seen nothing but retries, whose wait is short; it must not hold
// them beyond that wait.
func TestAdmission_HoldsNoRetryBeyondItsDeadline(t *testing.T) {
	driver := startDriver(t, smallSiteSettings(), 1)
	driver.handle(EndpointUpdate{Kind: UpdateFull})
	driver.handle(driver.newRequest(func(r *Request) { r.ExpiresAt = driver.now + 200*ms }))
	for range 19 {
		driver.advance(10 * ms)
	}
	driver.advance(5 * ms)
	wantEqual(t, "answers", finalAnswers(driver.actions), "reject 1")
}

// A first try with less time than the latency objective comes from an impatient client and is no late retry:
// it is served while the client waits, unless its size tells that the answer cannot be back in time.
func TestAdmission_ServesImpatientClientsBySize(t *testing.T) {
	settings := smallSiteSettings()
	settings.Classes[0].LatencyObjective = 200 * ms
	driver := startDriver(t, settings, 2)
	driver.handle(driver.newRequest(nil)) // shows the wait that clients usually grant
	n := driver.node(1)
	n.latency, n.depth = 10*ms, 8
	for i := range 40 {
		units := float64(1 + i%4)
		driver.scheduler.classes[0].latency.add(units, 0.010*units)
		driver.scheduler.latency.allClasses.add(units, 0.010*units)
	}
	impatient := func(r *Request) { r.Cell, r.ExpiresAt = 1, driver.now+50*ms }
	small := driver.newRequest(impatient)
	wantEqual(t, "a small one is sent", sentIDs(driver.handle(small)), small.ID)
	large := driver.newRequest(func(r *Request) { impatient(r); r.Units = 8 })
	answers := finalAnswers(driver.handle(large))
	wantEqual(t, "a large one is rejected", answers, fmt.Sprint("reject ", large.ID))
}

// A retry that arrives past its latency objective must not take reserve and slots from requests that can
// still be in time.
func TestAdmission_RejectsRetryPastItsObjective(t *testing.T) {
	driver := startDriver(t, smallSiteSettings(), 1)
	driver.handle(driver.newRequest(nil))
	late := driver.newRequest(func(r *Request) { r.ExpiresAt = driver.now + 2*time.Second })
	wantEqual(t, "late retry", finalAnswers(driver.handle(late)), fmt.Sprint("reject ", late.ID))
}
