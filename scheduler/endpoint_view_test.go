package scheduler

import (
	"testing"
	"time"
)

func TestEndpointView_SendsNothingToDrainingOrRemovedNodes(t *testing.T) {
	for _, status := range []Status{Draining, Removed} {
		t.Run(status.String(), func(t *testing.T) {
			driver := startDriver(t, smallSiteSettings(), 1)
			driver.handle(EndpointUpdate{Kind: UpdateDelta, Endpoints: []Endpoint{testEndpoint(0, status)}})
			wantEqual(t, "sent", sentIDs(driver.handle(driver.newRequest(nil))))
			successor := Endpoint{Server: testServer(7), Status: Ready, Cell: 0}
			driver.handle(EndpointUpdate{Kind: UpdateDelta, Endpoints: []Endpoint{successor}})
			wantEqual(t, "sent once another node holds the cell", sentIDs(driver.actions), 1)
		})
	}
	t.Run("missing from a full list", func(t *testing.T) {
		driver := startDriver(t, smallSiteSettings(), 1)
		driver.handle(EndpointUpdate{Kind: UpdateFull})
		wantEqual(t, "sent", sentIDs(driver.handle(driver.newRequest(nil))))
	})
}

// Requests that are queued, placed or waiting for a retry when a drain is announced must not be sent to the
// node, nor may health checks, not even within the drain grace of 250 ms.
func TestEndpointView_DrainStopsQueuedRequests(t *testing.T) {
	settings := smallSiteSettings()
	settings.DrainGrace, settings.HealthChecks = 250*ms, true
	driver := startDriver(t, settings, 1)
	n, queue := driver.fixDepth(1), driver.queue(0)
	driver.handle(driver.newRequest(nil), driver.newRequest(nil), driver.newRequest(asNewObject))
	if len(n.inFlight) == 0 || len(queue.requests) == 0 {
		t.Fatalf("got %d in flight and %d queued, want some of both", len(n.inFlight), len(queue.requests))
	}
	before := len(driver.actions)
	driver.handle(EndpointUpdate{Kind: UpdateDelta, Endpoints: []Endpoint{testEndpoint(0, Draining)}})
	driver.finishAttempt(1, 0, 0, Error, ms) // would be retried without the drain
	for range 8 {
		driver.advance(500 * ms)
	}
	for _, action := range driver.actions[before:] {
		switch action := action.(type) {
		case Send, CheckHealth:
			t.Errorf("after the drain was announced: got %#v, want no attempt or health check", action)
		}
	}
	if got := finalAnswers(driver.actions); len(got) != 3 {
		t.Errorf("got %d final answers, want 3: %v", len(got), got)
	}
}

// Nodes removed from the list are deleted once removedNodeRetention has passed, and not earlier.
func TestEndpointView_DeletesRemovedNodesAfterRetention(t *testing.T) {
	load := newSteadyLoad(fleetSettings(), 1000, 3, 0)
	view := &load.scheduler.endpoints
	all := []Endpoint{}
	for _, n := range view.nodes {
		all = append(all, n.Endpoint)
	}
	applyFull := func(listed []Endpoint) {
		load.scheduler.Handle(load.now, EndpointUpdate{Kind: UpdateFull, Endpoints: listed})
	}
	firstNode := all[:1]
	applyFull(firstNode)
	load.now += removedNodeRetention / 2
	applyFull(all[:2])
	load.now += removedNodeRetention/2 + time.Second
	applyFull(firstNode)
	if len(view.nodes) != 2 {
		t.Fatalf("got %d nodes, want 2: the listed one and the one removed last", len(view.nodes))
	}
	load.now += removedNodeRetention + time.Second
	applyFull(firstNode)
	if len(view.nodes) != 1 || len(view.removals) != 0 {
		t.Fatalf("got %d nodes and %d removals, want 1 and 0", len(view.nodes), len(view.removals))
	}
}
