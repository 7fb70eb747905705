package platform

import (
	"io"
	"net"
	"testing"
	"time"
)

// withPushedList returns a function that configures lists to be pushed by the machine's agent.
func withPushedList(t *testing.T) func(string) string {
	return func(config string) string {
		return replaceOnce(t, config, `"registry_mode":"ask"`, `"registry_mode":"push"`)
	}
}

// Where lists are pushed, the scheduler counts as notified of the agent's list from its start: it accepts no
// client before it has received that list. An agent that is silent or unavailable delays clients by a bounded
// time only.
func TestPushedList_IsAwaitedBeforeClients(t *testing.T) {
	const list, head, unavailable, silence = "list", "head", "503", ""
	for name, sent := range map[string]string{"agent with a list": list, "silent agent": silence,
		"agent without a newer list": head, "no agent": unavailable} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			diskServer := newOKDiskServer(t)
			release := make(chan struct{})
			script := func(_ int, _ string, connection net.Conn, ended <-chan struct{}) {
				switch sent {
				case list:
					<-release
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
			if sent == list && fixture.gateway.frontend.accepting.accepted.Load() > 0 {
				t.Error("got a client accepted before the list, want none")
			}
			close(release)
			want := 200
			if sent == list {
				want = 503
			}
			expectHealthyThen(t, client, want)
		})
	}
}

// expectHealthyThen checks the answers to a health request and to a request pipelined after it, which must
// arrive within 3 s.
func expectHealthyThen(t *testing.T, client *testClient, want int) {
	t.Helper()
	began := time.Now()
	if status, _, _ := client.readAnswer(); status != 200 {
		t.Errorf("healthz: got status %d, want 200", status)
	}
	if status, _, _ := client.readAnswer(); status != want || time.Since(began) > 3*time.Second {
		t.Errorf("got status %d after %v, want %d within 3 s", status, time.Since(began), want)
	}
}

// The agent is silent while discovery is down, and remains so on the calls made during the outage. Once
// discovery is available again, it reports a draining disk server on new calls: the scheduler receives that
// within the drain grace period.
func TestPushedList_IsCurrentSoonAfterOutage(t *testing.T) {
	diskServer := newOKDiskServer(t)
	restored := make(chan struct{})
	script := func(_ int, _ string, connection net.Conn, ended <-chan struct{}) {
		select {
		case <-restored:
			writeMessage(connection, listDocument(9, true, drainingServer("s-0", diskServer, 0)))
		default:
		}
		<-ended
	}
	discovery := newScriptedDiscovery(t, script)
	fixture := startGatewayAt(t, discovery.address(), diskServer, withPushedList(t))
	eventually(t, "the agent has been called repeatedly", func() bool { return discovery.calls() > 5 })
	close(restored)
	fixture.awaitListVersion(9, time.Now().Add(fixture.gateway.config.Site.Settings.DrainGrace))
}
