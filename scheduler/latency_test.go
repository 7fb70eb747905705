package scheduler

import (
	"testing"
	"time"
)

// With many instances, each gets an answer of a node only rarely: a latency observed during congestion must
// not stay in effect for seconds.
func TestLatency_OldValuesFadeToRecentMean(t *testing.T) {
	driver := startDriver(t, smallSiteSettings(), 1)
	n := driver.node(0)
	for range 20 {
		driver.scheduler.latency.allClasses.add(1, 0.1)
	}
	n.latency, n.latencyUpdatedAt, driver.scheduler.latency.recentMean = 900*ms, driver.now, 100*ms
	driver.scheduler.now = driver.now + 3*latencyHalfLife
	if got := driver.scheduler.recentLatency(n); got != 200*ms {
		t.Errorf("recent latency: got %v, want 200 ms", got)
	}
}

// A lost attempt raises its node's latency for a short time and the fleet's recent mean slightly: neither
// nodes of a zone that is cut off nor nodes that lose some of their answers may delay requests to all others.
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
		t.Errorf("after a lost attempt: got mean %v, deviation %v, want over 100 ms, 10 ms", n.latency,
			n.deviation)
	}
	highest := 100*ms + 100*ms/recentMeanWindow
	if model.recentMean <= 100*ms || model.recentMean > highest {
		t.Errorf("recent mean: got %v, want over 100 ms and at most %v", model.recentMean, highest)
	}

	meanAfterOne := model.recentMean
	for range 20 { // the node continues to fail
		n.retryAt = 0
		r := driver.newRequest(nil)
		driver.handle(r)
		driver.now += time.Second
		driver.finishAttempt(r.ID, 0, 0, TimedOut, time.Second)
	}
	if n.failures < 10 || model.recentMean != meanAfterOne {
		t.Errorf("after %d failures of one node (10 at least): got recent mean %v, want %v as before",
			n.failures, model.recentMean, meanAfterOne)
	}
	driver.scheduler.now += 4 * latencyHalfLife
	if got := driver.scheduler.recentLatency(n); got > n.latency/4 {
		t.Errorf("recent latency two seconds later: got %v, want a quarter of %v at most", got, n.latency)
	}
}
