package platform

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"sync"
	"testing"
	"time"

	"go.uber.org/goleak"

	"landingpaddle/internal/http1"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

const testSettings = `{"classes":[
 {"name":"read","deadline_ns":2000000000,"on_time_ns":400000000,"repeat":"read_like","worth":2},
 {"name":"write","deadline_ns":2000000000,"on_time_ns":500000000,"repeat":"idempotency_key","group":"cell",
  "window_ns":5000000000,"worth":2},
 {"name":"pay","deadline_ns":2000000000,"on_time_ns":500000000,"repeat":"non_idempotent","worth":2}],
"contracts":[{"name":"gold","base_rate":100,"proportion":1,"reservation":50,"worth_factor":1}],
"domain":{"mean_units":2,"most_units":6,"shards":2,"class_writes":[false,true,true]},
"failure_domains":["a"],"kinds":["m"],
"limits":{"attempts_cap":3,"cancel":true,"probes":true,"peers":true,"second_copies":true,"retry_after":true,
 "max_retry_after_ns":500000000,"dial_timeout_ns":250000000,"idle_close_ns":15000000000,"max_open":1000},
"me":0,"peers_total":1,"registry_mode":"ask","round_ns":1000000,
"rules":{"answer_slack_ns":8000000,"ask_within_ns":10000000000,"drain_grace_ns":1000000000},"zone":0}`

// disk is a scripted disk server: script answers a request, or closes the connection by returning nil.
type disk struct {
	ln     net.Listener
	wg     sync.WaitGroup
	mu     sync.Mutex
	got    []*got
	script func(n int, g *got) []byte
	conns  map[net.Conn]struct{}
}

type got struct {
	req  *http1.Request
	body []byte
	conn int // which connection it came on
}

func newDisk(t *testing.T, script func(int, *got) []byte) *disk {
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	d := &disk{ln: ln, script: script, conns: map[net.Conn]struct{}{}}
	d.wg.Go(func() {
		for n := 0; ; n++ {
			conn, err := ln.Accept()
			if err != nil {
				return
			}
			d.mu.Lock()
			d.conns[conn] = struct{}{}
			d.mu.Unlock()
			d.wg.Go(func() { d.serve(conn, n) })
		}
	})
	t.Cleanup(func() {
		ln.Close()
		d.mu.Lock()
		for c := range d.conns {
			c.Close()
		}
		d.mu.Unlock()
		d.wg.Wait()
	})
	return d
}

func (d *disk) serve(conn net.Conn, n int) {
	defer conn.Close()
	r := http1.NewReader(conn, http1.Limits{MaxHead: 8192, MaxBody: maxBody})
	for {
		q, err := r.Request()
		if err != nil {
			return
		}
		body, err := r.Body(q.Length)
		if err != nil {
			return
		}
		g := &got{q, body, n}
		d.mu.Lock()
		d.got = append(d.got, g)
		at := len(d.got) - 1
		d.mu.Unlock()
		b := d.script(at, g)
		if b == nil {
			return
		}
		if _, err := conn.Write(b); err != nil {
			return
		}
	}
}

func (d *disk) seen() []*got {
	d.mu.Lock()
	defer d.mu.Unlock()
	return append([]*got(nil), d.got...)
}

func ok(body string) []byte { return http1.AppendResponse(nil, 200, "OK", nil, []byte(body)) }

// lists is a scripted discovery.
type lists struct {
	srv *httptest.Server
	mu  sync.Mutex
	cur List
	to  map[chan string]struct{}
}

func newLists(t *testing.T, l List) *lists {
	s := &lists{cur: l, to: map[chan string]struct{}{}}
	s.srv = httptest.NewServer(http.HandlerFunc(s.serve))
	t.Cleanup(func() { s.srv.CloseClientConnections(); s.srv.Close() })
	return s
}

func (s *lists) serve(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	cur := s.cur
	cur.Reset = true
	ch := make(chan string, 16)
	s.to[ch] = struct{}{}
	s.mu.Unlock()
	defer func() { s.mu.Lock(); delete(s.to, ch); s.mu.Unlock() }()
	doc, _ := json.Marshal(cur)
	w.Write(append(doc, '\n'))
	if r.URL.Query().Get("stream") == "" {
		return
	}
	w.(http.Flusher).Flush()
	for {
		select {
		case <-r.Context().Done():
			return
		case line := <-ch:
			io.WriteString(w, line+"\n")
		case <-time.After(time.Second):
			io.WriteString(w, "\n")
		}
		w.(http.Flusher).Flush()
	}
}

// watching waits until as many watches stand.
func (s *lists) watching(t *testing.T, n int) {
	t.Helper()
	eventually(t, fmt.Sprintf("%d watches", n), func() bool {
		s.mu.Lock()
		defer s.mu.Unlock()
		return len(s.to) == n
	})
}

func (s *lists) change(e ...ListedServer) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.cur.Generation++
	doc, _ := json.Marshal(List{Generation: s.cur.Generation, Instances: e})
	for ch := range s.to {
		ch <- string(doc)
	}
}

