package scheduler

// The interface of this module (settings, events, actions) is control/api.go; this file makes every decision.
// A Host is one scheduler. It queues requests per shard and lets them leave for the shard's node by
// SFQ(D)+: in start-tag order, while the slot cost of what is out at the node stays within its depth, with
// capped backfill. Around that path stand the guards of the seven rules and the defences, each with a note
// on when it acts. Events go in by Handle; Decide ends a batch and returns the actions.

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

const (
	initialDepth        = 8.0  // slots at a node of which nothing is known yet; the design's value
	fleetSlots          = 128  // all hosts together may have this many out at a node that answers quickly
	congestionThreshold = 0.3  // over this part of the shortest aim a latency makes them fewer,
	congestionExponent  = 4.0  // by this power of it
	maxDepth            = 24.0 // requests out at one node, those taken for lost included
	maxSlotCost         = 4.0  // a request's slot cost at most; the design's value
	depthGain           = 3.0  // slots that all hosts together gain in a period while their depths hold back
	depthStep           = 0.5  // part of the way to the wanted depth that one period goes
	// part of the shortest aim that a request may spend at its node; the rest is waiting
	nodeTimeFraction    = 0.1
	latencyGain         = 0.25 // weight of a new latency against the running mean,
	lossGain            = 0.12 // and of the time of an attempt that was lost
	extraSlots          = 8.0  // slots beyond the depth of one host at an empty node, for volumes not ahead
	extraSlotsThreshold = 0.5  // and none of them once the latency there is this part of the shortest aim
	lossDeviations      = 8    // an attempt this many mean deviations over the mean latency counts as lost
	minAdaptPeriod      = 50 * time.Millisecond
	regressionMinCount  = 16.0  // answers before sizes are held to tell anything of times
	regressionWindow    = 512.0 // answers over which that is learned
	// a review that is this late means that the host itself stood still
	stallThreshold = 50 * time.Millisecond
	// held requests are looked at this often while nothing else happens
	reviewInterval   = 5 * time.Millisecond
	watchReopenDelay = 750 * time.Millisecond // a lost watch is opened again after one to two of these
	initialBackoff   = 50 * time.Millisecond
	// a node that fails rests for downFirst at first, at most this
	maxBackoff      = time.Second
	latencyHalfLife = 500 * time.Millisecond // half of what an old latency tells of a node is forgotten
	// two reviews: what must be over by a time is so this much earlier
	timingMargin         = 10 * time.Millisecond
	tokenReview          = 1
	tokenWatch           = 2
	maxBackoffDoublings  = 10
	removedNodeRetention = 10 * time.Minute // a node gone for so long is forgotten
	maxVolumes           = 1 << 16          // over so many, those that are idle keep no finish tag
	// volumes looked at for each request taken, whether they may be forgotten
	volumesPerSweep  = 2
	medianStep       = 0.05 // part of itself that the running median moves with an answer
	recentMeanWindow = 16.0 // attempts over which the fleet's present latency is learned
	errorExponent    = 3.0  // a new object's wait counts by this power of what is no error
	sumTolerance     = 1e-6 // a running sum of units is off by far less than this part
)

// request is one client's try, from its arrival until it has its answer and no attempt of it is out.
type request struct {
	Request
	class           *class
	volume          *volume
	shard           *shard // where it is queued or was sent
	sequence        uint64
	leader          *request // of whose operation it is a member; nil: it is alone or leads
	operationUnits  float64  // units of the operation that it leads
	startTag        float64  // start tag
	tagAdvance      float64  // what it moved its volume's finish tag on by
	reservedUnits   float64  // units that it took from the volume's reserve
	slotCost        float64  // slots
	backfilledCost  float64  // slots promoted past it by backfill
	objectiveAt     time.Duration
	sentAt          time.Duration
	mayHaveRunSince time.Duration // send of the first attempt that may have run
	mayHaveRunOn    *node         // and where it went; nil: none has run
	node            *node         // where its attempt is out; nil: none is
	attempts        int
	quotaCharged    bool // has taken its units from the limit's store
	queued          bool
	answered        bool
	slotsReleased   bool          // its attempt costs no slots any more
	sends           []sendRef     // of its sends
	uncertainAt     time.Duration // when an attempt last ended without its work surely being over; 0: never
}

// class adds to a class's settings what this host has seen of it.
type class struct {
	Class
	meanUnits   float64 // running mean of sizes in units
	count       float64
	longestWait time.Duration // longest time that a try was given: that of a first try
	latency     regression
}

// fit is a running line through the times at a node against sizes in units.
type regression struct{ count, meanSize, meanTime, meanSquare, meanProduct float64 }

func (f *regression) add(size, took float64) {
	f.count = min(f.count+1, regressionWindow)
	f.meanSize += (size - f.meanSize) / f.count
	f.meanTime += (took - f.meanTime) / f.count
	f.meanSquare += (size*size - f.meanSquare) / f.count
	f.meanProduct += (size*took - f.meanProduct) / f.count
}

// predict is how long one of this size takes, in seconds.
func (f *regression) predict(size float64) float64 {
	slope, spread := 0.0, f.meanSquare-f.meanSize*f.meanSize
	if f.count >= regressionMinCount && spread > 0 {
		slope = min(max(0, (f.meanProduct-f.meanSize*f.meanTime)/spread), f.meanTime/f.meanSize)
	}
	return f.meanTime + slope*(size-f.meanSize)
}

// store is a bucket of units.
type tokenBucket struct {
	level    float64
	filledAt time.Duration
}

// fill brings the store up to now.
func (s *tokenBucket) refill(now time.Duration, rate, most float64) {
	s.level = min(most, s.level+rate*(now-s.filledAt).Seconds())
	s.filledAt = now
}

// full tells whether the store would be full if it were filled now.
func (s tokenBucket) isFullAt(now time.Duration, rate, most float64) bool {
	return s.level+rate*(now-s.filledAt).Seconds() >= most
}

// volume is a flow.
type volume struct {
	plan         Plan
	instances    float64
	reserve      tokenBucket
	limit        tokenBucket
	finishTags   map[*shard]float64 // last finish tag
	id           uint64
	openRequests int // requests that are not over
}

// shard is the queue of requests for one cell.
type shard struct {
	cell        int
	node        *node // that holds the cell now; nil: none is listed as ready
	virtualTime float64
	queue       []*request // by start tag, then age
	queuedUnits float64    // queued
}

