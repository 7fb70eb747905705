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

// firstResponse is how a disk server answers the first attempt at a request, and what becomes of the request.
type firstResponse struct {
	first  []byte // nil: the connection breaks after the whole request
	class  string
	status int
	sends  int
}

// firstResponses are responses to the first attempt, by class and response.
func firstResponses() map[string]firstResponse {
	return map[string]firstResponse{
		"read rejected": {http1.AppendResponse(nil, 503, "x",
			http1.Header{{Name: "X-Rejected", Value: "1"}}, nil), "read", 200, 2},
		"pay rejected": {http1.AppendResponse(nil, 504, "x",
			http1.Header{{Name: "X-Rejected", Value: "1"}}, nil), "pay", 200, 2},
		"503 without the mark":   {http1.AppendResponse(nil, 503, "x", nil, nil), "pay", 502, 1},
		"read broken":            {nil, "read", 200, 2},
		"keyed write broken":     {nil, "write", 200, 2},
		"unsafe broken":          {nil, "pay", 502, 1},
		"unsafe error":           {http1.AppendResponse(nil, 500, "x", nil, nil), "pay", 502, 1},
		"read, invalid response": {[]byte("\x00\x01 noise"), "read", 200, 2},
		"unsafe, invalid response": {[]byte("HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\n" +
			strings.Repeat("a", 9000)), "pay", 502, 1},
		"unsafe, two framings": {[]byte("HTTP/1.1 200 OK\r\nContent-Length: 1\r\nContent-Length: 2\r\n" +
			"\r\naa"), "pay", 502, 1},
		"unreadable figures": {http1.AppendResponse(nil, 200, "x",
			http1.Header{{Name: "X-Meter", Value: "-7z"}, {Name: "X-Delta", Value: "1e99"}}, []byte("ok")),
			"pay", 200, 1},
		"interim answers ahead": {append([]byte("HTTP/1.1 102 x\r\n\r\n"), okResponse("ok")...),
			"pay", 200, 1},
		"chunked, then unsafe": {[]byte("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\n" +
			"ok\r\n0\r\n\r\n"), "pay", 200, 1},
		"not known, for nothing": {http1.AppendResponse(nil, 404, "x", nil, nil), "pay", 502, 1},
	}
}

// An attempt that provably never ran is retried; one that may have run is retried where its class allows
// it, and a request that is not idempotent never.
func TestAttempt_RetriesWhatItsClassAllows(t *testing.T) {
	for name, test := range firstResponses() {
		t.Run(name, func(t *testing.T) {
			diskServer := newFakeDiskServer(t, func(n int, _ *receivedRequest) []byte {
				if n == 0 {
					return test.first
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
				t.Errorf("%d %q after %d sends; want %d after %d", status, body,
					len(diskServer.received()), test.status, test.sends)
			}
		})
	}
}

// A response with bytes behind it is passed on, and the next request gets its own answer, not these bytes.
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
			t.Fatalf("%s got %d %q", id, status, body)
		}
		time.Sleep(15 * time.Millisecond)
	}
	for i, request := range diskServer.received() {
		if request.connection != i {
			t.Errorf("request %d came on connection %d, on which something came unasked", i,
				request.connection)
		}
	}
}

// An attempt at a disk server that cannot be reached counts as never run: the request is rejected, not
// failed.
func TestAttempt_RejectsWhatNeverRan(t *testing.T) {
	diskServer := newOKDiskServer(t)
	fixture := startGateway(t, 256, diskServer)
	diskServer.listener.Close()
	client := fixture.dial()
	client.send(payText("a1", ""))
	status, header, _ := client.readAnswer()
	if status != 503 || header.Get("X-Reason") == "" || len(diskServer.received()) != 0 {
		t.Errorf("%d %v; refused with a reason is what is true of a request that never ran", status, header)
	}
}

// A connection that breaks before a request's last byte is written proves that it never ran: it is retried
// even if it is not idempotent.
func TestAttempt_RetriesWhatBrokeBeforeLastByte(t *testing.T) {
	for class, headerLines := range map[string][]string{"pay": nil, "write": {"Idempotency-Key: k"}} {
		diskServer := newOKDiskServer(t)
		fixture := startGateway(t, 256, diskServer)
		ours, theirs := net.Pipe()
		pool := fixture.gateway.upstream
		pool.mu.Lock()
		pool.idle[serverOf("s-0")] = []*upstreamConn{{conn: ours, idleSince: time.Now().Add(-time.Second),
			reader: http1.NewReader(ours, http1.Limits{MaxHead: maxUpstreamHead, MaxBody: maxBody})}}
		pool.connections++
		pool.mu.Unlock()
		var wg sync.WaitGroup
		wg.Go(func() {
			theirs.Read(make([]byte, 20))
			theirs.Close()
		})
		client := fixture.dial()
		client.send(requestText("PUT", class, "a1", 0, "hello", headerLines...))
		if status, _, body := client.readAnswer(); status != 200 || body != "ok" ||
			len(diskServer.received()) != 1 {
			t.Errorf("%s: %d %q after %d whole sends", class, status, body, len(diskServer.received()))
		}
		wg.Wait()
		if got := fixture.gateway.loop.Stats.ConnectFailed.Load(); got != 1 {
			t.Errorf("%s: %d attempts counted as never made", class, got)
		}
	}
}

// A client that goes once the request is at the disk server: the attempt is not repeated.
func TestAttempt_SentOnceWhenClientGoneAfterFirstByte(t *testing.T) {
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
	fixture.awaitClientGone()
	close(hold)
	fixture.awaitIdleConnections(1)
	if n := len(diskServer.received()); n != 1 {
		t.Errorf("%d sends", n)
	}
}

// An attempt states the time that is left when its first byte is written, not when it was decided on.
func TestAttempt_StatesTimeLeftAtFirstByte(t *testing.T) {
	diskServer := newOKDiskServer(t)
	fixture := startGateway(t, 256, diskServer)
	held := holdConnections(fixture)
	client := fixture.dial()
	sent := time.Now()
	client.send(payText("a1", ""))
	<-held.requested
	time.Sleep(100 * time.Millisecond) // of the 250 ms that a connection may take
	held.release <- struct{}{}
	if status, _, _ := client.readAnswer(); status != 200 {
		t.Fatal(status)
	}
	text, _ := diskServer.received()[0].head.Header.Get("X-Budget")
	left, err := strconv.ParseFloat(text, 64)
	if most := 1.5 - 0.1; err != nil || left > most || left < 1.5-time.Since(sent).Seconds()-0.02 {
		t.Errorf("stated %q, %v; at most %v are left", text, err, most)
	}
}
