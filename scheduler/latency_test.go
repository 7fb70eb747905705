package scheduler

import (
	"testing"
	"time"
)

// With many instances each hears of a node only now and then: what it learned of congestion must not hold for
// seconds.
func TestLatency_OldValuesFadeToRecentMean(t *testing.T) {
	driver := startDriver(t, smallSiteSettings(), 1)
	n := driver.node(0)
	for range 20 {
		driver.scheduler.latency.allClasses.add(1, 0.1)
	}
	n.latency, n.latencyUpdatedAt, driver.scheduler.latency.recentMean = 900*ms, driver.now, 100*ms
	driver.scheduler.now = driver.now + 3*latencyHalfLife
	if got := driver.scheduler.recentLatency(n); got != 200*ms {
		t.Errorf("recent latency is %v, want 200 ms", got)
	}
}

// A lost attempt makes its node look slower for a moment, and the fleet a little: neither nodes of a zone
// that is cut off nor those that lose a part of their answers may hold back requests to all others.
func TestLatency_LostAttemptsHardlyMoveRecentMean(t *testing.T) {
	driver := startDriver(t, smallSiteSettings(), 1)
	n, model := driver.node(0), &driver.scheduler.latency
	for range int(2 * regressionMinCount) {
		model.allClasses.add(1, 0.1)
	}
	n.latency, n.deviation = 100*ms, 10*ms
	model.recentMean, model.runningMedian = 100*ms, 100*ms
	driver.handle(driver.newRequest(nil))
	driver.now += time.Second
	driver.finishAttempt(1, 0, 0, TimedOut, time.Second)
	if n.latency <= 100*ms || n.deviation != 10*ms {
		t.Errorf("after a lost attempt: mean %v, deviation %v", n.latency, n.deviation)
	}
	highest := 100*ms + 100*ms/recentMeanWindow
	if model.recentMean <= 100*ms || model.recentMean > highest {
		t.Errorf("recent mean is %v, want over 100 ms and at most %v", model.recentMean, highest)
	}

	meanAfterOne := model.recentMean
	for range 20 { // the node goes on failing
		n.retryAt = 0
		r := driver.newRequest(nil)
		driver.handle(r)
		driver.now += time.Second
		driver.finishAttempt(r.ID, 0, 0, TimedOut, time.Second)
	}
	if n.failures < 10 || model.recentMean != meanAfterOne {
		t.Errorf("after %d failures of one node the recent mean is %v, was %v", n.failures, model.recentMean,
			meanAfterOne)
	}
	driver.scheduler.now += 4 * latencyHalfLife
	if got := driver.scheduler.recentLatency(n); got > n.latency/4 {
		t.Errorf("two seconds later the recent latency is %v of the node's %v", got, n.latency)
	}
}
