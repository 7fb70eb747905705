package scheduler

import (
	"math/rand/v2"
	"testing"
	"time"
)

const (
	randomCells      = 4 // in the endpoint list
	randomNodes      = 6
	randomClasses    = 3
	randomPlans      = 2
	randomVolumes    = 9
	maxRandomWait    = 800 * ms // time that a client waits
	maxRandomLatency = 150 * ms // duration of an attempt
	overdueAfter     = 400 * ms // time past its deadline after which a request is overdue
	finalSteps       = 2000     // steps at the end, in which all requests finish
)

// The classes of a randomDriver.
const (
	classIdempotent = iota
	classByKey
	classNotIdempotent
)

// randomDriver drives one scheduler with random events drawn from a seed and checks each action against the
// events that it has passed. It is used for fuzzing and, with the recording fields set, for characterization.
type randomDriver struct {
	t          *testing.T
	random     *rand.Rand
	scheduler  *Scheduler
	settings   Settings
	now        time.Duration
	timers     []pendingTimer
	requests   map[uint32]*trackedRequest
	inFlight   []pendingAttempt
	statuses   map[Server]Status // of the listed nodes
	lastID     uint32            // of the last request created
	lastLeader Send              // last attempt sent that joined no operation

	recordAction    func(Action) // nil: actions are not recorded
	countEvent      func()       // called for each event; nil: events are not counted
	elsewhereRandom *rand.Rand   // draws units served through other instances; nil: none are reported
}

// pendingTimer is a timer that the scheduler has set.
type pendingTimer struct {
	at    time.Duration
	token uint32
}

// trackedRequest is the state of a request as seen from outside the scheduler.
type trackedRequest struct {
	Request
	attempts       int
	answered       bool          // or its client has disconnected
	disconnectedAt time.Duration // when its client disconnected; actions of that batch may still answer it
	mayHaveRun     bool
}

// pendingAttempt is an attempt in flight.
type pendingAttempt struct {
	Send
	attempt int
	endsAt  time.Duration
}

// newRandomDriver returns a driver. The bits of shape select its settings, as in randomSettings.
func newRandomDriver(t *testing.T, seed uint64, shape uint8) *randomDriver {
	t.Helper()
	return newRandomDriverWith(t, seed, shape, func(*Settings) {})
}

// newRandomDriverWith is newRandomDriver with the settings modified by change.
func newRandomDriverWith(t *testing.T, seed uint64, shape uint8, change func(*Settings)) *randomDriver {
	t.Helper()
	settings := randomSettings(shape)
	change(&settings)
	d := &randomDriver{
		t: t, random: rand.New(rand.NewPCG(seed, 7)), settings: settings, now: time.Hour,
		scheduler: New(seed, settings), requests: map[uint32]*trackedRequest{}, statuses: map[Server]Status{},
	}
	if shape&8 != 0 {
		d.scheduler.SetBatcher(d)
	}
	d.handle(EndpointUpdate{Kind: UpdateCached, Endpoints: d.randomEndpoints(randomNodes)})
	d.decide()
	return d
}

// randomSettings returns the settings of a fleet with a class of each idempotency. The bits of shape are,
// from the lowest: polled list, retry budget, deduplication by zone, batcher (see newRandomDriverWith), and
// in the upper four the number of instances minus one.
func randomSettings(shape uint8) Settings {
	settings := fleetSettings()
	settings.Instances = 1 + int(shape>>4)
	settings.PollEndpoints = shape&1 != 0
	settings.RetryBudget = shape&2 != 0
	settings.OrderingPause = 20 * ms
	class := Class{LatencyObjective: 200 * ms, Deadline: 800 * ms, PriorityWeight: 1}
	byKey, notIdempotent := class, class
	byKey.Idempotency, byKey.DedupScope = IdempotentByKey, DedupScope(shape>>2&1)
	byKey.DedupWindow, byKey.OrderedByKey, byKey.Writes = 400*ms, true, true
	notIdempotent.Idempotency = NotIdempotent
	settings.Classes = []Class{classIdempotent: class, classByKey: byKey, classNotIdempotent: notIdempotent}
	settings.Plans = []Plan{{Rate: 10, Weight: 1}, {Rate: 10, Weight: 2, Reserve: 5, Limit: 50, Burst: 50}}
	return settings
}

// Propose proposes recent requests, open or finished, queued or in flight.
func (d *randomDriver) Propose(id uint32, join func(uint32, float64) bool) {
	units := d.requests[id].Units
	for range d.random.IntN(12) {
		other := d.lastID - d.random.Uint32N(min(d.lastID, 40))
		if r := d.requests[other]; join(other, units+1) {
			units += r.Units
		}
	}
}

