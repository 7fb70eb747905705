package scheduler

import (
	"slices"
	"testing"
	"time"
)

func TestEndpointWatch_IsOpenedAndReopened(t *testing.T) {
	set := settings()
	set.PollEndpoints = true
	r := start(t, set, 1)
	if !slices.Contains(r.acts, Action(WatchEndpoints{On: true})) {
		t.Fatalf("no watch at the start: %v", r.acts)
	}
	r.do(EndpointUpdate{Kind: UpdateFull})
	acts := r.do(EndpointUpdate{Kind: UpdateFailed}, EndpointUpdate{Kind: UpdateFailed})
	timers := 0
	for _, a := range acts {
		if s, ok := a.(SetTimer); ok && s.Token == tokenWatch {
			timers++
		}
	}
	if timers != 1 {
		t.Errorf("%d timers for a new watch, want 1", timers)
	}
	r.now += 2 * watchReopenDelay
	if acts := r.do(TimerFired{Token: tokenWatch}); !slices.Contains(acts, Action(WatchEndpoints{On: true})) {
		t.Errorf("not asked again: %v", acts)
	}
	r.do(EndpointUpdate{Kind: UpdateDelta})
	r.now += time.Minute
	if acts := r.do(TimerFired{Token: tokenWatch}); slices.Contains(acts, Action(WatchEndpoints{On: true})) {
		t.Error("asked again though the watch stands")
	}
}

// The answer to a watch may get lost: silence is no watch.
func TestEndpointWatch_IsReopenedAfterSilence(t *testing.T) {
	set := settings()
	set.PollEndpoints, set.PollTimeout = true, 10*time.Second
	r := start(t, set, 1)
	r.now += 5 * time.Second
	if acts := r.do(TimerFired{Token: tokenWatch}); !slices.Contains(acts, Action(WatchEndpoints{On: true})) {
		t.Errorf("not asked again: %v", acts)
	}
}

// A watch that stood and broke is mostly back at once, and until then the list is old: it is asked for soon.
// What it missed counts as told soon, so that a first call that fails is followed sooner too, and only then
// at leisure. One that never stood is asked for at leisure, as its service is down or has much to do.
func TestEndpointWatch_BrokenWatchIsReopenedSooner(t *testing.T) {
	set := settings()
	set.PollEndpoints, set.PollTimeout = true, 10*time.Second
	r := start(t, set, 1)
	after := func(acts []Action) time.Duration {
		for _, a := range acts {
			if s, ok := a.(SetTimer); ok && s.Token == tokenWatch {
				return s.After
			}
		}
		t.Fatalf("no new watch in %v", acts)
		return 0
	}
	for _, stood := range []bool{false, true, true} {
		parts := []time.Duration{1, 1}
		if stood {
			r.do(EndpointUpdate{Kind: UpdateDelta})
			parts = []time.Duration{8, 4, 2, 1, 1}
		}
		for n, part := range parts {
			d := after(r.do(EndpointUpdate{Kind: UpdateFailed}))
			if d < watchReopenDelay/part || d > 2*watchReopenDelay/part {
				t.Errorf("stood %v, failure %d: asked for after %v", stood, n, d)
			}
			r.now += 2 * watchReopenDelay
			r.do(TimerFired{Token: tokenWatch})
		}
	}
}

// Where lists are pushed, what the machine's agent has counts at once: a watch that failed, or on which
// nothing came, is asked for again well within the drain's grace, again and again.
func TestEndpointWatch_PushedWatchIsReopenedWithinGrace(t *testing.T) {
	set := settings()
	set.PollEndpoints, set.DrainGrace, set.PushGrace = true, 700*ms, 700*ms
	r := start(t, set, 1)
	for n := range 5 {
		var after time.Duration
		for _, a := range r.do(EndpointUpdate{Kind: UpdateFailed}) {
			if s, ok := a.(SetTimer); ok && s.Token == tokenWatch {
				after = s.After
			}
		}
		r.now += max(after, set.PushGrace/2)
		watched := slices.ContainsFunc(r.do(TimerFired{Token: tokenWatch}), func(a Action) bool {
			w, ok := a.(WatchEndpoints)
			return ok && w.On
		})
		if after > set.PushGrace/2 || !watched {
			t.Errorf("failure %d: asked for after %v, %v", n, after, watched)
		}
	}
}
