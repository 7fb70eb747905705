package platform

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
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

// rawLists is a discovery written byte by byte: script answers the n-th call, and the connection ends with
// it.
type scriptedDiscovery struct {
	listener  net.Listener
	wg        sync.WaitGroup
	mu        sync.Mutex
	callTimes []time.Time // of calls
	ended     chan struct{}
}

func newScriptedDiscovery(t *testing.T,
	script func(n int, target string, connection net.Conn, ended <-chan struct{})) *scriptedDiscovery {
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	discovery := &scriptedDiscovery{listener: ln, ended: make(chan struct{})}
	discovery.wg.Go(func() {
		for n := 0; ; n++ {
			conn, err := ln.Accept()
			if err != nil {
				return
			}
			discovery.mu.Lock()
			discovery.callTimes = append(discovery.callTimes, time.Now())
			discovery.mu.Unlock()
			discovery.wg.Go(func() {
				defer conn.Close()
				request, err := http.ReadRequest(bufio.NewReader(conn))
				if err == nil {
					script(n, request.URL.String(), conn, discovery.ended)
				}
			})
		}
	})
	t.Cleanup(func() { close(discovery.ended); ln.Close(); discovery.wg.Wait() })
	return discovery
}

func (discovery *scriptedDiscovery) calls() int {
	discovery.mu.Lock()
	defer discovery.mu.Unlock()
	return len(discovery.callTimes)
}

const chunkedHead = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"

func chunk(text string) string { return fmt.Sprintf("%x\r\n%s\r\n", len(text), text) }

// doc is a list in discovery's form.
func listDocument(generation uint64, whole bool, entries ...ListedServer) string {
	b, err := json.Marshal(List{Generation: generation, Reset: whole, Instances: entries})
	if err != nil {
		panic(err)
	}
	return string(b)
}

// startAt starts a scheduler whose discovery is at an address; its list of the start names one disk server.
func startGatewayAt(
	t *testing.T,
	discovery string,
	diskServer *fakeDiskServer,
	change func(string) string,
) *gatewayFixture {
	list := List{Generation: 7, Reset: true, Instances: []ListedServer{listedServer("s-0", diskServer, 0)}}
	text := string(configDocument(discovery, &list, 256))
	if change != nil {
		text = change(text)
	}
	return runGateway(t, []byte(text))
}

func (fixture *gatewayFixture) awaitListVersion(version uint64, deadline time.Time) {
	fixture.t.Helper()
	for {
		if _, v := fixture.gateway.loop.ListVersion(); v == version {
			return
		}
		if time.Now().After(deadline) {
			_, v := fixture.gateway.loop.ListVersion()
			fixture.t.Fatalf("version %d is held, not %d", v, version)
		}
		time.Sleep(2 * time.Millisecond)
	}
}

// A watch that falls silent, wherever in what it says, is opened anew in time for what it misses to be known
// before it counts as told, also when the first call after it fails, in whatever way.
func TestSilentWatch(t *testing.T) {
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
func TestFormsOfLists(t *testing.T) {
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
func TestGapIsFetched(t *testing.T) {
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

// A configuration that moves discovery: the new one is asked at once, whether a watch stood at the old, was
// being opened there, had failed and waited, or a fetch was under way; what the old one still says changes
// nothing.
func TestReloadCrossesCalls(t *testing.T) {
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

// Where lists are pushed, what the agent has counts as told from the first moment: nothing is served before
// its list is there. An agent that is silent, or not there, holds nobody up for long.
func TestPushedListsComeFirst(t *testing.T) {
	push := func(s string) string {
		return replaceOnce(t, s, `"registry_mode":"ask"`, `"registry_mode":"push"`)
	}
	for name, said := range map[string]string{"an agent": "list", "a silent agent": "",
		"an agent with nothing new": "head", "no agent": "503"} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			diskServer := newFakeDiskServer(
				t,
				func(int, *receivedRequest) []byte { return okResponse("ok") },
			)
			released := make(chan struct{})
			drains := listedServer("s-0", diskServer, 0)
			drains.Lifecycle = "draining"
			discovery := newScriptedDiscovery(
				t,
				func(_ int, _ string, connection net.Conn, ended <-chan struct{}) {
					switch said {
					case "list":
						<-released
						io.WriteString(connection, chunkedHead+chunk(listDocument(8, true, drains)+"\n"))
					case "head":
						io.WriteString(connection, chunkedHead)
					case "503":
						io.WriteString(connection, "HTTP/1.1 503 x\r\n\r\n")
						return
					}
					<-ended
				},
			)
			fixture := startGatewayAt(t, discovery.listener.Addr().String(), diskServer, push)
			client := fixture.dial()
			client.send("GET /healthz HTTP/1.1\r\nHost: a\r\n\r\n" + requestText("PUT", "pay", "a1", 0, ""))
			eventually(t, "the agent is asked", func() bool { return discovery.calls() > 0 })
			if said == "list" && fixture.gateway.frontend.counters.accepted.Load() > 0 {
				t.Error("a client was accepted before the list")
			}
			close(released)
			want := 200
			if said == "list" {
				want = 503
			}
			began := time.Now()
			if status, _, _ := client.readAnswer(); status != 200 {
				t.Errorf("healthz: %d", status)
			}
			if status, _, _ := client.readAnswer(); status != want || time.Since(began) > 3*time.Second {
				t.Errorf("%d after %v; want %d", status, time.Since(began), want)
			}
		})
	}
}

// A scheduler is ready at once where lists are asked for, whatever its discovery does.
func TestReadyWithoutDiscovery(t *testing.T) {
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

// Whatever the limit, clients, those that linger, disk servers and what is set aside fit into it together.
func TestBoundsFitTheDescriptors(t *testing.T) {
	for sockets := minSockets; sockets <= 4096; sockets++ {
		b := limitsFor(&Config{Limits: Limits{Sockets: sockets, MemoryMB: 64}})
		if b.clients+b.lingering+b.upstream+reservedSockets > sockets || b.clients < 1 || b.upstream < 1 ||
			b.lingering < 2 {
			t.Fatalf("%d descriptors: %+v and %d set aside", sockets, b, reservedSockets)
		}
	}
}

// An agent that is silent while discovery is down, to the calls of that time for good, and has a drain to
// tell the moment discovery is back: it is known within the drain's grace.
func TestPushedListsAfterAnOutage(t *testing.T) {
	diskServer := newFakeDiskServer(t, func(int, *receivedRequest) []byte { return okResponse("ok") })
	back := make(chan struct{})
	drains := listedServer("s-0", diskServer, 0)
	drains.Lifecycle = "draining"
	discovery := newScriptedDiscovery(t, func(n int, _ string, connection net.Conn, ended <-chan struct{}) {
		select {
		case <-back:
			io.WriteString(connection, chunkedHead+chunk(listDocument(9, true, drains)+"\n"))
		default:
		}
		<-ended
	})
	fixture := startGatewayAt(t, discovery.listener.Addr().String(), diskServer, func(s string) string {
		return replaceOnce(t, s, `"registry_mode":"ask"`, `"registry_mode":"push"`)
	})
	eventually(t, "it has been asked for some time", func() bool { return discovery.calls() > 5 })
	close(back)
	fixture.awaitListVersion(9, time.Now().Add(fixture.gateway.config.Site.Settings.DrainGrace))
}
