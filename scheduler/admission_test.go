package scheduler

import (
	"fmt"
	"testing"
	"time"
)

// A restarted instance may have received only client retries, which have little time left. It then computes
// an end of the latency objective that is after their deadline, but must still answer by the deadline.
func TestAdmission_HoldsNoRetryBeyondItsDeadline(t *testing.T) {
	driver := startDriver(t, smallSiteSettings(), 1)
	driver.handle(EndpointUpdate{Kind: UpdateFull})
	driver.handle(driver.newRequest(func(r *Request) { r.ExpiresAt = driver.now + 200*ms }))
	for range 19 {
		driver.advance(10 * ms)
	}
	driver.advance(5 * ms)
	wantEqual(t, "answers 5 ms before the deadline", finalAnswers(driver.actions), "reject 1")
}

// A first try with less time left than the latency objective comes from a client with a short timeout and is
// not treated as a late retry: it is sent, unless the latency expected for its size exceeds the time left.
func TestAdmission_ServesShortDeadlinesBySize(t *testing.T) {
	settings := smallSiteSettings()
	settings.Classes[0].LatencyObjective = 200 * ms
	driver := startDriver(t, settings, 2)
	driver.handle(driver.newRequest(nil)) // sets the class's longest wait
	n := driver.node(1)
	n.latency, n.depth = 10*ms, 8
	for i := range 40 {
		units := float64(1 + i%4)
		driver.scheduler.classes[0].latency.add(units, 0.010*units)
		driver.scheduler.latency.allClasses.add(units, 0.010*units)
	}
	withShortDeadline := func(r *Request) { r.Cell, r.ExpiresAt = 1, driver.now+50*ms }
	small := driver.newRequest(withShortDeadline)
	wantEqual(t, "sent, small request", sentIDs(driver.handle(small)), small.ID)
	large := driver.newRequest(func(r *Request) { withShortDeadline(r); r.Units = 8 })
	answers := finalAnswers(driver.handle(large))
	wantEqual(t, "answers, large request", answers, fmt.Sprint("reject ", large.ID))
}

// A retry that arrives past its latency objective must not take reserve and slots from requests that can
// still meet theirs.
func TestAdmission_RejectsRetryPastItsObjective(t *testing.T) {
	driver := startDriver(t, smallSiteSettings(), 1)
	driver.handle(driver.newRequest(nil))
	late := driver.newRequest(func(r *Request) { r.ExpiresAt = driver.now + 2*time.Second })
	wantEqual(t, "answers", finalAnswers(driver.handle(late)), fmt.Sprint("reject ", late.ID))
}