func (s *lists) addr() string { return strings.TrimPrefix(s.srv.URL, "http://") }

// rig is a scheduler with one disk server a shard.
type rig struct {
	t    *testing.T
	s    *Gateway
	addr string
	list *lists
	done chan error
	log  *safeBuffer
}

type safeBuffer struct {
	mu sync.Mutex
	b  bytes.Buffer
}

func (b *safeBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.b.Write(p)
}

func (b *safeBuffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.b.String()
}

func listed(id string, d *disk, cell int) ListedServer {
	return ListedServer{ID: id, HostPort: d.ln.Addr().String(), Zone: "a", MachineType: "m", Cell: cell,
		Lifecycle: "ready", Weight: 1}
}

func configDoc(discovery string, known *List, sockets int) []byte {
	doc, err := json.Marshal(map[string]any{"name": "n0", "listen": "127.0.0.1:0", "discovery": discovery,
		"seed":   "1f",
		"limits": Limits{Cores: 1, MemoryMB: 64, Sockets: sockets}, "known": known,
		"settings": json.RawMessage(testSettings)})
	if err != nil {
		panic(err)
	}
	return doc
}

func noEnv(string) string { return "" }

func start(t *testing.T, sockets int, disks ...*disk) *rig {
	var l List
	l.Generation, l.Reset = 7, true
	for i, d := range disks {
		l.Instances = append(l.Instances, listed(fmt.Sprintf("s-%d", i), d, i))
	}
	list := newLists(t, l)
	r := launch(t, configDoc(list.addr(), &l, sockets))
	r.list = list
	<-r.s.core.Ready()
	return r
}

// launch runs a scheduler with a configuration until the test ends; its log is shown if that fails.
func launch(t *testing.T, config []byte) *rig {
	cfg, err := parse(config, noEnv)
	if err != nil {
		t.Fatal(err)
	}
	r := &rig{t: t, done: make(chan error, 1), log: &safeBuffer{}}
	if r.s, err = New(cfg, slog.New(slog.NewTextHandler(r.log,
		&slog.HandlerOptions{Level: slog.LevelDebug}))); err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		r.done <- r.s.Run(ctx)
	}()
	t.Cleanup(func() {
		cancel()
		<-ended
		if t.Failed() {
			fmt.Fprintln(os.Stderr, r.log.String())
		}
	})
	r.addr = (<-r.s.started).String()
	return r
}

func eventually(t *testing.T, what string, is func() bool) {
	t.Helper()
	for by := time.Now().Add(5 * time.Second); !is(); time.Sleep(2 * time.Millisecond) {
		if time.Now().After(by) {
			t.Fatalf("not within 5 s: %s", what)
		}
	}
}

// caller is a client's connection.
type caller struct {
	t    *testing.T
	conn net.Conn
	br   *bufio.Reader
}

func (r *rig) dial() *caller {
	r.t.Helper()
	conn, err := net.Dial("tcp4", r.addr)
	if err != nil {
		r.t.Fatal(err)
	}
	return newCaller(r.t, conn)
}

func newCaller(t *testing.T, conn net.Conn) *caller {
	t.Cleanup(func() { conn.Close() })
	conn.SetDeadline(time.Now().Add(10 * time.Second))
	return &caller{t, conn, bufio.NewReader(conn)}
}

func (c *caller) send(text string) {
	c.t.Helper()
	if _, err := io.WriteString(c.conn, text); err != nil {
		c.t.Fatal(err)
	}
}

// answer reads one answer with the standard library's reader, which is not ours.
func (c *caller) answer() (int, http.Header, string) {
	c.t.Helper()
	p, err := http.ReadResponse(c.br, nil)
	if err != nil {
		c.t.Fatal(err)
	}
	defer p.Body.Close()
	body, err := io.ReadAll(p.Body)
	if err != nil {
		c.t.Fatal(err)
	}
	if p.Close { // the reader takes the field away
		p.Header.Set("Connection", "close")
	}
	return p.StatusCode, p.Header, string(body)
}

func (c *caller) ended() bool {
	_, err := c.br.ReadByte()
	return err != nil
}

// ask is a request as clients send it; more are further header lines.
func ask(method, class, id string, shard int, body string, more ...string) string {
	b := method + " /api?extent=7f3a9c21e0b4d655 HTTP/1.1\r\nHost: service.internal\r\nX-Call-Id: " + id +
		"\r\nX-Call-Class: " + class + "\r\nX-Storage-Class: gold\r\nX-Budget: 1.500\r\n" +
		fmt.Sprintf("X-Extent: volume=00000003b4d60021,units=2,shard=%d,hosts=1\r\n", shard)
	for _, m := range more {
		b += m + "\r\n"
	}
	if method == "PUT" {
		b += fmt.Sprintf("Content-Length: %d\r\n", len(body))
	}
	return b + "\r\n" + body
}

// replaceOnce changes what stands once in a text.
func replaceOnce(t *testing.T, text, from, to string) string {
	t.Helper()
	if strings.Count(text, from) != 1 {
		t.Fatalf("%q does not stand once in %q", from, text)
	}
	return strings.Replace(text, from, to, 1)
}
