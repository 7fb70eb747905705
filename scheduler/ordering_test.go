package scheduler

import "testing"

// orderingSettings returns the settings of a site whose only class is ordered by key.
func orderingSettings() Settings {
	settings := smallSiteSettings()
	settings.Classes[0].OrderedByKey, settings.OrderingPause = true, 100*ms
	return settings
}

// A request waits until the previous one of its key is finished, also if that one's client has disconnected,
// and for OrderingPause after an attempt of uncertain outcome.
func TestOrdering_OneRequestPerKeyAtATime(t *testing.T) {
	driver := startDriver(t, orderingSettings(), 1)
	keyed := func() Event { return driver.newRequest(func(r *Request) { r.Key = 5 }) }
	sent := sentIDs(driver.handle(keyed(), keyed(), keyed(), driver.newRequest(nil)))
	wantEqual(t, "sent, the first of the key and the one without a key", sent, 1, 4)
	wantEqual(t, "sent when the first is finished", sentIDs(driver.finishAttempt(1, 0, 0, OK, ms)), 2)
	driver.handle(RequestWithdrawn{ID: 2})
	wantEqual(t, "sent while the attempt has no result", sentIDs(driver.advance(10*ms)))
	driver.handle(AttemptResult{ID: 2, Server: testServer(0), Code: TimedOut, Latency: 20 * ms,
		RequestDone: true})
	wantEqual(t, "sent during the pause after an uncertain outcome", sentIDs(driver.advance(95*ms)))
	wantEqual(t, "sent after the pause", sentIDs(driver.advance(5*ms)), 3)
}

func TestOrdering_DeletesIdleKeysAfterPause(t *testing.T) {
	driver := startDriver(t, orderingSettings(), 1)
	for key := range uint64(50) {
		driver.handle(driver.newRequest(func(r *Request) { r.Key, r.Volume = key+1, key }))
		driver.now += 10 * ms
		code := OK
		if key%2 == 0 {
			code = TimedOut
		}
		driver.handle(AttemptResult{ID: driver.lastID, Server: testServer(0), Code: code, Latency: 10 * ms,
			RequestDone: true})
	}
	if got := len(driver.scheduler.keys.byKey); got > 12 {
		t.Errorf("got %d keys, want 12 at most, those of the last 100 ms", got)
	}
}
