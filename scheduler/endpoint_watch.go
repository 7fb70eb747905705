package scheduler

import (
	"cmp"
	"time"
)

const (
	// watchReopenDelay is the least delay before a failed watch is opened again; the most is twice as long.
	watchReopenDelay = 750 * time.Millisecond
	// brokenWatchSpeedup shortens the first delay after a watch that stood; it halves with each further
	// failure.
	brokenWatchSpeedup = 8
	// pushGraceParts is how many reopen delays fit into the grace of a pushed list.
	pushGraceParts = 4
)

// endpointWatch tracks the standing watch of the endpoint list.
type endpointWatch struct {
	heard       bool          // something came since the watch was last opened
	reopenAt    time.Duration // when to open it again unless something comes
	reopenDelay time.Duration // the least delay after a failure
	speedup     time.Duration // by which the next delay is divided
}

func newEndpointWatch(settings Settings) endpointWatch {
	delay := cmp.Or(min(watchReopenDelay, settings.PushGrace/pushGraceParts), watchReopenDelay)
	return endpointWatch{reopenDelay: delay}
}

// openWatch opens the watch, and schedules that it is opened again unless something is heard of it within
// half of PollTimeout, or within two reopen delays if those are longer: the registry's answer may get lost.
func (s *Scheduler) openWatch() {
	s.watch.heard = false
	s.emit(WatchEndpoints{On: true})
	s.scheduleWatch(max(s.settings.PollTimeout/2, 2*s.watch.reopenDelay))
}

func (s *Scheduler) scheduleWatch(delay time.Duration) {
	s.watch.reopenAt = s.now + delay
	s.emit(SetTimer{Token: tokenWatch, After: delay})
}

func (s *Scheduler) reopenSilentWatch() {
	if !s.watch.heard && s.now >= s.watch.reopenAt {
		s.openWatch()
	}
}

// watchFailed schedules a new watch, unless one is due soon already. A failed call does not tell whether a
// watch still stands, so it is opened again in any case, after a random delay, so that the instances of a
// fleet do not call in step. A watch that stood and broke can mostly be opened again at once, and the first
// call for that may fail too: the delays after it are shorter.
func (s *Scheduler) watchFailed() {
	delay := s.watch.reopenDelay
	pending := !s.watch.heard && s.watch.reopenAt <= s.now+2*delay
	if !s.settings.PollEndpoints || pending {
		return
	}
	wait := delay + time.Duration(s.random.Int64N(int64(delay)))
	if s.watch.heard {
		s.watch.speedup = brokenWatchSpeedup
	}
	wait /= max(1, s.watch.speedup)
	s.watch.speedup /= 2
	s.watch.heard = false
	s.scheduleWatch(wait)
}
