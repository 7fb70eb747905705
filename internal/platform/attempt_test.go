package platform

import (
	"fmt"
	"net"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"landingpaddle/internal/http1"
)

// retryCase is a disk server's response to the first attempt at a request, and the expected outcome.
type retryCase struct {
	response []byte // nil: the connection is closed after the whole request was received
	class    string
	status   int // of the answer to the client
	sends    int // requests that the disk server receives
}

// retryCases returns the test cases by class and response. The class read is idempotent, write is
// idempotent by key, and pay is not idempotent.
func retryCases() map[string]retryCase {
	return map[string]retryCase{
		"read, rejected": {http1.AppendResponse(nil, 503, "x",
			http1.Header{{Name: "X-Rejected", Value: "1"}}, nil), "read", 200, 2},
		"pay, rejected": {http1.AppendResponse(nil, 504, "x",
			http1.Header{{Name: "X-Rejected", Value: "1"}}, nil), "pay", 200, 2},
		"pay, 503 without X-Rejected": {http1.AppendResponse(nil, 503, "x", nil, nil), "pay", 502, 1},
		"read, connection closed":     {nil, "read", 200, 2},
		"write, connection closed":    {nil, "write", 200, 2},
		"pay, connection closed":      {nil, "pay", 502, 1},
		"pay, error":                  {http1.AppendResponse(nil, 500, "x", nil, nil), "pay", 502, 1},
		"read, invalid response":      {[]byte("\x00\x01 noise"), "read", 200, 2},
		"pay, invalid response": {[]byte("HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\n" +
			strings.Repeat("a", 9000)), "pay", 502, 1},
		"pay, two Content-Lengths": {[]byte("HTTP/1.1 200 OK\r\nContent-Length: 1\r\nContent-Length: 2\r\n" +
			"\r\naa"), "pay", 502, 1},
		"pay, invalid usage fields": {http1.AppendResponse(nil, 200, "x",
			http1.Header{{Name: "X-Meter", Value: "-7z"}, {Name: "X-Delta", Value: "1e99"}}, []byte("ok")),
			"pay", 200, 1},
		"pay, interim response first": {append([]byte("HTTP/1.1 102 x\r\n\r\n"), okResponse("ok")...),
			"pay", 200, 1},
		"pay, chunked response": {[]byte("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\n" +
			"ok\r\n0\r\n\r\n"), "pay", 200, 1},
		"pay, status 404": {http1.AppendResponse(nil, 404, "x", nil, nil), "pay", 502, 1},
	}
}

// A rejected attempt never ran and is retried. One that may have run is retried if the class of its request
// allows that; a request that is not idempotent is not retried then.
func TestAttempt_RetriesIfClassAllows(t *testing.T) {
	for name, test := range retryCases() {
		t.Run(name, func(t *testing.T) {
			diskServer := newFakeDiskServer(t, func(n int, _ *receivedRequest) []byte {
				if n == 0 {
					return test.response
				}
				return okResponse("ok")
			})
			client := startGateway(t, 256, diskServer).dial()
			method, headerLines := "PUT", []string(nil)
			if test.class == "read" {
				method = "GET"
			}
			if test.class == "write" {
				headerLines = []string{"Idempotency-Key: k"}
			}
			client.send(requestText(method, test.class, "a1", 0, "", headerLines...))
			status, _, body := client.readAnswer()
			if status != test.status || (status == 200 && body != "ok") ||
				len(diskServer.received()) != test.sends {
				t.Errorf("got %d %q after %d sends, want %d after %d", status, body,
					len(diskServer.received()), test.status, test.sends)
			}
		})
	}
}

// A response that is followed by unsolicited bytes is passed on, but its connection is not reused: the next
// request gets its own answer, not these bytes.
func TestAttempt_DropsConnectionWithUnsolicitedBytes(t *testing.T) {
	diskServer := newFakeDiskServer(t, func(n int, request *receivedRequest) []byte {
		id := request.field("X-Call-Id")
		return append(okResponse(id), okResponse("second copy of "+id)...)
	})
	client := startGateway(t, 256, diskServer).dial()
	for i := range 5 {
		id := fmt.Sprintf("a%d", i)
		client.send(readText(id))
		if status, _, body := client.readAnswer(); status != 200 || body != id {
			t.Fatalf("request %s: got %d %q, want 200 with its id", id, status, body)
		}
		time.Sleep(settleTime + 5*time.Millisecond) // an idle connection could be reused
	}
	for i, request := range diskServer.received() {
		if request.connection != i {
			t.Errorf("request %d: got connection %d, on which unsolicited bytes had arrived; want a new one",
				i, request.connection)
		}
	}
}

