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
	startDepth   = 8.0  // slots at a node of which nothing is known yet; the design's value
	allSlots     = 128  // all hosts together may have this many out at a node that answers quickly
	slowFrom     = 0.3  // over this part of the shortest aim a latency makes them fewer,
	slowPower    = 4.0  // by this power of it
	mostDepth    = 24.0 // requests out at one node, those taken for lost included
	mostSlots    = 4.0  // a request's slot cost at most; the design's value
	depthGain    = 3.0  // slots that all hosts together gain in a period while their depths hold back
	depthStep    = 0.5  // part of the way to the wanted depth that one period goes
	nodePart     = 0.1  // part of the shortest aim that a request may spend at its node; the rest is waiting
	learnWeight  = 0.25 // weight of a new latency against the running mean,
	lostWeight   = 0.12 // and of the time of an attempt that was lost
	headroom     = 8.0  // slots beyond the depth of one host at an empty node, for volumes not ahead
	headPart     = 0.5  // and none of them once the latency there is this part of the shortest aim
	deviations   = 8    // an attempt this many mean deviations over the mean latency counts as lost
	leastPeriod  = 50 * time.Millisecond
	fitFrom      = 16.0                   // answers before sizes are held to tell anything of times
	fitOver      = 512.0                  // answers over which that is learned
	stallFrom    = 50 * time.Millisecond  // a review that is this late means that the host itself stood still
	reviewEvery  = 5 * time.Millisecond   // held requests are looked at this often while nothing else happens
	watchAgain   = 750 * time.Millisecond // a lost watch is opened again after one to two of these
	downFirst    = 50 * time.Millisecond
	downMost     = time.Second            // a node that fails rests for downFirst at first, at most this
	forgetIn     = 500 * time.Millisecond // half of what an old latency tells of a node is forgotten
	sureMargin   = 10 * time.Millisecond  // two reviews: what must be over by a time is so this much earlier
	tokenReview  = 1
	tokenWatch   = 2
	doublingsMax = 10
	goneKeep     = 10 * time.Minute // a node gone for so long is forgotten
	mostVolumes  = 1 << 16          // over so many, those that are idle keep no finish tag
	sweepStep    = 2                // volumes looked at for each request taken, whether they may be forgotten
	calmStep     = 0.05             // part of itself that the running median moves with an answer
	tideOver     = 16.0             // attempts over which the fleet's present latency is learned
	errorPower   = 3.0              // a new object's wait counts by this power of what is no error
	sumMargin    = 1e-6             // a running sum of units is off by far less than this part
)

// request is one client's try, from its arrival until it has its answer and no attempt of it is out.
type request struct {
	Request
	class    *class
	vol      *volume
	shard    *shard // where it is queued or was sent
	seq      uint64
	lead     *request // of whose operation it is a member; nil: it is alone or leads
	load     float64  // units of the operation that it leads
	start    float64  // start tag
	advance  float64  // what it moved its volume's finish tag on by
	covered  float64  // units that it took from the volume's reserve
	cost     float64  // slots
	passed   float64  // slots promoted past it by backfill
	aimBy    time.Duration
	sentAt   time.Duration
	ranFrom  time.Duration // send of the first attempt that may have run
	ranAt    *node         // and where it went; nil: none has run
	node     *node         // where its attempt is out; nil: none is
	attempts int
	charged  bool // has taken its units from the limit's store
	queued   bool
	ended    bool
	unpinned bool          // its attempt costs no slots any more
	marks    []markRef     // of its sends
	unsure   time.Duration // when an attempt last ended without its work surely being over; 0: never
}

// class adds to a class's settings what this host has seen of it.
type class struct {
	Class
	mean float64 // running mean of sizes in units
	seen float64
	span time.Duration // longest time that a try was given: that of a first try
	fit  fit
}

// fit is a running line through the times at a node against sizes in units.
type fit struct{ n, size, took, square, cross float64 }

func (f *fit) add(size, took float64) {
	f.n = min(f.n+1, fitOver)
	f.size += (size - f.size) / f.n
	f.took += (took - f.took) / f.n
	f.square += (size*size - f.square) / f.n
	f.cross += (size*took - f.cross) / f.n
}

// predict is how long one of this size takes, in seconds.
func (f *fit) predict(size float64) float64 {
	slope, spread := 0.0, f.square-f.size*f.size
	if f.n >= fitFrom && spread > 0 {
		slope = min(max(0, (f.cross-f.size*f.took)/spread), f.took/f.size)
	}
	return f.took + slope*(size-f.size)
}

// store is a bucket of units.
type store struct {
	level float64
	at    time.Duration
}

// fill brings the store up to now.
func (s *store) fill(now time.Duration, rate, most float64) {
	s.level = min(most, s.level+rate*(now-s.at).Seconds())
	s.at = now
}

// full tells whether the store would be full if it were filled now.
func (s store) full(now time.Duration, rate, most float64) bool {
	return s.level+rate*(now-s.at).Seconds() >= most
}

// volume is a flow.
type volume struct {
	plan    Plan
	writers float64
	reserve store
	limit   store
	finish  map[*shard]float64 // last finish tag
	id      uint64
	live    int // requests that are not over
}

// shard is the queue of requests for one cell.
type shard struct {
	cell  int
	node  *node // that holds the cell now; nil: none is listed as ready
	vt    float64
	queue []*request // by start tag, then age
	units float64    // queued
}

// mark is a send that a cold node's budget remembers.
type mark struct {
	at    time.Duration
	units float64
}

// markRef finds a mark again: the node and how many marks it had had before.
type markRef struct {
	node *node
	nth  int
}

