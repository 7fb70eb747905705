package platform

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"testing"
	"time"
)

// toldWithin is after how long what a watch misses counts as told, and toldAfterReload what a new discovery
// has.
const (
	notifiedWithin      = 6 * time.Second
	notifiedAfterReload = 4 * time.Second
)

// A watch that falls silent, wherever in what it says, is opened anew in time for what it misses to be known
// before it counts as told, also when the first call after it fails, in whatever way.
func TestDiscovery_ReopensSilentWatch(t *testing.T) {
	forever := func(_ net.Conn, ended <-chan struct{}) { <-ended }
	silences := map[string]string{
		"before its head":    "",
		"before its body":    chunkedHead,
		"within a chunk":     chunkedHead + "40\r\n{\"generation\":8,",
		"within a message":   chunkedHead + chunk(`{"generation":8,"reset":true,"instances":[`),
		"behind a message":   chunkedHead + chunk(listDocument(7, true)+"\n"),
		"behind a heartbeat": chunkedHead + chunk("\n"),
	}
	failures := map[string]func(net.Conn, <-chan struct{}){
		"none":   nil,
		"silent": forever,
		"refused": func(connection net.Conn, _ <-chan struct{}) {
			io.WriteString(connection, "HTTP/1.1 503 x\r\n\r\n")
		},
		"a reset": func(connection net.Conn, _ <-chan struct{}) { connection.(*net.TCPConn).SetLinger(0) },
		"nonsense": func(connection net.Conn, _ <-chan struct{}) {
			io.WriteString(connection, chunkedHead+chunk("{["))
		},
		"half a go": func(connection net.Conn, _ <-chan struct{}) {
			io.WriteString(connection, chunkedHead+chunk("{"))
		},
	}
	for where, said := range silences {
		for how, fail := range failures {
			if where != "behind a message" && how != "none" && how != "silent" {
				continue // the two have nothing to do with each other
			}
			t.Run(where+", then "+how, func(t *testing.T) {
				t.Parallel()
				diskServer := newFakeDiskServer(
					t,
					func(int, *receivedRequest) []byte { return okResponse("ok") },
				)
				var mu sync.Mutex
				var silent time.Time
				discovery := newScriptedDiscovery(
					t,
					func(n int, _ string, connection net.Conn, ended <-chan struct{}) {
						switch {
						case n == 0:
							io.WriteString(connection, said)
							mu.Lock()
							silent = time.Now()
							mu.Unlock()
							<-ended
						case n == 1 && fail != nil:
							fail(connection, ended)
						default:
							io.WriteString(
								connection,
								chunkedHead+chunk(
									listDocument(9, true, listedServer("s-0", diskServer, 0))+"\n",
								),
							)
							<-ended
						}
					},
				)
				fixture := startGatewayAt(t, discovery.listener.Addr().String(), diskServer, nil)
				var deadline time.Time
				eventually(t, "the first call", func() bool {
					mu.Lock()
					defer mu.Unlock()
					deadline = silent.Add(notifiedWithin)
					return !silent.IsZero()
				})
				fixture.awaitListVersion(9, deadline)
			})
		}
	}
}

// Lists come in every form that the protocol allows: whole, as changes, indented, several in one piece, one
// in many, again, and out of turn.
func TestDiscovery_ReadsEveryFormOfList(t *testing.T) {
	diskServer := newFakeDiskServer(t, func(int, *receivedRequest) []byte { return okResponse("ok") })
	indent := func(text string) string {
		var v any
		if err := json.Unmarshal([]byte(text), &v); err != nil {
			panic(err)
		}
		b, _ := json.MarshalIndent(v, "", "  ")
		return string(b) + "\n"
	}
	drains := listedServer("s-0", diskServer, 0)
	drains.Lifecycle = "draining"
	for name, pieces := range map[string][]string{
		"indented":        {indent(listDocument(9, false, drains))},
		"in pieces":       strings.SplitAfter(indent(listDocument(9, false, drains)), ","),
		"byte by byte":    strings.Split(listDocument(9, false, drains)+"\n", ""),
		"several at once": {listDocument(8, false) + "\n\n" + listDocument(9, false, drains) + "\n"},
		"again": {listDocument(9, false, drains) + "\n" +
			listDocument(9, false, drains) + "\n"},
		"an older one after": {listDocument(9, true, drains) + "\n" +
			listDocument(8, true, listedServer("s-0", diskServer, 0)) + "\n"},
		"after heartbeats":     {"\n", "\r\n", " \n", listDocument(9, false, drains) + "\n"},
		"without its last end": {listDocument(9, false, drains)},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			discovery := newScriptedDiscovery(
				t,
				func(_ int, _ string, connection net.Conn, ended <-chan struct{}) {
					io.WriteString(connection, chunkedHead)
					for _, p := range pieces {
						io.WriteString(connection, chunk(p))
					}
					<-ended
				},
			)
			fixture := startGatewayAt(t, discovery.listener.Addr().String(), diskServer, nil)
			fixture.awaitListVersion(9, time.Now().Add(time.Second))
			client := fixture.dial()
			client.send(requestText("PUT", "pay", "a1", 0, ""))
			if status, _, _ := client.readAnswer(); status != 503 {
				t.Errorf("%d from a shard whose one disk server drains", status)
			}
			if n := discovery.calls(); n != 1 {
				t.Errorf("%d calls", n)
			}
		})
	}
}

