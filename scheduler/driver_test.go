package scheduler

import (
	"fmt"
	"math"
	"slices"
	"testing"
	"time"
)

const ms = time.Millisecond

// smallSiteSettings returns the settings of a small site: one idempotent class, one plan without reserve
// or limit.
func smallSiteSettings() Settings {
	return Settings{
		Instances: 1, MaxAttempts: 3, RetryAfter: true, MaxRetryAfter: time.Second, MeanUnits: 2, MaxUnits: 8,
		Classes: []Class{{LatencyObjective: time.Second, Deadline: 4 * time.Second, PriorityWeight: 1}},
		Plans:   []Plan{{Rate: 10, Weight: 1}},
	}
}

// fleetSettings returns the settings of a fleet: slow start and the retry budget, which keep records over
// time, are enabled.
func fleetSettings() Settings {
	settings := smallSiteSettings()
	settings.SlowStartPeriod, settings.OverloadWindow = 10*time.Second, 3*time.Second
	settings.OverloadFactor, settings.ColdCapacity = 2, 50
	settings.RetryBudget, settings.RetryBudgetWindow = true, 10*time.Second
	settings.RetryBudgetFloor, settings.RetryBudgetRatio = 5, 0.1
	return settings
}

// testServer returns the address of the node that serves a cell.
func testServer(cell int) Server { return Server{Addr: [4]byte{10, 0, 0, byte(cell)}, Port: 1} }

// testEndpoint returns the entry of the endpoint list for the node that serves a cell.
func testEndpoint(cell int, status Status) Endpoint {
	return Endpoint{Server: testServer(cell), Status: status, Cell: uint16(cell)}
}

// testDriver drives one scheduler step by step: a test sets the clock, passes events and reads the actions.
type testDriver struct {
	scheduler *Scheduler
	now       time.Duration
	lastID    uint32   // of the last request created
	actions   []Action // all that the scheduler has returned
}

// startDriver returns a driver whose scheduler has ready nodes for the cells 0 to nodes-1.
func startDriver(t *testing.T, settings Settings, nodes int) *testDriver {
	t.Helper()
	driver := &testDriver{scheduler: New(1, settings), now: time.Hour}
	update := EndpointUpdate{Kind: UpdateCached}
	for cell := range nodes {
		update.Endpoints = append(update.Endpoints, testEndpoint(cell, Ready))
	}
	driver.handle(update)
	return driver
}

// handle passes events to the scheduler as one batch and returns the resulting actions.
func (d *testDriver) handle(events ...Event) []Action {
	for _, event := range events {
		d.scheduler.Handle(d.now, event)
	}
	actions := d.scheduler.Decide(d.now)
	d.actions = append(d.actions, actions...)
	return actions
}

// advance moves the clock forward and fires the review timer.
func (d *testDriver) advance(duration time.Duration) []Action {
	d.now += duration
	return d.handle(TimerFired{Token: tokenReview})
}

// newRequest returns a request of one unit for cell 0 with the next ID, modified by change unless it is nil.
func (d *testDriver) newRequest(change func(*Request)) Request {
	d.lastID++
	r := Request{ID: d.lastID, VolumeInstances: 1, Volume: 1, Units: 1, ExpiresAt: d.now + 4*time.Second}
	if change != nil {
		change(&r)
	}
	return r
}

// finishAttempt passes the result of an attempt at the node of a cell to the scheduler and returns the
// resulting actions.
func (d *testDriver) finishAttempt(id uint32, attempt, cell int, code ResultCode,
	latency time.Duration) []Action {
	// The reviews due before the current time were skipped. Without this reset, the scheduler would treat the
	// late review as a stall of its own process.
	d.scheduler.review.pending = false
	return d.handle(AttemptResult{ID: id, Attempt: attempt, Server: testServer(cell), Code: code,
		Latency: latency, RequestDone: code == OK})
}

// fixDepth gives the node of cell 0 a depth that does not adapt, so that a test covers only the queue. Its
// latency is half of the shortest objective, its deviation so large that no attempt counts as lost.
func (d *testDriver) fixDepth(depth float64) *node {
	n := d.node(0)
	n.depth, n.depthAdaptedAt = depth, math.MaxInt64
	n.latency, n.deviation = d.scheduler.objectives.shortest/2, time.Hour
	return n
}

// node returns the scheduler's state of the node that startDriver listed for a cell.
func (d *testDriver) node(cell int) *node { return d.scheduler.endpoints.nodes[testServer(cell)] }

// queue returns the queue of a cell that startDriver listed.
func (d *testDriver) queue(cell int) *shardQueue { return d.scheduler.endpoints.shards[cell] }

// asNewObject marks a request as a new object, which may be placed on any node.
func asNewObject(r *Request) { r.Cell = NewObject }

// sentIDs returns the IDs of the requests of which the actions send an attempt.
func sentIDs(actions []Action) (ids []uint32) {
	for _, action := range actions {
		if send, ok := action.(Send); ok {
			ids = append(ids, send.ID)
		}
	}
	return ids
}

// finalAnswers returns the final answers among the actions, as "reject 3" or "fail 3".
func finalAnswers(actions []Action) (answers []string) {
	for _, action := range actions {
		switch action := action.(type) {
		case Reject:
			answers = append(answers, fmt.Sprint("reject ", action.ID))
		case Fail:
			answers = append(answers, fmt.Sprint("fail ", action.ID))
		}
	}
	return answers
}

// wantEqual reports an error unless got and want have equal values in the same order.
func wantEqual[T comparable](t *testing.T, label string, got []T, want ...T) {
	t.Helper()
	if !slices.Equal(got, want) {
		t.Errorf("%s: got %v, want %v", label, got, want)
	}
}
