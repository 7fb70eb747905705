package scheduler

import (
	"fmt"
	"testing"
	"time"
)

// One lost answer among many does not count as a failure of the node.
func TestOutlier_OneTimeoutIsNotAFailure(t *testing.T) {
	driver := startDriver(t, smallSiteSettings(), 1)
	driver.handle(driver.newRequest(nil), driver.newRequest(nil))
	driver.now += 10 * ms
	driver.finishAttempt(2, 0, 0, OK, 10*ms)
	driver.now += 4 * time.Second
	driver.finishAttempt(1, 0, 0, TimedOut, 4*time.Second)
	if n := driver.node(0); n.failures != 0 || n.latency > time.Second {
		t.Errorf("got %d failures, latency %v, want none, one second at most", n.failures, n.latency)
	}
}

// Connections that break may lose a part of the answers of healthy nodes: a single reset must not limit its
// node to one request at a time. Two in a row count as a failure.
func TestOutlier_OneResetIsNotAFailure(t *testing.T) {
	driver := startDriver(t, smallSiteSettings(), 1)
	n := driver.node(0)
	driver.handle(driver.newRequest(nil), driver.newRequest(nil), driver.newRequest(nil))
	driver.finishAttempt(1, 0, 0, Reset, 10*ms)
	if n.failures != 0 || !driver.scheduler.isUsable(n) {
		t.Errorf("after one reset: got %d failures, usable %v, want 0, true", n.failures,
			driver.scheduler.isUsable(n))
	}
	driver.finishAttempt(2, 0, 0, Reset, 10*ms)
	if n.failures != 1 {
		t.Errorf("after two resets: got %d failures, want 1", n.failures)
	}
	driver.finishAttempt(3, 0, 0, OK, 10*ms)
	driver.handle(driver.newRequest(nil))
	driver.finishAttempt(4, 0, 0, Reset, 10*ms)
	if n.failures != 0 {
		t.Errorf("after an answer and a reset: got %d failures, want 0", n.failures)
	}
}

func TestOutlier_UnreachableNodeGetsOneRequestAtATime(t *testing.T) {
	driver := startDriver(t, smallSiteSettings(), 1)
	driver.handle(driver.newRequest(nil), driver.newRequest(nil))
	driver.finishAttempt(1, 0, 0, ConnectFailed, 250*ms)
	driver.finishAttempt(2, 0, 0, ConnectFailed, 250*ms)
	if got := len(sentIDs(driver.advance(8 * initialBackoff))); got != 1 {
		t.Errorf("got %d requests at once to a failing node, want 1", got)
	}
}

// Instances that detect a failing node at the same time must not retry it in step, nor avoid it for long.
func TestOutlier_BackoffIsRandomized(t *testing.T) {
	driver := startDriver(t, smallSiteSettings(), 1)
	n := driver.node(0)
	n.failures = 20
	distinct := map[time.Duration]bool{}
	for range 20 {
		backoff := driver.scheduler.backoff(n)
		if backoff < maxBackoff/2 || backoff > maxBackoff*3/2 {
			t.Errorf("backoff: got %v, want %v to %v", backoff, maxBackoff/2, maxBackoff*3/2)
		}
		distinct[backoff] = true
	}
	if len(distinct) < 10 {
		t.Errorf("got %d distinct backoffs of 20, want 10 at least", len(distinct))
	}
}

// After a stall of this process, the latency of answers includes the stall. It indicates nothing about the
// nodes, which must not be treated as slow, hung or failing.
func TestOutlier_IgnoresResultsAfterOwnStall(t *testing.T) {
	for _, code := range []ResultCode{OK, TimedOut} {
		t.Run(fmt.Sprint("code=", code), func(t *testing.T) {
			driver := startDriver(t, smallSiteSettings(), 1)
			n := driver.node(0)
			before := n.latency
			driver.handle(driver.newRequest(nil))
			driver.now += 900 * ms
			driver.handle(
				AttemptResult{ID: 1, Server: testServer(0), Code: code, Latency: 900 * ms,
					RequestDone: code == OK},
				TimerFired{Token: tokenReview},
			)
			if n.latency != before || n.failures != 0 {
				t.Errorf("got latency %v, want %v; got %d failures, want none", n.latency, before, n.failures)
			}
			driver.now += 10 * ms
			driver.handle(TimerFired{Token: tokenReview})
			if driver.scheduler.review.stalled {
				t.Error("after a review in time: got stalled, want not stalled")
			}
		})
	}
}