// mark is a send that a cold node's budget remembers.
type sendRecord struct {
	at    time.Duration
	units float64
}

// markRef finds a mark again: the node and how many marks it had had before.
type sendRef struct {
	node  *node
	index int
}

// node is a storage node's process as this host sees it.
type node struct {
	Endpoint
	inFlight          []*request // oldest first
	slotsUsed         float64    // slots that they cost
	depth             float64
	depthReached      bool // depth held a request back since it was last adapted
	latency           time.Duration
	deviation         time.Duration // mean, of latencies
	lastAnswerAt      time.Duration // last answer
	latencyUpdatedAt  time.Duration // last change of the latency
	depthAdaptedAt    time.Duration
	failures          int     // in a row
	consecutiveResets int     // in a row
	errorRate         float64 // running part of answers that were errors
	retryAt           time.Duration
	sends             slidingWindow[sendRecord] // of the last FallWindow
	unitsSent         float64                   // of its units, but for rounding
	lastSentAt        time.Duration
	hasSent           bool
	removedAt         time.Duration
}

// departure is the moment at which a node was first seen gone.
type removal struct {
	node *node
	at   time.Duration
}

// chain holds the requests of one ordered key, oldest first.
type keyQueue struct {
	requests     []*request
	blockedUntil time.Duration // the next may not be sent before this
}

// Host is one scheduler.
type Scheduler struct {
	settings          Settings
	random            *rand.Rand
	now               time.Duration
	startedAt         time.Duration
	started           bool
	actions           []Action
	classes           []*class
	requests          map[uint32]*request
	nodes             map[Server]*node
	shards            []*shard // by cell
	backlogged        []*shard // those with a queue, by cell
	dispatching       []*shard // the same, as a batch ends
	volumesByID       map[uint64]*volume
	volumes           []*volume // the same, in the order in which they are looked through
	sweepIndex        int
	removals          []removal
	keys              map[uint64]*keyQueue
	restingKeys       []uint64 // keys whose chain became empty, oldest first
	sequence          uint64
	shortestObjective time.Duration
	maxClassWeight    float64 // of a class
	maxPlanWeight     float64
	recentMean        time.Duration // what the usual request took lately: mean of the last attempts,
	runningMedian     time.Duration // and running median
	mean              float64       // running mean of sizes over all classes
	allClasses        regression    // over all classes and nodes
	reviewPending     bool          // a timer for the next review is pending
	reviewDueAt       time.Duration // when it is due
	stalled           bool          // it came far too late: this host had no turn meanwhile
	inFlight          int           // attempts out
	watchHeard        bool          // the list was heard from since the watch was last asked for
	watchReopenAt     time.Duration // when to ask again if it was not
	watchSpeedup      time.Duration // the next wait before that is this part shorter,
	watchDelay        time.Duration // and the usual wait
	admissions        slidingWindow[time.Duration]
	retries           slidingWindow[time.Duration]
	batcher           Batcher
}

// New starts a host that knows nothing but its settings.
func New(seed uint64, set Settings) *Scheduler {
	h := &Scheduler{settings: set, random: rand.New(rand.NewPCG(seed, 0)), requests: map[uint32]*request{},
		nodes: map[Server]*node{}, volumesByID: map[uint64]*volume{}, keys: map[uint64]*keyQueue{},
		watchDelay: cmp.Or(min(watchReopenDelay, set.PushGrace/4), watchReopenDelay)}
	for _, c := range set.Classes {
		h.classes = append(h.classes, &class{Class: c})
		h.maxClassWeight = max(h.maxClassWeight, c.PriorityWeight)
		if c.LatencyObjective > 0 && (h.shortestObjective == 0 || c.LatencyObjective < h.shortestObjective) {
			h.shortestObjective = c.LatencyObjective
		}
	}
	for _, p := range set.Plans {
		h.maxPlanWeight = max(h.maxPlanWeight, p.PriorityWeight)
	}
	return h
}

// Handle takes one event in.
func (h *Scheduler) Handle(now time.Duration, ev Event) {
	h.advanceClock(now)
	switch ev := ev.(type) {
	case EndpointUpdate:
		h.applyEndpointUpdate(ev)
	case Request:
		h.admit(ev)
	case AttemptResult:
		h.handleResult(ev)
	case ClientGone:
		if r := h.requests[ev.ID]; r != nil {
			h.finish(r)
		}
	case TimerFired:
		h.handleTimer(ev)
	}
}

// begin sets the clock; at the first event of a host's life it also opens the watch that an asking site
// needs.
func (h *Scheduler) advanceClock(now time.Duration) {
	if now != h.now {
		h.stalled = h.reviewPending && now > h.reviewDueAt+stallThreshold
	}
	h.now = now
	if h.started {
		return
	}
	h.started, h.startedAt = true, now
	if h.settings.PollEndpoints {
		h.openWatch()
	}
}

// Decide lets requests leave, gives up on those that cannot be served in time, and returns all actions
// since the last call.
func (h *Scheduler) Decide(now time.Duration) []Action {
	h.advanceClock(now)
	held := false
	h.dispatching = append(h.dispatching[:0], h.backlogged...)
	for _, s := range h.dispatching {
		h.dispatch(s)
		h.shedLate(s)
		held = held || len(s.queue) > 0
	}
	if (held || h.inFlight > 0) && !h.reviewPending {
		h.reviewPending, h.reviewDueAt = true, h.now+reviewInterval
		h.emit(SetTimer{Token: tokenReview, After: reviewInterval})
	}
	acts := h.actions
	h.actions = nil
	return acts
}

// part is this host's even part of what all hosts together may have.
func (h *Scheduler) instanceShare(whole float64) float64 {
	return whole / float64(max(h.settings.Instances, 1))
}

func (h *Scheduler) emit(a Action) { h.actions = append(h.actions, a) }

func (h *Scheduler) handleTimer(t TimerFired) {
	switch {
	case t.Token == tokenReview:
		h.reviewPending = false
	case t.Token == tokenWatch && !h.watchHeard && h.now >= h.watchReopenAt:
		h.openWatch()
	}
}

// openWatch asks for the standing watch, and again if nothing at all is heard of it for half the time in
// which a host must have asked: answers of the list service may get lost too.
func (h *Scheduler) openWatch() {
	h.watchHeard = false
	h.emit(WatchEndpoints{On: true})
	h.scheduleWatch(max(h.settings.PollTimeout/2, 2*h.watchDelay))
}

