package scheduler

import (
	"testing"
	"time"
)

// limitSettings returns the settings of a small site whose plan has a rate limit.
func limitSettings() Settings {
	settings := smallSiteSettings()
	settings.Plans[0].Limit, settings.Plans[0].Burst = 10, 40
	return settings
}

func TestQuota_IsEvenShareAndStartsEmpty(t *testing.T) {
	driver := startDriver(t, limitSettings(), 1)
	newRequest := func() Event {
		return driver.newRequest(func(r *Request) { r.VolumeInstances, r.Units = 2, 4 })
	}
	sent := sentIDs(driver.handle(newRequest()))
	wantEqual(t, "sent at the start, as the quota may have been spent before", sent)
	wantEqual(t, "sent before 0.8 s, 4 units at 10 units/s for 2 instances", sentIDs(driver.advance(790*ms)))
	wantEqual(t, "sent after 0.8 s", sentIDs(driver.advance(10*ms)), 1)
	driver.finishAttempt(1, 0, 0, OK, 10*ms)
	driver.now += time.Minute
	var requests []Event
	for range 8 {
		requests = append(requests, newRequest())
	}
	if got := len(sentIDs(driver.handle(requests...))); got != 5 {
		t.Errorf("got %d requests of 4 units sent at once, want 5: a burst of 40 for 2 instances", got)
	}
}

func TestQuota_RetryIsNotChargedAgain(t *testing.T) {
	driver := startDriver(t, limitSettings(), 1)
	driver.now += time.Second
	driver.handle(driver.newRequest(nil))
	driver.finishAttempt(1, 0, 0, Error, ms)
	if got := driver.scheduler.volumes.byID[1].quotaBucket.level; got != 9 {
		t.Errorf("units in the quota's bucket after two attempts of one request: got %v, want 9", got)
	}
}

// Instances that use up their quotas must together never send more than one token bucket of the whole limit
// allows, even when some of them are killed and restarted.
func TestQuota_AllInstancesStayWithinLimit(t *testing.T) {
	const instances = 8
	settings := smallSiteSettings()
	settings.Plans[0].Limit, settings.Plans[0].Burst = 20, 100
	total, level := 0.0, 100.0
	var drivers []*testDriver
	for range instances {
		drivers = append(drivers, startDriver(t, settings, 1))
	}
	begin := drivers[0].now
	for now := begin; now < begin+30*time.Second; now += 20 * ms {
		level = min(100, level+20*0.02)
		for i, driver := range drivers {
			if now == begin+10*time.Second && i%2 == 0 { // killed and restarted: its bucket starts empty
				driver = startDriver(t, settings, 1)
				drivers[i] = driver
				driver.scheduler.startedAt, driver.scheduler.now = now, now
			}
			driver.scheduler.now = now
			v := driver.scheduler.volumeFor(Request{Volume: 1, VolumeInstances: instances})
			for units := float64(1 + i); driver.scheduler.quotaRemaining(v) >= units; {
				v.quotaBucket.level -= units
				level -= units
				total += units
			}
		}
		if level < -1e-6 {
			t.Fatalf("bucket of the whole limit: got %v units after %v, want 0 at least", level, now-begin)
		}
	}
	if total < 400 {
		t.Errorf("got %v units sent, want 400 at least", total)
	}
}
