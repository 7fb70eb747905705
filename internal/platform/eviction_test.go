package platform

import (
	"fmt"
	"net"
	"testing"
	"time"
)

// A request that arrives before its connection is closed by an eviction is served, and its answer has
// Connection: close. In the scenario roll+brink, such a request was forwarded, and its connection was closed
// before the answer.
func TestEviction_AnswersRequestReceivedBeforeClose(t *testing.T) {
	for _, pieces := range []int{1, 2} {
		diskServer := newOKDiskServer(t)
		fixture := startGateway(t, 256, diskServer)
		client := fixture.dial()
		client.send(readText("a1"))
		client.readAnswer()
		connection := fixture.awaitOnlyClient(stateIdle)
		text := readText("a2")
		frontend := fixture.gateway.frontend
		frontend.mu.Lock() // the session is woken but blocked: the request arrives during the eviction
		connection.closeRequested = true
		connection.conn.SetReadDeadline(wakeDeadline)
		client.send(text[:len(text)/pieces])
		// Waits until the request or its first piece has arrived: it is unread, or the session read it before
		// the deadline took effect and waits for the lock.
		deadline := time.Now().Add(100 * time.Millisecond)
		for isOpenAndEmpty(connection.conn) && time.Now().Before(deadline) {
			time.Sleep(time.Millisecond)
		}
		frontend.mu.Unlock()
		client.send(text[len(text)/pieces:])
		if status, header, body := client.readAnswer(); status != 200 || body != "ok" ||
			header.Get("Connection") != "close" {
			t.Errorf("in %d pieces: got %d %v %q, want 200 and Connection: close", pieces, status,
				header, body)
		}
		client.expectGracefulClose()
	}
}

// Bytes received after the sending side is shut down are drained and discarded, never forwarded. The
// connection ends without a reset, so that the client tries elsewhere.
func TestEviction_DiscardsRequestReceivedAfterClose(t *testing.T) {
	diskServer := newOKDiskServer(t)
	fixture := startGateway(t, 256, diskServer)
	client := fixture.dial()
	client.send(readText("a1"))
	client.readAnswer()
	if connection := fixture.awaitOnlyClient(stateIdle); !fixture.gateway.frontend.evict(connection, false) {
		t.Fatal("got false from evict for an idle connection, want true")
	}
	client.expectGracefulClose() // the sending side is shut down
	client.send(readText("a2"))
	eventually(t, "the session has ended", func() bool {
		fixture.gateway.frontend.mu.Lock()
		defer fixture.gateway.frontend.mu.Unlock()
		return len(fixture.gateway.frontend.connections)+len(fixture.gateway.frontend.lingering) == 0
	})
	if n := len(diskServer.received()); n != 1 || fixture.gateway.loop.Stats.Admitted.Load() != 1 {
		t.Errorf("got %d sends, %d admitted; want 1 of each", n, fixture.gateway.loop.Stats.Admitted.Load())
	}
}

// A connection with a request in flight is never evicted.
func TestEviction_KeepsConnectionWithRequestInFlight(t *testing.T) {
	diskServer, release := newBlockingDiskServer(t)
	fixture := startGateway(t, 256, diskServer)
	client := fixture.dial()
	client.send(readText("a1"))
	if fixture.gateway.frontend.evict(fixture.awaitOnlyClient(stateWorking), true) {
		t.Error("got true from evict for a connection with a request in flight, want false")
	}
	release <- struct{}{}
	if status, _, _ := client.readAnswer(); status != 200 {
		t.Error("want status 200, got", status)
	}
}

// A client that is evicted because it sends its request slowly receives status 408.
func TestEviction_AnswersSlowRequestWithTimeout(t *testing.T) {
	fixture := startGateway(t, 256, newOKDiskServer(t))
	client := fixture.dial()
	client.send("GET /api")
	if !fixture.gateway.frontend.evict(fixture.awaitOnlyClient(stateReading), true) {
		t.Fatal("got false from evict for a slow connection, want true")
	}
	if status, _, _ := client.readAnswer(); status != 408 {
		t.Errorf("got status %d, want 408", status)
	}
	client.expectGracefulClose()
}

// Clients that connect and send nothing, and clients that never close their connection after one request, do
// not delay others, and all their connections are closed.
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
	time.Sleep(20 * time.Millisecond) // longer than evictSilentAfter
	for i := range 3 * fixture.gateway.limits.clients {
		client := fixture.dial()
		client.send(readText(fmt.Sprintf("a%d", i)))
		if status, _, _ := client.readAnswer(); status != 200 {
			t.Fatalf("client %d: got status %d, want 200", i, status)
		}
		if i%(fixture.gateway.limits.clients/2) == 0 {
			time.Sleep(evictIdleAfter + 50*time.Millisecond) // idle connections may be evicted now
		}
	}
	eventually(t, "the idle connections are closed", func() bool {
		return fixture.gateway.frontend.countByState().idle == 0
	})
	eventually(t, "the silent connections are closed", func() bool {
		return fixture.gateway.frontend.countByState().silent == 0
	})
}
