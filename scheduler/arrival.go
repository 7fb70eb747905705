package scheduler

import "time"

const (
	// unreadThreshold is the time without a batch, or from a request's arrival to its event, beyond which
	// requests that arrived meanwhile may still be unread: this process may not have run. Requests that
	// arrived within that time of each other may be sent in either order.
	unreadThreshold = 20 * time.Millisecond
	// collectTimeout bounds how long ordered requests wait for unread ones while this process runs, and
	// maxCollectTime how long they wait in all.
	collectTimeout = 50 * time.Millisecond
	maxCollectTime = 400 * time.Millisecond
)

// arrivals decides when requests that arrived earlier than those known may still be unread. Then the driver
// is asked to collect them, and meanwhile no ordered request is sent for the first time.
type arrivals struct {
	enabled     bool
	lateSince   time.Duration // clock value of the last sign that requests may be unread
	collectedAt time.Duration // clock value at which the last collection that is over began
	startedAt   time.Duration // clock value at which the present collection began
	until       time.Duration // clock value at which the present collection is given up
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
	if a.isCollecting(from) {
		a.until = min(to+collectTimeout, a.startedAt+maxCollectTime)
	}
}

// observeRequest records when a request arrived that is processed now.
func (a *arrivals) observeRequest(arrivedAt, now time.Duration) {
	if now-arrivedAt > unreadThreshold {
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
	return a.collecting && now < a.until
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
	a.collecting, a.startedAt, a.until, a.again = true, s.now, s.now+collectTimeout, false
	s.emit(CollectArrivals{Before: s.now - unreadThreshold, Timeout: collectTimeout})
}

// finishCollection records that the present collection is over. The report of an earlier one, which did not
// come before the time-out, is ignored.
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
