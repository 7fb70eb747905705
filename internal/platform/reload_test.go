package platform

import (
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"testing"
	"time"
)

func TestReload_MovesStandingWatch(t *testing.T) {
	diskServer := newFakeDiskServer(t, func(int, *receivedRequest) []byte { return okResponse("ok") })
	fixture := startGateway(t, 256, diskServer)
	fixture.discovery.awaitWatches(t, 1)
	other := newFakeDiscovery(t, fixture.discovery.current)
	cfg, err := parseConfig(configDocument(other.address(), nil, 256), noEnvironment)
	if err != nil {
		t.Fatal(err)
	}
	var wg sync.WaitGroup
	for n := range 4 {
		client := fixture.dial()
		wg.Go(func() {
			for i := range 50 {
				client.send(requestText("GET", "read", fmt.Sprintf("c%d-%d", n, i), 0, ""))
				if status, _, _ := client.readAnswer(); status != 200 {
					t.Errorf("%d during the reload", status)
				}
			}
		})
	}
	fixture.gateway.Reload(cfg)
	wg.Wait()
	other.awaitWatches(t, 1)
	fixture.discovery.awaitWatches(t, 0)
}

// A configuration that moves discovery: the new one is asked at once, whether a watch stood at the old, was
// being opened there, had failed and waited, or a fetch was under way; what the old one still says changes
// nothing.
func TestReload_MovesCallsInEveryState(t *testing.T) {
	for name, old := range map[string]func(n int, target string, connection net.Conn, ended <-chan struct{}){
		"a watch stands": func(_ int, _ string, connection net.Conn, ended <-chan struct{}) {
			io.WriteString(connection, chunkedHead+chunk(listDocument(7, true)+"\n"))
			<-ended
		},
		"a watch is being opened": func(_ int, _ string, _ net.Conn, ended <-chan struct{}) { <-ended },
		"a watch has failed": func(_ int, _ string, connection net.Conn, _ <-chan struct{}) {
			io.WriteString(connection, "HTTP/1.1 503 x\r\n\r\n")
		},
		"a fetch is under way": func(_ int, target string, connection net.Conn, ended <-chan struct{}) {
			if strings.Contains(target, "stream") {
				io.WriteString(connection, chunkedHead+chunk(listDocument(8, false)+"\n"))
			}
			<-ended
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			diskServer := newFakeDiskServer(
				t,
				func(int, *receivedRequest) []byte { return okResponse("ok") },
			)
			from := newScriptedDiscovery(t, old)
			to := newScriptedDiscovery(
				t,
				func(n int, target string, connection net.Conn, ended <-chan struct{}) {
					if n == 0 { // the first call to the new one fails
						io.WriteString(connection, "HTTP/1.1 503 x\r\n\r\n")
						return
					}
					if !strings.Contains(target, "stream") {
						text := listDocument(9, true, listedServer("s-0", diskServer, 0))
						fmt.Fprintf(
							connection,
							"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s",
							len(text),
							text,
						)
						return
					}
					io.WriteString(
						connection,
						chunkedHead+chunk(listDocument(9, true, listedServer("s-0", diskServer, 0))+"\n"),
					)
					<-ended
				},
			)
			unknown := func(s string) string { return s }
			if name == "a fetch is under way" {
				unknown = func(s string) string { return replaceOnce(t, s, `"known":{`, `"unknown":{`) }
			}
			fixture := startGatewayAt(t, from.listener.Addr().String(), diskServer, unknown)
			calls := 1
			if name == "a fetch is under way" {
				calls = 2
			}
			eventually(t, "the old one is asked", func() bool { return from.calls() >= calls })
			cfg, err := parseConfig(configDocument(to.listener.Addr().String(), nil, 256), noEnvironment)
			if err != nil {
				t.Fatal(err)
			}
			reloaded := time.Now()
			fixture.gateway.Reload(cfg)
			fixture.awaitListVersion(9, reloaded.Add(notifiedAfterReload))
			before := from.calls()
			fixture.gateway.discovery.Fetch()
			eventually(t, "the new one is asked again", func() bool { return to.calls() >= 3 })
			if n := from.calls(); n != before {
				t.Errorf("the old one was asked %d times more", n-before)
			}
		})
	}
}
