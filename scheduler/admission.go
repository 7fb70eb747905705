package scheduler

import "time"

// request is a client's request, from its admission until it is answered or withdrawn and has no attempt in
// flight.
type request struct {
	Request
	class           *class
	volume          *volume
	shard           *shardQueue // in which it is queued, or was until it was sent
	sequence        uint64      // number in arrival order
	leader          *request    // of the operation that it joined; nil: it is sent alone or leads one
	operationUnits  float64     // size of its attempt, with all members if it leads an operation
	startTag        float64
	tagAdvance      float64       // by which it advanced its volume's finish tag
	reservedUnits   float64       // taken from the volume's reserve
	slotCost        float64       // as a leader, of the whole operation
	backfilledCost  float64       // total slot cost of the requests that were backfilled past it
	objectiveAt     time.Duration // when its latency objective ends
	sentAt          time.Duration
	mayHaveRunSince time.Duration // when the first attempt that may have run was sent
	mayHaveRunOn    *node         // node of that attempt; nil: no attempt may have run
	node            *node         // at which its attempt is in flight; nil: none is
	attempts        int
	quotaCharged    bool
	queued          bool
	answered        bool          // or withdrawn
	slotsReleased   bool          // its attempt uses no slots (as a member), or no longer does (as lost)
	sendRefs        []sendRef     // references to the send records of its attempts
	uncertainAt     time.Duration // end of its last attempt that may still be running at the node; 0: none
}

// class is a class's settings and the statistics that this instance has learned of it.
type class struct {
	Class
	meanUnits   float64       // running mean of request sizes
	count       float64       // of requests
	longestWait time.Duration // longest time from arrival to ExpiresAt; taken as that of a first try
	latency     regression    // latency against size
}

// observeSize adds a request's size to the running mean.
func (c *class) observeSize(units float64) {
	c.count++
	c.meanUnits += (units - c.meanUnits) / c.count
}

// admit queues a request, or rejects it if it cannot be served.
func (s *Scheduler) admit(incoming Request) {
	if !incoming.Continuation {
		s.retries.recordAdmission(s.now)
	}
	if !s.isAdmissible(incoming) {
		s.emit(Reject{ID: incoming.ID})
		return
	}
	if incoming.ArrivedAt == 0 {
		incoming.ArrivedAt = s.now
	}
	c := s.classes[incoming.Class]
	c.longestWait = max(c.longestWait, incoming.ExpiresAt-s.now)
	r := &request{Request: incoming, class: c, volume: s.volumeFor(incoming)}
	s.arrivals.observeRequest(r, s.now)
	r.objectiveAt = s.objectiveTime(r)
	r.Units = max(incoming.Units, 1)
	r.slotCost = c.slotCost(r.Units)
	c.observeSize(r.Units)
	r.volume.openRequests++
	s.requests[r.ID] = r
	s.keys.add(r)
	s.collectBefore(r)
	if r.Cell < 0 {
		r.shard = s.placeNewObject(r)
	} else {
		r.shard = s.endpoints.shardFor(r.Cell)
	}
	s.assignTags(r)
	s.backlog.enqueue(r)
	s.evictIdleVolumes()
}

func (s *Scheduler) isAdmissible(incoming Request) bool {
	knownClass := incoming.Class < len(s.classes)
	inTime := incoming.ExpiresAt > s.now+timingMargin
	placeable := incoming.Cell >= 0 || len(s.endpoints.shards) > 0
	return knownClass && inTime && placeable
}

// objectiveTime returns when a request's latency objective ends. The objective of a client's retry counts
// from its first try, which is assumed to have had the longest wait that clients of the class allow. It
// counts from now for a request with less time left than the objective, which is a first try with a short
// timeout or a retry so close to its deadline that the choice has little effect; and, where clients mark
// their retries, for all unmarked requests.
func (s *Scheduler) objectiveTime(r *request) time.Duration {
	at := r.ExpiresAt
	if objective := r.class.LatencyObjective; objective > 0 {
		at = r.ExpiresAt - r.class.longestWait + objective
		if r.ExpiresAt-s.now < objective || (s.settings.RetriesMarked && !r.Retry) {
			at = s.now + objective
		}
	}
	// An instance that has received only retries underestimates the longest wait, so the end would be too
	// late: it is limited to the request's own deadline.
	return min(at, r.ExpiresAt-timingMargin)
}
