package scheduler

import "testing"

// orderingSettings are those of a site whose one class is ordered by key.
func orderingSettings() Settings {
	settings := smallSiteSettings()
	settings.Classes[0].OrderedByKey, settings.OrderingPause = true, 100*ms
	return settings
}

func TestOrdering_OneRequestPerKeyAtATime(t *testing.T) {
	driver := startDriver(t, orderingSettings(), 1)
	keyed := func() Event { return driver.newRequest(func(r *Request) { r.Key = 5 }) }
	sent := sentIDs(driver.handle(keyed(), keyed(), keyed(), driver.newRequest(nil)))
	wantEqual(t, "only the first of the key, and the one without a key", sent, 1, 4)
	wantEqual(t, "the second when the first is over", sentIDs(driver.finishAttempt(1, 0, 0, OK, ms)), 2)
	driver.handle(ClientGone{ID: 2})
	wantEqual(t, "none while the attempt has no result", sentIDs(driver.advance(10*ms)))
	driver.handle(AttemptResult{ID: 2, Server: testServer(0), Code: TimedOut, Latency: 20 * ms,
		RequestDone: true})
	wantEqual(t, "none during the pause after an uncertain outcome", sentIDs(driver.advance(95*ms)))
	wantEqual(t, "the third after the pause", sentIDs(driver.advance(5*ms)), 3)
}

func TestOrdering_ForgetsKeysAfterPause(t *testing.T) {
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
		t.Errorf("%d keys are known, want only those of the last 100 ms", got)
	}
}
