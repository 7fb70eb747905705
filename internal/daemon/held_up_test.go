package daemon

import (
	"slices"
	"sync"
	"testing"
	"time"

	"landingpaddle/internal/proto"
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
		received = nil
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
