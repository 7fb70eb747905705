package scheduler

import "time"

const (
	// unreadThreshold is the time without a batch, or from a request's arrival to its event, beyond which
	// requests that arrived meanwhile may still be unread: this process may not have run. Requests that
	// arrived within that time of each other may be sent in either order.
	unreadThreshold = 20 * time.Millisecond
	// collectStallTimeout is the time after which a collection is given up if nothing was read in it that it
	// waits for, and maxCollectTime bounds how long ordered requests wait for unread ones in all.
	collectStallTimeout = 50 * time.Millisecond
	maxCollectTime      = time.Second
)

// arrivals decides when requests that arrived earlier than those known may still be unread. Then the driver
// is asked to collect them, and meanwhile no ordered request is sent for the first time.
type arrivals struct {
	enabled     bool
	lateSince   time.Duration // clock value of the last sign that requests may be unread
	collectedAt time.Duration // clock value at which the last collection that is over began
	startedAt   time.Duration // clock value at which the present collection began
	collecting  bool
	again       bool // another collection must follow the present one
}

// EnableArrivalCollection lets the scheduler emit CollectArrivals. It must be called before the first event,
// by a driver that carries out that action.
func (s *Scheduler) EnableArrivalCollection() { s.arrivals.enabled = true }

// observeClock records that no event was processed between two clock values.
func (a *arrivals) observeClock(from, to time.Duration) {
	if to-from <= unreadThreshold {
		return
	}
	a.lateSince = to
}

// observeRequest records when a request arrived that is processed now, and since when others may wait on
// connections that are not accepted yet.
func (a *arrivals) observeRequest(r *request, now time.Duration) {
	isBacklogOld := r.BacklogSince > 0 && now-r.BacklogSince > unreadThreshold
	if isBacklogOld || now-r.ArrivedAt > unreadThreshold {
		a.lateSince = now
	}
}

// mayFollowUnread reports whether a request that arrived earlier than the given one by more than
// unreadThreshold may still be unread.
func (a *arrivals) mayFollowUnread(r *request) bool {
	return a.enabled && a.lateSince > a.collectedAt && r.ArrivedAt > a.collectedAt+unreadThreshold
}

// isCollecting reports whether a collection is in progress.
func (a *arrivals) isCollecting(now time.Duration) bool {
	return a.collecting && now < a.startedAt+maxCollectTime
}

// collectBefore starts a collection, or lets one follow that in progress, if an ordered request may follow
// unread ones.
func (s *Scheduler) collectBefore(r *request) {
	a := &s.arrivals
	switch {
	case !r.isOrdered() || !a.mayFollowUnread(r):
	case !a.isCollecting(s.now):
		s.startCollection()
	case r.ArrivedAt > a.startedAt+unreadThreshold:
		a.again = true
	}
}

func (s *Scheduler) startCollection() {
	a := &s.arrivals
	a.collecting, a.startedAt, a.again = true, s.now, false
	s.emit(CollectArrivals{
		Before:       s.now - unreadThreshold,
		StallTimeout: collectStallTimeout,
		Timeout:      maxCollectTime,
	})
}

// finishCollection records that the present collection is over. The report of an earlier one, which did not
// come within maxCollectTime, is ignored.
func (s *Scheduler) finishCollection(collected ArrivalsCollected) {
	a := &s.arrivals
	if !a.collecting || collected.Before != a.startedAt-unreadThreshold {
		return
	}
	a.collectedAt, a.collecting = a.startedAt, false
	if a.again {
		s.startCollection()
	}
}