func (h *Scheduler) scheduleWatch(d time.Duration) {
	h.watchReopenAt = h.now + d
	h.emit(SetTimer{Token: tokenWatch, After: d})
}

// ---- The list of nodes ----

// members follows the list. A failed call does not tell whether a watch still stands, so it is opened
// again, at a random moment so that the hosts of a whole site do not ask in step.
func (h *Scheduler) applyEndpointUpdate(m EndpointUpdate) {
	if m.Kind == UpdateFailed {
		if h.settings.PollEndpoints && (h.watchHeard || h.watchReopenAt > h.now+2*h.watchDelay) {
			wait := h.watchDelay + time.Duration(h.random.Int64N(int64(h.watchDelay)))
			if h.watchHeard { // one that stood and broke is mostly back at once; its first call may fail too
				h.watchSpeedup = 8
			}
			wait, h.watchSpeedup, h.watchHeard = wait/max(1, h.watchSpeedup), h.watchSpeedup/2, false
			h.scheduleWatch(wait)
		}
		return
	}
	h.watchHeard = h.watchHeard || m.Kind != UpdateCached
	if m.Kind != UpdateDelta {
		listed := map[Server]bool{}
		for _, e := range m.Endpoints {
			listed[e.Server] = true
		}
		for id, n := range h.nodes {
			if !listed[id] {
				n.Status = Gone
				h.markRemoved(n)
			}
		}
	}
	for _, e := range m.Endpoints {
		h.applyEndpoint(e)
	}
	h.assignNodes()
	h.forgetRemovedNodes()
}

// depart notes when a node was first seen gone.
func (h *Scheduler) markRemoved(n *node) {
	if n.removedAt == 0 {
		n.removedAt = h.now
		h.removals = append(h.removals, removal{n, h.now})
	}
}

// forgetNodes drops nodes that have been gone for very long, so that they do not pile up over months. One
// that is listed again sooner is remembered as it was.
func (h *Scheduler) forgetRemovedNodes() {
	for len(h.removals) > 0 && h.now-h.removals[0].at >= removedNodeRetention {
		d := h.removals[0]
		if d.node.removedAt == d.at {
			if len(d.node.inFlight) > 0 {
				return
			}
			delete(h.nodes, d.node.Server)
		}
		h.removals = h.removals[1:]
	}
}

// enter notes one entry. A fresh boot time means that the process restarted: what was learned of it is void.
func (h *Scheduler) applyEndpoint(e Endpoint) {
	n := h.nodes[e.Server]
	if n == nil {
		n = &node{}
		h.nodes[e.Server] = n
	}
	if n.depth == 0 || e.StartedAt > n.StartedAt {
		n.failures, n.retryAt, n.depth, n.latency, n.deviation = 0, 0, min(
			initialDepth,
			h.instanceShare(fleetSlots),
		),
			h.targetLatency()/2, h.targetLatency()/4
		n.consecutiveResets, n.errorRate = 0, 0
	}
	n.Endpoint = e
	if e.Status == Gone {
		h.markRemoved(n)
	} else {
		n.removedAt = 0
	}
	h.shardFor(int(e.Cell))
}

// assignNodes points each shard at the ready node that holds it; of two, at the one that started last.
func (h *Scheduler) assignNodes() {
	ready := make([]*node, 0, len(h.nodes))
	for _, n := range h.nodes {
		if n.Status == Ready {
			ready = append(ready, n)
		}
	}
	slices.SortFunc(ready, func(a, b *node) int {
		return cmp.Or(cmp.Compare(a.StartedAt, b.StartedAt), a.Server.Compare(b.Server))
	})
	for _, s := range h.shards {
		s.node = nil
	}
	for _, n := range ready {
		h.shardFor(int(n.Cell)).node = n
	}
}

func compareCells(a, b *shard) int { return cmp.Compare(a.cell, b.cell) }

func (h *Scheduler) shardFor(cell int) *shard {
	i, ok := slices.BinarySearchFunc(h.shards, &shard{cell: cell}, compareCells)
	if !ok {
		h.shards = slices.Insert(h.shards, i, &shard{cell: cell})
	}
	return h.shards[i]
}

// ---- Taking requests ----

func (h *Scheduler) admit(q Request) {
	if h.settings.RetryBudget && !q.Continuation {
		h.admissions.push(h.now)
		h.admissions.dropWhile(h.isOutsideRetryWindow)
	}
	if q.Class >= len(h.classes) || q.ExpiresAt <= h.now+timingMargin || (q.Cell < 0 && len(h.shards) == 0) {
		h.emit(Reject{ID: q.ID})
		return
	}
	c := h.classes[q.Class]
	c.longestWait = max(c.longestWait, q.ExpiresAt-h.now)
	r := &request{Request: q, class: c, volume: h.volumeFor(q), objectiveAt: q.ExpiresAt}
	if c.LatencyObjective > 0 {
		// a client's retry has less time left than a first try
		r.objectiveAt = q.ExpiresAt - c.longestWait + c.LatencyObjective
		if q.ExpiresAt-h.now < c.LatencyObjective || (h.settings.RetriesMarked && !q.Retry) {
			// A first try with little time left is a client of short patience: what the request tells counts.
			// A retry that came back as late as that earns little either way.
			r.objectiveAt = h.now + c.LatencyObjective
		}
	}
	// A host that has seen nothing but retries yet knows too short a span: never hold beyond the client's
	// wait.
	r.objectiveAt = min(r.objectiveAt, q.ExpiresAt-timingMargin)
	r.Units = max(q.Units, 1)
	r.slotCost = c.slotCost(r.Units)
	c.count++
	c.meanUnits += (r.Units - c.meanUnits) / c.count
	r.volume.openRequests++
	h.requests[q.ID] = r
	if c.OrderedByKey && q.Key != 0 {
		k := h.keys[q.Key]
		if k == nil {
			k = &keyQueue{}
			h.keys[q.Key] = k
		}
		k.requests = append(k.requests, r)
	}
	if q.Cell < 0 {
		r.shard = h.placeNewObject(r)
	} else {
		r.shard = h.shardFor(q.Cell)
	}
	h.assignTags(r)
	h.enqueue(r)
	h.forgetIdleVolumes()
}

// slots is the design's slot cost: 1 up to the running mean of the class's sizes, the ratio above it.
func (c *class) slotCost(units float64) float64 {
	if c.count > 0 && units > c.meanUnits {
		return min(maxSlotCost, math.Ceil(units/c.meanUnits))
	}
	return 1
}

