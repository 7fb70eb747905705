package platform

import (
	"strings"
	"testing"
	"time"
)

// Requests and answers are forwarded unchanged, and the connection to the disk server is reused.
func TestFrontend_ForwardsUnchanged(t *testing.T) {
	answer := string([]byte{0, 1, 2, '\r', '\n', 255})
	diskServer := newFakeDiskServer(t, func(int, *receivedRequest) []byte { return okResponse(answer) })
	client := startGateway(t, 256, diskServer).dial()
	client.send(healthRequest)
	if status, _, _ := client.readAnswer(); status != 200 {
		t.Fatalf("healthz: got status %d, want 200", status)
	}
	client.send(readText("a1"))
	if status, _, body := client.readAnswer(); status != 200 || body != answer {
		t.Fatalf("read: got %d %q, want 200 and the response's body", status, body)
	}
	time.Sleep(2 * settleTime) // so that the connection may be reused
	body := strings.Repeat("x\x00\r\n", 16<<10)
	client.send(requestText("PUT", "write", "a2", 0, body, "Idempotency-Key: k"))
	if status, _, got := client.readAnswer(); status != 200 || got != answer {
		t.Fatalf("write: got %d %q, want 200 and the response's body", status, got)
	}
	received := diskServer.received()
	received[0].expect(t, expectedRequest{method: "GET", id: "a1"})
	received[1].expect(t, expectedRequest{method: "PUT", body: body, id: "a2", key: "k"})
	if len(received) != 2 || received[0].connection != received[1].connection {
		t.Errorf("got %d requests, want 2 on one connection", len(received))
	}
}

// expectedRequest holds the expected values of a request that a disk server received.
type expectedRequest struct{ method, body, id, key string }

// expect checks a request that a disk server received.
func (r *receivedRequest) expect(t *testing.T, want expectedRequest) {
	t.Helper()
	got := expectedRequest{r.head.Method, string(r.body), r.field("X-Call-Id"), r.field("Idempotency-Key")}
	if got != want || r.head.Target != "/api?extent=7f3a9c21e0b4d655" {
		t.Errorf("request %s: got %+v with %d bytes of body, want it unchanged", want.id, r.head, len(r.body))
	}
	if budget, count := r.head.Header.Get("X-Budget"); count != 1 || !(budget > "0.3" && budget < "1.6") {
		t.Errorf("request %s: got X-Budget %q, want one value between 0.3 and 1.6", want.id, budget)
	}
}

// A request with the id of one in flight is rejected, and the one in flight continues.
func TestFrontend_RejectsDuplicateID(t *testing.T) {
	diskServer, release := newBlockingDiskServer(t)
	fixture := startGateway(t, 256, diskServer)
	first, second := fixture.dial(), fixture.dial()
	first.send(readText("a1"))
	diskServer.awaitRequests(t, 1)
	second.send(readText("a1"))
	if status, _, _ := second.readAnswer(); status != 409 {
		t.Errorf("duplicate id: got status %d, want 409", status)
	}
	release <- struct{}{}
	if status, _, _ := first.readAnswer(); status != 200 || len(diskServer.received()) != 1 {
		t.Errorf("request in flight: got status %d after %d sends, want 200 after 1", status,
			len(diskServer.received()))
	}
}