// node is a storage node's process as this host sees it.
type node struct {
	Endpoint
	out       []*request // oldest first
	used      float64    // slots that they cost
	depth     float64
	limited   bool // depth held a request back since it was last adapted
	latency   time.Duration
	deviation time.Duration // mean, of latencies
	heardAt   time.Duration // last answer
	learntAt  time.Duration // last change of the latency
	adaptedAt time.Duration
	fails     int     // in a row
	resets    int     // in a row
	errors    float64 // running part of answers that were errors
	retryAt   time.Duration
	sent      line[mark] // of the last FallWindow
	sum       float64    // of its units, but for rounding
	lastSent  time.Duration
	everSent  bool
	goneAt    time.Duration
}

// departure is the moment at which a node was first seen gone.
type departure struct {
	node *node
	at   time.Duration
}

// chain holds the requests of one ordered key, oldest first.
type chain struct {
	list []*request
	rest time.Duration // the next may not be sent before this
}

// Host is one scheduler.
type Scheduler struct {
	set       Settings
	rng       *rand.Rand
	now       time.Duration
	born      time.Duration
	alive     bool
	acts      []Action
	classes   []*class
	reqs      map[uint32]*request
	nodes     map[Server]*node
	shards    []*shard // by cell
	busy      []*shard // those with a queue, by cell
	turn      []*shard // the same, as a batch ends
	vols      map[uint64]*volume
	volumes   []*volume // the same, in the order in which they are looked through
	sweepAt   int
	departed  []departure
	keys      map[uint64]*chain
	resting   []uint64 // keys whose chain became empty, oldest first
	seq       uint64
	leastAim  time.Duration
	mostWorth float64 // of a class
	mostPlan  float64
	tide      time.Duration // what the usual request took lately: mean of the last attempts,
	calm      time.Duration // and running median
	mean      float64       // running mean of sizes over all classes
	usual     fit           // over all classes and nodes
	review    bool          // a timer for the next review is pending
	reviewBy  time.Duration // when it is due
	stalled   bool          // it came far too late: this host had no turn meanwhile
	out       int           // attempts out
	watched   bool          // the list was heard from since the watch was last asked for
	watchAt   time.Duration // when to ask again if it was not
	quick     time.Duration // the next wait before that is this part shorter,
	again     time.Duration // and the usual wait
	taken     line[time.Duration]
	extras    line[time.Duration]
	company   Batcher
}

// New starts a host that knows nothing but its settings.
func New(seed uint64, set Settings) *Scheduler {
	h := &Scheduler{set: set, rng: rand.New(rand.NewPCG(seed, 0)), reqs: map[uint32]*request{},
		nodes: map[Server]*node{}, vols: map[uint64]*volume{}, keys: map[uint64]*chain{},
		again: cmp.Or(min(watchAgain, set.PushGrace/4), watchAgain)}
	for _, c := range set.Classes {
		h.classes = append(h.classes, &class{Class: c})
		h.mostWorth = max(h.mostWorth, c.PriorityWeight)
		if c.LatencyObjective > 0 && (h.leastAim == 0 || c.LatencyObjective < h.leastAim) {
			h.leastAim = c.LatencyObjective
		}
	}
	for _, p := range set.Plans {
		h.mostPlan = max(h.mostPlan, p.PriorityWeight)
	}
	return h
}

// Handle takes one event in.
func (h *Scheduler) Handle(now time.Duration, ev Event) {
	h.begin(now)
	switch ev := ev.(type) {
	case EndpointUpdate:
		h.members(ev)
	case Request:
		h.take(ev)
	case AttemptResult:
		h.outcome(ev)
	case ClientGone:
		if r := h.reqs[ev.ID]; r != nil {
			h.end(r)
		}
	case TimerFired:
		h.timer(ev)
	}
}

// begin sets the clock; at the first event of a host's life it also opens the watch that an asking site
// needs.
func (h *Scheduler) begin(now time.Duration) {
	if now != h.now {
		h.stalled = h.review && now > h.reviewBy+stallFrom
	}
	h.now = now
	if h.alive {
		return
	}
	h.alive, h.born = true, now
	if h.set.PollEndpoints {
		h.openWatch()
	}
}

// Decide lets requests leave, gives up on those that cannot be served in time, and returns all actions
// since the last call.
func (h *Scheduler) Decide(now time.Duration) []Action {
	h.begin(now)
	held := false
	h.turn = append(h.turn[:0], h.busy...)
	for _, s := range h.turn {
		h.dispatch(s)
		h.triage(s)
		held = held || len(s.queue) > 0
	}
	if (held || h.out > 0) && !h.review {
		h.review, h.reviewBy = true, h.now+reviewEvery
		h.act(SetTimer{Token: tokenReview, After: reviewEvery})
	}
	acts := h.acts
	h.acts = nil
	return acts
}

// part is this host's even part of what all hosts together may have.
func (h *Scheduler) part(whole float64) float64 { return whole / float64(max(h.set.Instances, 1)) }

func (h *Scheduler) act(a Action) { h.acts = append(h.acts, a) }

func (h *Scheduler) timer(t TimerFired) {
	switch {
	case t.Token == tokenReview:
		h.review = false
	case t.Token == tokenWatch && !h.watched && h.now >= h.watchAt:
		h.openWatch()
	}
}

// openWatch asks for the standing watch, and again if nothing at all is heard of it for half the time in
// which a host must have asked: answers of the list service may get lost too.
func (h *Scheduler) openWatch() {
	h.watched = false
	h.act(WatchEndpoints{On: true})
	h.watchIn(max(h.set.PollTimeout/2, 2*h.again))
}

