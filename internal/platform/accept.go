package platform

import (
	"errors"
	"math"
	"net"
	"runtime"
	"sync/atomic"
	"time"

	"landingpaddle/internal/arrival"
)

const (
	// acceptRetryDelay is the delay after a failed accept.
	acceptRetryDelay = 5 * time.Millisecond
	// maxRoomWait bounds how long a new connection over the limit waits for another one to end, and
	// roomCheckInterval is the longest time between two attempts to make room meanwhile.
	maxRoomWait       = 20 * time.Millisecond
	roomCheckInterval = time.Millisecond
)

// acceptQueue tracks which established connections of a listener were accepted and registered. The goroutine
// that accepts writes it; any goroutine may read it.
type acceptQueue struct {
	listener *arrival.Listener // set before the loop runs

	accepted     atomic.Uint64 // connections accepted
	handled      atomic.Uint64 // of these, registered or refused
	backlogSince atomic.Int64  // clock value since which the listener's queue was not seen empty; 0: it was
}

// finishOne records that the connection accepted last is handled.
func (q *acceptQueue) finishOne(now time.Duration) {
	q.handled.Add(1)
	if q.listener == nil || !q.listener.HasPending() {
		q.backlogSince.Store(0)
		return
	}
	q.backlogSince.CompareAndSwap(0, int64(now))
}

// remaining returns nil if every established connection is handled. Otherwise it returns a function that
// tells how many of those that are established now are not, at most.
func (q *acceptQueue) remaining() func() int {
	target := uint64(math.MaxInt) // until the queue is empty
	if backlog, isKnown := q.listener.Backlog(); isKnown {
		target = q.accepted.Load() + uint64(backlog)
	}
	remaining := func() int {
		handled := q.handled.Load()
		if handled >= target || handled == q.accepted.Load() && !q.listener.HasPending() {
			return 0
		}
		return int(target - handled)
	}
	if remaining() == 0 {
		return nil
	}
	return remaining
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
			f.makeRoom(anyConnection)
			time.Sleep(acceptRetryDelay)
			continue
		}
		f.accepting.accepted.Add(1)
		client := newClientConn(conn)
		if f.register(client) {
			go f.runSession(client)
		} else {
			f.counters.refused.Add(1)
			conn.Close()
		}
		f.accepting.finishOne(f.loop.Now())
		runtime.Gosched() // requests in flight take precedence over further connections
	}
}

// register adds a connection to the open ones. If the limit is reached, it closes another one first, and
// reports false if it cannot.
func (f *frontend) register(client *clientConn) bool {
	if !f.hasRoom() && !f.awaitRoom(client) {
		return false
	}
	f.mu.Lock()
	f.connections[client] = struct{}{}
	f.mu.Unlock()
	return true
}

func (f *frontend) hasRoom() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.connections) < f.limits.clients
}

// awaitRoom makes room for a new connection, and reports whether there is some. It waits while another one is
// about to end, or while there are silent ones, which may be evicted soon.
func (f *frontend) awaitRoom(client *clientConn) bool {
	beganAt := time.Now()
	defer func() { f.counters.roomWait.Add(uint64(time.Since(beganAt).Microseconds())) }()
	for deadline := beganAt.Add(maxRoomWait); ; {
		isLastTry := time.Now().After(deadline)
		hasSilent := f.hasSilent()
		switch {
		case f.hasRoom() || f.makeRoom(scopeFor(client, hasSilent && !isLastTry)):
			return true
		case isLastTry || !hasSilent && !f.isLingerLimitReached():
			return false
		}
		select {
		case <-f.freed:
		case <-time.After(roomCheckInterval):
		}
	}
}

// scopeFor returns which connections may be evicted for a new one. One on which data has arrived takes the
// place of a silent one, however short that has been silent.
func scopeFor(client *clientConn, silentOnly bool) evictionScope {
	scope := evictionScope{upTo: rankIdle, early: rankNone}
	if silentOnly {
		scope.upTo = rankSilent
	}
	if !isOpenAndEmpty(client.conn) {
		scope.early = rankSilent
	}
	return scope
}
