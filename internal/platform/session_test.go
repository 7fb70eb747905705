package platform

import (
	"strconv"
	"strings"
	"testing"
	"time"
)

// Pipelined requests are served in their order.
func TestSession_ServesPipelinedRequestsInOrder(t *testing.T) {
	diskServer := newFakeDiskServer(t, echoID)
	client := startGateway(t, 256, diskServer).dial()
	client.send(readText("a1") + payText("a2", "xyz") + readText("a3"))
	for _, id := range []string{"a1", "a2", "a3"} {
		if status, _, body := client.readAnswer(); status != 200 || body != id {
			t.Fatalf("%s got %d %q", id, status, body)
		}
	}
}

// A client that closes its connection has gone: its attempt is cancelled by closing the connection to the
// disk server.
func TestSession_CancelsAttemptWhenClientGone(t *testing.T) {
	broke := make(chan struct{})
	diskServer := newFakeDiskServer(t, func(int, *receivedRequest) []byte { <-broke; return nil })
	fixture := startGateway(t, 256, diskServer)
	defer close(broke)
	client := fixture.dial()
	client.send(readText("a1"))
	diskServer.awaitRequests(t, 1)
	client.conn.Close()
	fixture.awaitClientGone()
	eventually(t, "no connection is held for it", func() bool {
		fixture.gateway.upstream.mu.Lock()
		defer fixture.gateway.upstream.mu.Unlock()
		return fixture.gateway.upstream.connections == 0 && len(fixture.gateway.upstream.attempts) == 0
	})
}

// A client that goes is noticed at once, whatever it wrote behind the request in flight: half a request,
// whole ones, more than a head may be long.
func TestSession_NoticesClientGoneBehindPipelinedBytes(t *testing.T) {
	for name, behind := range map[string]string{
		"nothing":       "",
		"half a head":   "GET /api?extent=7f3a",
		"half a body":   payText("b1", "hello")[:200],
		"whole ones":    readText("b1") + payText("b2", "hello"),
		"very many":     strings.Repeat(readText("b1"), 200),
		"noise and end": "\x00\x00\x00",
	} {
		t.Run(name, func(t *testing.T) {
			diskServer, released := newHeldDiskServer(t)
			fixture := startGateway(t, 256, diskServer)
			client := fixture.dial()
			client.send(payText("a1", "") + behind)
			diskServer.awaitRequests(t, 1)
			client.conn.Close()
			fixture.awaitClientGone()
			released <- struct{}{}
			eventually(t, "its connection is closed", func() bool {
				return fixture.gateway.frontend.countByState() == connectionCounts{}
			})
			if n := len(diskServer.received()); n != 1 {
				t.Errorf("%d sends; those behind it must not begin", n)
			}
			eventually(t, "no memory is held for it", func() bool {
				return fixture.gateway.frontend.bodyBytes.Load() == 0
			})
		})
	}
}

// The time of a request that came together with others counts from when it came.
func TestSession_CountsTimeFromArrivalOfPipelinedRequest(t *testing.T) {
	diskServer, released := newHeldDiskServer(t)
	fixture := startGateway(t, 256, diskServer)
	client := fixture.dial()
	sent := time.Now()
	client.send(payText("a1", "") + payText("a2", ""))
	diskServer.awaitRequests(t, 1)
	time.Sleep(100 * time.Millisecond) // the service of the first
	released <- struct{}{}
	released <- struct{}{}
	for _, id := range []string{"a1", "a2"} {
		if status, _, body := client.readAnswer(); status != 200 || body != id {
			t.Fatalf("%s: %d %q", id, status, body)
		}
	}
	text, _ := diskServer.received()[1].head.Header.Get("X-Budget")
	if left, err := strconv.ParseFloat(text, 64); err != nil || left > 1.4 ||
		left < 1.5-time.Since(sent).Seconds()-0.02 {
		t.Errorf("stated %q, %v; 0.1 s of 1.5 s had passed", text, err)
	}
}
