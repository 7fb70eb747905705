package main

import (
	"bufio"
	"bytes"
	"crypto/sha256"
	"errors"
	"fmt"
	"io"
	"net"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// diskRequest is one request as a disk server received it.
type diskRequest struct {
	server *disk
	conn   net.Conn
	reader *bufio.Reader
	method string
	target string
	header map[string]string // by lower-case name
	body   []byte
}

func (q *diskRequest) id() string     { return q.header["x-call-id"] }
func (q *diskRequest) extent() string { return extentOf(q.target) }

func extentOf(target string) string {
	_, value, _ := strings.Cut(target, "extent=")
	return value
}

// disk is a stand-in disk server. Its handler runs a request and writes what comes back; it reports whether
// the connection stays open.
type disk struct {
	rec     *recorder
	name    string
	cell    int
	address string
	handler func(*diskRequest) bool

	listener net.Listener
	mu       sync.Mutex
	conns    map[net.Conn]struct{}
	stored   map[string]*diskRequest // by extent: the write that was applied last
	got      []*diskRequest
}

func startDisk(rec *recorder, name string, cell int, handler func(*diskRequest) bool) (*disk, error) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	d := &disk{rec: rec, name: name, cell: cell, address: listener.Addr().String(), handler: handler,
		listener: listener, conns: map[net.Conn]struct{}{}, stored: map[string]*diskRequest{}}
	go d.accept()
	return d, nil
}

func (d *disk) accept() {
	for {
		conn, err := d.listener.Accept()
		if err != nil {
			return
		}
		d.mu.Lock()
		d.conns[conn] = struct{}{}
		d.mu.Unlock()
		go d.serve(conn)
	}
}

func (d *disk) serve(conn net.Conn) {
	defer conn.Close()
	defer func() {
		d.mu.Lock()
		delete(d.conns, conn)
		d.mu.Unlock()
	}()
	reader := bufio.NewReader(conn)
	for {
		q, err := readDiskRequest(reader)
		if err != nil {
			return
		}
		q.server, q.conn, q.reader = d, conn, reader
		d.mu.Lock()
		d.got = append(d.got, q)
		d.mu.Unlock()
		d.rec.logf("disk %s got %s %s extent=%s body=%d budget=%s from=%s", d.name, q.method, q.id(),
			q.extent(), len(q.body), q.header["x-budget"], conn.RemoteAddr())
		if !d.handler(q) {
			return
		}
	}
}

func readDiskRequest(reader *bufio.Reader) (*diskRequest, error) {
	line, err := reader.ReadString('\n')
	if err != nil {
		return nil, err
	}
	parts := strings.Fields(line)
	if len(parts) != 3 {
		return nil, fmt.Errorf("bad request line %q", line)
	}
	q := &diskRequest{method: parts[0], target: parts[1], header: map[string]string{}}
	for {
		line, err := reader.ReadString('\n')
		if err != nil {
			return nil, err
		}
		line = strings.TrimRight(line, "\r\n")
		if line == "" {
			break
		}
		name, value, _ := strings.Cut(line, ":")
		q.header[strings.ToLower(name)] = strings.TrimSpace(value)
	}
	length, _ := strconv.Atoi(q.header["content-length"])
	q.body = make([]byte, length)
	_, err = io.ReadFull(reader, q.body)
	return q, err
}

// arrivals returns those of the ids that have come, in the order in which they came first.
func (d *disk) arrivals(ids ...string) (order []string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, q := range d.got {
		if slices.Contains(ids, q.id()) && !slices.Contains(order, q.id()) {
			order = append(order, q.id())
		}
	}
	return order
}

// content returns the id of the write whose content an extent has.
func (d *disk) content(extent string) string {
	if stored := d.lastWrite(extent); stored != nil {
		return stored.id()
	}
	return "no write"
}

// contentLength returns the number of bytes of an extent.
func (d *disk) contentLength(extent string) int {
	if stored := d.lastWrite(extent); stored != nil {
		return len(stored.body)
	}
	return 0
}

func (d *disk) lastWrite(extent string) *diskRequest {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.stored[extent]
}

// run executes the request: a write is applied.
func (q *diskRequest) run() {
	d := q.server
	d.mu.Lock()
	defer d.mu.Unlock()
	if q.method == "PUT" {
		d.stored[q.extent()] = q
	}
	d.rec.logf("disk %s ran %s %s extent=%s body=%d", d.name, q.method, q.id(), q.extent(), len(q.body))
}

// answerBody returns the body that a disk server makes for a request.
func answerBody(method, id, extent string, body []byte) []byte {
	return fmt.Appendf(nil, "answer to %s %s of %s with %d bytes %x\n", method, id, extent, len(body),
		sha256.Sum256(body))
}

func (q *diskRequest) answer() []byte {
	return answerBody(q.method, q.id(), q.extent(), q.body)
}

// ok returns a whole 200 answer.
func (q *diskRequest) ok() []byte {
	body := q.answer()
	return append(fmt.Appendf(nil, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n", len(body)), body...)
}

func (q *diskRequest) write(data []byte) bool {
	q.server.rec.logf("disk %s answers %s: %q", q.server.name, q.id(), firstLine(data))
	_, err := q.conn.Write(data)
	return err == nil
}

func firstLine(data []byte) string {
	line, _, _ := bytes.Cut(data, []byte("\r\n"))
	return string(line[:min(len(line), 60)])
}

// soundHandler serves every request after a time.
func soundHandler(work time.Duration) func(*diskRequest) bool {
	return func(q *diskRequest) bool {
		time.Sleep(work)
		q.run()
		return q.write(q.ok())
	}
}

// isFollowed reports whether something else comes on the connection within a time, or its end.
func (q *diskRequest) isFollowed(within time.Duration) bool {
	q.conn.SetReadDeadline(time.Now().Add(within))
	defer q.conn.SetReadDeadline(time.Time{})
	_, err := q.reader.Peek(1)
	var netError net.Error
	return !errors.As(err, &netError) || !netError.Timeout()
}
