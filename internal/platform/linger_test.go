package platform

import (
	"strings"
	"testing"
)

// The last answer of a connection arrives although its client goes on writing: a close over what was not read
// would reset the connection.
func TestLinger_DeliversLastAnswer(t *testing.T) {
	for name, test := range map[string]struct {
		text   string
		status int
	}{
		"served, then more": {replaceOnce(t, payText("a1", ""), "Host: service.internal",
			"Host: service.internal\r\nConnection: close") + strings.Repeat("x", 100<<10), 200},
		"an error, then more": {"NOT HTTP\r\n\r\n" + strings.Repeat("x", 100<<10), 400},
		"a body that is too long": {replaceOnce(t, payText("a1", ""), "Content-Length: 0",
			"Content-Length: 60000000") + strings.Repeat("x", 100<<10), 413},
	} {
		t.Run(name, func(t *testing.T) {
			diskServer, released := newHeldDiskServer(t)
			client := startGateway(t, 256, diskServer).dial()
			released <- struct{}{}
			client.send(test.text)
			if status, header, _ := client.readAnswer(); status != test.status ||
				header.Get("Connection") != "close" {
				t.Errorf("%d %v", status, header)
			}
			client.expectGracefulClose()
		})
	}
}
