package scheduler

import (
	"testing"
	"time"
)

func TestPlacement_PrefersLeastExpectedWait(t *testing.T) {
	driver := startDriver(t, smallSiteSettings(), 3)
	driver.node(0).latency = 300 * ms
	driver.node(2).failures = 1
	actions := driver.handle(driver.newRequest(asNewObject))
	for _, action := range actions {
		if send, ok := action.(Send); ok && send.Server != testServer(1) {
			t.Errorf("node: got %v, want %v", send.Server, testServer(1))
		}
	}
	wantEqual(t, "sent", sentIDs(actions), 1)
}

// A node that is stuck on one heavy request is avoided because of the age of that attempt.
func TestPlacement_AvoidsStuckNode(t *testing.T) {
	driver := startDriver(t, smallSiteSettings(), 2)
	driver.handle(driver.newRequest(nil)) // at the node of cell 0
	driver.node(0).deviation = time.Second
	driver.node(1).latency *= 3
	driver.now += 500 * ms
	driver.handle(driver.newRequest(asNewObject))
	if got := driver.scheduler.requests[2].node.Cell; got != 1 {
		t.Errorf("cell of the node: got %d, want 1", got)
	}
}

// Overloaded nodes reject requests at once and so have the lowest latency; they must not receive the most new
// objects because of it.
func TestPlacement_OverloadedNodeDoesNotAttractNewObjects(t *testing.T) {
	driver := startDriver(t, smallSiteSettings(), 2)
	driver.handle(driver.newRequest(asNewObject))
	overloaded := driver.scheduler.requests[1].node
	actions := driver.finishAttempt(1, 0, int(overloaded.Cell), Overloaded, 3*ms)
	for _, action := range actions {
		if send, ok := action.(Send); ok && send.Server == overloaded.Server {
			t.Error("node: got the overloaded one again, want the other one")
		}
	}
	wantEqual(t, "sent to the other node", sentIDs(actions), 1)
}

// A node that fails most requests quickly appears fast and idle; new objects must not concentrate there.
func TestPlacement_AvoidsNodeWithErrors(t *testing.T) {
	driver := startDriver(t, smallSiteSettings(), 2)
	failing, healthy := driver.queue(0).node, driver.queue(1).node
	for range 6 {
		r := driver.newRequest(nil)
		driver.handle(r)
		driver.finishAttempt(r.ID, 0, 0, Error, ms)
		driver.handle(RequestWithdrawn{ID: r.ID})
		if len(driver.scheduler.requests) > 0 { // its retry is in flight
			driver.finishAttempt(r.ID, 1, 0, Error, ms)
		}
	}
	failing.inFlight, failing.slotsUsed, failing.latency = nil, 0, healthy.latency*3/4
	healthy.lastAnswerAt = driver.now
	r := &request{Request: Request{Units: 1}, class: driver.scheduler.classes[0]}
	if queue := driver.scheduler.placeNewObject(r); queue.node == failing {
		t.Errorf("node: got the one with an error rate of %.2f, want the healthy one", failing.errorRate)
	}
	failing.errorRate = 0
	if queue := driver.scheduler.placeNewObject(r); queue.node != failing {
		t.Error("node, with no errors at either: got the slower one, want the faster one")
	}
}

// Instances that start at the same time have no statistics of any node: their new objects must not all be
// placed on the first.
func TestPlacement_StartingInstancesSpreadNewObjects(t *testing.T) {
	placed := map[int]int{} // new objects by cell
	for seed := range uint64(40) {
		driver := &testDriver{scheduler: New(seed, smallSiteSettings()), now: time.Hour}
		driver.handle(EndpointUpdate{Kind: UpdateCached, Endpoints: []Endpoint{
			testEndpoint(0, Ready), testEndpoint(1, Ready), testEndpoint(2, Ready), testEndpoint(3, Ready),
		}})
		r := &request{Request: Request{Units: 1}, class: driver.scheduler.classes[0]}
		placed[driver.scheduler.placeNewObject(r).cell]++
	}
	for cell := range 4 {
		if placed[cell] > 20 || placed[cell] == 0 {
			t.Errorf("got %d of 40 new objects on node %d, want 1 to 20", placed[cell], cell)
		}
	}
}
