package platform

import (
	"errors"
	"net"
	"net/http"
	"time"

	"landingpaddle/internal/arrival"
	"landingpaddle/internal/http1"
)

const (
	// requestTimeout bounds the time from a connection's start, or from a later request's first byte, to the
	// request's end. A client must receive an error or a close within 3 s.
	requestTimeout = 2700 * time.Millisecond
	// writeTimeout bounds the writing of an answer.
	writeTimeout = 2 * time.Second
)

// connState is the state of a client connection.
type connState uint8

const (
	stateIdle    connState = iota // nothing of the next request has arrived
	stateReading                  // a part of it has arrived
	stateWorking                  // it is in flight
	stateUnread                   // the next request waits until the client has read the answers before it
)

// clientConn is one client's connection. Only the goroutine of its session reads it, shuts it down and closes
// it, except in frontend.closeAll; others request that from the session with frontend.evict.
type clientConn struct {
	conn     net.Conn
	reader   *http1.Reader // used by the session only
	arrivals *arrival.Conn // conn; nil: it does not tell when data arrived

	// Guarded by frontend.mu.
	state          connState
	stateSince     time.Time
	requests       int       // received completely
	closeRequested bool      // the session ends once no request is in flight on the connection
	isLingering    bool      // counted as lingering, not among the open connections
	hasPipelined   bool      // a part of the next request arrived while one is in flight
	drainingSince  time.Time // when the connection's last data began to be drained; zero: it did not

	hasWritten  bool  // something may have been written; used by the session, or by the answer it waits for
	bufferBytes int64 // part of the read buffer that counts in frontend.bodyBytes; used by the session only
}

func newClientConn(conn net.Conn) *clientConn {
	limits := http1.Limits{MaxHead: maxClientHead, MaxBody: maxBody}
	client := &clientConn{conn: conn, reader: http1.NewReader(conn, limits), stateSince: time.Now()}
	if arrivals, ok := conn.(*arrival.Conn); ok {
		client.arrivals = arrivals
		client.reader.RecordArrivals(arrivals)
	}
	return client
}

// isSilent reports whether nothing was received on the connection since it was accepted. The caller holds
// frontend.mu.
func (c *clientConn) isSilent() bool { return c.state == stateIdle && c.requests == 0 }

// beginHandling states that a request is being read that is not submitted yet.
func (c *clientConn) beginHandling() {
	if c.arrivals != nil {
		c.arrivals.BeginHandling()
	}
}

// lastSeen returns when the client was last known to be connected; now, if the connection does not tell.
func (c *clientConn) lastSeen() time.Time {
	if c.arrivals == nil {
		return time.Now()
	}
	return c.arrivals.LastSeen()
}

// hasHungUp reports whether the client has disconnected, whatever data is unread; false, if the connection
// does not tell.
func (c *clientConn) hasHungUp() bool { return c.arrivals != nil && c.arrivals.HasHungUp() }

// awaitHangup blocks until the client has disconnected, whatever data is unread, or until the read deadline.
func (c *clientConn) awaitHangup() error {
	if c.arrivals == nil {
		return errors.ErrUnsupported
	}
	return c.arrivals.AwaitHangup()
}

// finishHandling states that the request read last is submitted.
func (c *clientConn) finishHandling() {
	if c.arrivals != nil {
		c.arrivals.FinishHandling()
	}
}

// writeResponse writes one response within writeTimeout.
func (c *clientConn) writeResponse(status int, header http1.Header, body []byte) error {
	c.hasWritten = true
	c.conn.SetWriteDeadline(time.Now().Add(writeTimeout))
	_, err := c.conn.Write(http1.AppendResponse(nil, status, http.StatusText(status), header, body))
	return err
}

// beginReading records that the next request has begun to arrive, and sets the deadline for its last byte.
func (f *frontend) beginReading(client *clientConn) {
	f.mu.Lock()
	defer f.mu.Unlock()
	startedAt := time.Now()
	if client.requests == 0 {
		startedAt = client.stateSince // the timeout of a first request counts from the connection's start
	}
	client.state, client.stateSince = stateReading, time.Now()
	client.hasPipelined = false
	client.beginHandling() // the request may have been read ahead
	client.conn.SetReadDeadline(startedAt.Add(requestTimeout))
}

// beginProcessing records that a request has arrived completely.
func (f *frontend) beginProcessing(client *clientConn) {
	f.mu.Lock()
	defer f.mu.Unlock()
	client.state, client.stateSince = stateWorking, time.Now()
	client.requests++
	client.hasPipelined = client.reader.Buffered() > 0
	client.conn.SetReadDeadline(time.Time{})
}

// beginUnread records that a connection's next request waits until the client has read the answers before it.
func (f *frontend) beginUnread(client *clientConn) {
	f.mu.Lock()
	defer f.mu.Unlock()
	client.state, client.stateSince = stateUnread, time.Now()
}

// endProcessing records that a request's answer is written, and wakes the session if the connection must end
// or a part of the next request has arrived.
func (f *frontend) endProcessing(client *clientConn, isLast bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	client.state, client.stateSince = stateIdle, time.Now()
	if isLast || client.hasPipelined || client.closeRequested || f.closing {
		client.conn.SetReadDeadline(wakeDeadline)
	}
}

// isLastAnswer reports whether an answer is its connection's last: the client requested a close, or the
// connection must end and nothing of a next request has arrived on it.
func (f *frontend) isLastAnswer(client *clientConn, closeAfterAnswer bool) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return closeAfterAnswer || (f.closing || client.closeRequested) && !client.hasPipelined
}

// accountBuffer counts the part of a read buffer that exceeds the limit of a head as body bytes.
func (f *frontend) accountBuffer(client *clientConn) {
	bufferBytes := max(0, int64(client.reader.BufferSize())-maxClientHead)
	f.bodyBytes.Add(bufferBytes - client.bufferBytes)
	client.bufferBytes = bufferBytes
}
