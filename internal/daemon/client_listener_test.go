package daemon

import (
	"testing"
	"time"

	"landingpaddle/internal/proto"
)

// A valid request is answered with the node's data. Requests with a field outside the site's bounds are
// rejected.
func TestClientListener_ServesValidAndRejectsInvalidRequests(t *testing.T) {
	env := newTestEnvironment(t)
	env.addNode(0, echo)
	env.start(nil)
	env.awaitLog("node listed")
	client := env.connectClient()
	if answer := client.call(nil); answer.Code != proto.OK || string(client.payloads[1]) != "data" {
		t.Errorf("got %+v with payload %q; want OK with data", answer, client.payloads[1])
	}
	for _, change := range []func(*proto.Request){
		func(q *proto.Request) { q.Class = 9 }, func(q *proto.Request) { q.Plan = 9 },
		func(q *proto.Request) { q.Units = 0 }, func(q *proto.Request) { q.Units = 1000 },
		func(q *proto.Request) { q.Timeout = 0 }, func(q *proto.Request) { q.Timeout = 100 * time.Hour },
		func(q *proto.Request) { q.Cell = -2 }, func(q *proto.Request) { q.Cell = 1 << 20 }} {
		if answer := client.call(change); answer.Code != proto.Rejected || answer.Reason != ReasonBadRequest {
			t.Errorf("got %+v for an invalid request; want Rejected, bad-request", answer)
		}
	}
	client.expectOneAnswerEach()
}

// Each of ten thousand requests in one burst gets exactly one answer, and the rejections of requests above
// MaxOpenRequests carry a RetryAfter.
func TestClientListener_AnswersEachRequestOfBurstOnce(t *testing.T) {
	env := newTestEnvironment(t)
	env.addNode(0, echo)
	instance := env.start(func(cfg *Config) { cfg.Site.Limits.MaxOpenRequests = 2000 })
	env.awaitLog("node listed")
	// Each connection allows 128 * 64 requests in flight: the default stream limit times clientStreamFactor.
	clients := []*testClient{env.connectClient(), env.connectClient()}
	for range 5000 {
		for _, client := range clients {
			client.sendRequest(nil)
		}
	}
	overload := 0
	for _, client := range clients {
		for stream := uint64(1); stream <= 5000; stream++ {
			if answer := client.awaitAnswer(stream); answer.Reason == ReasonOverload {
				if overload++; answer.RetryAfter <= 0 {
					t.Fatal("got a rejection for overload without RetryAfter; want RetryAfter > 0")
				}
			}
		}
		client.expectOneAnswerEach()
	}
	t.Logf("%d rejected for overload, %d served", overload, instance.Stats.Served.Load())
	if open := instance.openCalls.Load(); open != 0 {
		t.Errorf("got %d open calls after all answers; want 0", open)
	}
}

// When a client closes its connection, its open calls end.
func TestClientListener_EndsCallsOfClosedConnection(t *testing.T) {
	env := newTestEnvironment(t)
	env.addNode(0, ignoreRequest)
	instance := env.start(nil)
	env.awaitLog("node listed")
	client := env.connectClient()
	for range 20 {
		client.sendRequest(nil)
	}
	for instance.Stats.Admitted.Load() < 20 {
		time.Sleep(time.Millisecond)
	}
	client.conn.Close(nil)
	<-client.ended
	for instance.Stats.ClientGone.Load() < 20 {
		time.Sleep(time.Millisecond)
	}
	if open := instance.openCalls.Load(); open != 0 {
		t.Errorf("got %d open calls; want 0", open)
	}
}

// The listener's rejections carry a RetryAfter only if the site allows it.
func TestClientListener_RetryAfterOnlyWhereAllowed(t *testing.T) {
	for _, allowed := range []bool{true, false} {
		env := newTestEnvironment(t)
		env.addNode(0, echoAfter(200*time.Millisecond))
		instance := env.start(
			func(cfg *Config) { cfg.Site.Limits.RetryAfter, cfg.Site.Limits.MaxOpenRequests = allowed, 1 },
		)
		env.awaitLog("node listed")
		client := env.connectClient()
		client.sendRequest(nil)
		for instance.Stats.Attempts.Load() < 1 {
			time.Sleep(time.Millisecond)
		}
		overload := client.call(nil)
		instance.Stop()
		env.awaitLog("instance stopping")
		stopping := client.call(nil)
		for reason, answer := range map[string]proto.Answer{
			ReasonOverload: overload,
			ReasonStopping: stopping,
		} {
			if answer.Reason != reason || (answer.RetryAfter > 0) != allowed {
				t.Errorf("RetryAfter allowed %v: got %+v; "+
					"want reason overload before Stop, stopping after it, and RetryAfter only if allowed",
					allowed, answer)
			}
		}
		<-env.ended
	}
}