// volumeOf finds a volume. Its limit's store starts empty: a host that was killed may have spent it before,
// and units that other hosts count on must not come twice.
func (h *Scheduler) volumeFor(q Request) *volume {
	v := h.volumesByID[q.Volume]
	if v == nil {
		v = &volume{id: q.Volume, finishTags: map[*shard]float64{}, limit: tokenBucket{filledAt: h.startedAt},
			reserve: tokenBucket{filledAt: h.now}}
		if q.Plan < len(h.settings.Plans) {
			v.plan = h.settings.Plans[q.Plan]
		}
		if v.plan.Weight <= 0 {
			v.plan.Weight = 1
		}
		v.reserve.level = v.reserveCapacity(h.settings.MaxUnits)
		h.volumesByID[q.Volume] = v
		h.volumes = append(h.volumes, v)
	}
	v.instances = max(1, float64(q.VolumeInstances), v.instances)
	return v
}

// forgetVolumes looks at a few volumes in turn and drops those of which no more is known than of a new one,
// so that volumes seen once do not pile up. Where each comes once, no virtual time ever passes their tags:
// over mostVolumes idle ones are dropped all the same, and one that comes again soon may lead by what it had.
func (h *Scheduler) forgetIdleVolumes() {
	for range min(volumesPerSweep, len(h.volumes)) {
		if h.sweepIndex >= len(h.volumes) {
			h.sweepIndex = 0
		}
		v := h.volumes[h.sweepIndex]
		if !h.isForgettable(v) {
			h.sweepIndex++
			continue
		}
		last := len(h.volumes) - 1
		h.volumes[h.sweepIndex], h.volumes[last] = h.volumes[last], nil
		h.volumes = h.volumes[:last]
		delete(h.volumesByID, v.id)
	}
}

func (h *Scheduler) isForgettable(v *volume) bool {
	if v.openRequests > 0 {
		return false
	}
	limit, most := v.plan.Limit/v.instances, v.plan.Burst/v.instances
	if v.plan.Limit > 0 &&
		!(v.limit.isFullAt(h.now, limit, most) && tokenBucket{filledAt: h.startedAt}.isFullAt(h.now, limit,
			most)) {
		return false
	}
	if !v.reserve.isFullAt(h.now, v.plan.Reserve, v.reserveCapacity(h.settings.MaxUnits)) {
		return false
	}
	if len(h.volumes) > maxVolumes {
		return true
	}
	for s, finish := range v.finishTags {
		if finish > s.virtualTime {
			return false
		}
	}
	return true
}

func (v *volume) reserveCapacity(most float64) float64 {
	if v.plan.Reserve <= 0 {
		return 0
	}
	return v.plan.Reserve + most
}

// cover takes units from a volume's reserve and returns how many it held.
func (h *Scheduler) takeReserve(v *volume, units float64) float64 {
	most := v.reserveCapacity(h.settings.MaxUnits)
	v.reserve.refill(h.now, v.plan.Reserve, most)
	got := min(units, max(0, v.reserve.level))
	v.reserve.level -= got
	return got
}

// tag gives a request its start tag and moves its volume's finish tag on. Units inside the reserve do not
// move it, and a request that lies wholly inside starts at the virtual time: the reserve comes first, the
// share next.
func (h *Scheduler) assignTags(r *request) {
	s := r.shard
	r.reservedUnits = h.takeReserve(r.volume, r.Units)
	r.tagAdvance = (r.Units - r.reservedUnits) / r.volume.plan.Weight
	r.startTag = s.virtualTime
	if r.tagAdvance > 0 {
		r.startTag = max(s.virtualTime, r.volume.finishTags[s])
		r.volume.finishTags[s] = r.startTag + r.tagAdvance
	}
	h.sequence++
	r.sequence = h.sequence
}

// untag gives back what a request that was never served took: its volume's place and reserve.
func (h *Scheduler) refundTags(r *request) {
	r.volume.finishTags[r.shard] -= r.tagAdvance
	r.volume.reserve.level += r.reservedUnits
	r.tagAdvance, r.reservedUnits = 0, 0
}

// byTag orders by start tag; at equal tags the reserve goes first, then age decides.
func compareTags(a, b *request) int {
	return cmp.Or(
		cmp.Compare(a.startTag, b.startTag),
		cmp.Compare(a.beyondReserve(), b.beyondReserve()),
		cmp.Compare(a.sequence,
			b.sequence),
	)
}

// beyond is 0 for a request that lies wholly inside its volume's reserve, else 1.
func (r *request) beyondReserve() int {
	if r.tagAdvance > 0 {
		return 1
	}
	return 0
}

func (h *Scheduler) enqueue(r *request) {
	s := r.shard
	i, _ := slices.BinarySearchFunc(s.queue, r, compareTags)
	s.queue = slices.Insert(s.queue, i, r)
	if len(s.queue) == 1 {
		at, _ := slices.BinarySearchFunc(h.backlogged, s, compareCells)
		h.backlogged = slices.Insert(h.backlogged, at, s)
	}
	s.queuedUnits += r.Units
	r.queued = true
}

func (h *Scheduler) dequeue(r *request) {
	if !r.queued {
		return
	}
	s := r.shard
	if i := slices.Index(s.queue, r); i >= 0 {
		s.queue = slices.Delete(s.queue, i, i+1)
	}
	if len(s.queue) == 0 {
		at, _ := slices.BinarySearchFunc(h.backlogged, s, compareCells)
		h.backlogged = slices.Delete(h.backlogged, at, at+1)
	}
	s.queuedUnits -= r.Units
	r.queued = false
}

// place picks the shard for a new object: the least work at hand, in requests, times what the node takes for
// one. A node that fails most requests fast looks quick and idle, so errors count as wait. Where hosts are
// many, those that start would all take the first of nodes that look alike: chance tells the unknown apart.
func (h *Scheduler) placeNewObject(r *request) *shard {
	var best *shard
	least := math.Inf(1)
	for _, s := range h.shards {
		wait := math.MaxFloat64
		if n := s.node; n != nil && n.failures == 0 && h.slowStartAllows(n, r.Units) {
			if wait = h.expectedLatency(n, r).Seconds(); len(
				n.inFlight,
			) > 0 { // a stuck node shows it here first
				wait = max(wait, (h.now - n.inFlight[0].sentAt).Seconds())
			}
			wait *= 1 + n.slotsUsed + s.queuedUnits/max(h.settings.MeanUnits, 1)
			if wait /= math.Pow(1-n.errorRate, errorExponent); n.lastAnswerAt == 0 {
				wait *= 0.5 + h.random.Float64()
			}
		}
		if wait < least {
			best, least = s, wait
		}
	}
	return best
}

