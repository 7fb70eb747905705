package platform

import (
	"strings"
	"testing"
)

// The last answer of a connection arrives although its client continues to write: a close while received
// bytes are unread would reset the connection.
func TestLinger_DeliversLastAnswer(t *testing.T) {
	for name, test := range map[string]struct {
		text   string
		status int
	}{
		"served request, then more requests": {replaceOnce(t, payText("a1", ""), "Host: service.internal",
			"Host: service.internal\r\nConnection: close") + strings.Repeat(readText("b1"), 400), 200},
		"invalid request, then more bytes": {"NOT HTTP\r\n\r\n" + strings.Repeat("x", 100<<10), 400},
		"body too long": {replaceOnce(t, payText("a1", ""), "Content-Length: 0",
			"Content-Length: 60000000") + strings.Repeat("x", 100<<10), 413},
	} {
		t.Run(name, func(t *testing.T) {
			diskServer, release := newBlockingDiskServer(t)
			client := startGateway(t, 256, diskServer).dial()
			release <- struct{}{}
			client.send(test.text)
			if status, header, _ := client.readAnswer(); status != test.status ||
				header.Get("Connection") != "close" {
				t.Errorf("got %d %v, want Connection: close and the status of the case", status, header)
			}
			client.expectGracefulClose()
		})
	}
}
