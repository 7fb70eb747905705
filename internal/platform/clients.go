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
	sayWithin = 2700 * time.Millisecond
	// A connection that idles for longer is closed: some are kept for good, and clients hold only so many.
	idleAtMost   = 2 * time.Second
	idleAtLeast  = 200 * time.Millisecond // for want of room it is closed after this,
	silentFrom   = 5 * time.Millisecond   // one that has said nothing after this,
	slowFrom     = 700 * time.Millisecond // and one that has said half a request after this
	writeWithin  = 2 * time.Second
	lingerBytes  = 1 << 20 // of what still comes after the last answer, so that the answer arrives
	lingerFor    = 300 * time.Millisecond
	clientHead   = 8 << 10
	aheadMost    = 128 << 10 // of what comes while a request is in work
	sweepClients = 100 * time.Millisecond
	roomTries    = 20
)

// clientConn is one client's connection. Its session's goroutine alone reads it, shuts it and closes it; all
// others ask for that (evict). What is not the session's own belongs to the front's lock.
type clientConn struct {
	conn  net.Conn
	rd    *http1.Reader
	state connState
	asked int       // requests that have come whole
	since time.Time // of the state

	ending bool // asked to end: it does so once nothing of a request is on it
	out    bool // it is not among the connections any more, but lingering
	ahead  bool // something of the next request came while one is in work

	at    time.Duration // session's: when the oldest byte that is buffered came, by the scheduler's clock
	reads int           // session's: reads by then
	held  int64         // session's: bytes of the buffer that count among the bodies
}

type connState uint8

const (
	idling  connState = iota // nothing of the next request has come
	reading                  // a part of it has
	working                  // it is in work
)

// past is a deadline that wakes whoever reads.
var past = time.Unix(1, 0)

// missed tells how soon a connection may be closed for want of room, and which of several goes first; lower
// goes before. One whose request is in work is never closed.
func (c *clientConn) missed() (rank int, after time.Duration) {
	switch {
	case c.state == idling && c.asked == 0:
		return 0, silentFrom
	case c.state == reading:
		return 1, slowFrom
	}
	return 2, idleAtLeast
}

// serve accepts clients until the listener is closed.
func (f *front) serve(ln net.Listener) {
	for {
		conn, err := ln.Accept()
		switch {
		case errors.Is(err, net.ErrClosed):
			return
		case err != nil: // out of descriptors, or the client was gone already
			f.counts.turned.Add(1)
			f.makeRoom(true)
			time.Sleep(5 * time.Millisecond)
			continue
		}
		f.counts.accepted.Add(1)
		c := &clientConn{conn: conn, since: time.Now()}
		c.rd = http1.NewReader(conn, http1.Limits{MaxHead: clientHead, MaxBody: maxBody})
		if !f.enter(c) {
			f.counts.turned.Add(1)
			conn.Close()
			continue
		}
		go f.session(c)
	}
}

// enter counts a connection among the open ones, making room for it where there is none.
func (f *front) enter(c *clientConn) bool {
	f.mu.Lock()
	room := len(f.conns) < f.lim.clients
	f.mu.Unlock()
	if !room {
		// A moment, where as many linger as may: new ones wait in the listener's queue.
		for try := 0; try < roomTries && f.crowdedOut(); try++ {
			time.Sleep(time.Millisecond)
		}
		if !f.makeRoom(false) {
			return false
		}
	}
	f.mu.Lock()
	f.conns[c] = struct{}{}
	f.mu.Unlock()
	return true
}

// row is a connection that might be closed, as it stood when it was looked at.
type row struct {
	c     *clientConn
	rank  int // lower goes before
	since time.Time
}

// ranked gathers the connections that pick ranks: by rank, then the longest in its state first.
func (f *front) ranked(pick func(*clientConn) (rank int, ok bool)) []row {
	var rows []row
	f.mu.Lock()
	for c := range f.conns {
		if rank, ok := pick(c); ok {
			rows = append(rows, row{c, rank, c.since})
		}
	}
	f.mu.Unlock()
	slices.SortFunc(rows, func(a, b row) int {
		return cmp.Or(cmp.Compare(a.rank, b.rank), a.since.Compare(b.since))
	})
	return rows
}

// makeRoom ends the connection that is missed least: one that has said nothing since it was made, else one
// that is slow to say its request, else the one that has idled for the longest. One that idles but on which a
// request waits to be read stays.
func (f *front) makeRoom(force bool) bool {
	if f.crowdedOut() && !force {
		return false // they are over within moments
	}
	rows := f.ranked(func(c *clientConn) (int, bool) {
		rank, after := c.missed()
		return rank, c.state != working && (force || time.Since(c.since) >= after)
	})
	for _, r := range rows {
		if f.evict(r.c, true) {
			f.counts.evicted.Add(1)
			return true
		}
	}
	return false
}

