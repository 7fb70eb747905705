package platform

import (
	"net"
	"net/http"
	"time"

	"landingpaddle/internal/http1"
)

const (
	// requestTimeout bounds the time from a connection's first moment, or a later request's first byte, to
	// the request's end. A client is owed an error or a close within 3 s.
	requestTimeout = 2700 * time.Millisecond
	// writeTimeout bounds the writing of an answer.
	writeTimeout = 2 * time.Second
)

// connState is what a client connection is doing.
type connState uint8

const (
	stateIdle    connState = iota // nothing of the next request has come
	stateReading                  // a part of it has come
	stateWorking                  // it is in flight
)

// clientConn is one client's connection. Only the goroutine of its session reads it, shuts it down and closes
// it; others ask the session for that by frontend.evict.
type clientConn struct {
	conn   net.Conn
	reader *http1.Reader // the session's

	// Guarded by frontend.mu.
	state          connState
	stateSince     time.Time
	requests       int  // that have come whole
	closeRequested bool // the session ends once no request is on the connection
	isLingering    bool // it counts as lingering and not among the open connections
	hasPipelined   bool // a part of the next request came while one is in flight

	// The session's own.
	bufferedAt  time.Duration // when the oldest buffered byte came, by the scheduler's clock
	readCount   int           // of reads when the request began
	bufferBytes int64         // of the read buffer that count among the bodies
}

func newClientConn(conn net.Conn) *clientConn {
	limits := http1.Limits{MaxHead: maxClientHead, MaxBody: maxBody}
	return &clientConn{conn: conn, reader: http1.NewReader(conn, limits), stateSince: time.Now()}
}

// writeResponse writes one answer.
func (c *clientConn) writeResponse(status int, header http1.Header, body []byte) error {
	c.conn.SetWriteDeadline(time.Now().Add(writeTimeout))
	_, err := c.conn.Write(http1.AppendResponse(nil, status, http.StatusText(status), header, body))
	return err
}

// beginReading notes that the next request has begun to come, and sets by when it must have come whole.
func (f *frontend) beginReading(client *clientConn) {
	f.mu.Lock()
	defer f.mu.Unlock()
	began := time.Now()
	if client.requests == 0 {
		began = client.stateSince // the time for a first request counts from the connection's start
	}
	client.state, client.stateSince = stateReading, time.Now()
	client.hasPipelined, client.readCount = false, client.reader.ReadCount()
	client.conn.SetReadDeadline(began.Add(requestTimeout))
}

// beginProcessing notes that a request has come whole.
func (f *frontend) beginProcessing(client *clientConn) {
	f.mu.Lock()
	defer f.mu.Unlock()
	client.state, client.stateSince = stateWorking, time.Now()
	client.requests++
	client.hasPipelined = client.reader.Buffered() > 0
	client.conn.SetReadDeadline(time.Time{})
}

// endProcessing notes that a request's answer is written, and wakes the session if it has something to do.
func (f *frontend) endProcessing(client *clientConn, isLast bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	client.state, client.stateSince = stateIdle, time.Now()
	if isLast || client.hasPipelined || client.closeRequested || f.closing {
		client.conn.SetReadDeadline(wakeDeadline)
	}
}

// isLastAnswer reports whether an answer is its connection's last: the client wants so, or the connection
// is to end and nothing of a next request has come on it.
func (f *frontend) isLastAnswer(client *clientConn, closeWanted bool) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return closeWanted || (f.closing || client.closeRequested) && !client.hasPipelined
}

// receivedAt is when the request just read came. A request behind others on its connection came with them.
func (f *frontend) receivedAt(client *clientConn) time.Duration {
	if client.reader.ReadCount() > client.readCount {
		client.bufferedAt = f.loop.Now()
	}
	return client.bufferedAt
}

// accountBuffer counts what a read buffer holds beyond a head among the bodies.
func (f *frontend) accountBuffer(client *clientConn) {
	bufferBytes := max(0, int64(client.reader.BufferSize())-maxClientHead)
	f.bodyBytes.Add(bufferBytes - client.bufferBytes)
	client.bufferBytes = bufferBytes
}
