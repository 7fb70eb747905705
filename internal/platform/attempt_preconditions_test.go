package platform

import (
	"net"
	"strings"
	"testing"
	"time"
)

// A client that goes away while the connection to the disk server comes up: nothing is sent on, and the
// connection serves the next request. (zone+brink: requests were sent on 0.15 s and more after the close.)
func TestAttempt_WithheldWhenClientGoneWhileConnecting(t *testing.T) {
	diskServer := newFakeDiskServer(t, func(int, *receivedRequest) []byte { return okResponse("ok") })
	fixture := startGateway(t, 256, diskServer)
	held := holdConnections(fixture)
	client := fixture.dial()
	client.send(requestText("GET", "read", "a1", 0, ""))
	<-held.requested
	client.conn.Close()
	eventually(
		t,
		"it is known to have gone",
		func() bool { return fixture.gateway.loop.Stats.ClientGone.Load() == 1 },
	)
	held.release <- struct{}{}
	awaitIdleConnections(fixture, 1)
	if n := len(diskServer.received()); n != 0 {
		t.Errorf("%d requests were sent on for a client that had gone", n)
	}
	next := fixture.dial()
	next.send(requestText("GET", "read", "a2", 0, ""))
	if status, _, _ := next.readAnswer(); status != 200 ||
		fixture.gateway.upstream.counters.dialed.Load() != 1 {
		t.Errorf(
			"the next: %d, after %d connections",
			status,
			fixture.gateway.upstream.counters.dialed.Load(),
		)
	}
}

// A disk server that begins to drain, is gone, or was started anew while a connection to it comes up is not
// sent what was decided before: the drain's grace may be over, and a new process is cold.
func TestAttempt_WithheldWhenNodeChangesWhileConnecting(t *testing.T) {
	for name, change := range map[string]func(*ListedServer){
		"drains":      func(l *ListedServer) { l.Lifecycle = "draining" },
		"gone":        func(l *ListedServer) { l.Lifecycle = "gone" },
		"started now": func(l *ListedServer) { l.StartedAtMS = float64(time.Now().UnixMilli()) },
	} {
		t.Run(name, func(t *testing.T) {
			diskServer := newFakeDiskServer(
				t,
				func(int, *receivedRequest) []byte { return okResponse("ok") },
			)
			discovery := newFakeDiscovery(
				t,
				List{
					Generation: 7,
					Reset:      true,
					Instances:  []ListedServer{listedServer("s-0", diskServer, 0)},
				},
			)
			fixture := startGatewayAt(
				t,
				discovery.address(),
				diskServer,
				func(s string) string { // a slow machine has its time, too
					s = replaceOnce(t, s, `"dial_timeout_ns":250000000`, `"dial_timeout_ns":9000000000`)
					if name != "started now" { // given up on before it may be decided anew
						return s
					}
					return strings.ReplaceAll(s, `"on_time_ns":500000000`, `"on_time_ns":1900000000`)
				},
			)
			fixture.discovery = discovery
			<-fixture.gateway.loop.Ready()
			fixture.discovery.awaitWatches(t, 1)
			held := holdConnections(fixture)
			client := fixture.dial()
			client.send(requestText("PUT", "pay", "a1", 0, ""))
			<-held.requested
			server := listedServer("s-0", diskServer, 0)
			change(&server)
			fixture.discovery.push(server)
			eventually(
				t,
				"the change is held",
				func() bool { _, v := fixture.gateway.loop.ListVersion(); return v == 8 },
			)
			held.release <- struct{}{}
			eventually(t, "the attempt has ended", func() bool {
				return fixture.gateway.loop.Stats.ConnectFailed.Load() == 1
			})
			if status, _, _ := client.readAnswer(); name == "started now" &&
				status != 200 || // it was decided anew
				name != "started now" && (status != 503 || len(diskServer.received()) != 0) {
				t.Errorf("answered %d after %d sends", status, len(diskServer.received()))
			}
			if sends := fixture.gateway.loop.Stats.Attempts.Load(); name == "started now" && sends != 2 {
				t.Errorf("%d sends were decided", sends)
			}
		})
	}
}

// Time that is over when the connection comes up: nothing is written.
func TestAttempt_WithheldWhenTimeIsOverWhileConnecting(t *testing.T) {
	diskServer := newFakeDiskServer(t, func(int, *receivedRequest) []byte { return okResponse("ok") })
	fixture := startGateway(t, 256, diskServer)
	held := holdConnections(fixture)
	client := fixture.dial()
	short := requestText("PUT", "pay", "a1", 0, "")
	client.send(replaceOnce(t, short, "X-Budget: 1.500", "X-Budget: 0.100"))
	<-held.requested
	if status, _, _ := client.readAnswer(); status != 504 && status != 503 {
		t.Errorf("answered %d", status)
	}
	held.release <- struct{}{}
	awaitNoAttempts(fixture)
	if n := len(diskServer.received()); n != 0 {
		t.Errorf("%d sends after the client's time", n)
	}
}

// The window in which disk servers drop a repeat is over when the connection for one comes up: it is not
// sent. (zone+brink, seed 35: sent again outside its window.)
func TestAttempt_WithheldWhenDedupWindowIsOver(t *testing.T) {
	diskServer := newFakeDiskServer(
		t,
		func(int, *receivedRequest) []byte { return nil },
	) // breaks after the whole request
	discovery := newScriptedDiscovery(
		t,
		func(_ int, _ string, _ net.Conn, ended <-chan struct{}) { <-ended },
	)
	fixture := startGatewayAt(t, discovery.listener.Addr().String(), diskServer, func(s string) string {
		return replaceOnce(t, s, `"window_ns":5000000000`, `"window_ns":200000000`)
	})
	<-fixture.gateway.loop.Ready()
	held := holdConnections(fixture)
	client := fixture.dial()
	client.send(requestText("PUT", "write", "a1", 0, "x", "Idempotency-Key: k"))
	<-held.requested
	sent := time.Now()
	held.release <- struct{}{}
	<-held.requested // the repeat's
	time.Sleep(time.Until(sent.Add(215 * time.Millisecond)))
	held.release <- struct{}{}
	if status, _, _ := client.readAnswer(); status != 502 {
		t.Errorf("answered %d; it may have run and cannot be repeated", status)
	}
	if n := len(diskServer.received()); n != 1 {
		t.Errorf("%d sends, the last one outside the window", n)
	}
}
