package platform

import (
	"net"
	"strconv"
	"strings"
	"testing"
	"time"
)

// testBudget is the budget that requestText states.
const testBudget = 1500 * time.Millisecond

// forwardedBudget returns the budget that was stated with request n to a disk server.
func forwardedBudget(t *testing.T, diskServer *fakeDiskServer, n int) time.Duration {
	t.Helper()
	text := diskServer.received()[n].field(fieldBudget)
	seconds, err := strconv.ParseFloat(text, 64)
	if err != nil {
		t.Fatal(err)
	}
	return time.Duration(seconds * float64(time.Second))
}

// startGatewayWithHeldAccept starts a scheduler that accepts no client until release is closed: it waits for
// a pushed list.
func startGatewayWithHeldAccept(t *testing.T, diskServer *fakeDiskServer,
	change func(string) string) (fixture *gatewayFixture, release chan struct{}) {
	t.Helper()
	release = make(chan struct{})
	script := func(_ int, _ string, connection net.Conn, ended <-chan struct{}) {
		select {
		case <-release:
			writeMessage(connection, listDocument(8, true, listedServer("s-0", diskServer, 0)))
			<-ended
		case <-ended:
		}
	}
	discovery := newScriptedDiscovery(t, script)
	pushed := withPushedList(t)
	fixture = startGatewayAt(t, discovery.address(), diskServer, func(config string) string {
		if change != nil {
			config = change(config)
		}
		return pushed(config)
	})
	return fixture, release
}

// Guards against the time of a request that counts from when a goroutine read it: after a delay of the
// process the disk server was told more time than the client still waited.
func TestFrontend_CountsTimeFromArrivalOfUnreadRequest(t *testing.T) {
	const unreadFor = 300 * time.Millisecond
	diskServer := newOKDiskServer(t)
	fixture, release := startGatewayWithHeldAccept(t, diskServer, nil)
	client := fixture.dial()
	sentAt := time.Now()
	client.send(payText("a1", "data"))
	time.Sleep(unreadFor)
	close(release)
	if status, _, _ := client.readAnswer(); status != 200 {
		t.Fatalf("got status %d, want 200", status)
	}
	expectBudget(t, forwardedBudget(t, diskServer, 0), unreadFor, time.Since(sentAt))
}

// Guards against the time of a pipelined request that counts from its first byte: a client that sent the rest
// much later was answered as if its time had begun before.
func TestFrontend_CountsTimeFromLastByteOfPipelinedRequest(t *testing.T) {
	const gap = 300 * time.Millisecond
	diskServer, release := newBlockingDiskServer(t)
	fixture := startGateway(t, 256, diskServer)
	client := fixture.dial()
	head, body, _ := strings.Cut(payText("a2", "data"), "\r\n\r\n")
	client.send(payText("a1", "data") + head)
	diskServer.awaitRequests(t, 1)
	time.Sleep(gap)
	completedAt := time.Now()
	client.send("\r\n\r\n" + body)
	time.Sleep(gap) // the second request waits for the first
	release <- struct{}{}
	release <- struct{}{}
	for range 2 {
		if status, _, _ := client.readAnswer(); status != 200 {
			t.Fatalf("got status %d, want 200", status)
		}
	}
	expectBudget(t, forwardedBudget(t, diskServer, 1), gap, time.Since(completedAt))
}

// expectBudget checks a budget that was stated between the given times after the request had arrived.
func expectBudget(t *testing.T, got, earliest, latest time.Duration) {
	t.Helper()
	const slack = 20 * time.Millisecond // between the client's send and the arrival, and in the margins
	if got > testBudget-earliest || got < testBudget-latest-slack {
		t.Errorf("got a stated budget of %v, want between %v and %v", got, testBudget-latest-slack,
			testBudget-earliest)
	}
}
