package platform

import (
	"context"
	"testing"
	"time"

	"landingpaddle/internal/daemon"
)

// A connection that brought an answer a moment ago may still bring what belongs to nobody: it is not taken
// for the next attempt before it has settled, and after that only if nothing came.
func TestUpstreamPool_ReusesSettledConnections(t *testing.T) {
	diskServer := newFakeDiskServer(t, func(int, *receivedRequest) []byte { return okResponse("ok") })
	fixture := startGateway(t, 256, diskServer)
	pool, server := fixture.gateway.upstream, serverOf("s-0")
	connection, err := pool.dial(context.Background(), diskServer.listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	connection.idleSince, connection.isUnused = time.Now().
		Add(time.Hour),
		false // its answer came just now, however slow this test is
	pool.release(server, connection)
	if pool.acquire(server) != nil {
		t.Error("taken before it has settled")
	}
	pool.mu.Lock()
	connection.idleSince = time.Now().Add(-2 * settleTime)
	pool.mu.Unlock()
	if pool.acquire(server) != connection {
		t.Error("not taken once it has settled")
	}
	since := connection.idleSince
	pool.release(server, connection) // nothing was written: to its disk server it idles on
	if connection.idleSince != since {
		t.Error("a connection that was not used counts as fresh")
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
	eventually(t, "what came unasked is there", func() bool { return !isOpenAndEmpty(connection.conn) })
	if pool.acquire(server) != nil || pool.counters.stale.Load() != 1 {
		t.Error("taken although something came on it that nobody asked for")
	}
}

// An attempt that is cancelled as its answer has just come: either its connection is closed and never idles,
// or it has been let go and stays whole for the next.
func TestUpstreamPool_CancelCrossesAnswer(t *testing.T) {
	for _, offFirst := range []bool{true, false} {
		diskServer := newFakeDiskServer(t, func(int, *receivedRequest) []byte { return okResponse("ok") })
		fixture := startGateway(t, 256, diskServer)
		pool := fixture.gateway.upstream
		connection, err := pool.dial(context.Background(), diskServer.listener.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		op := &daemon.Operation{}
		attemptInFlight := &attempt{pool: pool, operation: op, conn: connection.conn}
		attemptInFlight.ctx, attemptInFlight.cancel = context.WithCancel(context.Background())
		op.DriverState = attemptInFlight
		if offFirst {
			pool.Cancel(op)
			pool.releaseAfterAnswer(attemptInFlight, connection)
		} else {
			pool.releaseAfterAnswer(attemptInFlight, connection)
			pool.Cancel(op)
		}
		pool.mu.Lock()
		idle, held := len(pool.idle[op.Server()]), pool.connections
		pool.mu.Unlock()
		if want := map[bool]int{true: 0, false: 1}[offFirst]; idle != want || held != want ||
			isOpenAndEmpty(connection.conn) == offFirst {
			t.Errorf(
				"cancelled first %v: %d idle, %d held, open %v",
				offFirst,
				idle,
				held,
				isOpenAndEmpty(connection.conn),
			)
		}
	}
}
