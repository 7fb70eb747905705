package platform

import (
	"io"
	"net"
	"testing"
	"time"
)

// Where lists are pushed, what the agent has counts as told from the first moment: nothing is served before
// its list is there. An agent that is silent, or not there, holds nobody up for long.
func TestPushedList_IsAwaitedBeforeClients(t *testing.T) {
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

// An agent that is silent while discovery is down, to the calls of that time for good, and has a drain to
// tell the moment discovery is back: it is known within the drain's grace.
func TestPushedList_IsCurrentSoonAfterOutage(t *testing.T) {
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
