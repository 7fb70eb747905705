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
			t.Errorf("sent to %v, want %v", send.Server, testServer(1))
		}
	}
	wantEqual(t, "sent", sentIDs(actions), 1)
}

// A node that is stuck with one heavy request shows it by the age of that attempt.
func TestPlacement_AvoidsStuckNode(t *testing.T) {
	driver := startDriver(t, smallSiteSettings(), 2)
	driver.handle(driver.newRequest(nil)) // at the node of cell 0
	driver.node(0).deviation = time.Second
	driver.node(1).latency *= 3
	driver.now += 500 * ms
	driver.handle(driver.newRequest(asNewObject))
	if got := driver.scheduler.requests[2].node.Cell; got != 1 {
		t.Errorf("placed on the node of cell %d, want 1", got)
	}
}

// Nodes that are overloaded turn requests away at once and so answer fastest; they must not attract the most
// new objects by that.
func TestPlacement_OverloadedNodeDoesNotAttract(t *testing.T) {
	driver := startDriver(t, smallSiteSettings(), 2)
	driver.handle(driver.newRequest(asNewObject))
	overloaded := driver.scheduler.requests[1].node
	actions := driver.finishAttempt(1, 0, int(overloaded.Cell), Overloaded, 3*ms)
	for _, action := range actions {
		if send, ok := action.(Send); ok && send.Server == overloaded.Server {
			t.Error("sent again to the overloaded node")
		}
	}
	wantEqual(t, "sent to the other node", sentIDs(actions), 1)
}

// A node that fails most of its requests fast looks quick and idle; new objects must not gather there.
func TestPlacement_AvoidsNodeWithErrors(t *testing.T) {
	driver := startDriver(t, smallSiteSettings(), 2)
	failing, healthy := driver.queue(0).node, driver.queue(1).node
	for range 6 {
		r := driver.newRequest(nil)
		driver.handle(r)
		driver.finishAttempt(r.ID, 0, 0, Error, ms)
		driver.handle(ClientGone{ID: r.ID})
		if len(driver.scheduler.requests) > 0 { // its retry is in flight
			driver.finishAttempt(r.ID, 1, 0, Error, ms)
		}
	}
	failing.inFlight, failing.slotsUsed, failing.latency = nil, 0, healthy.latency*3/4
	healthy.lastAnswerAt = driver.now
	r := &request{Request: Request{Units: 1}, class: driver.scheduler.classes[0]}
	if queue := driver.scheduler.placeNewObject(r); queue.node == failing {
		t.Errorf("a new object goes to a node of which %.2f of the answers are errors", failing.errorRate)
	}
	failing.errorRate = 0
	if queue := driver.scheduler.placeNewObject(r); queue.node != failing {
		t.Error("a new object avoids the quicker node though it has no errors")
	}
}

// Instances that all start at once know nothing of any node: their new objects must not all go to the first.
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
			t.Errorf("%d of 40 instances placed a new object on node %d, want 1 to 20", placed[cell], cell)
		}
	}
}
