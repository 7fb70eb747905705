package platform

import (
	"fmt"
	"runtime"
	"strings"
	"testing"
	"time"
)

func TestFrontend_ServesRequestsUnchanged(t *testing.T) {
	answer := string([]byte{0, 1, 2, '\r', '\n', 255})
	diskServer := newFakeDiskServer(t, func(int, *receivedRequest) []byte { return okResponse(answer) })
	fixture := startGateway(t, 256, diskServer)
	client := fixture.dial()
	client.send("GET /healthz HTTP/1.1\r\nHost: a\r\n\r\n")
	if status, _, _ := client.readAnswer(); status != 200 {
		t.Fatalf("healthz: %d", status)
	}
	client.send(requestText("GET", "read", "a1", 0, ""))
	if status, _, body := client.readAnswer(); status != 200 || body != answer {
		t.Fatalf("read: %d %q", status, body)
	}
	time.Sleep(2 * settleTime) // so that the connection may be used again
	body := strings.Repeat("x\x00\r\n", 16<<10)
	client.send(requestText("PUT", "write", "a2", 0, body, "Idempotency-Key: k"))
	if status, _, got := client.readAnswer(); status != 200 || got != answer {
		t.Fatalf("write: %d %q", status, got)
	}
	for i, want := range []struct{ method, body, id, key string }{{"GET", "", "a1", ""}, {"PUT", body, "a2",
		"k"}} {
		request := diskServer.received()[i]
		id, _ := request.request.Header.Get("X-Call-Id")
		key, _ := request.request.Header.Get("Idempotency-Key")
		if request.request.Method != want.method ||
			request.request.Target != "/api?extent=7f3a9c21e0b4d655" ||
			string(request.body) != want.body ||
			id != want.id ||
			key != want.key {
			t.Errorf("request %d came as %+v with %d bytes", i, request.request, len(request.body))
		}
		if v, n := request.request.Header.Get("X-Budget"); n != 1 || !(v > "0.3" && v < "1.6") {
			t.Errorf("request %d: X-Budget %q", i, v)
		}
	}
	if g := diskServer.received(); len(g) != 2 || g[0].connection != g[1].connection {
		t.Errorf("%d requests; the connection was not kept", len(g))
	}
}

// The id of an open request is not taken a second time, and the open one goes on.
func TestFrontend_RejectsDuplicateID(t *testing.T) {
	hold := make(chan struct{})
	diskServer := newFakeDiskServer(
		t,
		func(int, *receivedRequest) []byte { <-hold; return okResponse("ok") },
	)
	fixture := startGateway(t, 256, diskServer)
	first, second := fixture.dial(), fixture.dial()
	first.send(requestText("GET", "read", "a1", 0, ""))
	eventually(t, "the first is out", func() bool { return len(diskServer.received()) == 1 })
	second.send(requestText("GET", "read", "a1", 0, ""))
	if status, _, _ := second.readAnswer(); status != 409 {
		t.Errorf("the same id: %d", status)
	}
	close(hold)
	if status, _, _ := first.readAnswer(); status != 200 || len(diskServer.received()) != 1 {
		t.Errorf("the open one: %d after %d sends", status, len(diskServer.received()))
	}
}

// Ever new clients, ids and disk servers leave nothing behind.
func TestGateway_ReleasesAllResources(t *testing.T) {
	diskServer := newFakeDiskServer(t, func(int, *receivedRequest) []byte { return okResponse("ok") })
	fixture := startGateway(t, 256, diskServer)
	fixture.discovery.awaitWatches(t, 1)
	ask1 := func(i int) {
		client := fixture.dial()
		client.send(requestText("GET", "read", fmt.Sprintf("a%d", i), 0, ""))
		if status, _, _ := client.readAnswer(); status != 200 {
			t.Fatalf("client %d: %d", i, status)
		}
		client.conn.Close()
	}
	for i := range 50 { // until there are as many connections to the disk server as take turns
		ask1(-1 - i)
	}
	fixture.gateway.upstream.mu.Lock()
	held := fixture.gateway.upstream.connections
	fixture.gateway.upstream.mu.Unlock()
	eventually(t, "the first have gone", func() bool {
		counts := fixture.gateway.frontend.countByState()
		return counts.idle+counts.working == 0
	})
	heap := func() uint64 {
		var m runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&m)
		return m.HeapAlloc
	}
	before, bytes := runtime.NumGoroutine(), heap()
	for i := range 2000 {
		ask1(i)
		if i%100 == 0 {
			gone := listedServer(fmt.Sprintf("t-%d", i), diskServer, 1)
			fixture.discovery.push(gone)
			gone.Lifecycle = "gone"
			fixture.discovery.push(gone)
		}
	}
	eventually(t, "all clients have gone", func() bool {
		return fixture.gateway.frontend.countByState() == connectionCounts{} &&
			runtime.NumGoroutine() <= before+2
	})
	diskServer.mu.Lock()
	diskServer.requests = nil
	diskServer.mu.Unlock()
	if after := heap(); after > bytes+(3<<20) {
		t.Errorf("%d bytes of heap before, %d after", bytes, after)
	}
	fixture.gateway.frontend.mu.Lock()
	defer fixture.gateway.frontend.mu.Unlock()
	if len(fixture.gateway.frontend.openIDs) != 0 || fixture.gateway.frontend.bodyBytes.Load() != 0 {
		t.Errorf(
			"%d ids and %d bytes are still held",
			len(fixture.gateway.frontend.openIDs),
			fixture.gateway.frontend.bodyBytes.Load(),
		)
	}
	if fixture.gateway.upstream.connections > held+2 {
		t.Errorf(
			"%d connections to disk servers were held, then %d",
			held,
			fixture.gateway.upstream.connections,
		)
	}
}