// ---- The ordinary path ----

// dispatch lets requests leave in tag order while they fit the node's depth. When the first that may go does
// not fit, smaller ones may, until what was promoted past it costs as much as it does. A new object is due at
// no one node, so all keep its pace: where few nodes are left, those of all hosts would starve reads there.
func (h *Scheduler) dispatch(s *shard) {
	n := s.node
	var head *request
	h.releaseLostSlots(n)
	for i := 0; i < len(s.queue) && n != nil && h.isUsable(n); {
		r := s.queue[i]
		if !h.mayDispatch(r, n, nil) {
			i++
			continue
		}
		if h.now >= r.objectiveAt || h.now+h.expectedLatency(n, r) > r.ExpiresAt {
			h.finishUnserved(r, 0) // no slots for what is late already or the client will not wait for
			continue
		}
		if bound := h.slotLimit(s, r); (n.slotsUsed > 0 && n.slotsUsed+r.slotCost > bound) ||
			((r.startTag > s.virtualTime || r.Cell < 0) && h.isPaced(n, bound)) ||
			len(n.inFlight) >= maxDepth {
			n.depthReached = true
			if head == nil {
				head = r
			}
			i++
			continue
		}
		if head != nil && head.backfilledCost+r.slotCost > head.slotCost {
			return
		}
		if !h.slowStartAllows(n, r.Units) {
			i++
			continue
		}
		if head != nil {
			head.backfilledCost += r.slotCost
		}
		h.dequeue(r)
		h.send(r, n, nil)
		if h.batcher != nil && r.attempts == 1 {
			h.mergeOperation(r, n)
			i, _ = slices.BinarySearchFunc(s.queue, r, compareTags)
		}
		if head != nil && !head.queued {
			head = nil
		}
	}
}

// accompany lets held requests leave as members of an operation just sent. A member keeps its tag, plan,
// limit, patience and turn of its key. It joins in tag order, or ahead of it by no more than its volume's
// largest request. The operation costs the slots of its size, even beyond the depth, which then holds the
// next sends back. It ends no later for a member than alone, within the mean deviation.
func (h *Scheduler) mergeOperation(lead *request, n *node) {
	s, slots := lead.shard, lead.slotCost
	h.batcher.Propose(lead.ID, func(id uint32, units float64) bool {
		r := h.requests[id]
		if r == nil || !r.queued || r.attempts > 0 || r.shard != s || r.class != lead.class {
			return false
		}
		cost, takes := lead.class.slotCost(units), h.recentLatency(n)+h.sizeCorrection(lead.class, units)
		if (r != s.queue[0] &&
			(r.startTag+r.tagAdvance-s.virtualTime)*r.volume.plan.Weight > h.settings.MaxUnits) ||
			h.now+takes > min(r.objectiveAt, lead.objectiveAt) ||
			!h.slowStartAllows(n, r.Units) ||
			takes > min(h.expectedLatency(n, lead), h.expectedLatency(n, r))+n.deviation ||
			!h.mayDispatch(r, n, lead) {
			return false
		}
		if r == s.queue[0] {
			s.virtualTime = max(s.virtualTime, r.startTag)
		}
		n.slotsUsed += cost - slots
		slots, lead.operationUnits = cost, units
		h.dequeue(r)
		h.send(r, n, lead)
		return true
	})
	lead.slotCost = slots
}

// bound is how many slots may be out at the shard's node when a request joins them: the depth, but of many
// hosts only a part of what all may have there, which falls steeply once the node's latency is over slowFrom
// of the shortest aim. Of many hosts most are idle at a node at any moment, so it starts high; a jam of all
// of them must still end. What the work itself takes counts for all alike; the wait beyond it counts more for
// what earns less, else the patient and cheap fill a slow node and the dear with short aims die there first.
// A request that starts no later than the virtual time gets more, as its volume has had no more than its
// share here and a surge through other hosts fills the node as well; the extra shrinks to none with latency.
func (h *Scheduler) slotLimit(s *shard, r *request) float64 {
	if h.shortestObjective <= 0 {
		return s.node.depth
	}
	takes := h.recentLatency(s.node)
	wait := max(0, takes-h.runningMedian)
	spent := ((takes - wait).Seconds() + wait.Seconds()/h.relativeWeight(r)) / h.shortestObjective.Seconds()
	depth := min(
		s.node.depth,
		h.instanceShare(max(1, fleetSlots/math.Pow(max(1, spent/congestionThreshold), congestionExponent))),
	)
	if r.startTag > s.virtualTime {
		return depth
	}
	return depth + extraSlots*max(0, 1-spent/extraSlotsThreshold)
}

// earns is what a unit of the request earns against the dearest, with its class's worth squared: the cheap
// class is mostly the patient one, which gets in whenever a jam eases. Worths that are not told count alike.
func (h *Scheduler) relativeWeight(r *request) float64 {
	part := r.reservedUnits / r.Units
	class := cmp.Or(r.class.PriorityWeight, 1) / cmp.Or(h.maxClassWeight, 1)
	plan := cmp.Or(r.volume.plan.PriorityWeight, 1) / cmp.Or(h.maxPlanWeight, 1)
	return class * class * plan * math.Sqrt(part+(1-part)*cmp.Or(h.settings.ShareWeight, 1))
}

// usable tells whether a node may be sent to: listed as ready, and after failures one request at a time.
func (h *Scheduler) isUsable(n *node) bool {
	return n.Status == Ready && (n.failures == 0 || (n.slotsUsed == 0 && h.now >= n.retryAt))
}

// paced tells whether a bound under one slot holds the next send back: the last send's slot then counts for
// longer than its attempt is out.
func (h *Scheduler) isPaced(n *node, bound float64) bool {
	return bound < 1 && n.hasSent && h.now-n.lastSentAt < seconds(n.latency.Seconds()/bound)
}

// patience is how long an attempt may be out before it is taken for lost or stuck.
func (n *node) lossTimeout() time.Duration { return n.latency + lossDeviations*n.deviation }