// A change that builds on a list that is not held is a gap: the whole list is fetched, and a fetch that is
// too long or too slow fails.
func TestDiscovery_FetchesFullListAfterGap(t *testing.T) {
	diskServer := newFakeDiskServer(t, func(int, *receivedRequest) []byte { return okResponse("ok") })
	discovery := newScriptedDiscovery(
		t,
		func(_ int, target string, connection net.Conn, ended <-chan struct{}) {
			if !strings.Contains(target, "stream") {
				text := listDocument(9, false, listedServer("s-0", diskServer, 0))
				fmt.Fprintf(connection, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(text), text)
				return
			}
			io.WriteString(connection, chunkedHead+chunk(listDocument(8, false)+"\n"))
			<-ended
		},
	)
	fixture := startGatewayAt(
		t,
		discovery.listener.Addr().String(),
		diskServer,
		func(s string) string { // nothing is known at the start
			return replaceOnce(t, s, `"known":{`, `"unknown":{`)
		},
	)
	fixture.awaitListVersion(9, time.Now().Add(2*time.Second))
}

func TestDiscovery_WatchReportsDraining(t *testing.T) {
	old := newFakeDiskServer(t, func(int, *receivedRequest) []byte { return okResponse("old") })
	next := newFakeDiskServer(t, func(int, *receivedRequest) []byte { return okResponse("next") })
	fixture := startGateway(t, 256, old)
	fixture.discovery.awaitWatches(t, 1)
	gone, ready := listedServer("s-0", old, 0), listedServer("s-9", next, 0)
	gone.Lifecycle = "draining"
	fixture.discovery.push(gone, ready)
	eventually(
		t,
		"the change is held",
		func() bool { _, v := fixture.gateway.loop.ListVersion(); return v == 8 },
	)
	client := fixture.dial()
	for i := range 10 {
		client.send(requestText("GET", "read", fmt.Sprintf("a%d", i), 0, ""))
		if status, _, body := client.readAnswer(); status != 200 || body != "next" {
			t.Fatalf("%d %q", status, body)
		}
	}
	if n := len(old.received()); n != 0 {
		t.Errorf("%d requests went to the draining disk server", n)
	}
}

// A scheduler is ready at once where lists are asked for, whatever its discovery does.
func TestGateway_IsReadyWithoutDiscovery(t *testing.T) {
	diskServer := newFakeDiskServer(t, func(int, *receivedRequest) []byte { return okResponse("ok") })
	for name, script := range map[string]func(connection net.Conn, ended <-chan struct{}){
		"silent": func(_ net.Conn, ended <-chan struct{}) { <-ended },
		"overloaded": func(connection net.Conn, _ <-chan struct{}) {
			io.WriteString(connection, "HTTP/1.1 503 x\r\n\r\n")
		},
		"down": nil,
	} {
		discovery := newScriptedDiscovery(
			t,
			func(_ int, _ string, connection net.Conn, ended <-chan struct{}) { script(connection, ended) },
		)
		if script == nil {
			discovery.listener.Close()
		}
		began := time.Now()
		client := startGatewayAt(t, discovery.listener.Addr().String(), diskServer, nil).dial()
		for status := 0; status != 200; {
			client.send("GET /healthz HTTP/1.1\r\nHost: a\r\n\r\n")
			if status, _, _ = client.readAnswer(); status != 200 && time.Since(began) > time.Second {
				t.Fatalf("discovery %s: %d after %v", name, status, time.Since(began))
			}
		}
		client.send(requestText("GET", "read", "a1", 0, ""))
		if status, _, _ := client.readAnswer(); status != 200 {
			t.Errorf("discovery %s: %d", name, status)
		}
	}
}
