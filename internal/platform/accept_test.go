package platform

import (
	"fmt"
	"net"
	"slices"
	"testing"
	"time"
)

const (
	silentCrowd   = 400
	crowdSockets  = 64 // of the scheduler: far less than the crowd needs
	overtakingGap = 100 * time.Millisecond
)

// connectSilently opens connections on which nothing is sent, until the test ends.
func connectSilently(t *testing.T, address string, count int) {
	t.Helper()
	for range count {
		conn, err := net.Dial("tcp4", address)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { conn.Close() })
	}
}

// Guards against writes that are overtaken behind silent clients: a write lay in a connection that was not
// accepted yet, and one of its key that came 0.1 s later on another connection was sent first.
func TestOrder_KeptBehindSilentClients(t *testing.T) {
	for name, isBusy := range map[string]bool{"nothing beside": false, "reads beside": true} {
		t.Run(name, func(t *testing.T) {
			diskServer := newOKDiskServer(t)
			fixture := startGatewayWith(t, crowdSockets, withOrderedWrites(t), diskServer)
			kept := fixture.dial()
			kept.send(readText("a0"))
			kept.readAnswer()
			if isBusy {
				fixture.readSteadily()
			}
			connectSilently(t, fixture.address, silentCrowd)
			opened := fixture.dial()
			opened.send(orderedWriteText("older", "b"))
			time.Sleep(overtakingGap)
			kept.send(orderedWriteText("newer", "c"))
			for _, client := range []*testClient{opened, kept} {
				if status, _, _ := client.readAnswer(); status != 200 {
					t.Errorf("got status %d, want 200", status)
				}
			}
			writes := slices.DeleteFunc(receivedIDs(diskServer), func(id string) bool {
				return id != "older" && id != "newer"
			})
			if want := []string{"older", "newer"}; !slices.Equal(writes, want) {
				t.Errorf("got writes in the order %v, want %v", writes, want)
			}
		})
	}
}

// readSteadily sends reads, one after another on one connection, until the test ends: the scheduler's batches
// follow each other.
func (f *gatewayFixture) readSteadily() {
	client := f.dial()
	client.send(readText("read")) // at once, as a connection that has sent nothing may be closed
	client.readAnswer()
	ended, stop := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(ended)
		for n := 0; ; n++ {
			select {
			case <-stop:
				return
			case <-time.After(5 * time.Millisecond):
			}
			client.send(readText(fmt.Sprintf("read%d", n)))
			client.readAnswer()
		}
	}()
	f.t.Cleanup(func() { close(stop); <-ended })
}

// Guards against new connections that wait for seconds behind silent ones: a request with little time left
// was answered long after its time.
func TestFrontend_ServesShortRequestBehindSilentClients(t *testing.T) {
	fixture := startGateway(t, crowdSockets, newOKDiskServer(t))
	connectSilently(t, fixture.address, silentCrowd)
	sentAt := time.Now()
	client := fixture.dial()
	text := replaceOnce(t, readText("a1"), "X-Budget: 1.500", "X-Budget: 0.300")
	client.send(text)
	status, _, _ := client.readAnswer()
	if took := time.Since(sentAt); status != 200 || took > 350*time.Millisecond {
		t.Errorf("got status %d after %v, want 200 within 0.3 s and the 50 ms of every limit", status, took)
	}
}

// The connections that are established at one time count as remaining until each is registered or refused,
// and later ones do not.
func TestAcceptQueue_TellsRemainingConnections(t *testing.T) {
	fixture, release := startGatewayWithHeldAccept(t, newOKDiskServer(t), nil)
	queue := &fixture.gateway.frontend.accepting
	if queue.remaining() != nil {
		t.Fatal("without a client: got some remaining, want none")
	}
	fixture.dial()
	fixture.dial()
	eventually(t, "two connections remain", func() bool {
		remaining := queue.remaining()
		return remaining != nil && remaining() == 2
	})
	remaining := queue.remaining()
	fixture.dial()
	if got := remaining(); got != 2 {
		t.Errorf("after another client: got %d remaining, want 2", got)
	}
	close(release)
	eventually(t, "none remains", func() bool { return remaining() == 0 && queue.remaining() == nil })
	if since := queue.backlogSince.Load(); since != 0 {
		t.Errorf("got a backlog since %d, want none", since)
	}
}