// randomEndpoints returns list entries for the first count nodes, in random states.
func (d *randomDriver) randomEndpoints(count int) (endpoints []Endpoint) {
	for i := range count {
		endpoint := Endpoint{Server: testServer(i), Cell: uint16(i % randomCells), Zone: uint8(i % 2),
			Status: Status(d.random.IntN(3))}
		if d.random.IntN(3) == 0 {
			endpoint.StartedAt = d.now - time.Duration(d.random.Int64N(int64(20*time.Second)))
		}
		endpoints = append(endpoints, endpoint)
	}
	return endpoints
}

// handle passes an event to the scheduler and records the node states of an endpoint update.
func (d *randomDriver) handle(event Event) {
	if update, ok := event.(EndpointUpdate); ok && update.Kind != UpdateFailed {
		if update.Kind != UpdateDelta {
			clear(d.statuses)
		}
		for _, endpoint := range update.Endpoints {
			d.statuses[endpoint.Server] = endpoint.Status
		}
	}
	if d.countEvent != nil {
		d.countEvent()
	}
	d.scheduler.Handle(d.now, event)
}

// run passes the given number of batches of random events, then lets all requests finish and checks that each
// was answered and that the scheduler keeps no state of them.
func (d *randomDriver) run(batches int) {
	d.t.Helper()
	for range batches {
		d.now += time.Duration(d.random.Int64N(int64(4 * ms)))
		if d.random.IntN(100) == 0 { // the process stalls
			d.now += time.Duration(d.random.Int64N(int64(300 * ms)))
		}
		for range d.random.IntN(4) {
			d.randomEvent()
		}
		d.fireTimers()
		d.endAttempts()
		d.decide()
	}
	for range finalSteps {
		d.now += 2 * ms
		d.fireTimers()
		d.endAttempts()
		d.decide()
	}
	for id, r := range d.requests {
		if !r.answered {
			d.t.Fatalf("request %d: got no answer, want one", id)
		}
	}
	s := d.scheduler
	if len(s.requests) != 0 || s.inFlight != 0 || len(s.backlog.shards) != 0 {
		d.t.Fatalf("at the end: got %d requests, %d attempts, %d queues, want none", len(s.requests),
			s.inFlight, len(s.backlog.shards))
	}
}

// randomEvent passes a request, an endpoint update, a client's disconnect, or nothing.
func (d *randomDriver) randomEvent() {
	switch choice := d.random.IntN(20); {
	case choice < 16:
		d.lastID++
		r := d.randomRequest(d.lastID)
		d.requests[r.ID] = &trackedRequest{Request: r}
		d.handle(r)
	case choice == 16:
		changed := d.randomEndpoints(randomNodes)[d.random.IntN(randomNodes):]
		d.handle(EndpointUpdate{Kind: UpdateDelta, Endpoints: changed})
	case choice == 17 && d.random.IntN(4) == 0:
		listed := d.randomEndpoints(1 + d.random.IntN(randomNodes))
		d.handle(EndpointUpdate{Kind: UpdateFull, Endpoints: listed})
	case choice == 18:
		d.handle(EndpointUpdate{Kind: UpdateFailed})
	case choice == 19 && d.lastID > 0:
		id := 1 + d.random.Uint32N(d.lastID)
		if r := d.requests[id]; !r.answered {
			r.answered, r.disconnectedAt = true, d.now
			d.handle(RequestWithdrawn{ID: id})
		}
	}
}

// randomRequest draws a request. The characterization hashes depend on the order of the draws.
func (d *randomDriver) randomRequest(id uint32) Request {
	r := Request{ID: id, VolumeInstances: 1}
	r.Class = d.random.IntN(randomClasses)
	r.Cell = d.random.IntN(6) - 1 // NewObject, a listed cell, or one that no node holds
	r.Plan = d.random.IntN(randomPlans)
	r.Volume = uint64(d.random.IntN(randomVolumes))
	r.Units = float64(1 + d.random.IntN(8))
	r.ExpiresAt = d.now + time.Duration(d.random.Int64N(int64(maxRandomWait)))
	if r.Class == classByKey {
		r.Key = uint64(1 + d.random.IntN(3))
	}
	return r
}

// fireTimers fires the timers that are due.
func (d *randomDriver) fireTimers() {
	timers := d.timers
	d.timers = nil
	for _, timer := range timers {
		if timer.at > d.now {
			d.timers = append(d.timers, timer)
			continue
		}
		d.handle(TimerFired{Token: timer.token})
	}
}

