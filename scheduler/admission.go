package scheduler

import "time"

// request is a client's request, from its arrival until it has its answer and no attempt of it is in flight.
type request struct {
	Request
	class           *class
	volume          *volume
	shard           *shardQueue // where it is queued or was sent from
	sequence        uint64      // of its arrival
	leader          *request    // of the operation of which it is a member; nil: it is alone or leads
	operationUnits  float64     // of the operation that it leads
	startTag        float64
	tagAdvance      float64 // by which it moved its volume's finish tag
	reservedUnits   float64 // taken from the volume's reserve
	slotCost        float64
	backfilledCost  float64       // slot cost of the requests that were dispatched past it
	objectiveAt     time.Duration // when its latency objective ends
	sentAt          time.Duration
	mayHaveRunSince time.Duration // send of the first attempt that may have run
	mayHaveRunOn    *node         // and its node; nil: no attempt may have run
	node            *node         // where an attempt is in flight; nil: none is
	attempts        int
	quotaCharged    bool
	queued          bool
	answered        bool
	slotsReleased   bool          // its attempt uses no slots any more
	sends           []sendRef     // of its attempts
	uncertainAt     time.Duration // when an attempt last ended with its work possibly going on; 0: never
}

// class adds to a class's settings what this instance has learned of it.
type class struct {
	Class
	meanUnits   float64       // running mean of the sizes
	count       float64       // of requests
	longestWait time.Duration // that a client granted: that of a first try
	latency     regression    // latency against size
}

// observeSize takes a request's size into the running mean.
func (c *class) observeSize(units float64) {
	c.count++
	c.meanUnits += (units - c.meanUnits) / c.count
}

// admit takes a request in, or rejects what cannot be served.
func (s *Scheduler) admit(incoming Request) {
	if !incoming.Continuation {
		s.retries.recordAdmission(s.now)
	}
	if !s.isAdmissible(incoming) {
		s.emit(Reject{ID: incoming.ID})
		return
	}
	c := s.classes[incoming.Class]
	c.longestWait = max(c.longestWait, incoming.ExpiresAt-s.now)
	r := &request{Request: incoming, class: c, volume: s.volumeFor(incoming)}
	r.objectiveAt = s.objectiveTime(r)
	r.Units = max(incoming.Units, 1)
	r.slotCost = c.slotCost(r.Units)
	c.observeSize(r.Units)
	r.volume.openRequests++
	s.requests[r.ID] = r
	s.keys.add(r)
	if r.Cell < 0 {
		r.shard = s.placeNewObject(r)
	} else {
		r.shard = s.endpoints.shardFor(r.Cell)
	}
	s.assignTags(r)
	s.backlog.enqueue(r)
	s.forgetIdleVolumes()
}

func (s *Scheduler) isAdmissible(incoming Request) bool {
	knownClass := incoming.Class < len(s.classes)
	inTime := incoming.ExpiresAt > s.now+timingMargin
	placeable := incoming.Cell >= 0 || len(s.endpoints.shards) > 0
	return knownClass && inTime && placeable
}

// objectiveTime is when a request's latency objective ends. The objective of a client's retry counts from its
// first try, which is taken to have come with the longest wait that clients of the class grant. It counts
// from now for a request with less time left than the objective, which comes from an impatient client or is a
// retry so late that little is lost either way; and, where clients mark their retries, for all others.
func (s *Scheduler) objectiveTime(r *request) time.Duration {
	at := r.ExpiresAt
	if objective := r.class.LatencyObjective; objective > 0 {
		at = r.ExpiresAt - r.class.longestWait + objective
		if r.ExpiresAt-s.now < objective || (s.settings.RetriesMarked && !r.Retry) {
			at = s.now + objective
		}
	}
	// An instance that has seen nothing but retries takes too short a wait for the longest and gets too late
	// a time: never hold a request beyond its own deadline.
	return min(at, r.ExpiresAt-timingMargin)
}
