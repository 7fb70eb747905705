package platform

import (
	"log/slog"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"landingpaddle/internal/daemon"
	"landingpaddle/internal/wire"
)

// drainPollInterval is how often a shutdown checks whether all connections have ended.
const drainPollInterval = time.Millisecond

// frontend accepts clients, reads their requests and submits them to the event loop.
type frontend struct {
	loop   *daemon.EventLoop
	site   *wire.Site
	log    *slog.Logger
	limits resourceLimits

	accepting acceptQueue
	freed     chan struct{} // holds a value once a connection has ended since the last receive

	keepIdle  atomic.Bool // set by a shutdown: idle connections stay open, as no new ones are expected
	ids       *requestIDs
	bodyBytes atomic.Int64 // of request bodies in flight, and of read buffers beyond maxClientHead

	mu          sync.Mutex
	closing     bool // connections end as soon as no request is in flight on them
	connections map[*clientConn]struct{}
	lingering   []*clientConn // closing connections, removed from connections; oldest first

	counters frontendCounters
}

// frontendCounters count events since the start.
type frontendCounters struct {
	refused      atomic.Uint64 // connections that could not be accepted, or were closed at once
	roomWait     atomic.Uint64 // microseconds in which new connections waited for others to end
	evicted      atomic.Uint64 // connections closed by makeRoom so that another can be accepted
	unread       atomic.Uint64 // connections closed because the client did not read its answers
	silent       atomic.Uint64 // connections that ended before a byte of a request arrived
	invalid      atomic.Uint64 // invalid, late or duplicate requests, and those over bodyBytes
	duplicateIDs atomic.Uint64 // requests with the id of one that is in flight or may have run
	overLimit    atomic.Uint64 // requests rejected because a limit was reached, or during a shutdown
}

func newFrontend(loop *daemon.EventLoop, site *wire.Site, log *slog.Logger, limits resourceLimits) *frontend {
	return &frontend{loop: loop, site: site, log: log, limits: limits,
		freed:       make(chan struct{}, 1),
		connections: map[*clientConn]struct{}{}, ids: newRequestIDs(limits.usedIDs)}
}

// unregister removes a connection whose session ends.
func (f *frontend) unregister(client *clientConn) {
	f.bodyBytes.Add(-client.bufferBytes)
	f.mu.Lock()
	delete(f.connections, client)
	if client.isLingering {
		f.lingering = slices.DeleteFunc(f.lingering, func(other *clientConn) bool { return other == client })
	}
	f.mu.Unlock()
	select {
	case f.freed <- struct{}{}:
	default:
	}
}

// connectionCounts are the numbers of open client connections by state.
type connectionCounts struct {
	silent  int // no request sent yet
	reading int // a part of a request received
	idle    int // between requests
	working int // a request in flight, or the answers before it unread
}

func (f *frontend) countByState() (counts connectionCounts) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for client := range f.connections {
		switch {
		case client.state == stateWorking || client.state == stateUnread:
			counts.working++
		case client.state == stateReading:
			counts.reading++
		case client.isSilent():
			counts.silent++
		default:
			counts.idle++
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
		remaining := len(f.connections) + len(f.lingering)
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