// unpin takes the slots back from attempts that are out for far longer than the node's answers take: answers
// that get lost and requests that hang would hold theirs until the client's wait is over, and a few stop a
// node's queue. At a node that hangs it lets a request through now and then, as a trial.
func (h *Scheduler) releaseLostSlots(n *node) {
	if n == nil {
		return
	}
	for _, r := range n.inFlight {
		if !r.slotsReleased && h.now-r.sentAt > n.lossTimeout() {
			r.slotsReleased = true
			n.slotsUsed -= r.slotCost
		}
	}
}

// mayGo holds the guards that concern one request: its key's turn, its class's repeats, its plan's limit. A
// member of an operation may follow those of its key that are members too, unless each could run again later.
func (h *Scheduler) mayDispatch(r *request, n *node, lead *request) bool {
	if r.class.OrderedByKey && r.Key != 0 {
		k, at := h.keys[r.Key], 0
		for lead != nil && r.class.Idempotency != Idempotent && at < len(k.requests) &&
			k.requests[at].isMemberOf(lead) {
			at++
		}
		if at == len(k.requests) || k.requests[at] != r || (r.attempts == 0 && h.now < k.blockedUntil) {
			return false
		}
	}
	if r.attempts > 0 && !h.mayRetry(r, n) {
		return false
	}
	return r.quotaCharged || r.volume.plan.Limit <= 0 || h.quotaRemaining(r.volume) >= r.Units
}

// limitLeft is this host's even part of what the volume's limit allows now.
func (h *Scheduler) quotaRemaining(v *volume) float64 {
	v.limit.refill(h.now, v.plan.Limit/v.instances, v.plan.Burst/v.instances)
	return v.limit.level
}

// mayRepeat guards against a second effect, and keeps the budget of further attempts.
func (h *Scheduler) mayRetry(r *request, n *node) bool {
	if r.attempts >= h.settings.MaxAttempts || !h.hasRetryBudget() {
		return false
	}
	if r.mayHaveRunOn == nil || r.class.Idempotency == Idempotent {
		return true
	}
	if r.class.Idempotency == NotIdempotent || h.now+timingMargin >= r.mayHaveRunSince+r.class.DedupWindow {
		return false
	}
	return r.class.DedupScope == DedupAll ||
		(r.class.DedupScope == DedupZone && n.Zone == r.mayHaveRunOn.Zone) ||
		(r.class.DedupScope == DedupCell && n.Cell == r.mayHaveRunOn.Cell)
}

// budgetLeft tells whether one more attempt beyond a request's first stays within the stated budget.
func (h *Scheduler) hasRetryBudget() bool {
	if !h.settings.RetryBudget {
		return true
	}
	h.retries.dropWhile(func(at time.Duration) bool { return at < h.now-h.settings.RetryBudgetWindow })
	h.admissions.dropWhile(h.isOutsideRetryWindow)
	return float64(
		len(h.retries.values())+1,
	) <= h.settings.RetryBudgetFloor+h.settings.RetryBudgetRatio*float64(
		len(h.admissions.values()),
	)
}

// outsideBudget tells whether a request was taken too long ago to count.
func (h *Scheduler) isOutsideRetryWindow(at time.Duration) bool {
	return at <= h.now-h.settings.RetryBudgetWindow
}

// bears tells whether a node may be sent so many units more now. A cold one bears a stated figure in any
// window over all hosts; this host uses its even part. Where that is less than the least request, hosts take
// turns of a window each, so many at a time that one fits: a window meets two turns at most, which share the
// figure. All hosts at once stay within it, at the price that many refuse most of a cold shard's requests.
func (h *Scheduler) slowStartAllows(n *node, units float64) bool {
	age, window := h.now-n.StartedAt, max(h.settings.OverloadWindow, 1)
	if n.StartedAt == 0 || h.settings.SlowStartPeriod == 0 || age >= h.settings.SlowStartPeriod+window {
		return true
	}
	if n.StartedAt < h.startedAt && h.now-h.startedAt < window {
		return false // a host just restarted does not know what it sent before: assume all
	}
	usual := max(h.settings.MeanUnits, 1)
	if h.instanceShare(h.settings.ColdCapacity) >= 1 {
		return h.fitsOverloadWindow(n, units, h.instanceShare(h.slowStartCapacity(age-window)))
	}
	turn, hosts := age/window, float64(max(h.settings.Instances, 1))
	half := h.slowStartCapacity((turn-1)*window) / 2
	turns := math.Ceil(hosts / max(1, math.Floor(half/usual)))
	mine := math.Mod(float64(turn)+float64(h.settings.InstanceIndex), turns) == 0
	return mine && h.fitsOverloadWindow(n, units, half/math.Ceil(hosts/turns))
}

// fits tells whether units more stay within most in a window. Only where the running sum is too near to most
// to tell are the sends added up one by one, so that the answer does not hang on rounding.
func (h *Scheduler) fitsOverloadWindow(n *node, units, most float64) bool {
	h.dropOldSends(n, max(h.settings.OverloadWindow, 1))
	sent := units + n.unitsSent
	if math.Abs(sent-most) > sumTolerance*(1+most) {
		return sent < most
	}
	sent = units
	for _, m := range n.sends.values() {
		sent += m.units
	}
	return sent <= most
}

// forgetSent drops what was sent before the window. The record of sends is kept for warm nodes too, since a
// node that restarts is cold at once; it must cost the same however many there are.
func (h *Scheduler) dropOldSends(n *node, window time.Duration) {
	n.sends.dropWhile(func(m sendRecord) bool {
		if m.at >= h.now-window {
			return false
		}
		n.unitsSent -= m.units
		return true
	})
	if len(n.sends.values()) == 0 {
		n.unitsSent = 0
	}
}

// coldUnits is what a node bears in a window that begins so long after its start: more as it is sure to warm.
func (h *Scheduler) slowStartCapacity(since time.Duration) float64 {
	if since <= 0 || h.settings.ColdFraction <= 0 {
		return h.settings.ColdCapacity
	}
	return h.settings.ColdCapacity * (1 +
		(1/h.settings.ColdFraction-1)*since.Seconds()/h.settings.SlowStartPeriod.Seconds())
}

// relieve counts what a node has served by the multiple that the rule allows less: what it keeps up with
// does not push it over, while what it does not answer counts in full.
func (h *Scheduler) creditServed(n *node, r *request) {
	for _, ref := range r.sends {
		if ref.node != n || h.settings.OverloadFactor <= 1 {
			continue // marks are counted by node: another's number means nothing here
		}
		if m := n.sends.at(ref.index); m != nil {
			n.unitsSent -= m.units - m.units/h.settings.OverloadFactor
			m.units /= h.settings.OverloadFactor
		}
	}
}

