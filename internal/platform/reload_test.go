package platform

import (
	"fmt"
	"net"
	"sync"
	"testing"
	"time"
)

// notifiedAfterReload is how long after a reload the scheduler counts as notified of what the new discovery
// has.
const notifiedAfterReload = 4 * time.Second

// A reload moves a standing watch to the new discovery, and requests are served meanwhile.
func TestReload_MovesStandingWatch(t *testing.T) {
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
					t.Errorf("%d during the reload", status)
				}
			}
		})
	}
	fixture.gateway.Reload(config)
	clients.Wait()
	other.awaitWatches(t, 1)
	fixture.discovery.awaitWatches(t, 0)
}

// A reload has the new discovery called at once, whether a watch stood at the old one, was being opened
// there, had failed and waited, or a fetch was under way; what the old one still says changes nothing.
func TestReload_MovesCallsInEveryState(t *testing.T) {
	for _, test := range []struct {
		name      string
		old       discoveryScript
		calls     int // at the old discovery before the reload
		isUnknown bool
	}{
		{"a watch stands", watchWithMessage(listDocument(7, true)), 1, false},
		{"a watch is being opened", neverAnswer, 1, false},
		{"a watch has failed", answerUnavailable, 1, false},
		{"a fetch is under way", watchWithMessage(listDocument(8, false)), 2, true},
	} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			diskServer := newOKDiskServer(t)
			list := listDocument(9, true, listedServer("s-0", diskServer, 0))
			from, to := newScriptedDiscovery(t, test.old), newScriptedDiscovery(t, failOnceThenList(list))
			var change func(string) string
			if test.isUnknown {
				change = withoutInitialList(t)
			}
			fixture := startGatewayAt(t, from.address(), diskServer, change)
			eventually(t, "the old one is called", func() bool { return from.calls() >= test.calls })
			config := parseTestConfig(t, to.address())
			reloaded := time.Now()
			fixture.gateway.Reload(config)
			fixture.awaitListVersion(9, reloaded.Add(notifiedAfterReload))
			before := from.calls()
			fixture.gateway.discovery.Fetch()
			eventually(t, "the new one is called again", func() bool { return to.calls() >= 3 })
			if n := from.calls(); n != before {
				t.Errorf("the old one was called %d times more", n-before)
			}
		})
	}
}

// watchWithMessage is the script of a discovery whose watches bring one message and whose fetches stay
// without an answer.
func watchWithMessage(message string) discoveryScript {
	return func(_ int, target string, connection net.Conn, ended <-chan struct{}) {
		if isWatch(target) {
			writeMessage(connection, message)
		}
		<-ended
	}
}

// failOnceThenList is the script of a discovery whose first call fails; further ones bring a list.
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