// evict asks a connection's session to end it, and tells whether it will. One on which a request is in work,
// or waits to be read, goes on. Where room is wanted at once it counts as lingering from now on; when too
// many do, that is over at once.
func (f *front) evict(c *clientConn, room bool) bool {
	if !quiet(c.conn) {
		return false
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if c.state == working || c.ending {
		return false
	}
	c.ending = true
	if room {
		f.lingers(c)
	}
	c.conn.SetReadDeadline(past)
	return true
}

// lingers moves a connection from the open ones to those that end. The lock is held.
func (f *front) lingers(c *clientConn) {
	if _, open := f.conns[c]; open {
		delete(f.conns, c)
		c.out = true
		f.lingering++
	}
}

// ending is how many connections linger.
func (f *front) ending() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.lingering
}

// crowdedOut tells whether as many connections linger as may.
func (f *front) crowdedOut() bool { return f.ending() >= f.lim.lingering }

// crowd counts the connections by what they are at: silent so far, saying a request, idle, with one in work.
func (f *front) crowd() (silent, saying, idle, work int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for c := range f.conns {
		switch {
		case c.state == working:
			work++
		case c.state == reading:
			saying++
		case c.asked > 0:
			idle++
		default:
			silent++
		}
	}
	return silent, saying, idle, work
}

// leave forgets a connection that is closed.
func (f *front) leave(c *clientConn) {
	f.bodies.Add(-c.held)
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.conns, c)
	if c.out {
		f.lingering--
	}
}

// sweep closes connections that have idled for long until ctx ends.
func (f *front) sweep(ctx context.Context) {
	every(ctx, sweepClients, func() {
		if !f.staying.Load() {
			f.closeIdle(idleAtMost, -1)
			f.closeIdle(idleAtLeast, f.lim.kept)
		}
	})
}

// closeIdle ends connections without an open request that have idled for so long, as long as more than keep
// have said something: those that asked once go first, then the longest idle.
func (f *front) closeIdle(least time.Duration, keep int) {
	said := 0
	rows := f.ranked(func(c *clientConn) (rank int, ok bool) {
		if c.asked > 0 {
			said++
		}
		if c.asked > 1 {
			rank = 1
		}
		return rank, c.state == idling && time.Since(c.since) >= least
	})
	for _, r := range rows {
		if said <= keep {
			return
		}
		if f.evict(r.c, false) {
			said--
		}
	}
}

// session serves one connection, one request after another.
func (f *front) session(c *clientConn) {
	defer f.leave(c)
	defer c.conn.Close()
	for f.next(c) {
		q, err := c.rd.Request()
		if err != nil {
			f.turnAway(c, err)
			return
		}
		if path, _, _ := strings.Cut(q.Target, "?"); path == pathHealth && q.Method == "GET" {
			f.working(c)
			goesOn := f.health(c, q.Close)
			f.answered(c, !goesOn)
			if !goesOn {
				f.linger(c)
				return
			}
			continue
		}
		e, err := f.read(c, q)
		if err != nil {
			f.turnAway(c, err)
			return
		}
		if !f.work(e) {
			return
		}
	}
}

// next waits until something of the next request is there. It ends the connection when that is asked for or
// nothing comes in time.
func (f *front) next(c *clientConn) bool {
	for c.rd.Buffered() == 0 {
		c.rd.Shrink()
		f.account(c)
		if f.ends(c) && quiet(c.conn) {
			if c.asked == 0 {
				f.counts.silent.Add(1)
			}
			f.linger(c)
			return false
		}
		switch err := c.rd.WaitReadable(); {
		case err == nil:
			c.at = f.core.Now()
		case timedOut(err):
			f.mu.Lock()
			c.ending = true // unless something came in that very moment
			f.mu.Unlock()
		default:
			if c.asked == 0 {
				f.counts.silent.Add(1)
			}
			return false // the client is gone
		}
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	from := time.Now()
	if c.asked == 0 {
		from = c.since // of the connection: what is owed is owed so long after that
	}
	c.state, c.since, c.ahead, c.reads = reading, time.Now(), false, c.rd.ReadCount()
	c.conn.SetReadDeadline(from.Add(sayWithin))
	return true
}

// ends tells whether a connection on which nothing is buffered is to end, and sets how long it may wait
// otherwise: a new one must say something in time, others wait until they are evicted.
func (f *front) ends(c *clientConn) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	by := time.Time{}
	switch {
	case c.ending || f.closing:
		by = time.Now().Add(lingerFor) // for what came before the end and may be a request
	case c.asked == 0:
		by = c.since.Add(sayWithin)
	}
	c.conn.SetReadDeadline(by)
	return c.ending || f.closing
}