// of tells whether a request is out as a member of an operation.
func (r *request) isMemberOf(lead *request) bool {
	return r.node != nil && (r == lead || r.leader == lead)
}

// send starts an attempt. The virtual time moves to the start tag of what leaves. A member of an operation
// has no slots of its own.
func (h *Scheduler) send(r *request, n *node, lead *request) {
	if h.settings.RetryBudget && r.attempts > 0 {
		h.retries.push(h.now)
	}
	if !r.quotaCharged {
		r.quotaCharged = true
		r.volume.limit.level -= r.Units
	}
	r.attempts++
	h.inFlight++
	r.node, r.sentAt, r.slotsReleased, r.leader, r.operationUnits = n, h.now, lead != nil, lead, r.Units
	act := Send{ID: r.ID, Server: n.Server, Timeout: h.attemptTimeout(r)}
	if r.mayHaveRunOn != nil && r.class.Idempotency == IdempotentByKey {
		// however late its connection comes up
		act.StartBefore = r.mayHaveRunSince + r.class.DedupWindow - timingMargin
	}
	if lead == nil {
		r.shard.virtualTime = max(r.shard.virtualTime, r.startTag)
		n.inFlight = append(n.inFlight, r)
		n.slotsUsed += r.slotCost
	} else {
		act.Leader = lead.ID
	}
	n.lastSentAt, n.hasSent = h.now, true
	h.dropOldSends(n, h.settings.OverloadWindow)
	r.sends = append(r.sends, sendRef{n, n.sends.trimmed + len(n.sends.items)})
	n.sends.push(sendRecord{h.now, r.Units})
	n.unitsSent += r.Units
	h.emit(act)
}

// allow is how long an attempt may take: where a repeat is safe, until the aim, since an answer after that
// earns little, while a node that holds what nobody waits for gets slower by it, and may never come out of
// that. Others are hoped for as long as the client waits (0), as their end would stay unsure.
func (h *Scheduler) attemptTimeout(r *request) time.Duration {
	if r.class.Idempotency != Idempotent || r.objectiveAt <= h.now {
		return 0
	}
	return r.objectiveAt - h.now
}

// ---- What cannot be served in time ----

// triage looks through what is held and gives up at once on what would miss its aim even if it left now: it
// would only take slots from requests that can still be in time.
func (h *Scheduler) shedLate(s *shard) {
	n := s.node
	for _, r := range slices.Clone(s.queue) {
		wait := time.Duration(0)
		if n != nil {
			wait = h.expectedLatency(n, r)
		}
		if h.now+wait > r.objectiveAt || (r.attempts > 0 && n != nil && !h.mayRetry(r, n)) {
			h.dequeue(r)
			h.finishUnserved(r, wait)
		}
	}
}

// Harmless tells whether a request that has run may run again anywhere: a refusal then stays true.
func (c Class) RetrySafe() bool {
	return c.Idempotency == Idempotent || (c.Idempotency == IdempotentByKey && c.DedupScope == DedupAll)
}

// giveUp ends a request: by a refusal where that is true, else by a failure.
func (h *Scheduler) finishUnserved(r *request, backoff time.Duration) {
	if r.mayHaveRunOn == nil || r.class.RetrySafe() {
		if !h.settings.RetryAfter {
			backoff = 0
		}
		h.emit(Reject{ID: r.ID, RetryAfter: min(backoff, h.settings.MaxRetryAfter)})
	} else {
		h.emit(Fail{ID: r.ID})
	}
	h.finish(r)
}

// end closes a request that has its answer. While an attempt is out it stays known, and keeps its key's turn.
func (h *Scheduler) finish(r *request) {
	h.dequeue(r)
	if r.attempts == 0 {
		h.refundTags(r)
	}
	r.answered = true
	if r.node != nil {
		return
	}
	delete(h.requests, r.ID)
	r.volume.openRequests--
	k := h.keys[r.Key]
	if !r.class.OrderedByKey || r.Key == 0 || k == nil {
		return
	}
	k.requests = slices.DeleteFunc(k.requests, func(o *request) bool { return o == r })
	if r.uncertainAt > 0 {
		k.blockedUntil = max(k.blockedUntil, r.uncertainAt+h.settings.OrderingPause)
	}
	if len(k.requests) == 0 {
		h.restingKeys = append(h.restingKeys, r.Key)
	}
	h.forgetRestedKeys()
}

// forgetKeys drops the chains that are empty and have rested, so that keys seen once do not pile up.
func (h *Scheduler) forgetRestedKeys() {
	for len(h.restingKeys) > 0 {
		key := h.restingKeys[0]
		if k := h.keys[key]; k != nil && len(k.requests) == 0 {
			if k.blockedUntil > h.now {
				return
			}
			delete(h.keys, key)
		}
		h.restingKeys = h.restingKeys[1:]
	}
}

// ---- Outcomes ----

func (h *Scheduler) handleResult(o AttemptResult) {
	r := h.requests[o.ID]
	if r == nil || r.node == nil || o.Attempt != r.attempts-1 {
		return
	}
	n := r.node
	r.node = nil
	h.inFlight--
	if !r.slotsReleased {
		n.slotsUsed -= r.slotCost
	}
	n.inFlight = slices.DeleteFunc(n.inFlight, func(q *request) bool { return q == r })
	if o.Code == OK {
		h.creditServed(n, r)
	}
	h.learnFromResult(n, r, o)
	h.recordEffects(r, n, o)
	if r.answered || o.RequestDone {
		h.finish(r)
		return
	}
	again := o.Code != OK && o.Code != NotApplicable && o.Code != Cancelled && h.now < r.objectiveAt &&
		(r.mayHaveRunOn == nil || r.class.Idempotency != NotIdempotent) && r.attempts < h.settings.MaxAttempts
	if !again {
		h.finishUnserved(r, h.expectedLatency(n, r))
		return
	}
	if r.Cell < 0 && (r.mayHaveRunOn == nil || r.class.Idempotency == Idempotent) {
		r.shard = h.placeNewObject(r)
	}
	h.enqueue(r)
}

// MayHaveRun tells whether an attempt that ended so may have taken effect.
func (c ResultCode) MayHaveRun() bool {
	return c != Overloaded && c != ConnectFailed && c != NotApplicable
}

