package platform

import (
	"errors"
	"log/slog"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"landingpaddle/internal/daemon"
	"landingpaddle/internal/wire"
)

const (
	// acceptRetryDelay is the wait after a connection could not be accepted.
	acceptRetryDelay = 5 * time.Millisecond
	// A new connection waits for lingering ones to end, at most so often and so long each time.
	maxLingerWaits = 20
	lingerWait     = time.Millisecond
	// drainPollInterval is how often a shutdown looks whether all connections have ended.
	drainPollInterval = time.Millisecond
)

// frontend accepts clients, reads their requests and submits them to the event loop.
type frontend struct {
	loop   *daemon.EventLoop
	site   *wire.Site
	log    *slog.Logger
	limits resourceLimits

	keepIdle  atomic.Bool  // idle connections stay open, as a shutdown has begun and no new ones come
	bodyBytes atomic.Int64 // of request bodies in flight and of what clients sent ahead

	mu          sync.Mutex
	closing     bool // connections end as soon as no request is on them
	connections map[*clientConn]struct{}
	lingering   int                 // connections that are closing and not among connections any more
	openIDs     map[string]struct{} // ids of requests in flight

	counters frontendCounters
}

// frontendCounters count what happened since the start.
type frontendCounters struct {
	accepted     atomic.Uint64 // connections
	refused      atomic.Uint64 // connections that could not be accepted, or were closed at once
	evicted      atomic.Uint64 // connections closed to make room for others
	silent       atomic.Uint64 // connections that ended without a request
	invalid      atomic.Uint64 // requests answered with an error when they were read
	duplicateIDs atomic.Uint64 // requests with the id of one in flight
	overLimit    atomic.Uint64 // requests rejected as too much is in flight, or during a shutdown
}

func newFrontend(loop *daemon.EventLoop, site *wire.Site, log *slog.Logger, limits resourceLimits) *frontend {
	return &frontend{loop: loop, site: site, log: log, limits: limits,
		connections: map[*clientConn]struct{}{}, openIDs: map[string]struct{}{}}
}

// serve accepts clients until the listener is closed, and starts a session for each.
func (f *frontend) serve(listener net.Listener) {
	for {
		conn, err := listener.Accept()
		switch {
		case errors.Is(err, net.ErrClosed):
			return
		case err != nil: // no descriptor is left, or the client has gone already
			f.counters.refused.Add(1)
			f.makeRoom(true)
			time.Sleep(acceptRetryDelay)
			continue
		}
		f.counters.accepted.Add(1)
		client := newClientConn(conn)
		if !f.register(client) {
			f.counters.refused.Add(1)
			conn.Close()
			continue
		}
		go f.runSession(client)
	}
}

// register adds a connection to the open ones. Where there are as many as may be, it makes room by closing
// another, and reports false if it cannot.
func (f *frontend) register(client *clientConn) bool {
	f.mu.Lock()
	hasRoom := len(f.connections) < f.limits.clients
	f.mu.Unlock()
	if !hasRoom {
		// Lingering connections end within moments; new ones wait in the listener's queue meanwhile.
		for wait := 0; wait < maxLingerWaits && f.isLingeringFull(); wait++ {
			time.Sleep(lingerWait)
		}
		if !f.makeRoom(false) {
			return false
		}
	}
	f.mu.Lock()
	f.connections[client] = struct{}{}
	f.mu.Unlock()
	return true
}

// unregister removes a connection whose session ends.
func (f *frontend) unregister(client *clientConn) {
	f.bodyBytes.Add(-client.bufferBytes)
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.connections, client)
	if client.isLingering {
		f.lingering--
	}
}

// connectionCounts is how many open client connections are in each state.
type connectionCounts struct {
	silent  int // without a request yet
	reading int // with a part of a request
	idle    int // between requests
	working int // with a request in flight
}

func (f *frontend) countByState() (counts connectionCounts) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for client := range f.connections {
		switch {
		case client.state == stateWorking:
			counts.working++
		case client.state == stateReading:
			counts.reading++
		case client.requests > 0:
			counts.idle++
		default:
			counts.silent++
		}
	}
	return counts
}

// closeGracefully ends idle connections now, and all others once no request is on them.
func (f *frontend) closeGracefully() {
	f.mu.Lock()
	f.closing = true
	f.mu.Unlock()
	f.closeIdle(0, noneKept)
}

// waitUntilClosed waits until every connection has ended, lingering ones too, or until a deadline.
func (f *frontend) waitUntilClosed(deadline time.Time) {
	for ; time.Now().Before(deadline); time.Sleep(drainPollInterval) {
		f.mu.Lock()
		left := len(f.connections) + f.lingering
		f.mu.Unlock()
		if left == 0 {
			return
		}
	}
}

// closeAll closes the connections that are left as the process ends. It is the one place besides the session
// that closes an open connection.
func (f *frontend) closeAll() {
	f.mu.Lock()
	defer f.mu.Unlock()
	for client := range f.connections {
		client.conn.Close()
	}
}
