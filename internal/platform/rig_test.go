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
type fakeDiskServer struct {
	listener    net.Listener
	wg          sync.WaitGroup
	mu          sync.Mutex
	requests    []*receivedRequest
	script      func(n int, g *receivedRequest) []byte
	connections map[net.Conn]struct{}
}

type receivedRequest struct {
	request    *http1.Request
	body       []byte
	connection int // which connection it came on
}

func newFakeDiskServer(t *testing.T, script func(int, *receivedRequest) []byte) *fakeDiskServer {
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	diskServer := &fakeDiskServer{listener: ln, script: script, connections: map[net.Conn]struct{}{}}
	diskServer.wg.Go(func() {
		for n := 0; ; n++ {
			conn, err := ln.Accept()
			if err != nil {
				return
			}
			diskServer.mu.Lock()
			diskServer.connections[conn] = struct{}{}
			diskServer.mu.Unlock()
			diskServer.wg.Go(func() { diskServer.serve(conn, n) })
		}
	})
	t.Cleanup(func() {
		ln.Close()
		diskServer.mu.Lock()
		for c := range diskServer.connections {
			c.Close()
		}
		diskServer.mu.Unlock()
		diskServer.wg.Wait()
	})
	return diskServer
}

func (diskServer *fakeDiskServer) serve(conn net.Conn, n int) {
	defer conn.Close()
	reader := http1.NewReader(conn, http1.Limits{MaxHead: 8192, MaxBody: maxBody})
	for {
		head, err := reader.Request()
		if err != nil {
			return
		}
		body, err := reader.Body(head.Length)
		if err != nil {
			return
		}
		request := &receivedRequest{head, body, n}
		diskServer.mu.Lock()
		diskServer.requests = append(diskServer.requests, request)
		at := len(diskServer.requests) - 1
		diskServer.mu.Unlock()
		b := diskServer.script(at, request)
		if b == nil {
			return
		}
		if _, err := conn.Write(b); err != nil {
			return
		}
	}
}

func (diskServer *fakeDiskServer) received() []*receivedRequest {
	diskServer.mu.Lock()
	defer diskServer.mu.Unlock()
	return append([]*receivedRequest(nil), diskServer.requests...)
}

func okResponse(body string) []byte { return http1.AppendResponse(nil, 200, "OK", nil, []byte(body)) }

// lists is a scripted discovery.
type fakeDiscovery struct {
	server   *httptest.Server
	mu       sync.Mutex
	current  List
	watchers map[chan string]struct{}
}

func newFakeDiscovery(t *testing.T, list List) *fakeDiscovery {
	discovery := &fakeDiscovery{current: list, watchers: map[chan string]struct{}{}}
	discovery.server = httptest.NewServer(http.HandlerFunc(discovery.serve))
	t.Cleanup(func() { discovery.server.CloseClientConnections(); discovery.server.Close() })
	return discovery
}

