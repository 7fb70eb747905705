package platform

import (
	"fmt"
	"net"
	"testing"
	"time"
)

// A request that is there when its connection is asked to end is served, and its answer says that it is the
// last. (Seen on roll+brink: it was forwarded, and its connection was closed before the answer.)
func TestEviction_AnswersRequestThatCameBeforeEnd(t *testing.T) {
	for _, pieces := range []int{1, 2} {
		diskServer := newOKDiskServer(t)
		fixture := startGateway(t, 256, diskServer)
		client := fixture.dial()
		client.send(readText("a1"))
		client.readAnswer()
		connection := fixture.awaitOnlyClient(stateIdle)
		text := readText("a2")
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

// What comes once the sending side is shut down is read off and never forwarded; the connection ends
// without a reset, so that the client tries elsewhere.
func TestEviction_DropsRequestThatCameAfterEnd(t *testing.T) {
	diskServer := newOKDiskServer(t)
	fixture := startGateway(t, 256, diskServer)
	client := fixture.dial()
	client.send(readText("a1"))
	client.readAnswer()
	if connection := fixture.awaitOnlyClient(stateIdle); !fixture.gateway.frontend.evict(connection, false) {
		t.Fatal("an idle connection was not asked to end")
	}
	client.expectGracefulClose() // it is shut down for sending
	client.send(readText("a2"))
	eventually(t, "the session is over", func() bool {
		fixture.gateway.frontend.mu.Lock()
		defer fixture.gateway.frontend.mu.Unlock()
		return len(fixture.gateway.frontend.connections)+fixture.gateway.frontend.lingering == 0
	})
	if n := len(diskServer.received()); n != 1 || fixture.gateway.loop.Stats.Admitted.Load() != 1 {
		t.Errorf("%d sends, %d admitted", n, fixture.gateway.loop.Stats.Admitted.Load())
	}
}

// A connection with a request in flight is never asked to end.
func TestEviction_SparesRequestInFlight(t *testing.T) {
	diskServer, released := newHeldDiskServer(t)
	fixture := startGateway(t, 256, diskServer)
	client := fixture.dial()
	client.send(readText("a1"))
	if fixture.gateway.frontend.evict(fixture.awaitOnlyClient(stateWorking), true) {
		t.Error("a connection with a request in flight was asked to end")
	}
	released <- struct{}{}
	if status, _, _ := client.readAnswer(); status != 200 {
		t.Error(status)
	}
}

// A client that is slow to send its request and is evicted gets an answer that says so.
func TestEviction_AnswersSlowRequestWithTimeout(t *testing.T) {
	fixture := startGateway(t, 256, newOKDiskServer(t))
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

// Clients that connect and send nothing, and clients that send one request and keep their connections for
// good, delay nobody, and all their connections are closed.
func TestEviction_ServesDespiteIdleClients(t *testing.T) {
	diskServer := newOKDiskServer(t)
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
		client.send(readText(fmt.Sprintf("a%d", i)))
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
