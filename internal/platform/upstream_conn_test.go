package platform

import (
	"context"
	"testing"
	"time"

	"landingpaddle/internal/daemon"
)

// A connection that brought an answer a moment ago may still bring unsolicited bytes: it is not used for
// the next attempt before it has settled, and after that only if nothing came.
func TestUpstreamPool_ReusesSettledConnections(t *testing.T) {
	diskServer := newOKDiskServer(t)
	fixture := startGateway(t, 256, diskServer)
	pool, server := fixture.gateway.upstream, serverOf("s-0")
	connection, err := pool.dial(context.Background(), diskServer.listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	connection.isUnused = false
	connection.idleSince = time.Now().Add(time.Hour) // its answer came just now, however slow this test is
	pool.release(server, connection)
	if pool.acquire(server) != nil {
		t.Error("acquired before it has settled")
	}
	pool.mu.Lock()
	connection.idleSince = time.Now().Add(-2 * settleTime)
	pool.mu.Unlock()
	if pool.acquire(server) != connection {
		t.Error("not acquired once it has settled")
	}
	since := connection.idleSince
	pool.release(server, connection) // nothing was written: to its disk server it idles on
	if connection.idleSince != since {
		t.Error("a connection that was not used counts as used just now")
	}
	eventually(t, "the disk server has the connection", func() bool {
		diskServer.mu.Lock()
		defer diskServer.mu.Unlock()
		return len(diskServer.connections) == 1
	})
	diskServer.mu.Lock()
	for conn := range diskServer.connections {
		conn.Write([]byte("HTTP/1.1 200 OK\r\n"))
	}
	diskServer.mu.Unlock()
	eventually(t, "the unsolicited bytes are there", func() bool { return !isOpenAndEmpty(connection.conn) })
	if pool.acquire(server) != nil || pool.counters.stale.Load() != 1 {
		t.Error("acquired although unsolicited bytes came on it")
	}
}

// An attempt that is cancelled as its answer has just come: either its connection is closed and never idles,
// or it idles and stays open for the next attempt.
func TestUpstreamPool_CancelCrossesAnswer(t *testing.T) {
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
		idle, held := len(pool.idle[operation.Server()]), pool.connections
		pool.mu.Unlock()
		if want := map[bool]int{true: 0, false: 1}[cancelFirst]; idle != want || held != want ||
			isOpenAndEmpty(connection.conn) == cancelFirst {
			t.Errorf("cancelled first %v: %d idle, %d held, open %v", cancelFirst, idle, held,
				isOpenAndEmpty(connection.conn))
		}
	}
}
