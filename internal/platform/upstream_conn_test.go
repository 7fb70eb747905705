package platform

import (
	"context"
	"testing"
	"time"

	"landingpaddle/internal/daemon"
)

// Unsolicited bytes may still arrive on a connection after an answer: it is not reused before it has been
// idle for settleTime, and after that only if nothing arrived.
func TestUpstreamPool_ReusesSettledConnections(t *testing.T) {
	diskServer := newOKDiskServer(t)
	fixture := startGateway(t, 256, diskServer)
	pool, server := fixture.gateway.upstream, serverOf("s-0")
	connection, err := pool.dial(context.Background(), diskServer.listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	connection.isUnused = false
	connection.idleSince = time.Now().Add(time.Hour) // its answer is recent, however slow the test runs
	pool.release(server, connection)
	if pool.acquire(server) != nil {
		t.Error("got a connection before its settle time has passed, want none")
	}
	pool.mu.Lock()
	connection.idleSince = time.Now().Add(-2 * settleTime)
	pool.mu.Unlock()
	if pool.acquire(server) != connection {
		t.Error("got no or another connection after the settle time, want the idle one")
	}
	since := connection.idleSince
	pool.release(server, connection) // nothing was written: to its disk server it is still idle
	if connection.idleSince != since {
		t.Error("got another idleSince for a connection that was not used, want it unchanged")
	}
	eventually(t, "the disk server has accepted the connection", func() bool {
		diskServer.mu.Lock()
		defer diskServer.mu.Unlock()
		return len(diskServer.connections) == 1
	})
	diskServer.mu.Lock()
	for conn := range diskServer.connections {
		conn.Write([]byte("HTTP/1.1 200 OK\r\n"))
	}
	diskServer.mu.Unlock()
	eventually(t, "unsolicited bytes have arrived", func() bool { return !isOpenAndEmpty(connection.conn) })
	if pool.acquire(server) != nil || pool.counters.stale.Load() != 1 {
		t.Error("got a connection with unsolicited bytes, want it discarded as stale")
	}
}

// An attempt is cancelled while its answer arrives: its connection is either closed and never returned to the
// pool, or it is idle in the pool and stays open for the next attempt.
func TestUpstreamPool_CancelConcurrentWithAnswer(t *testing.T) {
	for _, cancelFirst := range []bool{true, false} {
		diskServer := newOKDiskServer(t)
		fixture := startGateway(t, 256, diskServer)
		pool := fixture.gateway.upstream
		connection, err := pool.dial(context.Background(), diskServer.listener.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		operation := &daemon.Operation{}
		inFlight := &attempt{pool: pool, operation: operation, conn: connection.conn}
		inFlight.ctx, inFlight.cancel = context.WithCancel(context.Background())
		operation.DriverState = inFlight
		if cancelFirst {
			pool.Cancel(operation)
			pool.releaseAfterAnswer(inFlight, connection)
		} else {
			pool.releaseAfterAnswer(inFlight, connection)
			pool.Cancel(operation)
		}
		pool.mu.Lock()
		idle, total := len(pool.idle[operation.Server()]), pool.connections
		pool.mu.Unlock()
		if want := map[bool]int{true: 0, false: 1}[cancelFirst]; idle != want || total != want ||
			isOpenAndEmpty(connection.conn) == cancelFirst {
			t.Errorf("cancelled first %v: got %d idle, %d in all, open %v; "+
				"want 0, 0, false if cancelled first, else 1, 1, true", cancelFirst, idle, total,
				isOpenAndEmpty(connection.conn))
		}
	}
}
