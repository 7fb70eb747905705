package scheduler

import (
	"cmp"
	"time"
)

const (
	// watchReopenDelay is the minimum delay before a failed watch is reopened; the maximum is twice as long.
	// Both are shorter if PushGrace requires it, and after an established watch broke.
	watchReopenDelay = 750 * time.Millisecond
	// brokenWatchDelayDivisor divides the first delay after an established watch broke; the divisor halves
	// with each further failure.
	brokenWatchDelayDivisor = 8
	// reopenDelaysPerPushGrace is the number of minimum reopen delays that fit into PushGrace, so that the
	// longest delay is half of it.
	reopenDelaysPerPushGrace = 4
	// WatchResponseTimeout is how long a registry that is slow may take to respond to a call for the watch.
	// An instance counts as notified of a change 6 s after the registry could be reached; a watch that takes
	// even longer to open is still of use for later changes.
	WatchResponseTimeout = 7500 * time.Millisecond
	// FetchResponseTimeout is how long it may take to respond to a call for the whole list. Only one such
	// call waits at a time, and it may have been lost.
	FetchResponseTimeout = 4500 * time.Millisecond
	// longCallInterval is the minimum time between calls that wait for WatchResponseTimeout, so that few
	// calls wait at once. The calls between them wait until the next call.
	longCallInterval = 1500 * time.Millisecond
)

// endpointWatch tracks the watch of the endpoint list.
type endpointWatch struct {
	updateReceived bool          // an update arrived since the watch was last opened or failed
	reopenAt       time.Duration // when to reopen it unless an update arrives
	reopenDelay    time.Duration // minimum delay after a failure
	delayDivisor   time.Duration // divisor of the next delay; 0: the delay is not divided
	nextLongCallAt time.Duration // from when a call may wait for WatchResponseTimeout again
}

func newEndpointWatch(settings Settings) endpointWatch {
	delay := cmp.Or(min(watchReopenDelay, settings.PushGrace/reopenDelaysPerPushGrace), watchReopenDelay)
	return endpointWatch{reopenDelay: delay}
}

// openWatch opens the watch and schedules that it is reopened unless an update arrives within half of
// PollTimeout, or within two reopen delays if those are longer: the registry's answer may be lost.
func (s *Scheduler) openWatch() {
	untilNextCall := max(s.settings.PollTimeout/2, 2*s.watch.reopenDelay)
	s.watch.updateReceived = false
	s.emit(WatchEndpoints{On: true, ResponseTimeout: s.watch.responseTimeout(s.now, untilNextCall)})
	s.scheduleWatch(untilNextCall)
}

// responseTimeout returns how long the next call waits for its response. The registry may have lost the call,
// so another one follows soon; or it may be slow, so some calls wait for longer than that.
func (w *endpointWatch) responseTimeout(now, untilNextCall time.Duration) time.Duration {
	if now < w.nextLongCallAt {
		return min(untilNextCall, WatchResponseTimeout)
	}
	w.nextLongCallAt = now + longCallInterval
	return WatchResponseTimeout
}

func (s *Scheduler) scheduleWatch(delay time.Duration) {
	s.watch.reopenAt = s.now + delay
	s.emit(SetTimer{Token: tokenWatch, After: delay})
}

func (s *Scheduler) reopenSilentWatch() {
	if !s.watch.updateReceived && s.now >= s.watch.reopenAt {
		s.openWatch()
	}
}

// watchFailed schedules the reopening of the watch, unless that is already due within two reopen delays. The
// failure may be that of a fetch while the watch is still open; the watch is reopened in any case, after a
// random delay, so that the instances of a fleet do not send their requests in step. A watch that was
// established and broke can usually be reopened at once, and the first attempt to reopen it may fail as well:
// the delays after the break are shorter.
func (s *Scheduler) watchFailed() {
	delay := s.watch.reopenDelay
	pending := !s.watch.updateReceived && s.watch.reopenAt <= s.now+2*delay
	if !s.settings.PollEndpoints || pending {
		return
	}
	wait := delay + time.Duration(s.random.Int64N(int64(delay)))
	if s.watch.updateReceived {
		s.watch.delayDivisor = brokenWatchDelayDivisor
	}
	wait /= max(1, s.watch.delayDivisor)
	s.watch.delayDivisor /= 2
	s.watch.updateReceived = false
	s.scheduleWatch(wait)
}
