package platform

import (
	"io"
	"net"
	"testing"
	"time"
)

// withPushedList changes a configuration file to one in which the machine's agent pushes lists.
func withPushedList(t *testing.T) func(string) string {
	return func(config string) string {
		return replaceOnce(t, config, `"registry_mode":"ask"`, `"registry_mode":"push"`)
	}
}

// Where lists are pushed, the scheduler counts as notified of what the agent has from the first moment: no
// client is accepted before the agent's list is there. An agent that is silent, or not there, delays nobody
// for long.
func TestPushedList_IsAwaitedBeforeClients(t *testing.T) {
	const list, head, unavailable, silence = "list", "head", "503", ""
	for name, said := range map[string]string{"an agent": list, "a silent agent": silence,
		"an agent with nothing new": head, "no agent": unavailable} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			diskServer := newOKDiskServer(t)
			released := make(chan struct{})
			script := func(_ int, _ string, connection net.Conn, ended <-chan struct{}) {
				switch said {
				case list:
					<-released
					writeMessage(connection, listDocument(8, true, drainingServer("s-0", diskServer, 0)))
				case head:
					io.WriteString(connection, chunkedHead)
				case unavailable:
					io.WriteString(connection, unavailableHead)
					return
				}
				<-ended
			}
			discovery := newScriptedDiscovery(t, script)
			fixture := startGatewayAt(t, discovery.address(), diskServer, withPushedList(t))
			client := fixture.dial()
			client.send(healthRequest + payText("a1", ""))
			eventually(t, "the agent is called", func() bool { return discovery.calls() > 0 })
			if said == list && fixture.gateway.frontend.counters.accepted.Load() > 0 {
				t.Error("a client was accepted before the list")
			}
			close(released)
			want := 200
			if said == list {
				want = 503
			}
			expectHealthyThen(t, client, want)
		})
	}
}

// expectHealthyThen checks the answers to a health request and a request behind it, which have to come soon.
func expectHealthyThen(t *testing.T, client *testClient, want int) {
	t.Helper()
	began := time.Now()
	if status, _, _ := client.readAnswer(); status != 200 {
		t.Errorf("healthz: %d", status)
	}
	if status, _, _ := client.readAnswer(); status != want || time.Since(began) > 3*time.Second {
		t.Errorf("%d after %v; want %d", status, time.Since(began), want)
	}
}

// An agent that is silent while discovery is down, and stays so on the calls of that time, has a draining
// disk server to report the moment discovery is back: the scheduler knows it within the drain's grace.
func TestPushedList_IsCurrentSoonAfterOutage(t *testing.T) {
	diskServer := newOKDiskServer(t)
	back := make(chan struct{})
	script := func(_ int, _ string, connection net.Conn, ended <-chan struct{}) {
		select {
		case <-back:
			writeMessage(connection, listDocument(9, true, drainingServer("s-0", diskServer, 0)))
		default:
		}
		<-ended
	}
	discovery := newScriptedDiscovery(t, script)
	fixture := startGatewayAt(t, discovery.address(), diskServer, withPushedList(t))
	eventually(t, "it has been called for some time", func() bool { return discovery.calls() > 5 })
	close(back)
	fixture.awaitListVersion(9, time.Now().Add(fixture.gateway.config.Site.Settings.DrainGrace))
}
