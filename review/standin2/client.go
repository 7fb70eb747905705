package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"time"
)

var lastID atomic.Uint64

func newID() string { return fmt.Sprintf("%016x", 0x9b1f000000000000+lastID.Add(1)) }

// message is a client's request.
type message struct {
	id, class, plan, extent, volume string
	key                             string
	shard, units                    int
	budget                          time.Duration
	body                            []byte
	write                           bool
}

func (m *message) method() string {
	if m.write {
		return "PUT"
	}
	return "GET"
}

// head returns the request's head with a stated length; a negative one is left out.
func (m *message) head(length int) []byte {
	head := fmt.Appendf(nil, "%s /api?extent=%s HTTP/1.1\r\nHost: service.internal\r\nX-Call-Id: %s\r\n"+
		"X-Call-Class: %s\r\nX-Storage-Class: %s\r\nX-Budget: %.3f\r\n"+
		"X-Extent: volume=%s,units=%d,shard=%d,hosts=1\r\n", m.method(), m.extent, m.id, m.class, m.plan,
		m.budget.Seconds(), m.volume, m.units, m.shard)
	if m.key != "" {
		head = fmt.Appendf(head, "Idempotency-Key: %s\r\n", m.key)
	}
	if length >= 0 {
		head = fmt.Appendf(head, "Content-Length: %d\r\n", length)
	}
	return append(head, "\r\n"...)
}

func (m *message) bytes() []byte {
	if !m.write {
		return m.head(-1)
	}
	return append(m.head(len(m.body)), m.body...)
}

// expected returns the body of the answer that a disk server makes for the request.
func (m *message) expected() []byte { return answerBody(m.method(), m.id, m.extent, m.body) }

func read(extent uint64, shard int, budget time.Duration) *message {
	return &message{id: newID(), class: "field-read", plan: "operational",
		extent: fmt.Sprintf("%016x", extent), volume: "00000003b4d60021", shard: shard, units: 2,
		budget: budget}
}

func write(extent uint64, shard int, budget time.Duration, body []byte) *message {
	id := newID()
	return &message{id: id, class: "field-write", plan: "operational", key: "k-" + id, write: true,
		extent: fmt.Sprintf("%016x", extent), volume: "00000003b4d60021", shard: shard, units: 2,
		budget: budget, body: body}
}

// clientConn is a client's connection.
type clientConn struct {
	rec    *recorder
	conn   net.Conn
	reader *bufio.Reader
}

func dialClient(rec *recorder, address string) (*clientConn, error) {
	conn, err := net.DialTimeout("tcp4", address, 3*time.Second)
	if err != nil {
		return nil, err
	}
	return &clientConn{rec: rec, conn: conn, reader: bufio.NewReader(conn)}, nil
}

// reply is an answer that a client received.
type reply struct {
	status int
	body   []byte
	close  bool
	err    error
	at     time.Duration
}

func (r reply) String() string {
	if r.err != nil {
		return r.err.Error()
	}
	return fmt.Sprintf("%d %q", r.status, r.body[:min(len(r.body), 60)])
}

// receive reads one answer, until a deadline.
func (c *clientConn) receive(method string, within time.Duration) reply {
	c.conn.SetReadDeadline(time.Now().Add(within))
	response, err := http.ReadResponse(c.reader, &http.Request{Method: method})
	if err != nil {
		return reply{err: err, at: c.rec.now()}
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	return reply{status: response.StatusCode, body: body, close: response.Close, err: err, at: c.rec.now()}
}

// send sends a request and returns when its last byte was written.
func (c *clientConn) send(m *message) (time.Duration, error) {
	c.rec.logf("client sends %s %s %s extent=%s shard=%d budget=%v body=%d", m.method(), m.id, m.class,
		m.extent, m.shard, m.budget, len(m.body))
	_, err := c.conn.Write(m.bytes())
	return c.rec.now(), err
}

// await reads the answer to a request.
func (c *clientConn) await(m *message) reply {
	got := c.receive(m.method(), m.budget+time.Second)
	c.rec.logf("client got for %s: %v", m.id, got)
	return got
}

// ask sends a request and reads its answer.
func (c *clientConn) ask(m *message) reply {
	if _, err := c.send(m); err != nil {
		return reply{err: err, at: c.rec.now()}
	}
	return c.await(m)
}
