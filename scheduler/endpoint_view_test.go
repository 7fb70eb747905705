package scheduler

import (
	"testing"
	"time"
)

func TestEndpointView_SendsNothingToDrainingOrGoneNodes(t *testing.T) {
	for _, status := range []Status{Draining, Gone} {
		t.Run(status.String(), func(t *testing.T) {
			driver := startDriver(t, smallSiteSettings(), 1)
			driver.handle(EndpointUpdate{Kind: UpdateDelta, Endpoints: []Endpoint{testEndpoint(0, status)}})
			wantEqual(t, "sent", sentIDs(driver.handle(driver.newRequest(nil))))
			successor := Endpoint{Server: testServer(7), Status: Ready, Cell: 0}
			driver.handle(EndpointUpdate{Kind: UpdateDelta, Endpoints: []Endpoint{successor}})
			wantEqual(t, "sent once another node holds the cell", sentIDs(driver.actions), 1)
		})
	}
	t.Run("left out of a full list", func(t *testing.T) {
		driver := startDriver(t, smallSiteSettings(), 1)
		driver.handle(EndpointUpdate{Kind: UpdateFull})
		wantEqual(t, "sent", sentIDs(driver.handle(driver.newRequest(nil))))
	})
}

// With a drain grace of 250 ms, requests that are queued, placed or waiting for a retry when a drain is
// announced must not reach the node any more, nor may a health check.
func TestEndpointView_DrainStopsQueuedRequests(t *testing.T) {
	settings := smallSiteSettings()
	settings.DrainGrace, settings.HealthChecks = 250*ms, true
	driver := startDriver(t, settings, 1)
	n, queue := driver.fixDepth(1), driver.queue(0)
	driver.handle(driver.newRequest(nil), driver.newRequest(nil), driver.newRequest(asNewObject))
	if len(n.inFlight) == 0 || len(queue.requests) == 0 {
		t.Fatalf("%d in flight, %d queued: the test needs both", len(n.inFlight), len(queue.requests))
	}
	before := len(driver.actions)
	driver.handle(EndpointUpdate{Kind: UpdateDelta, Endpoints: []Endpoint{testEndpoint(0, Draining)}})
	driver.finishAttempt(1, 0, 0, Error, ms) // would be retried
	for range 8 {
		driver.advance(500 * ms)
	}
	for _, action := range driver.actions[before:] {
		switch action := action.(type) {
		case Send, CheckHealth:
			t.Errorf("after the drain was announced: %#v", action)
		}
	}
	if got := finalAnswers(driver.actions); len(got) != 3 {
		t.Errorf("%d final answers, want 3: %v", len(got), got)
	}
}

// Nodes that are gone for very long are forgotten; those that were removed a short time ago are not.
func TestEndpointView_ForgetsRemovedNodes(t *testing.T) {
	load := newSteadyLoad(fleetSettings(), 1000, 3, 0)
	view := &load.scheduler.endpoints
	all := []Endpoint{}
	for _, n := range view.nodes {
		all = append(all, n.Endpoint)
	}
	applyFull := func(listed []Endpoint) {
		load.scheduler.Handle(load.now, EndpointUpdate{Kind: UpdateFull, Endpoints: listed})
	}
	one := all[:1]
	applyFull(one)
	load.now += removedNodeRetention / 2
	applyFull(all[:2])
	load.now += removedNodeRetention/2 + time.Second
	applyFull(one)
	if len(view.nodes) != 2 {
		t.Fatalf("%d nodes known, want the listed one and the one that was removed just now", len(view.nodes))
	}
	load.now += removedNodeRetention + time.Second
	applyFull(one)
	if len(view.nodes) != 1 || len(view.removals) != 0 {
		t.Fatalf("%d nodes and %d removals known, want 1 and 0", len(view.nodes), len(view.removals))
	}
}
