package platform

import (
	"fmt"
	"net"
	"sync"
	"testing"
	"time"
)

// notifiedAfterReload is the time after a reload within which the scheduler must receive the list of the new
// discovery service: after that it counts as notified of it.
const notifiedAfterReload = 4 * time.Second

// A reload moves an open watch to the new discovery service, and requests are served during the reload.
func TestReload_MovesOpenWatch(t *testing.T) {
	fixture := startGateway(t, 256, newOKDiskServer(t))
	fixture.discovery.awaitWatches(t, 1)
	other := newFakeDiscovery(t, fixture.discovery.current)
	config := parseTestConfig(t, other.address())
	var clients sync.WaitGroup
	for n := range 4 {
		client := fixture.dial()
		clients.Go(func() {
			for i := range 50 {
				client.send(readText(fmt.Sprintf("c%d-%d", n, i)))
				if status, _, _ := client.readAnswer(); status != 200 {
					t.Errorf("got status %d during the reload, want 200", status)
				}
			}
		})
	}
	fixture.gateway.Reload(config)
	clients.Wait()
	other.awaitWatches(t, 1)
	fixture.discovery.awaitWatches(t, 0)
}

// After a reload the new discovery service is called at once, whether a watch of the old one is open, is
// being opened, or has failed and waits to be reopened, or a fetch is in flight. The old one is not called
// any more, and its later messages have no effect.
func TestReload_MovesCallsInEveryState(t *testing.T) {
	for _, test := range []struct {
		name          string
		old           discoveryScript
		calls         int // at the old discovery service before the reload
		noInitialList bool
	}{
		{"watch is open", watchWithMessage(listDocument(7, true)), 1, false},
		{"watch is being opened", neverAnswer, 1, false},
		{"watch has failed", answerUnavailable, 1, false},
		{"fetch is in flight", watchWithMessage(listDocument(8, false)), 2, true},
	} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			diskServer := newOKDiskServer(t)
			list := listDocument(9, true, listedServer("s-0", diskServer, 0))
			from, to := newScriptedDiscovery(t, test.old), newScriptedDiscovery(t, failOnceThenList(list))
			var change func(string) string
			if test.noInitialList {
				change = withoutInitialList(t)
			}
			fixture := startGatewayAt(t, from.address(), diskServer, change)
			eventually(t, "the old service is called", func() bool { return from.calls() >= test.calls })
			config := parseTestConfig(t, to.address())
			reloaded := time.Now()
			fixture.gateway.Reload(config)
			fixture.awaitListVersion(9, reloaded.Add(notifiedAfterReload))
			before := from.calls()
			fixture.gateway.discovery.Fetch()
			eventually(t, "the new service is called again", func() bool { return to.calls() >= 3 })
			if n := from.calls(); n != before {
				t.Errorf("got %d more calls at the old discovery service, want 0", n-before)
			}
		})
	}
}

// watchWithMessage is the script of a discovery service that sends one message on each watch and does not
// answer fetches.
func watchWithMessage(message string) discoveryScript {
	return func(_ int, target string, connection net.Conn, ended <-chan struct{}) {
		if isWatch(target) {
			writeMessage(connection, message)
		}
		<-ended
	}
}

// failOnceThenList is the script of a discovery service whose first call fails; later calls return a list.
func failOnceThenList(list string) discoveryScript {
	return func(n int, target string, connection net.Conn, ended <-chan struct{}) {
		switch {
		case n == 0:
			answerUnavailable(n, target, connection, ended)
		case !isWatch(target):
			writeDocument(connection, list)
		default:
			writeMessage(connection, list)
			<-ended
		}
	}
}
