package scheduler

import (
	"slices"
	"testing"
	"time"
)

// pollingSettings returns the settings of a small site that polls the endpoint list.
func pollingSettings() Settings {
	settings := smallSiteSettings()
	settings.PollEndpoints = true
	return settings
}

// opensWatch reports whether actions open the watch of the endpoint list.
func opensWatch(actions []Action) bool { return len(responseTimeouts(actions)) > 0 }

// responseTimeouts returns the response timeouts of the calls that actions open the watch with.
func responseTimeouts(actions []Action) (timeouts []time.Duration) {
	for _, action := range actions {
		if watch, ok := action.(WatchEndpoints); ok && watch.On {
			timeouts = append(timeouts, watch.ResponseTimeout)
		}
	}
	return timeouts
}

// watchTimerDelays returns the delays of the timers among the actions that reopen the watch.
func watchTimerDelays(actions []Action) (delays []time.Duration) {
	for _, action := range actions {
		if timer, ok := action.(SetTimer); ok && timer.Token == tokenWatch {
			delays = append(delays, timer.After)
		}
	}
	return delays
}

// The watch is opened at the start and reopened after a failure, with one timer for two failures in a row. It
// is not reopened while it is established.
func TestEndpointWatch_IsOpenedAndReopened(t *testing.T) {
	driver := startDriver(t, pollingSettings(), 1)
	if !opensWatch(driver.actions) {
		t.Fatalf("at the start: got %v, want the watch opened", driver.actions)
	}
	driver.handle(EndpointUpdate{Kind: UpdateFull})
	actions := driver.handle(EndpointUpdate{Kind: UpdateFailed}, EndpointUpdate{Kind: UpdateFailed})
	if timers := len(watchTimerDelays(actions)); timers != 1 {
		t.Errorf("got %d timers for a new watch, want 1", timers)
	}
	driver.now += 2 * watchReopenDelay
	if actions := driver.handle(TimerFired{Token: tokenWatch}); !opensWatch(actions) {
		t.Errorf("got %v, want the watch reopened", actions)
	}
	driver.handle(EndpointUpdate{Kind: UpdateDelta})
	driver.now += time.Minute
	if opensWatch(driver.handle(TimerFired{Token: tokenWatch})) {
		t.Error("got the watch reopened, want it kept while it is established")
	}
}

// The registry's answer to a watch may be lost: a watch that receives no update does not count as established
// and is reopened.
func TestEndpointWatch_IsReopenedAfterSilence(t *testing.T) {
	settings := pollingSettings()
	settings.PollTimeout = 10 * time.Second
	driver := startDriver(t, settings, 1)
	driver.now += 5 * time.Second
	if actions := driver.handle(TimerFired{Token: tokenWatch}); !opensWatch(actions) {
		t.Errorf("got %v, want the watch reopened", actions)
	}
}

// A watch that was established and broke can mostly be reopened at once, and until then the list is out of
// date, so it is reopened after a short delay. An instance counts as notified soon after an update was made,
// even if its watch missed that update, so failed attempts to reopen the watch are also repeated sooner,
// after delays that double up to the usual one. A watch that was never established is reopened after the
// usual delay, as the registry is down or overloaded.
func TestEndpointWatch_BrokenWatchIsReopenedSooner(t *testing.T) {
	settings := pollingSettings()
	settings.PollTimeout = 10 * time.Second
	driver := startDriver(t, settings, 1)
	for _, established := range []bool{false, true, true} {
		divisors := []time.Duration{1, 1}
		if established {
			driver.handle(EndpointUpdate{Kind: UpdateDelta})
			divisors = []time.Duration{8, 4, 2, 1, 1}
		}
		for failure, divisor := range divisors {
			actions := driver.handle(EndpointUpdate{Kind: UpdateFailed})
			delays := watchTimerDelays(actions)
			if len(delays) == 0 {
				t.Fatalf("got %v, want a timer for a new watch", actions)
			}
			if delay := delays[0]; delay < watchReopenDelay/divisor || delay > 2*watchReopenDelay/divisor {
				t.Errorf("established %v, failure %d: got a delay of %v, want 1 to 2 times the minimum",
					established, failure, delay)
			}
			driver.now += 2 * watchReopenDelay
			driver.handle(TimerFired{Token: tokenWatch})
		}
	}
}

