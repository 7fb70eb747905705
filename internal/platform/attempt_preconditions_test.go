package platform

import (
	"strings"
	"testing"
	"time"
)

// A client disconnects while the connection to the disk server is being established: its request is not
// forwarded, and the connection serves the next request. In the scenario zone+brink, requests were forwarded
// 0.15 s and more after the client's close.
func TestAttempt_WithheldWhenClientDisconnectsWhileConnecting(t *testing.T) {
	diskServer := newOKDiskServer(t)
	fixture := startGateway(t, 256, diskServer)
	held := holdConnections(fixture)
	client := fixture.dial()
	client.send(readText("a1"))
	<-held.requested
	client.conn.Close()
	fixture.awaitClientDisconnect()
	held.release <- struct{}{}
	fixture.awaitIdleConnections(1)
	if n := len(diskServer.received()); n != 0 {
		t.Errorf("got %d requests forwarded for a disconnected client, want 0", n)
	}
	next := fixture.dial()
	next.send(readText("a2"))
	if status, _, _ := next.readAnswer(); status != 200 ||
		fixture.gateway.upstream.counters.dialed.Load() != 1 {
		t.Errorf("next request: got status %d after %d connections, want 200 after 1", status,
			fixture.gateway.upstream.counters.dialed.Load())
	}
}

// A disk server begins to drain, is removed or restarts while a connection to it is being established: the
// attempt is not sent, as the drain grace period may be over and a restarted disk server is cold.
func TestAttempt_WithheldWhenNodeChangesWhileConnecting(t *testing.T) {
	for name, change := range map[string]func(*ListedServer){
		"drains":    func(l *ListedServer) { l.Lifecycle = "draining" },
		"removed":   func(l *ListedServer) { l.Lifecycle = "gone" },
		"restarted": func(l *ListedServer) { l.StartedAtMS = float64(time.Now().UnixMilli()) },
	} {
		t.Run(name, func(t *testing.T) {
			diskServer := newOKDiskServer(t)
			isRestart := name == "restarted"
			server := listedServer("s-0", diskServer, 0)
			discovery := newFakeDiscovery(t,
				List{Generation: 7, Reset: true, Instances: []ListedServer{server}})
			fixture := startGatewayAt(t, discovery.address(), diskServer, func(config string) string {
				// The connect timeout must not expire, even on a slow machine.
				config = replaceOnce(t, config, `"dial_timeout_ns":250000000`,
					`"dial_timeout_ns":9000000000`)
				if !isRestart { // a restart needs a longer objective, else the retry is rejected
					return config
				}
				return strings.ReplaceAll(config, `"on_time_ns":500000000`, `"on_time_ns":1900000000`)
			})
			fixture.discovery = discovery
			<-fixture.gateway.loop.Ready()
			fixture.discovery.awaitWatches(t, 1)
			held := holdConnections(fixture)
			client := fixture.dial()
			client.send(payText("a1", ""))
			<-held.requested
			change(&server)
			fixture.discovery.push(server)
			fixture.awaitListVersion(8, time.Now().Add(eventualTimeout))
			held.release <- struct{}{}
			eventually(t, "the attempt has ended as ConnectFailed", func() bool {
				return fixture.gateway.loop.Stats.ConnectFailed.Load() == 1
			})
			status, _, _ := client.readAnswer()
			received, attempts := len(diskServer.received()), fixture.gateway.loop.Stats.Attempts.Load()
			if isRestart && status != 200 || !isRestart && (status != 503 || received != 0) {
				t.Errorf("got status %d after %d sends; want 503 after 0, or 200 for a restart", status,
					received)
			}
			if isRestart && attempts != 2 { // the withheld one and its retry
				t.Errorf("got %d attempts, want 2", attempts)
			}
		})
	}
}

// The request's deadline passes while the connection is being established: nothing is written.
func TestAttempt_WithheldWhenDeadlinePassesWhileConnecting(t *testing.T) {
	diskServer := newOKDiskServer(t)
	fixture := startGateway(t, 256, diskServer)
	held := holdConnections(fixture)
	client := fixture.dial()
	text := payText("a1", "")
	client.send(replaceOnce(t, text, "X-Budget: 1.500", "X-Budget: 0.100"))
	<-held.requested
	if status, _, _ := client.readAnswer(); status != 504 && status != 503 {
		t.Errorf("got status %d, want 503 or 504", status)
	}
	held.release <- struct{}{}
	fixture.awaitNoAttempts()
	if n := len(diskServer.received()); n != 0 {
		t.Errorf("got %d sends after the request's deadline, want 0", n)
	}
}

// The deduplication window ends while the connection for a retry is being established: the retry is not sent.
// In the scenario zone+brink, seed 35, a retry was sent outside its window.
func TestAttempt_WithheldWhenDedupWindowEnds(t *testing.T) {
	breakConnection := func(int, *receivedRequest) []byte { return nil } // after the whole request
	diskServer := newFakeDiskServer(t, breakConnection)
	discovery := newScriptedDiscovery(t, neverAnswer)
	fixture := startGatewayAt(t, discovery.address(), diskServer, func(config string) string {
		return replaceOnce(t, config, `"window_ns":5000000000`, `"window_ns":200000000`)
	})
	<-fixture.gateway.loop.Ready()
	held := holdConnections(fixture)
	client := fixture.dial()
	client.send(requestText("PUT", "write", "a1", 0, "x", "Idempotency-Key: k"))
	<-held.requested
	sent := time.Now()
	held.release <- struct{}{}
	<-held.requested // for the retry
	// The window of 200 ms must have ended.
	time.Sleep(time.Until(sent.Add(215 * time.Millisecond)))
	held.release <- struct{}{}
	if status, _, _ := client.readAnswer(); status != 502 {
		t.Errorf("got status %d, want 502: the request may have run and cannot be retried", status)
	}
	if n := len(diskServer.received()); n != 1 {
		t.Errorf("got %d sends, want 1: the retry was sent outside the window", n)
	}
}
