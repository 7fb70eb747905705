package platform

import (
	"cmp"
	"context"
	"errors"
	"net"
	"net/http"
	"slices"
	"strings"
	"time"

	"landingpaddle/internal/http1"
)

const (
	// A request must be there whole so long after its connection or first byte: within 3 s what is none is
	// owed an error or a close.
	requestTimeout = 2700 * time.Millisecond
	// A connection that idles for longer is closed: some are kept for good, and clients hold only so many.
	maxIdleTime         = 2 * time.Second
	evictIdleAfter      = 200 * time.Millisecond // for want of room it is closed after this,
	evictSilentAfter    = 5 * time.Millisecond   // one that has said nothing after this,
	evictReadingAfter   = 700 * time.Millisecond // and one that has said half a request after this
	writeTimeout        = 2 * time.Second
	maxLingerBytes      = 1 << 20 // of what still comes after the last answer, so that the answer arrives
	lingerTimeout       = 300 * time.Millisecond
	maxClientHead       = 8 << 10
	maxReadAhead        = 128 << 10 // of what comes while a request is in work
	clientSweepInterval = 100 * time.Millisecond
	maxLingerWaits      = 20
)

// clientConn is one client's connection. Its session's goroutine alone reads it, shuts it and closes it; all
// others ask for that (evict). What is not the session's own belongs to the front's lock.
type clientConn struct {
	conn       net.Conn
	reader     *http1.Reader
	state      connState
	requests   int       // requests that have come whole
	stateSince time.Time // of the state

	closeRequested bool // asked to end: it does so once nothing of a request is on it
	isLingering    bool // it is not among the connections any more, but lingering
	hasPipelined   bool // something of the next request came while one is in work

	bufferedAt  time.Duration // session's: when the oldest buffered byte came, by the scheduler's clock
	readCount   int           // session's: reads by then
	bufferBytes int64         // session's: bytes of the buffer that count among the bodies
}

type connState uint8

const (
	stateIdle    connState = iota // nothing of the next request has come
	stateReading                  // a part of it has
	stateWorking                  // it is in work
)

// past is a deadline that wakes whoever reads.
var wakeDeadline = time.Unix(1, 0)

// missed tells how soon a connection may be closed for want of room, and which of several goes first; lower
// goes before. One whose request is in work is never closed.
func (c *clientConn) evictionRank() (rank int, after time.Duration) {
	switch {
	case c.state == stateIdle && c.requests == 0:
		return 0, evictSilentAfter
	case c.state == stateReading:
		return 1, evictReadingAfter
	}
	return 2, evictIdleAfter
}

// serve accepts clients until the listener is closed.
func (f *frontend) serve(ln net.Listener) {
	for {
		conn, err := ln.Accept()
		switch {
		case errors.Is(err, net.ErrClosed):
			return
		case err != nil: // out of descriptors, or the client was gone already
			f.counters.refused.Add(1)
			f.makeRoom(true)
			time.Sleep(5 * time.Millisecond)
			continue
		}
		f.counters.accepted.Add(1)
		c := &clientConn{conn: conn, stateSince: time.Now()}
		c.reader = http1.NewReader(conn, http1.Limits{MaxHead: maxClientHead, MaxBody: maxBody})
		if !f.register(c) {
			f.counters.refused.Add(1)
			conn.Close()
			continue
		}
		go f.session(c)
	}
}

// enter counts a connection among the open ones, making room for it where there is none.
func (f *frontend) register(c *clientConn) bool {
	f.mu.Lock()
	room := len(f.connections) < f.limits.clients
	f.mu.Unlock()
	if !room {
		// A moment, where as many linger as may: new ones wait in the listener's queue.
		for try := 0; try < maxLingerWaits && f.isLingeringFull(); try++ {
			time.Sleep(time.Millisecond)
		}
		if !f.makeRoom(false) {
			return false
		}
	}
	f.mu.Lock()
	f.connections[c] = struct{}{}
	f.mu.Unlock()
	return true
}