// Where the list is pushed, an instance counts as notified of a change as soon as it is made: a watch that
// failed or received nothing is reopened well within the drain grace, to which drivers set PushGrace, after
// any number of failures.
func TestEndpointWatch_PushedWatchIsReopenedWithinGrace(t *testing.T) {
	settings := pollingSettings()
	settings.DrainGrace, settings.PushGrace = 700*ms, 700*ms
	driver := startDriver(t, settings, 1)
	for failure := range 5 {
		var delay time.Duration
		if delays := watchTimerDelays(driver.handle(EndpointUpdate{Kind: UpdateFailed})); len(delays) > 0 {
			delay = delays[len(delays)-1]
		}
		driver.now += max(delay, settings.PushGrace/2)
		opened := opensWatch(driver.handle(TimerFired{Token: tokenWatch}))
		if delay > settings.PushGrace/2 || !opened {
			t.Errorf("failure %d: got a timer after %v and reopened %v, want half the grace at most and true",
				failure, delay, opened)
		}
	}
}

// watchCall is a call that opens the watch.
type watchCall struct{ openedAt, timeout time.Duration }

// callsToSilentRegistry returns the calls that an instance makes within a period in which it receives
// nothing. Its driver reports each call that was not answered within silence.
func callsToSilentRegistry(t *testing.T, settings Settings,
	period, silence time.Duration) (calls []watchCall) {
	t.Helper()
	const step = 5 * ms
	driver := startDriver(t, settings, 1)
	actions, reported := driver.actions, 0
	for end := driver.now + period; driver.now < end; driver.now += step {
		for _, timeout := range responseTimeouts(actions) {
			calls = append(calls, watchCall{driver.now, timeout})
		}
		events := []Event{TimerFired{Token: tokenWatch}}
		if reported < len(calls) {
			call := calls[reported]
			if driver.now >= call.openedAt+min(silence, call.timeout) {
				reported++
				if call.timeout >= silence {
					events = append(events, EndpointUpdate{Kind: UpdateFailed})
				}
			}
		}
		actions = driver.handle(events...)
	}
	return calls
}

// watchModes returns settings with lists that are pushed, with several drain graces, and polled.
func watchModes() map[string]Settings {
	modes := map[string]Settings{}
	for _, grace := range []time.Duration{20 * ms, 250 * ms, time.Second, 5 * time.Second} {
		settings := pollingSettings()
		settings.DrainGrace, settings.PushGrace = grace, grace
		modes["pushed, grace "+grace.String()] = settings
	}
	settings := pollingSettings()
	settings.PollTimeout = 10 * time.Second
	modes["polled"] = settings
	return modes
}

// Guards against a registry that is never heard because it takes longer for each call than the instance waits
// before it calls again. Whenever such a registry becomes reachable, a call that waits long enough is opened
// early enough that its response arrives before the instance counts as notified.
func TestEndpointWatch_HearsSlowRegistry(t *testing.T) {
	const silence, notifiedWithin, period = 1200 * ms, 6 * time.Second, 30 * time.Second
	for mode, settings := range watchModes() {
		calls := callsToSilentRegistry(t, settings, period, silence)
		for reachable := calls[0].openedAt; reachable < calls[0].openedAt+period/2; reachable += 35 * ms {
			for latency := 50 * ms; latency <= notifiedWithin/2; latency += 50 * ms {
				answered := slices.IndexFunc(calls, func(call watchCall) bool {
					return call.openedAt >= reachable && call.timeout >= latency
				})
				if answered < 0 || calls[answered].openedAt+latency > reachable+notifiedWithin {
					t.Fatalf("%s: reachable %v after the first call, %v for a call: got no response "+
						"within %v", mode, reachable-calls[0].openedAt, latency, notifiedWithin)
				}
			}
		}
	}
}

// However short the drain grace is, few calls wait for a response at once: each occupies a connection.
func TestEndpointWatch_FewCallsWaitAtOnce(t *testing.T) {
	const maxWaiting = 6
	for mode, settings := range watchModes() {
		calls := callsToSilentRegistry(t, settings, 30*time.Second, 1200*ms)
		for i, last := range calls {
			waiting := 0
			for _, call := range calls[:i+1] {
				if call.openedAt+call.timeout > last.openedAt {
					waiting++
				}
			}
			if waiting > maxWaiting {
				t.Fatalf("%s: got %d calls waiting at once, want %d at most", mode, waiting, maxWaiting)
			}
		}
	}
}
