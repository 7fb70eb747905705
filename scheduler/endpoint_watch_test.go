package scheduler

import (
	"slices"
	"testing"
	"time"
)

// pollingSettings are those of a small site that polls the endpoint list.
func pollingSettings() Settings {
	settings := smallSiteSettings()
	settings.PollEndpoints = true
	return settings
}

// opensWatch reports whether actions open the watch of the endpoint list.
func opensWatch(actions []Action) bool {
	return slices.Contains(actions, Action(WatchEndpoints{On: true}))
}

// watchTimers lists the delays after which actions let the watch be opened again.
func watchTimers(actions []Action) (delays []time.Duration) {
	for _, action := range actions {
		if timer, ok := action.(SetTimer); ok && timer.Token == tokenWatch {
			delays = append(delays, timer.After)
		}
	}
	return delays
}

func TestEndpointWatch_IsOpenedAndReopened(t *testing.T) {
	driver := startDriver(t, pollingSettings(), 1)
	if !opensWatch(driver.actions) {
		t.Fatalf("no watch at the start: %v", driver.actions)
	}
	driver.handle(EndpointUpdate{Kind: UpdateFull})
	actions := driver.handle(EndpointUpdate{Kind: UpdateFailed}, EndpointUpdate{Kind: UpdateFailed})
	if timers := len(watchTimers(actions)); timers != 1 {
		t.Errorf("%d timers for a new watch, want 1", timers)
	}
	driver.now += 2 * watchReopenDelay
	if actions := driver.handle(TimerFired{Token: tokenWatch}); !opensWatch(actions) {
		t.Errorf("not opened again: %v", actions)
	}
	driver.handle(EndpointUpdate{Kind: UpdateDelta})
	driver.now += time.Minute
	if opensWatch(driver.handle(TimerFired{Token: tokenWatch})) {
		t.Error("opened again though the watch stands")
	}
}

// The answer to a watch may get lost: one on which nothing comes does not count as standing.
func TestEndpointWatch_IsReopenedAfterSilence(t *testing.T) {
	settings := pollingSettings()
	settings.PollTimeout = 10 * time.Second
	driver := startDriver(t, settings, 1)
	driver.now += 5 * time.Second
	if actions := driver.handle(TimerFired{Token: tokenWatch}); !opensWatch(actions) {
		t.Errorf("not opened again: %v", actions)
	}
}

// A watch that stood and broke is mostly back at once, and until then the list is out of date: it is opened
// again soon. An update that it missed counts as notified soon, so a first call that fails is also repeated
// sooner, and only then at the usual delay. A watch that never stood is opened again at the usual delay, as
// its service is down or overloaded.
func TestEndpointWatch_BrokenWatchIsReopenedSooner(t *testing.T) {
	settings := pollingSettings()
	settings.PollTimeout = 10 * time.Second
	driver := startDriver(t, settings, 1)
	for _, stood := range []bool{false, true, true} {
		divisors := []time.Duration{1, 1}
		if stood {
			driver.handle(EndpointUpdate{Kind: UpdateDelta})
			divisors = []time.Duration{8, 4, 2, 1, 1}
		}
		for failure, divisor := range divisors {
			actions := driver.handle(EndpointUpdate{Kind: UpdateFailed})
			delays := watchTimers(actions)
			if len(delays) == 0 {
				t.Fatalf("no new watch in %v", actions)
			}
			if delay := delays[0]; delay < watchReopenDelay/divisor || delay > 2*watchReopenDelay/divisor {
				t.Errorf("stood %v, failure %d: opened again after %v", stood, failure, delay)
			}
			driver.now += 2 * watchReopenDelay
			driver.handle(TimerFired{Token: tokenWatch})
		}
	}
}

// Where lists are pushed, a change counts at once: a watch that failed, or on which nothing came, is opened
// again well within the drain's grace, however often that happens.
func TestEndpointWatch_PushedWatchIsReopenedWithinGrace(t *testing.T) {
	settings := pollingSettings()
	settings.DrainGrace, settings.PushGrace = 700*ms, 700*ms
	driver := startDriver(t, settings, 1)
	for failure := range 5 {
		var delay time.Duration
		if delays := watchTimers(driver.handle(EndpointUpdate{Kind: UpdateFailed})); len(delays) > 0 {
			delay = delays[len(delays)-1]
		}
		driver.now += max(delay, settings.PushGrace/2)
		opened := opensWatch(driver.handle(TimerFired{Token: tokenWatch}))
		if delay > settings.PushGrace/2 || !opened {
			t.Errorf("failure %d: timer after %v, opened again %v", failure, delay, opened)
		}
	}
}