// row is a connection that might be closed, as it stood when it was looked at.
type evictionCandidate struct {
	client *clientConn
	rank   int // lower goes before
	since  time.Time
}

// ranked gathers the connections that pick ranks: by rank, then the longest in its state first.
func (f *frontend) rankForEviction(pick func(*clientConn) (rank int, ok bool)) []evictionCandidate {
	var rows []evictionCandidate
	f.mu.Lock()
	for c := range f.connections {
		if rank, ok := pick(c); ok {
			rows = append(rows, evictionCandidate{c, rank, c.stateSince})
		}
	}
	f.mu.Unlock()
	slices.SortFunc(rows, func(a, b evictionCandidate) int {
		return cmp.Or(cmp.Compare(a.rank, b.rank), a.since.Compare(b.since))
	})
	return rows
}

// makeRoom ends the connection that is missed least: one that has said nothing since it was made, else one
// that is slow to say its request, else the one that has idled for the longest. One that idles but on which a
// request waits to be read stays.
func (f *frontend) makeRoom(force bool) bool {
	if f.isLingeringFull() && !force {
		return false // they are over within moments
	}
	rows := f.rankForEviction(func(c *clientConn) (int, bool) {
		rank, after := c.evictionRank()
		return rank, c.state != stateWorking && (force || time.Since(c.stateSince) >= after)
	})
	for _, r := range rows {
		if f.evict(r.client, true) {
			f.counters.evicted.Add(1)
			return true
		}
	}
	return false
}

// evict asks a connection's session to end it, and tells whether it will. One on which a request is in work,
// or waits to be read, goes on. Where room is wanted at once it counts as lingering from now on; when too
// many do, that is over at once.
func (f *frontend) evict(c *clientConn, room bool) bool {
	if !isOpenAndEmpty(c.conn) {
		return false
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if c.state == stateWorking || c.closeRequested {
		return false
	}
	c.closeRequested = true
	if room {
		f.moveToLingering(c)
	}
	c.conn.SetReadDeadline(wakeDeadline)
	return true
}

// lingers moves a connection from the open ones to those that end. The lock is held.
func (f *frontend) moveToLingering(c *clientConn) {
	if _, open := f.connections[c]; open {
		delete(f.connections, c)
		c.isLingering = true
		f.lingering++
	}
}

// ending is how many connections linger.
func (f *frontend) lingeringCount() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.lingering
}

// crowdedOut tells whether as many connections linger as may.
func (f *frontend) isLingeringFull() bool { return f.lingeringCount() >= f.limits.lingering }

// crowd counts the connections by what they are at: silent so far, saying a request, idle, with one in work.
func (f *frontend) countByState() (silent, saying, idle, work int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for c := range f.connections {
		switch {
		case c.state == stateWorking:
			work++
		case c.state == stateReading:
			saying++
		case c.requests > 0:
			idle++
		default:
			silent++
		}
	}
	return silent, saying, idle, work
}

// leave forgets a connection that is closed.
func (f *frontend) unregister(c *clientConn) {
	f.bodyBytes.Add(-c.bufferBytes)
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.connections, c)
	if c.isLingering {
		f.lingering--
	}
}

// sweep closes connections that have idled for long until ctx ends.
func (f *frontend) sweepIdle(ctx context.Context) {
	every(ctx, clientSweepInterval, func() {
		if !f.keepIdle.Load() {
			f.closeIdle(maxIdleTime, -1)
			f.closeIdle(evictIdleAfter, f.limits.keptIdle)
		}
	})
}

