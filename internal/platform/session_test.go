package platform

import (
	"fmt"
	"net"
	"strconv"
	"strings"
	"testing"
	"time"
)

// Pipelined requests are served in order.
func TestSession_ServesPipelinedRequestsInOrder(t *testing.T) {
	diskServer := newFakeDiskServer(t, echoID)
	client := startGateway(t, 256, diskServer).dial()
	client.send(readText("a1") + payText("a2", "xyz") + readText("a3"))
	for _, id := range []string{"a1", "a2", "a3"} {
		if status, _, body := client.readAnswer(); status != 200 || body != id {
			t.Fatalf("request %s: got %d %q, want 200 with its id", id, status, body)
		}
	}
}

// A client closes its connection while an attempt is in flight: the client is counted as disconnected, and
// the attempt is cancelled, at its timeout at the latest, by closing the connection to the disk server.
func TestSession_EndsAttemptAfterClientDisconnects(t *testing.T) {
	release := make(chan struct{})
	diskServer := newFakeDiskServer(t, func(int, *receivedRequest) []byte { <-release; return nil })
	fixture := startGateway(t, 256, diskServer)
	defer close(release)
	client := fixture.dial()
	client.send(readText("a1"))
	diskServer.awaitRequests(t, 1)
	client.conn.Close()
	fixture.awaitClientDisconnect()
	eventually(t, "no attempt is in flight and no connection to the disk server is open", func() bool {
		fixture.gateway.upstream.mu.Lock()
		defer fixture.gateway.upstream.mu.Unlock()
		return fixture.gateway.upstream.connections == 0 && len(fixture.gateway.upstream.attempts) == 0
	})
}

// A client's disconnect is detected at once, whatever it wrote after the request in flight: part of a
// request, complete requests, or more bytes than a head may have.
func TestSession_DetectsDisconnectAfterPipelinedBytes(t *testing.T) {
	for name, pipelined := range map[string]string{
		"nothing":              "",
		"part of request line": "GET /api?extent=7f3a",
		"part of head":         payText("b1", "hello")[:200],
		"complete requests":    readText("b1") + payText("b2", "hello"),
		"200 requests":         strings.Repeat(readText("b1"), 200),
		"part of method":       "PU",
	} {
		t.Run(name, func(t *testing.T) {
			diskServer, release := newBlockingDiskServer(t)
			fixture := startGateway(t, 256, diskServer)
			client := fixture.dial()
			client.send(payText("a1", "") + pipelined)
			diskServer.awaitRequests(t, 1)
			client.conn.Close()
			fixture.awaitClientDisconnect()
			release <- struct{}{}
			eventually(t, "its connection is closed", func() bool {
				return fixture.gateway.frontend.countByState() == connectionCounts{}
			})
			if n := len(diskServer.received()); n != 1 {
				t.Errorf("got %d sends, want 1: pipelined requests must not be forwarded", n)
			}
			eventually(t, "its request bodies are released", func() bool {
				return fixture.gateway.frontend.bodyBytes.Load() == 0
			})
		})
	}
}

// Guards against a write without its body: the body of a request whose stated length is 0 came later than the
// head, and the request was served without it.
func TestSession_FailsRequestFollowedByInvalidBytes(t *testing.T) {
	for name, text := range map[string]string{
		"write of stated length 0": payText("a1", ""),
		"write without a length":   replaceOnce(t, payText("a1", ""), "Content-Length: 0\r\n", ""),
		"read":                     readText("a1"),
	} {
		t.Run(name, func(t *testing.T) {
			diskServer, release := newBlockingDiskServer(t)
			fixture := startGateway(t, 256, diskServer)
			client := fixture.dial()
			client.send(text)
			diskServer.awaitRequests(t, 1)
			client.send("the body")
			status, header, _ := client.readAnswer()
			release <- struct{}{}
			if reason := header.Get("X-Reason"); status != 400 || reason != "bad-request" ||
				header.Get("Connection") != "close" {
				t.Errorf("got %d %v, want 400 bad-request and Connection: close", status, header)
			}
			client.expectGracefulClose()
		})
	}
}

// Guards against a client that reads no answers and has request after request served: hundreds of them kept
// the scheduler from others. The next request begins once the client has read most of the answers; if it
// never does, its connection ends, and meanwhile no ordered request waits for it.
func TestSession_BeginsNextRequestOnceAnswersAreRead(t *testing.T) {
	const pipelined, mostUnread = 20, 6 // 4 KB to 128 KB are buffered by the client, 16 KB may be unread
	answer := okResponse(strings.Repeat("y", largeBodyBytes))
	for name, isReading := range map[string]bool{"reads late": true, "never reads": false} {
		t.Run(name, func(t *testing.T) {
			diskServer := newFakeDiskServer(t, func(int, *receivedRequest) []byte { return answer })
			fixture := startGateway(t, 256, diskServer)
			client := fixture.dial()
			if err := client.conn.(*net.TCPConn).SetReadBuffer(4 << 10); err != nil {
				t.Fatal(err)
			}
			for n := range pipelined {
				client.send(readText(fmt.Sprintf("a%d", n)))
			}
			connection := fixture.awaitOnlyClient(stateUnread)
			if count := len(diskServer.received()); count > mostUnread {
				t.Errorf("got %d requests begun with no answer read, want at most %d", count, mostUnread)
			}
			if fixture.gateway.frontend.isUnsubmitted(connection, time.Now()) {
				t.Error("got a request that counts as not submitted, want none")
			}
			if isReading {
				for n := range pipelined {
					// The time of the later ones may have passed.
					if status, _, _ := client.readAnswer(); status != 200 && (n == 0 || status != 503) {
						t.Fatalf("request %d: got status %d, want 200, or 503 of a later one", n, status)
					}
				}
				return
			}
			eventually(t, "the connection has ended", func() bool {
				return fixture.gateway.frontend.countByState() == connectionCounts{}
			})
			if count := fixture.gateway.frontend.counters.unread.Load(); count != 1 {
				t.Errorf("got %d connections counted as unread, want 1", count)
			}
		})
	}
}

// The time of a pipelined request counts from its arrival, not from the end of the request before it.
func TestSession_CountsTimeFromArrivalOfPipelinedRequest(t *testing.T) {
	diskServer, release := newBlockingDiskServer(t)
	fixture := startGateway(t, 256, diskServer)
	client := fixture.dial()
	sent := time.Now()
	client.send(payText("a1", "") + payText("a2", ""))
	diskServer.awaitRequests(t, 1)
	time.Sleep(100 * time.Millisecond) // the service time of the first
	release <- struct{}{}
	release <- struct{}{}
	for _, id := range []string{"a1", "a2"} {
		if status, _, body := client.readAnswer(); status != 200 || body != id {
			t.Fatalf("request %s: got %d %q, want 200 with its id", id, status, body)
		}
	}
	text, _ := diskServer.received()[1].head.Header.Get("X-Budget")
	if left, err := strconv.ParseFloat(text, 64); err != nil || left > 1.4 ||
		left < 1.5-time.Since(sent).Seconds()-0.02 {
		t.Errorf("got X-Budget %q, error %v; want at most 1.4: 0.1 s of 1.5 s had passed", text, err)
	}
}