// endAttempts passes random results of the attempts that are due. Attempts of requests past their deadline
// time out.
func (d *randomDriver) endAttempts() {
	codes := []ResultCode{OK, OK, OK, OK, Error, Overloaded, ConnectFailed, Reset, TimedOut}
	attempts := d.inFlight
	d.inFlight = nil
	for _, attempt := range attempts {
		r := d.requests[attempt.ID]
		code := codes[d.random.IntN(len(codes))]
		if r.ExpiresAt <= d.now {
			code = TimedOut
		} else if attempt.endsAt > d.now {
			d.inFlight = append(d.inFlight, attempt)
			continue
		}
		if code != Overloaded && code != ConnectFailed {
			r.mayHaveRun = true
		}
		r.answered = r.answered || code == OK
		result := AttemptResult{ID: attempt.ID, Attempt: attempt.attempt, Server: attempt.Server, Code: code,
			Latency: 10 * ms, RequestDone: r.answered}
		if d.elsewhereRandom != nil {
			result.ElsewhereUnits = float64(d.elsewhereRandom.IntN(3))
		}
		d.handle(result)
	}
}

// decide checks the scheduler's actions, applies them, and checks that no request is overdue.
func (d *randomDriver) decide() {
	d.t.Helper()
	for _, action := range d.scheduler.Decide(d.now) {
		if d.recordAction != nil {
			d.recordAction(action)
		}
		switch action := action.(type) {
		case Send:
			d.startAttempt(action)
		case Reject:
			r := d.recordFinalAnswer(action.ID)
			if r.mayHaveRun && !d.isRetrySafe(r) {
				d.t.Fatalf("request %d: got a rejection, want a failure, as it may have run", action.ID)
			}
		case Fail:
			d.recordFinalAnswer(action.ID)
		case SetTimer:
			d.timers = append(d.timers, pendingTimer{d.now + action.After, action.Token})
		}
	}
	for id, r := range d.requests {
		if !r.answered && d.now > r.ExpiresAt+overdueAfter {
			d.t.Fatalf("request %d: got no answer in time, want one", id)
		}
	}
}

// isRetrySafe reports whether a client's retry of a request that may have run does no harm. It restates
// Class.RetrySafe for the classes of a randomDriver.
func (d *randomDriver) isRetrySafe(r *trackedRequest) bool {
	switch r.Class {
	case classIdempotent:
		return true
	case classByKey:
		return d.settings.Classes[classByKey].DedupScope == DedupAll
	}
	return false
}

// recordFinalAnswer records the final answer to a request and checks that it is the only one.
func (d *randomDriver) recordFinalAnswer(id uint32) *trackedRequest {
	d.t.Helper()
	r := d.requests[id]
	if r == nil || r.answered && r.disconnectedAt != d.now {
		d.t.Fatalf("request %d: got a second answer, or one to an unknown request, want one answer", id)
	}
	r.answered = true
	return r
}

// startAttempt checks an attempt and schedules its end at a random time.
func (d *randomDriver) startAttempt(send Send) {
	d.t.Helper()
	r := d.requests[send.ID]
	switch {
	case r.answered:
		d.t.Fatalf("request %d: got an attempt after its answer, want none", send.ID)
	case r.attempts >= d.settings.MaxAttempts:
		d.t.Fatalf("request %d: got %d attempts, want MaxAttempts at most", send.ID, r.attempts+1)
	case r.Class == classNotIdempotent && r.mayHaveRun:
		d.t.Fatalf("request %d: got a retry, want none, as it is not idempotent and may have run", send.ID)
	case d.statuses[send.Server] != Ready:
		d.t.Fatalf("request %d: got a node that is not ready, want a ready one", send.ID)
	}
	d.checkOperation(send, r)
	latency := time.Duration(d.random.Int64N(int64(maxRandomLatency)))
	if send.Timeout > 0 {
		latency = min(latency, send.Timeout)
	}
	d.inFlight = append(d.inFlight, pendingAttempt{send, r.attempts, d.now + latency})
	r.attempts++
}

// checkOperation checks that a member of an operation follows its leader, with no other leader in between, is
// of the same class, is sent to the same node and is not a retry.
func (d *randomDriver) checkOperation(send Send, r *trackedRequest) {
	d.t.Helper()
	if send.Leader == 0 {
		d.lastLeader = send
		return
	}
	if send.Leader != d.lastLeader.ID || send.Server != d.lastLeader.Server || r.attempts > 0 ||
		r.Class != d.requests[send.Leader].Class {
		d.t.Fatalf("request %d as a member with leader %d: got %+v, want it to match %+v", send.ID,
			send.Leader, send, d.lastLeader)
	}
}