func (h *Scheduler) watchIn(d time.Duration) {
	h.watchAt = h.now + d
	h.act(SetTimer{Token: tokenWatch, After: d})
}

// ---- The list of nodes ----

// members follows the list. A failed call does not tell whether a watch still stands, so it is opened
// again, at a random moment so that the hosts of a whole site do not ask in step.
func (h *Scheduler) members(m EndpointUpdate) {
	if m.Kind == UpdateFailed {
		if h.set.PollEndpoints && (h.watched || h.watchAt > h.now+2*h.again) {
			wait := h.again + time.Duration(h.rng.Int64N(int64(h.again)))
			if h.watched { // one that stood and broke is mostly back at once; its first call may fail too
				h.quick = 8
			}
			wait, h.quick, h.watched = wait/max(1, h.quick), h.quick/2, false
			h.watchIn(wait)
		}
		return
	}
	h.watched = h.watched || m.Kind != UpdateCached
	if m.Kind != UpdateDelta {
		listed := map[Server]bool{}
		for _, e := range m.Endpoints {
			listed[e.Server] = true
		}
		for id, n := range h.nodes {
			if !listed[id] {
				n.Status = Gone
				h.depart(n)
			}
		}
	}
	for _, e := range m.Endpoints {
		h.enter(e)
	}
	h.assignNodes()
	h.forgetNodes()
}

// depart notes when a node was first seen gone.
func (h *Scheduler) depart(n *node) {
	if n.goneAt == 0 {
		n.goneAt = h.now
		h.departed = append(h.departed, departure{n, h.now})
	}
}

// forgetNodes drops nodes that have been gone for very long, so that they do not pile up over months. One
// that is listed again sooner is remembered as it was.
func (h *Scheduler) forgetNodes() {
	for len(h.departed) > 0 && h.now-h.departed[0].at >= goneKeep {
		d := h.departed[0]
		if d.node.goneAt == d.at {
			if len(d.node.out) > 0 {
				return
			}
			delete(h.nodes, d.node.Server)
		}
		h.departed = h.departed[1:]
	}
}

// enter notes one entry. A fresh boot time means that the process restarted: what was learned of it is void.
func (h *Scheduler) enter(e Endpoint) {
	n := h.nodes[e.Server]
	if n == nil {
		n = &node{}
		h.nodes[e.Server] = n
	}
	if n.depth == 0 || e.StartedAt > n.StartedAt {
		n.fails, n.retryAt, n.depth, n.latency, n.deviation = 0, 0, min(startDepth, h.part(allSlots)),
			h.target()/2, h.target()/4
		n.resets, n.errors = 0, 0
	}
	n.Endpoint = e
	if e.Status == Gone {
		h.depart(n)
	} else {
		n.goneAt = 0
	}
	h.shardOf(int(e.Cell))
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
		h.shardOf(int(n.Cell)).node = n
	}
}

func byCell(a, b *shard) int { return cmp.Compare(a.cell, b.cell) }

func (h *Scheduler) shardOf(cell int) *shard {
	i, ok := slices.BinarySearchFunc(h.shards, &shard{cell: cell}, byCell)
	if !ok {
		h.shards = slices.Insert(h.shards, i, &shard{cell: cell})
	}
	return h.shards[i]
}

// ---- Taking requests ----

func (h *Scheduler) take(q Request) {
	if h.set.RetryBudget && !q.Continuation {
		h.taken.push(h.now)
		h.taken.drop(h.outsideBudget)
	}
	if q.Class >= len(h.classes) || q.ExpiresAt <= h.now+sureMargin || (q.Cell < 0 && len(h.shards) == 0) {
		h.act(Reject{ID: q.ID})
		return
	}
	c := h.classes[q.Class]
	c.span = max(c.span, q.ExpiresAt-h.now)
	r := &request{Request: q, class: c, vol: h.volumeOf(q), aimBy: q.ExpiresAt}
	if c.LatencyObjective > 0 {
		// a client's retry has less time left than a first try
		r.aimBy = q.ExpiresAt - c.span + c.LatencyObjective
		if q.ExpiresAt-h.now < c.LatencyObjective || (h.set.RetriesMarked && !q.Retry) {
			// A first try with little time left is a client of short patience: what the request tells counts.
			// A retry that came back as late as that earns little either way.
			r.aimBy = h.now + c.LatencyObjective
		}
	}
	// A host that has seen nothing but retries yet knows too short a span: never hold beyond the client's
	// wait.
	r.aimBy = min(r.aimBy, q.ExpiresAt-sureMargin)
	r.Units = max(q.Units, 1)
	r.cost = c.slots(r.Units)
	c.seen++
	c.mean += (r.Units - c.mean) / c.seen
	r.vol.live++
	h.reqs[q.ID] = r
	if c.OrderedByKey && q.Key != 0 {
		k := h.keys[q.Key]
		if k == nil {
			k = &chain{}
			h.keys[q.Key] = k
		}
		k.list = append(k.list, r)
	}
	if q.Cell < 0 {
		r.shard = h.place(r)
	} else {
		r.shard = h.shardOf(q.Cell)
	}
	h.tag(r)
	h.enqueue(r)
	h.forgetVolumes()
}

// slots is the design's slot cost: 1 up to the running mean of the class's sizes, the ratio above it.
func (c *class) slots(units float64) float64 {
	if c.seen > 0 && units > c.mean {
		return min(mostSlots, math.Ceil(units/c.mean))
	}
	return 1
}