// came is when the request just read had come: a request behind others on its connection came with them.
func (f *front) came(c *clientConn) time.Duration {
	if c.rd.ReadCount() > c.reads {
		c.at = f.core.Now()
	}
	return c.at
}

// working notes that a request has come whole.
func (f *front) working(c *clientConn) {
	f.mu.Lock()
	defer f.mu.Unlock()
	c.state, c.since = working, time.Now()
	c.asked++
	c.ahead = c.rd.Buffered() > 0
	c.conn.SetReadDeadline(time.Time{})
}

// watch reads ahead while a request is in work, so that its client's going away is seen, whatever else came
// on the connection before that. It returns when the answer is written, or false when the client has gone.
func (f *front) watch(c *clientConn) bool {
	for {
		f.mu.Lock()
		c.ahead = c.rd.Buffered() > 0
		answered := c.state != working
		f.mu.Unlock()
		if answered {
			return true
		}
		if c.rd.Buffered() > 0 && f.bodies.Load() > f.lim.bodies {
			return true // no room to look beyond what is there
		}
		was := c.rd.Buffered()
		err := c.rd.ReadAhead(aheadMost)
		switch {
		case err == nil:
			if was == 0 {
				c.at = f.core.Now()
			}
			f.account(c)
		case errors.Is(err, http1.ErrBufferFull), timedOut(err):
			return true
		default:
			return false
		}
	}
}

// account counts a buffer that is larger than a head among the bodies.
func (f *front) account(c *clientConn) {
	held := max(0, int64(c.rd.BufferSize())-clientHead)
	f.bodies.Add(held - c.held)
	c.held = held
}

// last tells whether an answer is its connection's last: when the client wants so, or the connection is to
// end and nothing of a next request has come on it.
func (f *front) last(c *clientConn, wanted bool) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return wanted || (f.closing || c.ending) && !c.ahead
}

// answered notes that a request's answer is written, and wakes its session if it has something to do.
func (f *front) answered(c *clientConn, last bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	c.state, c.since = idling, time.Now()
	if last || c.ahead || c.ending || f.closing {
		c.conn.SetReadDeadline(past)
	}
}

// answer writes one answer, within bounds of time.
func (c *clientConn) answer(status int, h http1.Header, body []byte) error {
	c.conn.SetWriteDeadline(time.Now().Add(writeWithin))
	_, err := c.conn.Write(http1.AppendResponse(nil, status, http.StatusText(status), h, body))
	return err
}

// turnAway answers what cannot be taken with its error and ends the connection.
func (f *front) turnAway(c *clientConn, cause error) {
	var e *http1.Error
	switch {
	case errors.As(cause, &e):
	case timedOut(cause):
		e = &http1.Error{Status: 408, Reason: "the request did not come in time"}
	default:
		return // the client is gone
	}
	f.counts.malformed.Add(1)
	f.log.Debug("request turned away", "status", e.Status, "cause", e.Reason)
	if c.answer(e.Status, closeHeader(nil, true), []byte(e.Reason+"\n")) == nil {
		f.linger(c)
	}
}

// linger ends a client's connection; it is the one way to do so while the client may still be there. A close
// over bytes that were not read resets the connection, and what was written last goes with it: so the sending
// side is shut first, and what still comes is read off, within bounds, and never taken for a request.
func (f *front) linger(c *clientConn) {
	f.mu.Lock()
	f.lingers(c)
	f.mu.Unlock()
	crowded := f.crowdedOut()
	tcp, ok := c.conn.(*net.TCPConn)
	if !ok || tcp.CloseWrite() != nil {
		return
	}
	by := time.Now().Add(lingerFor)
	if crowded { // just what is there already
		by = time.Now().Add(time.Millisecond)
	}
	c.conn.SetReadDeadline(by)
	c.rd.Discard(lingerBytes)
}

// bye ends the connections that idle, and all others once nothing of a request is on them.
func (f *front) bye() {
	f.mu.Lock()
	f.closing = true
	f.mu.Unlock()
	f.closeIdle(0, -1)
}

// drain waits until all connections have ended, at most until by.
func (f *front) drain(by time.Time) {
	for ; time.Now().Before(by); time.Sleep(time.Millisecond) {
		f.mu.Lock()
		left := len(f.conns) + f.lingering
		f.mu.Unlock()
		if left == 0 {
			return
		}
	}
}

// closeAll ends what is left.
func (f *front) closeAll() {
	f.mu.Lock()
	defer f.mu.Unlock()
	for c := range f.conns {
		c.conn.Close()
	}
}
