package scheduler

import (
	"testing"
	"time"
)

// With many hosts each hears of a node but now and then: what it knew of a jam must not hold for seconds.
func TestLatency_OldValuesFadeToRecentMean(t *testing.T) {
	r := start(t, settings(), 1)
	n := r.h.endpoints.nodes[server(0)]
	for range 20 {
		r.h.latency.allClasses.add(1, 0.1)
	}
	n.latency, n.latencyUpdatedAt, r.h.latency.recentMean = 900*ms, r.now, 100*ms
	r.h.now = r.now + 3*latencyHalfLife
	if got := r.h.recentLatency(n); got != 200*ms {
		t.Errorf("got %v, want 200 ms", got)
	}
}

// An attempt that was lost makes its node look slower for a moment, and the fleet a little: neither the nodes
// of a hall that is cut off nor those that lose a part of their answers may choke the rest.
func TestLatency_LostAttemptsHardlyMoveRecentMean(t *testing.T) {
	r := start(t, settings(), 1)
	n := r.h.endpoints.nodes[server(0)]
	for range int(2 * regressionMinCount) {
		r.h.latency.allClasses.add(1, 0.1)
	}
	n.latency, n.deviation, r.h.latency.recentMean, r.h.latency.runningMedian = 100*ms, 10*ms, 100*ms, 100*ms
	r.do(r.ask(nil))
	r.now += time.Second
	r.done(1, 0, 0, TimedOut, time.Second)
	if n.latency <= 100*ms || n.deviation != 10*ms {
		t.Errorf("after a lost attempt: mean %v, deviation %v", n.latency, n.deviation)
	}
	most := 100*ms + 100*ms/recentMeanWindow
	if r.h.latency.recentMean <= 100*ms || r.h.latency.recentMean > most {
		t.Errorf("the fleet's mean is %v, want over 100 ms and at most %v", r.h.latency.recentMean, most)
	}
	tide := r.h.latency.recentMean
	for range 20 { // the node goes on failing
		n.retryAt = 0
		q := r.ask(nil)
		r.do(q)
		r.now += time.Second
		r.done(q.ID, 0, 0, TimedOut, time.Second)
	}
	if n.failures < 10 || r.h.latency.recentMean != tide {
		t.Errorf(
			"after %d failures of one node the fleet's mean is %v, was %v",
			n.failures,
			r.h.latency.recentMean,
			tide,
		)
	}
	r.h.now += 4 * latencyHalfLife
	if got := r.h.recentLatency(n); got > n.latency/4 {
		t.Errorf("two seconds later the node seems to take %v of its %v", got, n.latency)
	}
}
