package daemon

import (
	"slices"
	"sync"
	"testing"
	"time"

	"landingpaddle/internal/proto"
	"landingpaddle/scheduler"
)

// holdGate suspends an instance while it is held.
type holdGate struct{ mu sync.RWMutex }

func (g *holdGate) wait() {
	g.mu.RLock()
	defer g.mu.RUnlock()
}

// Guards against an order of arrival that is taken from the order in which goroutines run: after a hold-up of
// the instance, writes of one key on several connections ran in another order. The time that the node was
// told counted from when the request was read.
func TestClientListener_KeepsOrderAcrossHoldUp(t *testing.T) {
	const (
		rounds  = 4
		writers = 4
		gap     = 30 * time.Millisecond
		timeout = 4 * time.Second
	)
	env, gate := newTestEnvironment(t), &holdGate{}
	var mu sync.Mutex
	var received []proto.Request
	env.addNode(0, func(conn *proto.Conn, frame proto.Frame, request proto.Request) error {
		if frame.Type == proto.TypeRequest {
			mu.Lock()
			received = append(received, request)
			mu.Unlock()
		}
		return echo(conn, frame, request)
	})
	env.start(func(cfg *Config) { cfg.Hooks.Gate = gate.wait })
	env.awaitLog("node listed")
	var clients []*testClient
	for range writers {
		client := env.connectClient()
		client.call(nil)
		clients = append(clients, client)
	}
	for round := range uint64(rounds) {
		mu.Lock()
		received = nil
		mu.Unlock()
		gate.mu.Lock()
		var want []uint64
		for i, client := range slices.Backward(clients) {
			token := 100*(round+1) + uint64(i)
			want = append(want, token)
			client.sendRequest(func(q *proto.Request) { q.Class, q.Key, q.Token = 1, 7+round, token })
			time.Sleep(gap)
		}
		gate.mu.Unlock()
		for _, client := range clients {
			client.awaitAnswer(client.lastStream)
		}
		mu.Lock()
		var got []uint64
		for i, request := range received {
			got = append(got, request.Token)
			if left := timeout - time.Duration(writers-i)*gap; request.Timeout > left {
				t.Errorf("round %d: the node was told a time-out of %v, want at most %v", round,
					request.Timeout, left)
			}
		}
		mu.Unlock()
		if !slices.Equal(got, want) {
			t.Errorf("round %d: got writes in the order %v, want %v", round, got, want)
		}
	}
}

// Guards against an answer that counts as too late because the instance was held up: it had arrived before
// the time-out of its attempt.
func TestUpstreamPool_AnswerUnreadDuringHoldUpMeetsTimeout(t *testing.T) {
	const rounds = 6
	env, gate := newTestEnvironment(t), &holdGate{}
	env.addNode(0, echoAfter(330*time.Millisecond))
	env.start(func(cfg *Config) {
		cfg.Hooks.Gate = gate.wait
		cfg.Site.Classes[0].LatencyObjective = 400 * time.Millisecond
	})
	env.awaitLog("node listed")
	client := env.connectClient()
	for round := range rounds {
		stream := client.sendRequest(nil)
		time.Sleep(300 * time.Millisecond)
		gate.mu.Lock()
		time.Sleep(140 * time.Millisecond)
		gate.mu.Unlock()
		if answer := client.awaitAnswer(stream); answer.Code != proto.OK {
			t.Errorf("round %d: got answer %+v, want OK", round, answer)
		}
	}
}

// An attempt whose answer may be unread is given more time once, if its client still waits then.
func TestEventLoop_ProlongsAttemptWithUnreadAnswer(t *testing.T) {
	const timeLeft = 500 * time.Millisecond
	for name, test := range map[string]struct {
		hasUnreadAnswer bool
		expiresAfter    time.Duration // after the time-out
		want            bool
	}{
		"unread answer":              {true, timeLeft, true},
		"nothing unread":             {false, timeLeft, false},
		"client waits no longer":     {true, unreadAnswerTime, false},
		"client waits hardly longer": {true, unreadAnswerTime + time.Millisecond, true},
	} {
		t.Run(name, func(t *testing.T) {
			drivers := &stubDrivers{hasUnreadAnswer: test.hasUnreadAnswer}
			eventLoop := NewEventLoop(EventLoopConfig{})
			l := newLoop(eventLoop, Drivers{Upstream: drivers, Endpoints: drivers})
			l.now = eventLoop.Now()
			call := &Call{Responder: drivers}
			r := &request{call: call, id: 1, expiresAt: l.now + time.Second + test.expiresAfter}
			call.requests, l.requests[1] = []*request{r}, r
			l.startAttempt(scheduler.Send{ID: 1, Timeout: time.Second})
			l.now += time.Second
			l.timers.runDue(l.now)
			if got := drivers.cancelled == 0; got != test.want {
				t.Fatalf("at the time-out: got prolonged %v, want %v", got, test.want)
			}
			l.now += unreadAnswerTime
			l.timers.runDue(l.now)
			if drivers.cancelled != 1 || eventLoop.Stats.TimedOut.Load() != 1 {
				t.Errorf("later: got %d attempts cancelled and %d timed out, want 1 each", drivers.cancelled,
					eventLoop.Stats.TimedOut.Load())
			}
		})
	}
}
