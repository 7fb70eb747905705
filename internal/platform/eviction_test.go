package platform

import (
	"fmt"
	"net"
	"testing"
	"time"
)

// A request that is there when its connection is asked to end is served, and its answer says that it is the
// last. (roll+brink: it was read and sent on, and the connection closed under it.)
func TestEviction_AnswersRequestThatCameBeforeEnd(t *testing.T) {
	for _, pieces := range []int{1, 2} {
		diskServer := newFakeDiskServer(t, func(int, *receivedRequest) []byte { return okResponse("ok") })
		fixture := startGateway(t, 256, diskServer)
		client := fixture.dial()
		client.send(requestText("GET", "read", "a1", 0, ""))
		client.readAnswer()
		connection := fixture.awaitOnlyClient(stateIdle)
		text := requestText("GET", "read", "a2", 0, "")
		frontend := fixture.gateway.frontend
		frontend.mu.Lock() // its session is woken and can't go on: what comes now comes in that very moment
		connection.closeRequested = true
		connection.conn.SetReadDeadline(wakeDeadline)
		client.send(text[:len(text)/pieces])
		// It is there: still to be read, or, as bytes may overtake a deadline, read and held up by the lock.
		deadline := time.Now().Add(100 * time.Millisecond)
		for isOpenAndEmpty(connection.conn) && time.Now().Before(deadline) {
			time.Sleep(time.Millisecond)
		}
		frontend.mu.Unlock()
		client.send(text[len(text)/pieces:])
		if status, header, body := client.readAnswer(); status != 200 || body != "ok" ||
			header.Get("Connection") != "close" {
			t.Errorf("in %d pieces: %d %v %q", pieces, status, header, body)
		}
		client.expectGracefulClose()
	}
}

// The other order: what comes once the sending side is shut is read off and never sent on; the connection
// ends in order, so that its client tries elsewhere.
func TestEviction_DropsRequestThatCameAfterEnd(t *testing.T) {
	diskServer := newFakeDiskServer(t, func(int, *receivedRequest) []byte { return okResponse("ok") })
	fixture := startGateway(t, 256, diskServer)
	client := fixture.dial()
	client.send(requestText("GET", "read", "a1", 0, ""))
	client.readAnswer()
	if connection := fixture.awaitOnlyClient(stateIdle); !fixture.gateway.frontend.evict(
		connection,
		false,
	) {
		t.Fatal("an idle connection was not asked to end")
	}
	client.expectGracefulClose() // shut for sending
	client.send(requestText("GET", "read", "a2", 0, ""))
	eventually(t, "the session is over", func() bool {
		fixture.gateway.frontend.mu.Lock()
		defer fixture.gateway.frontend.mu.Unlock()
		return len(fixture.gateway.frontend.connections)+fixture.gateway.frontend.lingering == 0
	})
	if n := len(diskServer.received()); n != 1 || fixture.gateway.loop.Stats.Admitted.Load() != 1 {
		t.Errorf("%d sends, %d taken", n, fixture.gateway.loop.Stats.Admitted.Load())
	}
}

// A connection whose request is in work is never asked to end, and one with bytes to read neither.
func TestEviction_SparesRequestInFlight(t *testing.T) {
	diskServer, released := newHeldDiskServer(t)
	fixture := startGateway(t, 256, diskServer)
	client := fixture.dial()
	client.send(requestText("GET", "read", "a1", 0, ""))
	if fixture.gateway.frontend.evict(fixture.awaitOnlyClient(stateWorking), true) {
		t.Error("a connection with a request in work was asked to end")
	}
	released <- struct{}{}
	if status, _, _ := client.readAnswer(); status != 200 {
		t.Error(status)
	}
}

// One that is slow to say its request and has to give way is told so.
func TestEviction_AnswersSlowRequestWithTimeout(t *testing.T) {
	fixture := startGateway(
		t,
		256,
		newFakeDiskServer(t, func(int, *receivedRequest) []byte { return okResponse("ok") }),
	)
	client := fixture.dial()
	client.send("GET /api")
	if !fixture.gateway.frontend.evict(fixture.awaitOnlyClient(stateReading), true) {
		t.Fatal("it was not asked to end")
	}
	if status, _, _ := client.readAnswer(); status != 408 {
		t.Errorf("%d", status)
	}
	client.expectGracefulClose()
}

// Hundreds that connect and say nothing, and clients that ask once and keep their connections for good,
// hold up nobody, and all is given back.
func TestEviction_ServesDespiteIdleClients(t *testing.T) {
	diskServer := newFakeDiskServer(t, func(int, *receivedRequest) []byte { return okResponse("ok") })
	fixture := startGateway(t, 64, diskServer)
	for range 3 * fixture.gateway.limits.clients {
		conn, err := net.Dial("tcp4", fixture.address)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { conn.Close() })
	}
	time.Sleep(20 * time.Millisecond)
	for i := range 3 * fixture.gateway.limits.clients {
		client := fixture.dial()
		client.send(requestText("GET", "read", fmt.Sprintf("a%d", i), 0, ""))
		if status, _, _ := client.readAnswer(); status != 200 {
			t.Fatalf("client %d: %d", i, status)
		}
		if i%(fixture.gateway.limits.clients/2) == 0 {
			time.Sleep(evictIdleAfter + 50*time.Millisecond)
		}
	}
	eventually(t, "those that idle are closed", func() bool {
		return fixture.gateway.frontend.countByState().idle == 0
	})
	eventually(t, "the silent are closed", func() bool {
		return fixture.gateway.frontend.countByState().silent == 0
	})
}