func (discovery *fakeDiscovery) serve(w http.ResponseWriter, r *http.Request) {
	discovery.mu.Lock()
	cur := discovery.current
	cur.Reset = true
	ch := make(chan string, 16)
	discovery.watchers[ch] = struct{}{}
	discovery.mu.Unlock()
	defer func() { discovery.mu.Lock(); delete(discovery.watchers, ch); discovery.mu.Unlock() }()
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
func (discovery *fakeDiscovery) awaitWatches(t *testing.T, n int) {
	t.Helper()
	eventually(t, fmt.Sprintf("%d watches", n), func() bool {
		discovery.mu.Lock()
		defer discovery.mu.Unlock()
		return len(discovery.watchers) == n
	})
}

func (discovery *fakeDiscovery) push(servers ...ListedServer) {
	discovery.mu.Lock()
	defer discovery.mu.Unlock()
	discovery.current.Generation++
	doc, _ := json.Marshal(List{Generation: discovery.current.Generation, Instances: servers})
	for ch := range discovery.watchers {
		ch <- string(doc)
	}
}

func (discovery *fakeDiscovery) address() string {
	return strings.TrimPrefix(discovery.server.URL, "http://")
}

// rig is a scheduler with one disk server a shard.
type gatewayFixture struct {
	t         *testing.T
	gateway   *Gateway
	address   string
	discovery *fakeDiscovery
	done      chan error
	logBuffer *safeBuffer
}

type safeBuffer struct {
	mu sync.Mutex
	b  bytes.Buffer
}

func (buffer *safeBuffer) Write(p []byte) (int, error) {
	buffer.mu.Lock()
	defer buffer.mu.Unlock()
	return buffer.b.Write(p)
}

func (buffer *safeBuffer) String() string {
	buffer.mu.Lock()
	defer buffer.mu.Unlock()
	return buffer.b.String()
}

func listedServer(id string, diskServer *fakeDiskServer, cell int) ListedServer {
	return ListedServer{
		ID:          id,
		HostPort:    diskServer.listener.Addr().String(),
		Zone:        "a",
		MachineType: "m",
		Cell:        cell,
		Lifecycle:   "ready",
		Weight:      1,
	}
}

func configDocument(discovery string, known *List, sockets int) []byte {
	doc, err := json.Marshal(map[string]any{"name": "n0", "listen": "127.0.0.1:0", "discovery": discovery,
		"seed":   "1f",
		"limits": Limits{Cores: 1, MemoryMB: 64, Sockets: sockets}, "known": known,
		"settings": json.RawMessage(testSettings)})
	if err != nil {
		panic(err)
	}
	return doc
}

func noEnvironment(string) string { return "" }

func startGateway(t *testing.T, sockets int, disks ...*fakeDiskServer) *gatewayFixture {
	var list List
	list.Generation, list.Reset = 7, true
	for i, diskServer := range disks {
		list.Instances = append(list.Instances, listedServer(fmt.Sprintf("s-%d", i), diskServer, i))
	}
	discovery := newFakeDiscovery(t, list)
	fixture := runGateway(t, configDocument(discovery.address(), &list, sockets))
	fixture.discovery = discovery
	<-fixture.gateway.loop.Ready()
	return fixture
}

// launch runs a scheduler with a configuration until the test ends; its log is shown if that fails.
func runGateway(t *testing.T, config []byte) *gatewayFixture {
	cfg, err := parseConfig(config, noEnvironment)
	if err != nil {
		t.Fatal(err)
	}
	fixture := &gatewayFixture{t: t, done: make(chan error, 1), logBuffer: &safeBuffer{}}
	if fixture.gateway, err = New(cfg, slog.New(slog.NewTextHandler(fixture.logBuffer,
		&slog.HandlerOptions{Level: slog.LevelDebug}))); err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		fixture.done <- fixture.gateway.Run(ctx)
	}()
	t.Cleanup(func() {
		cancel()
		<-ended
		if t.Failed() {
			fmt.Fprintln(os.Stderr, fixture.logBuffer.String())
		}
	})
	fixture.address = (<-fixture.gateway.started).String()
	return fixture
}

func eventually(t *testing.T, what string, is func() bool) {
	t.Helper()
	for deadline := time.Now().Add(5 * time.Second); !is(); time.Sleep(2 * time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("not within 5 s: %s", what)
		}
	}
}

// caller is a client's connection.
type testClient struct {
	t      *testing.T
	conn   net.Conn
	reader *bufio.Reader
}

func (fixture *gatewayFixture) dial() *testClient {
	fixture.t.Helper()
	conn, err := net.Dial("tcp4", fixture.address)
	if err != nil {
		fixture.t.Fatal(err)
	}
	return newTestClient(fixture.t, conn)
}

func newTestClient(t *testing.T, conn net.Conn) *testClient {
	t.Cleanup(func() { conn.Close() })
	conn.SetDeadline(time.Now().Add(10 * time.Second))
	return &testClient{t, conn, bufio.NewReader(conn)}
}

func (client *testClient) send(text string) {
	client.t.Helper()
	if _, err := io.WriteString(client.conn, text); err != nil {
		client.t.Fatal(err)
	}
}

// answer reads one answer with the standard library's reader, which is not ours.
func (client *testClient) readAnswer() (int, http.Header, string) {
	client.t.Helper()
	response, err := http.ReadResponse(client.reader, nil)
	if err != nil {
		client.t.Fatal(err)
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	if err != nil {
		client.t.Fatal(err)
	}
	if response.Close { // the reader takes the field away
		response.Header.Set("Connection", "close")
	}
	return response.StatusCode, response.Header, string(body)
}

func (client *testClient) isClosed() bool {
	_, err := client.reader.ReadByte()
	return err != nil
}

// ask is a request as clients send it; more are further header lines.
func requestText(method, class, id string, shard int, body string, more ...string) string {
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