// volumeOf finds a volume. Its limit's store starts empty: a host that was killed may have spent it before,
// and units that other hosts count on must not come twice.
func (h *Scheduler) volumeOf(q Request) *volume {
	v := h.vols[q.Volume]
	if v == nil {
		v = &volume{id: q.Volume, finish: map[*shard]float64{}, limit: store{at: h.born},
			reserve: store{at: h.now}}
		if q.Plan < len(h.set.Plans) {
			v.plan = h.set.Plans[q.Plan]
		}
		if v.plan.Weight <= 0 {
			v.plan.Weight = 1
		}
		v.reserve.level = v.reserveMost(h.set.MaxUnits)
		h.vols[q.Volume] = v
		h.volumes = append(h.volumes, v)
	}
	v.writers = max(1, float64(q.VolumeInstances), v.writers)
	return v
}

// forgetVolumes looks at a few volumes in turn and drops those of which no more is known than of a new one,
// so that volumes seen once do not pile up. Where each comes once, no virtual time ever passes their tags:
// over mostVolumes idle ones are dropped all the same, and one that comes again soon may lead by what it had.
func (h *Scheduler) forgetVolumes() {
	for range min(sweepStep, len(h.volumes)) {
		if h.sweepAt >= len(h.volumes) {
			h.sweepAt = 0
		}
		v := h.volumes[h.sweepAt]
		if !h.forgettable(v) {
			h.sweepAt++
			continue
		}
		last := len(h.volumes) - 1
		h.volumes[h.sweepAt], h.volumes[last] = h.volumes[last], nil
		h.volumes = h.volumes[:last]
		delete(h.vols, v.id)
	}
}

func (h *Scheduler) forgettable(v *volume) bool {
	if v.live > 0 {
		return false
	}
	limit, most := v.plan.Limit/v.writers, v.plan.Burst/v.writers
	if v.plan.Limit > 0 && !(v.limit.full(h.now, limit, most) && store{at: h.born}.full(h.now, limit, most)) {
		return false
	}
	if !v.reserve.full(h.now, v.plan.Reserve, v.reserveMost(h.set.MaxUnits)) {
		return false
	}
	if len(h.volumes) > mostVolumes {
		return true
	}
	for s, finish := range v.finish {
		if finish > s.vt {
			return false
		}
	}
	return true
}

func (v *volume) reserveMost(most float64) float64 {
	if v.plan.Reserve <= 0 {
		return 0
	}
	return v.plan.Reserve + most
}

// cover takes units from a volume's reserve and returns how many it held.
func (h *Scheduler) cover(v *volume, units float64) float64 {
	most := v.reserveMost(h.set.MaxUnits)
	v.reserve.fill(h.now, v.plan.Reserve, most)
	got := min(units, max(0, v.reserve.level))
	v.reserve.level -= got
	return got
}

// tag gives a request its start tag and moves its volume's finish tag on. Units inside the reserve do not
// move it, and a request that lies wholly inside starts at the virtual time: the reserve comes first, the
// share next.
func (h *Scheduler) tag(r *request) {
	s := r.shard
	r.covered = h.cover(r.vol, r.Units)
	r.advance = (r.Units - r.covered) / r.vol.plan.Weight
	r.start = s.vt
	if r.advance > 0 {
		r.start = max(s.vt, r.vol.finish[s])
		r.vol.finish[s] = r.start + r.advance
	}
	h.seq++
	r.seq = h.seq
}

// untag gives back what a request that was never served took: its volume's place and reserve.
func (h *Scheduler) untag(r *request) {
	r.vol.finish[r.shard] -= r.advance
	r.vol.reserve.level += r.covered
	r.advance, r.covered = 0, 0
}

// byTag orders by start tag; at equal tags the reserve goes first, then age decides.
func byTag(a, b *request) int {
	return cmp.Or(cmp.Compare(a.start, b.start), cmp.Compare(a.beyond(), b.beyond()), cmp.Compare(a.seq,
		b.seq))
}

// beyond is 0 for a request that lies wholly inside its volume's reserve, else 1.
func (r *request) beyond() int {
	if r.advance > 0 {
		return 1
	}
	return 0
}

func (h *Scheduler) enqueue(r *request) {
	s := r.shard
	i, _ := slices.BinarySearchFunc(s.queue, r, byTag)
	s.queue = slices.Insert(s.queue, i, r)
	if len(s.queue) == 1 {
		at, _ := slices.BinarySearchFunc(h.busy, s, byCell)
		h.busy = slices.Insert(h.busy, at, s)
	}
	s.units += r.Units
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
		at, _ := slices.BinarySearchFunc(h.busy, s, byCell)
		h.busy = slices.Delete(h.busy, at, at+1)
	}
	s.units -= r.Units
	r.queued = false
}