// settle notes what an outcome says of the request and its volume.
func (h *Scheduler) recordEffects(r *request, n *node, o AttemptResult) {
	if o.Code.MayHaveRun() && r.mayHaveRunOn == nil {
		r.mayHaveRunOn, r.mayHaveRunSince = n, r.sentAt
	}
	if o.Code == TimedOut || o.Code == Reset || o.Code == Cancelled {
		r.uncertainAt = h.now
	}
	if o.ElsewhereUnits > 0 {
		h.chargeElsewhere(r, o.ElsewhereUnits)
	}
}

// elsewhere counts what other hosts sent for a volume as if it had been sent here, so that tags and the
// reserve follow the volume's total service (as DSFQ does).
func (h *Scheduler) chargeElsewhere(r *request, units float64) {
	beyond := units - h.takeReserve(r.volume, units)
	s := r.shard
	r.volume.finishTags[s] = max(s.virtualTime, r.volume.finishTags[s]) + beyond/r.volume.plan.Weight
}

// judge learns from an outcome how the node is doing. A time-out speaks of the node only if nothing that
// the node answered is newer: else that one attempt got lost, or the client's wait was short. Nodes that do
// their work may lose a part of the answers: one broken answer is no failure, two in a row are. Of times when
// this host stood still itself only that the node answered counts.
func (h *Scheduler) learnFromResult(n *node, r *request, o AttemptResult) {
	lost := o.Code == TimedOut && !h.stalled && n.lastAnswerAt <= r.sentAt &&
		o.Latency > min(n.latency, h.shortestObjective/2)
	silent := lost && o.Latency > min(n.lossTimeout(), h.shortestObjective/2)
	switch {
	case o.Code == OK || o.Code == Error:
		n.failures, n.consecutiveResets, n.lastAnswerAt = 0, 0, h.now
		if n.errorRate *= 1 - latencyGain; o.Code == Error {
			n.errorRate += latencyGain
		}
	case r.leader != nil: // an operation fails once, with its lead
	case o.Code == Reset && n.consecutiveResets == 0:
		n.consecutiveResets++
	case o.Code == ConnectFailed || o.Code == Reset || o.Code == Overloaded || silent:
		n.failures++
		n.retryAt = h.now + h.backoff(n)
	}
	if r.leader != nil || (!lost && (o.Code != OK || h.stalled)) {
		return // an operation is learnt from once, by its lead
	}
	if lost { // it would have taken longer, by about the mean
		if n.failures <= 1 { // nodes that are cut off must not speak for all
			h.observeLatency(min(o.Latency, 2*h.recentMean))
		}
		n.latency += time.Duration(lossGain * float64(o.Latency))
	} else {
		took := o.Latency - h.sizeCorrection(r.class, r.operationUnits)
		r.class.latency.add(r.operationUnits, o.Latency.Seconds())
		h.allClasses.add(r.operationUnits, o.Latency.Seconds())
		h.observeLatency(took)
		off := took - n.latency
		n.latency += time.Duration(latencyGain * float64(off))
		n.deviation += time.Duration(latencyGain * float64(max(off, -off)-n.deviation))
	}
	n.latencyUpdatedAt = h.now
	h.adaptDepth(n)
}

// follow notes how long the usual request takes at nodes now: the running median stands for the work itself,
// as nodes pause and jam less than half of the time, and the mean of the last few attempts for the fleet.
func (h *Scheduler) observeLatency(took time.Duration) {
	step := medianStep * max(h.runningMedian.Seconds(), h.allClasses.meanTime)
	h.runningMedian = max(0, h.runningMedian+seconds(math.Copysign(step, float64(took-h.runningMedian))))
	h.recentMean += time.Duration(
		float64(took-h.recentMean) / min(recentMeanWindow, max(recentMeanWindow/2, h.allClasses.count)),
	)
}

// pause is how long a node that fails is left alone: growing fourfold, and not in step with other hosts.
func (h *Scheduler) backoff(n *node) time.Duration {
	d := min(maxBackoff, initialBackoff<<min(2*(n.failures-1), maxBackoffDoublings))
	return d/2 + time.Duration(h.random.Int64N(int64(d)))
}

// target is how long a request may be at its node.
func (h *Scheduler) targetLatency() time.Duration {
	return time.Duration(nodeTimeFraction * float64(h.shortestObjective))
}

// adapt learns the depth at which a request's time at the node meets the target, so that waiting happens
// here, in tag order, and not in the node's own queue. Each host that does so gets a like part of the node.
// It acts always; depth grows only while it holds requests back.
func (h *Scheduler) adaptDepth(n *node) {
	if h.now-n.depthAdaptedAt < max(n.latency, minAdaptPeriod) || n.latency <= 0 || h.shortestObjective <= 0 {
		return
	}
	want := min(n.depth*float64(h.targetLatency())/float64(n.latency), n.depth) + h.instanceShare(depthGain)
	if want < n.depth || n.depthReached {
		n.depth = min(maxDepth, max(h.minDepth(), n.depth+depthStep*(want-n.depth)))
	}
	n.depthReached, n.depthAdaptedAt = false, h.now
}

// leastDepth is what a depth falls to: one request of each host may leave, or where hosts are very many the
// part that each has of allSlots.
func (h *Scheduler) minDepth() float64 { return min(1, h.instanceShare(fleetSlots)) }

// expect is how long a request sent now will take at the node: what it took lately for one of mean size, and
// what this one's size adds.
func (h *Scheduler) expectedLatency(n *node, r *request) time.Duration {
	return max(0, h.recentLatency(n)+h.sizeCorrection(r.class, r.Units))
}

// extra is how much longer than the usual one a request of this class and size takes.
func (h *Scheduler) sizeCorrection(c *class, units float64) time.Duration {
	if h.allClasses.count < regressionMinCount || c.latency.count < regressionMinCount {
		return 0
	}
	return seconds(c.latency.predict(units) - h.allClasses.meanTime)
}

// lately is what the usual request took at the node. What is old of it fades towards that of all nodes: with
// many hosts, each hears of a node but now and then.
func (h *Scheduler) recentLatency(n *node) time.Duration {
	if h.allClasses.count < regressionMinCount {
		return n.latency
	}
	fade := math.Exp2(-(h.now - n.latencyUpdatedAt).Seconds() / latencyHalfLife.Seconds())
	return h.recentMean + time.Duration(float64(n.latency-h.recentMean)*fade)
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