// closeIdle ends connections without an open request that have idled for so long, as long as more than keep
// have said something: those that asked once go first, then the longest idle.
func (f *frontend) closeIdle(least time.Duration, keep int) {
	said := 0
	rows := f.rankForEviction(func(c *clientConn) (rank int, ok bool) {
		if c.requests > 0 {
			said++
		}
		if c.requests > 1 {
			rank = 1
		}
		return rank, c.state == stateIdle && time.Since(c.stateSince) >= least
	})
	for _, r := range rows {
		if said <= keep {
			return
		}
		if f.evict(r.client, false) {
			said--
		}
	}
}

// session serves one connection, one request after another.
func (f *frontend) session(c *clientConn) {
	defer f.unregister(c)
	defer c.conn.Close()
	for f.awaitRequest(c) {
		q, err := c.reader.Request()
		if err != nil {
			f.refuse(c, err)
			return
		}
		if path, _, _ := strings.Cut(q.Target, "?"); path == pathHealth && q.Method == "GET" {
			f.beginProcessing(c)
			goesOn := f.answerHealth(c, q.Close)
			f.endProcessing(c, !goesOn)
			if !goesOn {
				f.linger(c)
				return
			}
			continue
		}
		e, err := f.readRequest(c, q)
		if err != nil {
			f.refuse(c, err)
			return
		}
		if !f.process(e) {
			return
		}
	}
}

// next waits until something of the next request is there. It ends the connection when that is asked for or
// nothing comes in time.
func (f *frontend) awaitRequest(c *clientConn) bool {
	for c.reader.Buffered() == 0 {
		c.reader.Shrink()
		f.accountBuffer(c)
		if f.closesWhenIdle(c) && isOpenAndEmpty(c.conn) {
			if c.requests == 0 {
				f.counters.silent.Add(1)
			}
			f.linger(c)
			return false
		}
		switch err := c.reader.WaitReadable(); {
		case err == nil:
			c.bufferedAt = f.loop.Now()
		case isTimeout(err):
			f.mu.Lock()
			c.closeRequested = true // unless something came in that very moment
			f.mu.Unlock()
		default:
			if c.requests == 0 {
				f.counters.silent.Add(1)
			}
			return false // the client is gone
		}
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	from := time.Now()
	if c.requests == 0 {
		from = c.stateSince // of the connection: what is owed is owed so long after that
	}
	c.state, c.stateSince, c.hasPipelined, c.readCount = stateReading, time.Now(), false, c.reader.ReadCount()
	c.conn.SetReadDeadline(from.Add(requestTimeout))
	return true
}

// ends tells whether a connection on which nothing is buffered is to end, and sets how long it may wait
// otherwise: a new one must say something in time, others wait until they are evicted.
func (f *frontend) closesWhenIdle(c *clientConn) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	by := time.Time{}
	switch {
	case c.closeRequested || f.closing:
		by = time.Now().Add(lingerTimeout) // for what came before the end and may be a request
	case c.requests == 0:
		by = c.stateSince.Add(requestTimeout)
	}
	c.conn.SetReadDeadline(by)
	return c.closeRequested || f.closing
}

// came is when the request just read had come: a request behind others on its connection came with them.
func (f *frontend) receivedAt(c *clientConn) time.Duration {
	if c.reader.ReadCount() > c.readCount {
		c.bufferedAt = f.loop.Now()
	}
	return c.bufferedAt
}

// working notes that a request has come whole.
func (f *frontend) beginProcessing(c *clientConn) {
	f.mu.Lock()
	defer f.mu.Unlock()
	c.state, c.stateSince = stateWorking, time.Now()
	c.requests++
	c.hasPipelined = c.reader.Buffered() > 0
	c.conn.SetReadDeadline(time.Time{})
}