// An attempt that cannot connect to its disk server never ran: the request is rejected, not failed.
func TestAttempt_RejectsIfServerUnreachable(t *testing.T) {
	diskServer := newOKDiskServer(t)
	fixture := startGateway(t, 256, diskServer)
	diskServer.listener.Close()
	client := fixture.dial()
	client.send(payText("a1", ""))
	status, header, _ := client.readAnswer()
	if status != 503 || header.Get("X-Reason") == "" || len(diskServer.received()) != 0 {
		t.Errorf("got %d %v, want 503 with X-Reason: the request never ran", status, header)
	}
}

// A request whose connection breaks before its last byte is written never ran: it is retried even if it is
// not idempotent.
func TestAttempt_RetriesAfterPartialWrite(t *testing.T) {
	for class, headerLines := range map[string][]string{"pay": nil, "write": {"Idempotency-Key: k"}} {
		diskServer := newOKDiskServer(t)
		fixture := startGateway(t, 256, diskServer)
		local, remote := net.Pipe()
		pool := fixture.gateway.upstream
		pool.mu.Lock()
		pool.idle[serverOf("s-0")] = []*upstreamConn{{conn: local, idleSince: time.Now().Add(-time.Second),
			reader: http1.NewReader(local, http1.Limits{MaxHead: maxUpstreamHead, MaxBody: maxBody})}}
		pool.connections++
		pool.mu.Unlock()
		var wg sync.WaitGroup
		wg.Go(func() {
			remote.Read(make([]byte, 20))
			remote.Close()
		})
		client := fixture.dial()
		client.send(requestText("PUT", class, "a1", 0, "hello", headerLines...))
		if status, _, body := client.readAnswer(); status != 200 || body != "ok" ||
			len(diskServer.received()) != 1 {
			t.Errorf("%s: got %d %q after %d complete sends, want 200 after 1", class, status, body,
				len(diskServer.received()))
		}
		wg.Wait()
		if got := fixture.gateway.loop.Stats.ConnectFailed.Load(); got != 1 {
			t.Errorf("%s: got %d attempts counted as ConnectFailed, want 1", class, got)
		}
	}
}

// A client disconnects after the disk server has received its request: the attempt is not repeated.
func TestAttempt_SentOnceWhenClientDisconnectsAfterSend(t *testing.T) {
	hold := make(chan struct{})
	diskServer := newFakeDiskServer(t, func(int, *receivedRequest) []byte { <-hold; return okResponse("ok") })
	fixture := startGateway(t, 256, diskServer)
	held := holdConnections(fixture)
	client := fixture.dial()
	client.send(readText("a1"))
	<-held.requested
	held.release <- struct{}{}
	diskServer.awaitRequests(t, 1)
	client.conn.Close()
	fixture.awaitClientDisconnect()
	close(hold)
	fixture.awaitIdleConnections(1)
	if n := len(diskServer.received()); n != 1 {
		t.Errorf("got %d sends, want 1", n)
	}
}

// An attempt's X-Budget is the time left when its first byte is written, not when it was dispatched: a
// connection that takes 0.1 s to establish leaves at most 1.4 s of 1.5 s.
func TestAttempt_StatesTimeLeftAtFirstByte(t *testing.T) {
	diskServer := newOKDiskServer(t)
	fixture := startGateway(t, 256, diskServer)
	held := holdConnections(fixture)
	client := fixture.dial()
	sent := time.Now()
	client.send(payText("a1", ""))
	<-held.requested
	time.Sleep(100 * time.Millisecond) // of the connect timeout of 250 ms
	held.release <- struct{}{}
	if status, _, _ := client.readAnswer(); status != 200 {
		t.Fatal("want status 200, got", status)
	}
	text, _ := diskServer.received()[0].head.Header.Get("X-Budget")
	left, err := strconv.ParseFloat(text, 64)
	if limit := 1.5 - 0.1; err != nil || left > limit || left < 1.5-time.Since(sent).Seconds()-0.02 {
		t.Errorf("got X-Budget %q, error %v; want at most %v, at least 1.5 less the time since the send",
			text, err, limit)
	}
}
