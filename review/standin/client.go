package main

import (
	"bufio"
	"cmp"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"time"
)

var lastID atomic.Uint64

// call is one request of a client.
type call struct {
	id, class, plan string
	write           bool
	shard           int
	budget          time.Duration
	body            []byte
	key             string
	extent          string // the piece of data; empty: one named like the request
}

func newID() string { return fmt.Sprintf("%016x", 0x9b1f03aa00000000+lastID.Add(1)) }

// encode returns the request as it stands on a connection.
func (c *call) encode(host string) []byte {
	method := http.MethodGet
	if c.write {
		method = http.MethodPut
	}
	text := fmt.Appendf(nil, "%s /api?extent=%s HTTP/1.1\r\nHost: %s\r\nX-Call-Id: %s\r\n"+
		"X-Call-Class: %s\r\nX-Storage-Class: %s\r\nX-Budget: %.3f\r\n"+
		"X-Extent: volume=00000003b4d60021,units=1,shard=%d,hosts=1\r\n",
		method, cmp.Or(c.extent, c.id), host, c.id, c.class, c.plan, c.budget.Seconds(), c.shard)
	if c.key != "" {
		text = fmt.Appendf(text, "Idempotency-Key: %s\r\n", c.key)
	}
	if c.write {
		text = fmt.Appendf(text, "Content-Length: %d\r\n", len(c.body))
	}
	return append(append(text, "\r\n"...), c.body...)
}

// answer is what a client has received. A failed one has status 0 and an error.
type answer struct {
	status int
	body   []byte
	at     time.Time
	err    error
}

// clientConn is a client's kept connection.
type clientConn struct {
	conn   net.Conn
	reader *bufio.Reader
}

func dial(address string) (*clientConn, error) {
	conn, err := net.DialTimeout("tcp4", address, time.Second)
	if err != nil {
		return nil, err
	}
	return &clientConn{conn: conn, reader: bufio.NewReader(conn)}, nil
}

// do sends one request and waits for its whole answer, up to half a second after its time.
func (c *clientConn) do(rec *record, request *call) answer {
	if err := c.send(rec, request); err != nil {
		return answer{err: err, at: time.Now()}
	}
	return c.receive(rec, request)
}

func (c *clientConn) send(rec *record, request *call) error {
	rec.add("client sends %s %s shard %d", request.class, request.id, request.shard)
	_, err := c.conn.Write(request.encode("service.internal"))
	return err
}

// receive waits for the whole answer, up to half a second after the request's time.
func (c *clientConn) receive(rec *record, request *call) answer {
	_ = c.conn.SetReadDeadline(time.Now().Add(request.budget + 500*time.Millisecond))
	response, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		rec.add("client gets no answer to %s: %v", request.id, err)
		return answer{err: err, at: time.Now()}
	}
	body, err := io.ReadAll(response.Body)
	got := answer{status: response.StatusCode, body: body, at: time.Now(), err: err}
	rec.add("client gets %d for %s, %d bytes, error %v", got.status, request.id, len(body), err)
	if response.Close {
		c.conn.Close()
	}
	return got
}
