package scheduler

import (
	"testing"
	"time"
)

// One lost answer among many is no sick node.
func TestOutlier_OneTimeoutIsNoFailure(t *testing.T) {
	r := start(t, settings(), 1)
	r.do(r.ask(nil), r.ask(nil))
	r.now += 10 * ms
	r.done(2, 0, 0, OK, 10*ms)
	r.now += 4 * time.Second
	r.done(1, 0, 0, TimedOut, 4*time.Second)
	if n := r.h.endpoints.nodes[server(0)]; n.failures != 0 || n.latency > time.Second {
		t.Errorf("fails %d, latency %v", n.failures, n.latency)
	}
}

// A part of the answers of nodes that do their work may break on the way: one of them alone must not set its
// node to one request at a time. Two in a row are a node that fails.
func TestOutlier_OneResetIsNoFailure(t *testing.T) {
	r := start(t, settings(), 1)
	n := r.h.endpoints.nodes[server(0)]
	r.do(r.ask(nil), r.ask(nil), r.ask(nil))
	r.done(1, 0, 0, Reset, 10*ms)
	if n.failures != 0 || !r.h.isUsable(n) {
		t.Errorf("after one reset: %d failures, usable %v", n.failures, r.h.isUsable(n))
	}
	r.done(2, 0, 0, Reset, 10*ms)
	if n.failures != 1 {
		t.Errorf("after two resets: %d failures, want 1", n.failures)
	}
	r.done(3, 0, 0, OK, 10*ms)
	r.do(r.ask(nil))
	r.done(4, 0, 0, Reset, 10*ms)
	if n.failures != 0 {
		t.Errorf("a reset after an answer: %d failures, want 0", n.failures)
	}
}

func TestOutlier_UnreachableNodeGetsOneRequestAtATime(t *testing.T) {
	r := start(t, settings(), 1)
	r.do(r.ask(nil), r.ask(nil))
	r.done(1, 0, 0, ConnectFailed, 250*ms)
	r.done(2, 0, 0, ConnectFailed, 250*ms)
	if got := len(sends(r.pass(8 * initialBackoff))); got != 1 {
		t.Errorf("%d at once to a node that fails, want 1", got)
	}
}

// Hosts that lose a node at once must not try it again in step, nor leave it alone for long.
func TestOutlier_BackoffIsRandomized(t *testing.T) {
	r := start(t, settings(), 1)
	n := r.h.endpoints.nodes[server(0)]
	n.failures = 20
	seen := map[time.Duration]bool{}
	for range 20 {
		d := r.h.backoff(n)
		if d < maxBackoff/2 || d > maxBackoff*3/2 {
			t.Errorf("pause %v", d)
		}
		seen[d] = true
	}
	if len(seen) < 10 {
		t.Error("pauses in step")
	}
}

// A host that had no turn for a while finds answers that seem to have taken as long: they say nothing of the
// nodes, which must not be taken for slow, hung or failing.
func TestOutlier_IgnoresResultsAfterOwnStall(t *testing.T) {
	for _, code := range []ResultCode{OK, TimedOut} {
		r := start(t, settings(), 1)
		n := r.h.endpoints.nodes[server(0)]
		before := n.latency
		r.do(r.ask(nil))
		r.now += 900 * ms
		r.do(AttemptResult{ID: 1, Server: server(0), Code: code, Latency: 900 * ms, RequestDone: code == OK},
			TimerFired{Token: tokenReview})
		if n.latency != before || n.failures != 0 {
			t.Errorf("code %d: latency %v, was %v; fails %d", code, n.latency, before, n.failures)
		}
		r.now += 10 * ms
		r.do(TimerFired{Token: tokenReview})
		if r.h.review.stalled {
			t.Error("still held to have stalled")
		}
	}
}