// watch reads ahead while a request is in work, so that its client's going away is seen, whatever else came
// on the connection before that. It returns when the answer is written, or false when the client has gone.
func (f *frontend) readAheadUntilAnswered(c *clientConn) bool {
	for {
		f.mu.Lock()
		c.hasPipelined = c.reader.Buffered() > 0
		answered := c.state != stateWorking
		f.mu.Unlock()
		if answered {
			return true
		}
		if c.reader.Buffered() > 0 && f.bodyBytes.Load() > f.limits.bodyBytes {
			return true // no room to look beyond what is there
		}
		was := c.reader.Buffered()
		err := c.reader.ReadAhead(maxReadAhead)
		switch {
		case err == nil:
			if was == 0 {
				c.bufferedAt = f.loop.Now()
			}
			f.accountBuffer(c)
		case errors.Is(err, http1.ErrBufferFull), isTimeout(err):
			return true
		default:
			return false
		}
	}
}

// account counts a buffer that is larger than a head among the bodies.
func (f *frontend) accountBuffer(c *clientConn) {
	held := max(0, int64(c.reader.BufferSize())-maxClientHead)
	f.bodyBytes.Add(held - c.bufferBytes)
	c.bufferBytes = held
}

// last tells whether an answer is its connection's last: when the client wants so, or the connection is to
// end and nothing of a next request has come on it.
func (f *frontend) isLastAnswer(c *clientConn, wanted bool) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return wanted || (f.closing || c.closeRequested) && !c.hasPipelined
}

// answered notes that a request's answer is written, and wakes its session if it has something to do.
func (f *frontend) endProcessing(c *clientConn, last bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	c.state, c.stateSince = stateIdle, time.Now()
	if last || c.hasPipelined || c.closeRequested || f.closing {
		c.conn.SetReadDeadline(wakeDeadline)
	}
}

// answer writes one answer, within bounds of time.
func (c *clientConn) writeResponse(status int, h http1.Header, body []byte) error {
	c.conn.SetWriteDeadline(time.Now().Add(writeTimeout))
	_, err := c.conn.Write(http1.AppendResponse(nil, status, http.StatusText(status), h, body))
	return err
}

// turnAway answers what cannot be taken with its error and ends the connection.
func (f *frontend) refuse(c *clientConn, cause error) {
	var e *http1.Error
	switch {
	case errors.As(cause, &e):
	case isTimeout(cause):
		e = &http1.Error{Status: 408, Reason: "the request did not come in time"}
	default:
		return // the client is gone
	}
	f.counters.invalid.Add(1)
	f.log.Debug("request turned away", "status", e.Status, "cause", e.Reason)
	if c.writeResponse(e.Status, withConnectionClose(nil, true), []byte(e.Reason+"\n")) == nil {
		f.linger(c)
	}
}

// linger ends a client's connection; it is the one way to do so while the client may still be there. A close
// over bytes that were not read resets the connection, and what was written last goes with it: so the sending
// side is shut first, and what still comes is read off, within bounds, and never taken for a request.
func (f *frontend) linger(c *clientConn) {
	f.mu.Lock()
	f.moveToLingering(c)
	f.mu.Unlock()
	crowded := f.isLingeringFull()
	tcp, ok := c.conn.(*net.TCPConn)
	if !ok || tcp.CloseWrite() != nil {
		return
	}
	by := time.Now().Add(lingerTimeout)
	if crowded { // just what is there already
		by = time.Now().Add(time.Millisecond)
	}
	c.conn.SetReadDeadline(by)
	c.reader.Discard(maxLingerBytes)
}

// bye ends the connections that idle, and all others once nothing of a request is on them.
func (f *frontend) closeGracefully() {
	f.mu.Lock()
	f.closing = true
	f.mu.Unlock()
	f.closeIdle(0, -1)
}

// drain waits until all connections have ended, at most until by.
func (f *frontend) waitUntilClosed(by time.Time) {
	for ; time.Now().Before(by); time.Sleep(time.Millisecond) {
		f.mu.Lock()
		left := len(f.connections) + f.lingering
		f.mu.Unlock()
		if left == 0 {
			return
		}
	}
}

// closeAll ends what is left.
func (f *frontend) closeAll() {
	f.mu.Lock()
	defer f.mu.Unlock()
	for c := range f.connections {
		c.conn.Close()
	}
}
