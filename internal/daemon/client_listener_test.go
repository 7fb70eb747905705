package daemon

import (
	"testing"
	"time"

	"landingpaddle/internal/proto"
)

// A valid request is served with its data, one out of the site's bounds is rejected.
func TestClientListener_ServesValidAndRejectsInvalidRequests(t *testing.T) {
	r := newTestEnvironment(t)
	r.node(0, echo)
	r.start(nil)
	r.logged("node listed")
	c := r.client()
	if a := c.wait(c.ask(nil)); a.Code != proto.OK || string(c.bodies[1]) != "data" {
		t.Errorf("got %+v, %q", a, c.bodies[1])
	}
	for _, bad := range []func(*proto.Request){
		func(q *proto.Request) { q.Class = 9 }, func(q *proto.Request) { q.Plan = 9 },
		func(q *proto.Request) { q.Units = 0 }, func(q *proto.Request) { q.Units = 1000 },
		func(q *proto.Request) { q.Timeout = 0 }, func(q *proto.Request) { q.Timeout = 100 * time.Hour },
		func(q *proto.Request) { q.Cell = -2 }, func(q *proto.Request) { q.Cell = 1 << 20 }} {
		if a := c.wait(c.ask(bad)); a.Code != proto.Rejected || a.Reason != ReasonBadRequest {
			t.Errorf("a bad request got %+v", a)
		}
	}
	c.once()
}

// Ten thousand requests in one burst have one answer each, and those over the bound are told when to retry.
func TestClientListener_AnswersEachRequestOfBurstOnce(t *testing.T) {
	r := newTestEnvironment(t)
	r.node(0, echo)
	inst := r.start(func(cfg *Config) { cfg.Site.Limits.MaxOpenRequests = 2000 })
	r.logged("node listed")
	callers := []*testClient{r.client(), r.client()} // one connection has 8,192 in flight at most
	for range 5000 {
		for _, c := range callers {
			c.ask(nil)
		}
	}
	overload := 0
	for _, c := range callers {
		for s := uint64(1); s <= 5000; s++ {
			if a := c.wait(s); a.Reason == ReasonOverload {
				if overload++; a.RetryAfter <= 0 {
					t.Fatal("refused without advice")
				}
			}
		}
		c.once()
	}
	t.Logf("%d over the bound, %d served", overload, inst.Stats.Served.Load())
	if open := inst.openCalls.Load(); open != 0 {
		t.Errorf("%d counted as open after all", open)
	}
}

// A client that closes its connection ends its calls.
func TestClientListener_EndsCallsOfClosedConnection(t *testing.T) {
	r := newTestEnvironment(t)
	r.node(0, ignoreRequest)
	inst := r.start(nil)
	r.logged("node listed")
	c := r.client()
	for range 20 {
		c.ask(nil)
	}
	for inst.Stats.Admitted.Load() < 20 {
		time.Sleep(time.Millisecond)
	}
	c.conn.Close(nil)
	<-c.ended
	for inst.Stats.ClientGone.Load() < 20 {
		time.Sleep(time.Millisecond)
	}
	if open := inst.openCalls.Load(); open != 0 {
		t.Errorf("%d still open", open)
	}
}

// Where the site's rejections may not say when to retry, those of the listener do not either.
func TestClientListener_RetryAfterOnlyWhereAllowed(t *testing.T) {
	for _, allowed := range []bool{true, false} {
		r := newTestEnvironment(t)
		r.node(0, echoAfter(200*time.Millisecond))
		inst := r.start(
			func(cfg *Config) { cfg.Site.Limits.RetryAfter, cfg.Site.Limits.MaxOpenRequests = allowed, 1 },
		)
		r.logged("node listed")
		c := r.client()
		c.ask(nil)
		for inst.Stats.Attempts.Load() < 1 {
			time.Sleep(time.Millisecond)
		}
		over := c.wait(c.ask(nil))
		inst.Stop()
		r.logged("instance stopping")
		stopping := c.wait(c.ask(nil))
		for reason, a := range map[string]proto.Answer{ReasonOverload: over, ReasonStopping: stopping} {
			if a.Reason != reason || (a.RetryAfter > 0) != allowed {
				t.Errorf("advice allowed %v: got %+v", allowed, a)
			}
		}
		<-r.ended
	}
}
