package platform

import (
	"strings"
	"testing"
	"time"
)

// Requests and answers pass unchanged, and the connection to the disk server is used again.
func TestFrontend_ServesRequestsUnchanged(t *testing.T) {
	answer := string([]byte{0, 1, 2, '\r', '\n', 255})
	diskServer := newFakeDiskServer(t, func(int, *receivedRequest) []byte { return okResponse(answer) })
	client := startGateway(t, 256, diskServer).dial()
	client.send(healthRequest)
	if status, _, _ := client.readAnswer(); status != 200 {
		t.Fatalf("healthz: %d", status)
	}
	client.send(readText("a1"))
	if status, _, body := client.readAnswer(); status != 200 || body != answer {
		t.Fatalf("read: %d %q", status, body)
	}
	time.Sleep(2 * settleTime) // so that the connection may be used again
	body := strings.Repeat("x\x00\r\n", 16<<10)
	client.send(requestText("PUT", "write", "a2", 0, body, "Idempotency-Key: k"))
	if status, _, got := client.readAnswer(); status != 200 || got != answer {
		t.Fatalf("write: %d %q", status, got)
	}
	received := diskServer.received()
	received[0].expect(t, expectedRequest{method: "GET", id: "a1"})
	received[1].expect(t, expectedRequest{method: "PUT", body: body, id: "a2", key: "k"})
	if len(received) != 2 || received[0].connection != received[1].connection {
		t.Errorf("%d requests; the connection was not kept", len(received))
	}
}

// expectedRequest is what a disk server should receive.
type expectedRequest struct{ method, body, id, key string }

// expect checks a request that a disk server received.
func (r *receivedRequest) expect(t *testing.T, want expectedRequest) {
	t.Helper()
	got := expectedRequest{r.head.Method, string(r.body), r.field("X-Call-Id"), r.field("Idempotency-Key")}
	if got != want || r.head.Target != "/api?extent=7f3a9c21e0b4d655" {
		t.Errorf("%s came as %+v with %d bytes", want.id, r.head, len(r.body))
	}
	if budget, count := r.head.Header.Get("X-Budget"); count != 1 || !(budget > "0.3" && budget < "1.6") {
		t.Errorf("%s: X-Budget %q", want.id, budget)
	}
}

// A request with the id of one in flight is rejected, and the one in flight goes on.
func TestFrontend_RejectsDuplicateID(t *testing.T) {
	diskServer, released := newHeldDiskServer(t)
	fixture := startGateway(t, 256, diskServer)
	first, second := fixture.dial(), fixture.dial()
	first.send(readText("a1"))
	diskServer.awaitRequests(t, 1)
	second.send(readText("a1"))
	if status, _, _ := second.readAnswer(); status != 409 {
		t.Errorf("the same id: %d", status)
	}
	released <- struct{}{}
	if status, _, _ := first.readAnswer(); status != 200 || len(diskServer.received()) != 1 {
		t.Errorf("the one in flight: %d after %d sends", status, len(diskServer.received()))
	}
}
