package platform

import (
	"fmt"
	"strings"
	"testing"
)

// responseOfLength returns a response whose head states a length, whatever the length of its body is.
func responseOfLength(length int, body string) []byte {
	return fmt.Appendf(nil, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", length, body)
}

// withLongTimeouts configures objectives and a connect timeout that a retry meets on a busy machine, too.
func withLongTimeouts(config string) string {
	config = strings.ReplaceAll(config, `"on_time_ns":400000000`, `"on_time_ns":1500000000`)
	config = strings.ReplaceAll(config, `"on_time_ns":500000000`, `"on_time_ns":1500000000`)
	return strings.ReplaceAll(config, `"dial_timeout_ns":250000000`, `"dial_timeout_ns":1000000000`)
}

// startGatewayWithLongTimeouts starts a scheduler with one disk server and waits until it is ready.
func startGatewayWithLongTimeouts(t *testing.T, diskServer *fakeDiskServer) *gatewayFixture {
	t.Helper()
	list := List{Generation: 7, Reset: true, Instances: []ListedServer{listedServer("s-0", diskServer, 0)}}
	fixture := startGatewayAt(t, newFakeDiscovery(t, list).address(), diskServer, withLongTimeouts)
	<-fixture.gateway.loop.Ready()
	return fixture
}

// sendsOf returns how many requests with an id a disk server has received.
func sendsOf(diskServer *fakeDiskServer, id string) (count int) {
	for _, request := range diskServer.received() {
		if request.field(fieldID) == id {
			count++
		}
	}
	return count
}

// Guards against serving a body that was cut off: if a disk server states too short a length, a client must
// not receive the first part of the body as the whole. The attempt may have run, so it is retried only if the
// class allows that. Bodies beyond the codec's buffer are read in another way than short ones.
func TestAttempt_FailsIfBodyMayBeLongerThanStated(t *testing.T) {
	short, long := "0123456789", strings.Repeat("0123456789", 6000)
	for name, response := range map[string][]byte{
		"half of a short body": responseOfLength(len(short)/2, short),
		"half of a long body":  responseOfLength(len(long)/2, long),
		"all but one byte":     responseOfLength(len(long)-1, long),
		"no body at all":       responseOfLength(0, short),
		"ends inside a line":   responseOfLength(3, "abc\r\ndef\r\n"),
		"closed after it": []byte("HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 1\r\n\r\n" +
			short),
		"last chunk too early": []byte("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\n" +
			"01\r\n0\r\n\r\n2\r\n23\r\n0\r\n\r\n"),
	} {
		t.Run(name, func(t *testing.T) {
			spoilt := map[string]bool{"read": true, "write": true, "pay": true} // next answers, by id
			diskServer := newFakeDiskServer(t, func(_ int, request *receivedRequest) []byte {
				id := request.field(fieldID)
				if !spoilt[id] {
					return okResponse("ok")
				}
				delete(spoilt, id)
				return response
			})
			client := startGatewayWithLongTimeouts(t, diskServer).dial()
			for _, test := range []struct {
				request, id string
				status      int
				sends       int
			}{
				{readText("read"), "read", 200, 2},
				{requestText("PUT", "write", "write", 0, "", "Idempotency-Key: k"), "write", 200, 2},
				{payText("pay", ""), "pay", 502, 1},
			} {
				client.send(test.request)
				status, _, body := client.readAnswer()
				if sends := sendsOf(diskServer, test.id); status != test.status || sends != test.sends ||
					status == 200 && body != "ok" {
					t.Errorf("%s: got %d %.40q after %d sends, want %d after %d", test.id, status, body,
						sends, test.status, test.sends)
				}
			}
		})
	}
}

// A response that is followed by a second copy of itself is whole: it is passed on.
func TestAttempt_PassesOnResponseWithSecondCopy(t *testing.T) {
	for _, length := range []int{2, 60_000} { // one body beyond the codec's buffer
		body := strings.Repeat("x", length)
		diskServer := newFakeDiskServer(t, func(int, *receivedRequest) []byte {
			return append(okResponse(body), okResponse(body)...)
		})
		client := startGatewayWithLongTimeouts(t, diskServer).dial()
		client.send(payText("a1", ""))
		if status, _, got := client.readAnswer(); status != 200 || got != body {
			t.Errorf("body of %d bytes: got status %d and %d bytes, want 200 and all", length, status,
				len(got))
		}
	}
}