// place picks the shard for a new object: the least work at hand, in requests, times what the node takes for
// one. A node that fails most requests fast looks quick and idle, so errors count as wait. Where hosts are
// many, those that start would all take the first of nodes that look alike: chance tells the unknown apart.
func (h *Scheduler) place(r *request) *shard {
	var best *shard
	least := math.Inf(1)
	for _, s := range h.shards {
		wait := math.MaxFloat64
		if n := s.node; n != nil && n.fails == 0 && h.bears(n, r.Units) {
			if wait = h.expect(n, r).Seconds(); len(n.out) > 0 { // a stuck node shows it here first
				wait = max(wait, (h.now - n.out[0].sentAt).Seconds())
			}
			wait *= 1 + n.used + s.units/max(h.set.MeanUnits, 1)
			if wait /= math.Pow(1-n.errors, errorPower); n.heardAt == 0 {
				wait *= 0.5 + h.rng.Float64()
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
	h.unpin(n)
	for i := 0; i < len(s.queue) && n != nil && h.usable(n); {
		r := s.queue[i]
		if !h.mayGo(r, n, nil) {
			i++
			continue
		}
		if h.now >= r.aimBy || h.now+h.expect(n, r) > r.ExpiresAt {
			h.giveUp(r, 0) // no slots for what is late already or the client will not wait for
			continue
		}
		if bound := h.bound(s, r); (n.used > 0 && n.used+r.cost > bound) ||
			((r.start > s.vt || r.Cell < 0) && h.paced(n, bound)) || len(n.out) >= mostDepth {
			n.limited = true
			if head == nil {
				head = r
			}
			i++
			continue
		}
		if head != nil && head.passed+r.cost > head.cost {
			return
		}
		if !h.bears(n, r.Units) {
			i++
			continue
		}
		if head != nil {
			head.passed += r.cost
		}
		h.dequeue(r)
		h.send(r, n, nil)
		if h.company != nil && r.attempts == 1 {
			h.accompany(r, n)
			i, _ = slices.BinarySearchFunc(s.queue, r, byTag)
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
func (h *Scheduler) accompany(lead *request, n *node) {
	s, slots := lead.shard, lead.cost
	h.company.Propose(lead.ID, func(id uint32, units float64) bool {
		r := h.reqs[id]
		if r == nil || !r.queued || r.attempts > 0 || r.shard != s || r.class != lead.class {
			return false
		}
		cost, takes := lead.class.slots(units), h.lately(n)+h.extra(lead.class, units)
		if (r != s.queue[0] && (r.start+r.advance-s.vt)*r.vol.plan.Weight > h.set.MaxUnits) ||
			h.now+takes > min(r.aimBy, lead.aimBy) || !h.bears(n, r.Units) ||
			takes > min(h.expect(n, lead), h.expect(n, r))+n.deviation || !h.mayGo(r, n, lead) {
			return false
		}
		if r == s.queue[0] {
			s.vt = max(s.vt, r.start)
		}
		n.used += cost - slots
		slots, lead.load = cost, units
		h.dequeue(r)
		h.send(r, n, lead)
		return true
	})
	lead.cost = slots
}

// bound is how many slots may be out at the shard's node when a request joins them: the depth, but of many
// hosts only a part of what all may have there, which falls steeply once the node's latency is over slowFrom
// of the shortest aim. Of many hosts most are idle at a node at any moment, so it starts high; a jam of all
// of them must still end. What the work itself takes counts for all alike; the wait beyond it counts more for
// what earns less, else the patient and cheap fill a slow node and the dear with short aims die there first.
// A request that starts no later than the virtual time gets more, as its volume has had no more than its
// share here and a surge through other hosts fills the node as well; the extra shrinks to none with latency.
func (h *Scheduler) bound(s *shard, r *request) float64 {
	if h.leastAim <= 0 {
		return s.node.depth
	}
	takes := h.lately(s.node)
	wait := max(0, takes-h.calm)
	spent := ((takes - wait).Seconds() + wait.Seconds()/h.earns(r)) / h.leastAim.Seconds()
	depth := min(s.node.depth, h.part(max(1, allSlots/math.Pow(max(1, spent/slowFrom), slowPower))))
	if r.start > s.vt {
		return depth
	}
	return depth + headroom*max(0, 1-spent/headPart)
}

// earns is what a unit of the request earns against the dearest, with its class's worth squared: the cheap
// class is mostly the patient one, which gets in whenever a jam eases. Worths that are not told count alike.
func (h *Scheduler) earns(r *request) float64 {
	part := r.covered / r.Units
	class := cmp.Or(r.class.PriorityWeight, 1) / cmp.Or(h.mostWorth, 1)
	plan := cmp.Or(r.vol.plan.PriorityWeight, 1) / cmp.Or(h.mostPlan, 1)
	return class * class * plan * math.Sqrt(part+(1-part)*cmp.Or(h.set.ShareWeight, 1))
}

// usable tells whether a node may be sent to: listed as ready, and after failures one request at a time.
func (h *Scheduler) usable(n *node) bool {
	return n.Status == Ready && (n.fails == 0 || (n.used == 0 && h.now >= n.retryAt))
}

// paced tells whether a bound under one slot holds the next send back: the last send's slot then counts for
// longer than its attempt is out.
func (h *Scheduler) paced(n *node, bound float64) bool {
	return bound < 1 && n.everSent && h.now-n.lastSent < seconds(n.latency.Seconds()/bound)
}

// patience is how long an attempt may be out before it is taken for lost or stuck.
func (n *node) patience() time.Duration { return n.latency + deviations*n.deviation }

// unpin takes the slots back from attempts that are out for far longer than the node's answers take: answers
// that get lost and requests that hang would hold theirs until the client's wait is over, and a few stop a
// node's queue. At a node that hangs it lets a request through now and then, as a trial.
func (h *Scheduler) unpin(n *node) {
	if n == nil {
		return
	}
	for _, r := range n.out {
		if !r.unpinned && h.now-r.sentAt > n.patience() {
			r.unpinned = true
			n.used -= r.cost
		}
	}
}

// mayGo holds the guards that concern one request: its key's turn, its class's repeats, its plan's limit. A
// member of an operation may follow those of its key that are members too, unless each could run again later.
func (h *Scheduler) mayGo(r *request, n *node, lead *request) bool {
	if r.class.OrderedByKey && r.Key != 0 {
		k, at := h.keys[r.Key], 0
		for lead != nil && r.class.Idempotency != Idempotent && at < len(k.list) && k.list[at].of(lead) {
			at++
		}
		if at == len(k.list) || k.list[at] != r || (r.attempts == 0 && h.now < k.rest) {
			return false
		}
	}
	if r.attempts > 0 && !h.mayRepeat(r, n) {
		return false
	}
	return r.charged || r.vol.plan.Limit <= 0 || h.limitLeft(r.vol) >= r.Units
}

// limitLeft is this host's even part of what the volume's limit allows now.
func (h *Scheduler) limitLeft(v *volume) float64 {
	v.limit.fill(h.now, v.plan.Limit/v.writers, v.plan.Burst/v.writers)
	return v.limit.level
}

// mayRepeat guards against a second effect, and keeps the budget of further attempts.
func (h *Scheduler) mayRepeat(r *request, n *node) bool {
	if r.attempts >= h.set.MaxAttempts || !h.budgetLeft() {
		return false
	}
	if r.ranAt == nil || r.class.Idempotency == Idempotent {
		return true
	}
	if r.class.Idempotency == NotIdempotent || h.now+sureMargin >= r.ranFrom+r.class.DedupWindow {
		return false
	}
	return r.class.DedupScope == DedupAll || (r.class.DedupScope == DedupZone && n.Zone == r.ranAt.Zone) ||
		(r.class.DedupScope == DedupCell && n.Cell == r.ranAt.Cell)
}

// budgetLeft tells whether one more attempt beyond a request's first stays within the stated budget.
func (h *Scheduler) budgetLeft() bool {
	if !h.set.RetryBudget {
		return true
	}
	h.extras.drop(func(at time.Duration) bool { return at < h.now-h.set.RetryBudgetWindow })
	h.taken.drop(h.outsideBudget)
	return float64(
		len(h.extras.list())+1,
	) <= h.set.RetryBudgetFloor+h.set.RetryBudgetRatio*float64(
		len(h.taken.list()),
	)
}

// outsideBudget tells whether a request was taken too long ago to count.
func (h *Scheduler) outsideBudget(at time.Duration) bool { return at <= h.now-h.set.RetryBudgetWindow }

// bears tells whether a node may be sent so many units more now. A cold one bears a stated figure in any
// window over all hosts; this host uses its even part. Where that is less than the least request, hosts take
// turns of a window each, so many at a time that one fits: a window meets two turns at most, which share the
// figure. All hosts at once stay within it, at the price that many refuse most of a cold shard's requests.
func (h *Scheduler) bears(n *node, units float64) bool {
	age, window := h.now-n.StartedAt, max(h.set.OverloadWindow, 1)
	if n.StartedAt == 0 || h.set.SlowStartPeriod == 0 || age >= h.set.SlowStartPeriod+window {
		return true
	}
	if n.StartedAt < h.born && h.now-h.born < window {
		return false // a host just restarted does not know what it sent before: assume all
	}
	usual := max(h.set.MeanUnits, 1)
	if h.part(h.set.ColdCapacity) >= 1 {
		return h.fits(n, units, h.part(h.coldUnits(age-window)))
	}
	turn, hosts := age/window, float64(max(h.set.Instances, 1))
	half := h.coldUnits((turn-1)*window) / 2
	turns := math.Ceil(hosts / max(1, math.Floor(half/usual)))
	mine := math.Mod(float64(turn)+float64(h.set.InstanceIndex), turns) == 0
	return mine && h.fits(n, units, half/math.Ceil(hosts/turns))
}

// fits tells whether units more stay within most in a window. Only where the running sum is too near to most
// to tell are the sends added up one by one, so that the answer does not hang on rounding.
func (h *Scheduler) fits(n *node, units, most float64) bool {
	h.forgetSent(n, max(h.set.OverloadWindow, 1))
	sent := units + n.sum
	if math.Abs(sent-most) > sumMargin*(1+most) {
		return sent < most
	}
	sent = units
	for _, m := range n.sent.list() {
		sent += m.units
	}
	return sent <= most
}

// forgetSent drops what was sent before the window. The record of sends is kept for warm nodes too, since a
// node that restarts is cold at once; it must cost the same however many there are.
func (h *Scheduler) forgetSent(n *node, window time.Duration) {
	n.sent.drop(func(m mark) bool {
		if m.at >= h.now-window {
			return false
		}
		n.sum -= m.units
		return true
	})
	if len(n.sent.list()) == 0 {
		n.sum = 0
	}
}

// coldUnits is what a node bears in a window that begins so long after its start: more as it is sure to warm.
func (h *Scheduler) coldUnits(since time.Duration) float64 {
	if since <= 0 || h.set.ColdFraction <= 0 {
		return h.set.ColdCapacity
	}
	return h.set.ColdCapacity * (1 + (1/h.set.ColdFraction-1)*since.Seconds()/h.set.SlowStartPeriod.Seconds())
}

// relieve counts what a node has served by the multiple that the rule allows less: what it keeps up with
// does not push it over, while what it does not answer counts in full.
func (h *Scheduler) relieve(n *node, r *request) {
	for _, ref := range r.marks {
		if ref.node != n || h.set.OverloadFactor <= 1 {
			continue // marks are counted by node: another's number means nothing here
		}
		if m := n.sent.at(ref.nth); m != nil {
			n.sum -= m.units - m.units/h.set.OverloadFactor
			m.units /= h.set.OverloadFactor
		}
	}
}

// of tells whether a request is out as a member of an operation.
func (r *request) of(lead *request) bool { return r.node != nil && (r == lead || r.lead == lead) }

// send starts an attempt. The virtual time moves to the start tag of what leaves. A member of an operation
// has no slots of its own.
func (h *Scheduler) send(r *request, n *node, lead *request) {
	if h.set.RetryBudget && r.attempts > 0 {
		h.extras.push(h.now)
	}
	if !r.charged {
		r.charged = true
		r.vol.limit.level -= r.Units
	}
	r.attempts++
	h.out++
	r.node, r.sentAt, r.unpinned, r.lead, r.load = n, h.now, lead != nil, lead, r.Units
	act := Send{ID: r.ID, Server: n.Server, Timeout: h.allow(r)}
	if r.ranAt != nil && r.class.Idempotency == IdempotentByKey {
		act.StartBefore = r.ranFrom + r.class.DedupWindow - sureMargin // however late its connection comes up
	}
	if lead == nil {
		r.shard.vt = max(r.shard.vt, r.start)
		n.out = append(n.out, r)
		n.used += r.cost
	} else {
		act.Leader = lead.ID
	}
	n.lastSent, n.everSent = h.now, true
	h.forgetSent(n, h.set.OverloadWindow)
	r.marks = append(r.marks, markRef{n, n.sent.cut + len(n.sent.all)})
	n.sent.push(mark{h.now, r.Units})
	n.sum += r.Units
	h.act(act)
}

// allow is how long an attempt may take: where a repeat is safe, until the aim, since an answer after that
// earns little, while a node that holds what nobody waits for gets slower by it, and may never come out of
// that. Others are hoped for as long as the client waits (0), as their end would stay unsure.
func (h *Scheduler) allow(r *request) time.Duration {
	if r.class.Idempotency != Idempotent || r.aimBy <= h.now {
		return 0
	}
	return r.aimBy - h.now
}

// ---- What cannot be served in time ----

// triage looks through what is held and gives up at once on what would miss its aim even if it left now: it
// would only take slots from requests that can still be in time.
func (h *Scheduler) triage(s *shard) {
	n := s.node
	for _, r := range slices.Clone(s.queue) {
		wait := time.Duration(0)
		if n != nil {
			wait = h.expect(n, r)
		}
		if h.now+wait > r.aimBy || (r.attempts > 0 && n != nil && !h.mayRepeat(r, n)) {
			h.dequeue(r)
			h.giveUp(r, wait)
		}
	}
}

// Harmless tells whether a request that has run may run again anywhere: a refusal then stays true.
func (c Class) RetrySafe() bool {
	return c.Idempotency == Idempotent || (c.Idempotency == IdempotentByKey && c.DedupScope == DedupAll)
}

// giveUp ends a request: by a refusal where that is true, else by a failure.
func (h *Scheduler) giveUp(r *request, backoff time.Duration) {
	if r.ranAt == nil || r.class.RetrySafe() {
		if !h.set.RetryAfter {
			backoff = 0
		}
		h.act(Reject{ID: r.ID, RetryAfter: min(backoff, h.set.MaxRetryAfter)})
	} else {
		h.act(Fail{ID: r.ID})
	}
	h.end(r)
}

// end closes a request that has its answer. While an attempt is out it stays known, and keeps its key's turn.
func (h *Scheduler) end(r *request) {
	h.dequeue(r)
	if r.attempts == 0 {
		h.untag(r)
	}
	r.ended = true
	if r.node != nil {
		return
	}
	delete(h.reqs, r.ID)
	r.vol.live--
	k := h.keys[r.Key]
	if !r.class.OrderedByKey || r.Key == 0 || k == nil {
		return
	}
	k.list = slices.DeleteFunc(k.list, func(o *request) bool { return o == r })
	if r.unsure > 0 {
		k.rest = max(k.rest, r.unsure+h.set.OrderingPause)
	}
	if len(k.list) == 0 {
		h.resting = append(h.resting, r.Key)
	}
	h.forgetKeys()
}

// forgetKeys drops the chains that are empty and have rested, so that keys seen once do not pile up.
func (h *Scheduler) forgetKeys() {
	for len(h.resting) > 0 {
		key := h.resting[0]
		if k := h.keys[key]; k != nil && len(k.list) == 0 {
			if k.rest > h.now {
				return
			}
			delete(h.keys, key)
		}
		h.resting = h.resting[1:]
	}
}

// ---- Outcomes ----

func (h *Scheduler) outcome(o AttemptResult) {
	r := h.reqs[o.ID]
	if r == nil || r.node == nil || o.Attempt != r.attempts-1 {
		return
	}
	n := r.node
	r.node = nil
	h.out--
	if !r.unpinned {
		n.used -= r.cost
	}
	n.out = slices.DeleteFunc(n.out, func(q *request) bool { return q == r })
	if o.Code == OK {
		h.relieve(n, r)
	}
	h.judge(n, r, o)
	h.settle(r, n, o)
	if r.ended || o.RequestDone {
		h.end(r)
		return
	}
	again := o.Code != OK && o.Code != NotApplicable && o.Code != Cancelled && h.now < r.aimBy &&
		(r.ranAt == nil || r.class.Idempotency != NotIdempotent) && r.attempts < h.set.MaxAttempts
	if !again {
		h.giveUp(r, h.expect(n, r))
		return
	}
	if r.Cell < 0 && (r.ranAt == nil || r.class.Idempotency == Idempotent) {
		r.shard = h.place(r)
	}
	h.enqueue(r)
}

// MayHaveRun tells whether an attempt that ended so may have taken effect.
func (c ResultCode) MayHaveRun() bool {
	return c != Overloaded && c != ConnectFailed && c != NotApplicable
}

// settle notes what an outcome says of the request and its volume.
func (h *Scheduler) settle(r *request, n *node, o AttemptResult) {
	if o.Code.MayHaveRun() && r.ranAt == nil {
		r.ranAt, r.ranFrom = n, r.sentAt
	}
	if o.Code == TimedOut || o.Code == Reset || o.Code == Cancelled {
		r.unsure = h.now
	}
	if o.ElsewhereUnits > 0 {
		h.elsewhere(r, o.ElsewhereUnits)
	}
}

// elsewhere counts what other hosts sent for a volume as if it had been sent here, so that tags and the
// reserve follow the volume's total service (as DSFQ does).
func (h *Scheduler) elsewhere(r *request, units float64) {
	beyond := units - h.cover(r.vol, units)
	s := r.shard
	r.vol.finish[s] = max(s.vt, r.vol.finish[s]) + beyond/r.vol.plan.Weight
}

// judge learns from an outcome how the node is doing. A time-out speaks of the node only if nothing that
// the node answered is newer: else that one attempt got lost, or the client's wait was short. Nodes that do
// their work may lose a part of the answers: one broken answer is no failure, two in a row are. Of times when
// this host stood still itself only that the node answered counts.
func (h *Scheduler) judge(n *node, r *request, o AttemptResult) {
	lost := o.Code == TimedOut && !h.stalled && n.heardAt <= r.sentAt &&
		o.Latency > min(n.latency, h.leastAim/2)
	silent := lost && o.Latency > min(n.patience(), h.leastAim/2)
	switch {
	case o.Code == OK || o.Code == Error:
		n.fails, n.resets, n.heardAt = 0, 0, h.now
		if n.errors *= 1 - learnWeight; o.Code == Error {
			n.errors += learnWeight
		}
	case r.lead != nil: // an operation fails once, with its lead
	case o.Code == Reset && n.resets == 0:
		n.resets++
	case o.Code == ConnectFailed || o.Code == Reset || o.Code == Overloaded || silent:
		n.fails++
		n.retryAt = h.now + h.pause(n)
	}
	if r.lead != nil || (!lost && (o.Code != OK || h.stalled)) {
		return // an operation is learnt from once, by its lead
	}
	if lost { // it would have taken longer, by about the mean
		if n.fails <= 1 { // nodes that are cut off must not speak for all
			h.follow(min(o.Latency, 2*h.tide))
		}
		n.latency += time.Duration(lostWeight * float64(o.Latency))
	} else {
		took := o.Latency - h.extra(r.class, r.load)
		r.class.fit.add(r.load, o.Latency.Seconds())
		h.usual.add(r.load, o.Latency.Seconds())
		h.follow(took)
		off := took - n.latency
		n.latency += time.Duration(learnWeight * float64(off))
		n.deviation += time.Duration(learnWeight * float64(max(off, -off)-n.deviation))
	}
	n.learntAt = h.now
	h.adapt(n)
}

// follow notes how long the usual request takes at nodes now: the running median stands for the work itself,
// as nodes pause and jam less than half of the time, and the mean of the last few attempts for the fleet.
func (h *Scheduler) follow(took time.Duration) {
	step := calmStep * max(h.calm.Seconds(), h.usual.took)
	h.calm = max(0, h.calm+seconds(math.Copysign(step, float64(took-h.calm))))
	h.tide += time.Duration(float64(took-h.tide) / min(tideOver, max(tideOver/2, h.usual.n)))
}

// pause is how long a node that fails is left alone: growing fourfold, and not in step with other hosts.
func (h *Scheduler) pause(n *node) time.Duration {
	d := min(downMost, downFirst<<min(2*(n.fails-1), doublingsMax))
	return d/2 + time.Duration(h.rng.Int64N(int64(d)))
}

// target is how long a request may be at its node.
func (h *Scheduler) target() time.Duration { return time.Duration(nodePart * float64(h.leastAim)) }

// adapt learns the depth at which a request's time at the node meets the target, so that waiting happens
// here, in tag order, and not in the node's own queue. Each host that does so gets a like part of the node.
// It acts always; depth grows only while it holds requests back.
func (h *Scheduler) adapt(n *node) {
	if h.now-n.adaptedAt < max(n.latency, leastPeriod) || n.latency <= 0 || h.leastAim <= 0 {
		return
	}
	want := min(n.depth*float64(h.target())/float64(n.latency), n.depth) + h.part(depthGain)
	if want < n.depth || n.limited {
		n.depth = min(mostDepth, max(h.leastDepth(), n.depth+depthStep*(want-n.depth)))
	}
	n.limited, n.adaptedAt = false, h.now
}

// leastDepth is what a depth falls to: one request of each host may leave, or where hosts are very many the
// part that each has of allSlots.
func (h *Scheduler) leastDepth() float64 { return min(1, h.part(allSlots)) }

// expect is how long a request sent now will take at the node: what it took lately for one of mean size, and
// what this one's size adds.
func (h *Scheduler) expect(n *node, r *request) time.Duration {
	return max(0, h.lately(n)+h.extra(r.class, r.Units))
}

// extra is how much longer than the usual one a request of this class and size takes.
func (h *Scheduler) extra(c *class, units float64) time.Duration {
	if h.usual.n < fitFrom || c.fit.n < fitFrom {
		return 0
	}
	return seconds(c.fit.predict(units) - h.usual.took)
}

// lately is what the usual request took at the node. What is old of it fades towards that of all nodes: with
// many hosts, each hears of a node but now and then.
func (h *Scheduler) lately(n *node) time.Duration {
	if h.usual.n < fitFrom {
		return n.latency
	}
	fade := math.Exp2(-(h.now - n.learntAt).Seconds() / forgetIn.Seconds())
	return h.tide + time.Duration(float64(n.latency-h.tide)*fade)
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
