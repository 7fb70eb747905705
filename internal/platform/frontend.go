package platform

import (
	"errors"
	"log/slog"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"landingpaddle/internal/arrival"
	"landingpaddle/internal/daemon"
	"landingpaddle/internal/wire"
)

const (
	// acceptRetryDelay is the delay after a failed accept.
	acceptRetryDelay = 5 * time.Millisecond
	// A new connection over the limit waits for lingering ones to end, up to maxLingerWaits times lingerWait.
	maxLingerWaits = 20
	lingerWait     = time.Millisecond
	// drainPollInterval is how often a shutdown checks whether all connections have ended.
	drainPollInterval = time.Millisecond
)

// frontend accepts clients, reads their requests and submits them to the event loop.
type frontend struct {
	loop   *daemon.EventLoop
	site   *wire.Site
	log    *slog.Logger
	limits resourceLimits

	listener *arrival.Listener // whose clients are served; set before the loop runs

	keepIdle  atomic.Bool  // set by a shutdown: idle connections stay open, as no new ones are expected
	bodyBytes atomic.Int64 // of request bodies in flight, and of read buffers beyond maxClientHead

	mu          sync.Mutex
	closing     bool // connections end as soon as no request is in flight on them
	connections map[*clientConn]struct{}
	lingering   int                 // closing connections, removed from connections
	openIDs     map[string]struct{} // ids of requests in flight

	counters frontendCounters
}

// frontendCounters count events since the start.
type frontendCounters struct {
	accepted     atomic.Uint64 // connections
	refused      atomic.Uint64 // connections that could not be accepted, or were closed at once
	evicted      atomic.Uint64 // connections closed by makeRoom so that another can be accepted
	silent       atomic.Uint64 // connections that ended before a byte of a request arrived
	invalid      atomic.Uint64 // invalid, late or duplicate requests, and those over the limit of body bytes
	duplicateIDs atomic.Uint64 // requests with the id of one in flight
	overLimit    atomic.Uint64 // requests rejected because a limit was reached, or during a shutdown
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
		case err != nil: // out of descriptors, or the client has disconnected already
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

// register adds a connection to the open ones. If the limit is reached, it closes another one first, and
// reports false if it cannot.
func (f *frontend) register(client *clientConn) bool {
	f.mu.Lock()
	hasRoom := len(f.connections) < f.limits.clients
	f.mu.Unlock()
	if !hasRoom {
		// Lingering connections end shortly; until then new ones wait in the listener's queue.
		for wait := 0; wait < maxLingerWaits && f.isLingerLimitReached(); wait++ {
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

// connectionCounts are the numbers of open client connections by state.
type connectionCounts struct {
	silent  int // no request sent yet
	reading int // a part of a request received
	idle    int // between requests
	working int // a request in flight
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

// closeGracefully closes idle connections now, and all others once no request is in flight on them.
func (f *frontend) closeGracefully() {
	f.mu.Lock()
	f.closing = true
	f.mu.Unlock()
	f.closeIdle(0, keepNone)
}

// waitUntilClosed waits until every connection has ended, including lingering ones, or until a deadline.
func (f *frontend) waitUntilClosed(deadline time.Time) {
	for ; time.Now().Before(deadline); time.Sleep(drainPollInterval) {
		f.mu.Lock()
		remaining := len(f.connections) + f.lingering
		f.mu.Unlock()
		if remaining == 0 {
			return
		}
	}
}

// closeAll closes the remaining connections as the process ends. It is the only place besides the session
// that closes an open connection.
func (f *frontend) closeAll() {
	f.mu.Lock()
	defer f.mu.Unlock()
	for client := range f.connections {
		client.conn.Close()
	}
}
