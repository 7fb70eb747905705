package platform

import (
	"strconv"
	"strings"
	"testing"
	"time"
)

// Requests that come one behind the other on a connection are served in turn.
func TestSession_ServesPipelinedRequestsInOrder(t *testing.T) {
	diskServer := newFakeDiskServer(t, func(_ int, request *receivedRequest) []byte {
		id, _ := request.request.Header.Get("X-Call-Id")
		return okResponse(id)
	})
	client := startGateway(t, 256, diskServer).dial()
	client.send(
		requestText(
			"GET",
			"read",
			"a1",
			0,
			"",
		) + requestText(
			"PUT",
			"pay",
			"a2",
			0,
			"xyz",
		) + requestText(
			"GET",
			"read",
			"a3",
			0,
			"",
		),
	)
	for _, id := range []string{"a1", "a2", "a3"} {
		if status, _, body := client.readAnswer(); status != 200 || body != id {
			t.Fatalf("%s got %d %q", id, status, body)
		}
	}
}

// A client that closes has gone away: its attempt is cancelled by closing the connection to the disk server.
func TestSession_CancelsAttemptWhenClientGone(t *testing.T) {
	broke := make(chan struct{})
	diskServer := newFakeDiskServer(t, func(int, *receivedRequest) []byte { <-broke; return nil })
	fixture := startGateway(t, 256, diskServer)
	defer close(broke)
	client := fixture.dial()
	client.send(requestText("GET", "read", "a1", 0, ""))
	eventually(t, "it is out", func() bool { return len(diskServer.received()) == 1 })
	client.conn.Close()
	eventually(t, "it has left", func() bool { return fixture.gateway.loop.Stats.ClientGone.Load() == 1 })
	eventually(t, "no connection is held for it", func() bool {
		fixture.gateway.upstream.mu.Lock()
		defer fixture.gateway.upstream.mu.Unlock()
		return fixture.gateway.upstream.connections == 0 && len(fixture.gateway.upstream.attempts) == 0
	})
}

// A client that goes away is noticed at once, whatever it wrote behind the request that is in work: half a
// request, whole ones, more than a head may be long.
func TestSession_NoticesClientGoneBehindPipelinedBytes(t *testing.T) {
	for name, behind := range map[string]string{
		"nothing":     "",
		"half a head": "GET /api?extent=7f3a",
		"half a body": requestText("PUT", "pay", "b1", 0, "hello")[:200],
		"whole ones": requestText("GET", "read", "b1", 0, "") +
			requestText("PUT", "pay", "b2", 0, "hello"),
		"very many":     strings.Repeat(requestText("GET", "read", "b1", 0, ""), 200),
		"noise and end": "\x00\x00\x00",
	} {
		t.Run(name, func(t *testing.T) {
			diskServer, released := newHeldDiskServer(t)
			fixture := startGateway(t, 256, diskServer)
			client := fixture.dial()
			client.send(requestText("PUT", "pay", "a1", 0, "") + behind)
			eventually(t, "the first is out", func() bool { return len(diskServer.received()) == 1 })
			client.conn.Close()
			eventually(t, "its going away is noticed while its answer is awaited", func() bool {
				return fixture.gateway.loop.Stats.ClientGone.Load() == 1
			})
			released <- struct{}{}
			eventually(t, "its connection is closed", func() bool {
				return fixture.gateway.frontend.countByState() == connectionCounts{}
			})
			if n := len(diskServer.received()); n != 1 {
				t.Errorf("%d sends; those behind must not begin", n)
			}
			eventually(
				t,
				"nothing is held for it",
				func() bool { return fixture.gateway.frontend.bodyBytes.Load() == 0 },
			)
		})
	}
}

// A request that came with others before it has waited since then: that is what is left of its time.
func TestSession_CountsTimeFromArrivalOfPipelinedRequest(t *testing.T) {
	diskServer, released := newHeldDiskServer(t)
	fixture := startGateway(t, 256, diskServer)
	client := fixture.dial()
	sent := time.Now()
	client.send(requestText("PUT", "pay", "a1", 0, "") + requestText("PUT", "pay", "a2", 0, ""))
	eventually(t, "the first is out", func() bool { return len(diskServer.received()) == 1 })
	time.Sleep(100 * time.Millisecond) // the service of the first
	released <- struct{}{}
	released <- struct{}{}
	for _, id := range []string{"a1", "a2"} {
		if status, _, body := client.readAnswer(); status != 200 || body != id {
			t.Fatalf("%s: %d %q", id, status, body)
		}
	}
	text, _ := diskServer.received()[1].request.Header.Get("X-Budget")
	if told, err := strconv.ParseFloat(text, 64); err != nil || told > 1.4 ||
		told < 1.5-time.Since(sent).Seconds()-0.02 {
		t.Errorf("told %q, %v; 0.1 s of 1.5 s had passed", text, err)
	}
}
