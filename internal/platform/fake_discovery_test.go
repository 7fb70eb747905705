package platform

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"
)

const (
	chunkedHead     = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
	unavailableHead = "HTTP/1.1 503 x\r\n\r\n"
)

// fakeDiscovery is a discovery service that follows the protocol.
type fakeDiscovery struct {
	server *httptest.Server

	mu       sync.Mutex
	current  List
	watchers map[chan string]struct{}
}

func newFakeDiscovery(t *testing.T, list List) *fakeDiscovery {
	t.Helper()
	discovery := &fakeDiscovery{current: list, watchers: map[chan string]struct{}{}}
	discovery.server = httptest.NewServer(http.HandlerFunc(discovery.serve))
	t.Cleanup(func() {
		discovery.server.CloseClientConnections()
		discovery.server.Close()
	})
	return discovery
}

func (d *fakeDiscovery) serve(response http.ResponseWriter, request *http.Request) {
	d.mu.Lock()
	current := d.current
	current.Reset = true
	messages := make(chan string, 16)
	d.watchers[messages] = struct{}{}
	d.mu.Unlock()
	defer d.removeWatcher(messages)
	document, _ := json.Marshal(current)
	response.Write(append(document, '\n'))
	if request.URL.Query().Get("stream") == "" {
		return
	}
	response.(http.Flusher).Flush()
	for {
		select {
		case <-request.Context().Done():
			return
		case message := <-messages:
			io.WriteString(response, message+"\n")
		case <-time.After(time.Second):
			io.WriteString(response, "\n") // a heartbeat
		}
		response.(http.Flusher).Flush()
	}
}

func (d *fakeDiscovery) removeWatcher(messages chan string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(d.watchers, messages)
}

// awaitWatches waits until count watches are open.
func (d *fakeDiscovery) awaitWatches(t *testing.T, count int) {
	t.Helper()
	eventually(t, fmt.Sprintf("%d watches are open", count), func() bool {
		d.mu.Lock()
		defer d.mu.Unlock()
		return len(d.watchers) == count
	})
}

// push sends a change of the list, with the next version, on all watches.
func (d *fakeDiscovery) push(servers ...ListedServer) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.current.Generation++
	message := listDocument(d.current.Generation, false, servers...)
	for messages := range d.watchers {
		messages <- message
	}
}

func (d *fakeDiscovery) address() string { return strings.TrimPrefix(d.server.URL, "http://") }

// discoveryScript answers call n, counted from 0, by writing to its connection, which is closed when it
// returns. ended is closed when the test ends.
type discoveryScript func(n int, target string, connection net.Conn, ended <-chan struct{})

// scriptedDiscovery is a discovery service whose script writes the bytes of its responses.
type scriptedDiscovery struct {
	listener net.Listener
	script   discoveryScript
	wg       sync.WaitGroup
	ended    chan struct{} // closed when the test ends

	mu        sync.Mutex
	callCount int
}

func newScriptedDiscovery(t *testing.T, script discoveryScript) *scriptedDiscovery {
	t.Helper()
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	discovery := &scriptedDiscovery{listener: listener, script: script, ended: make(chan struct{})}
	discovery.wg.Go(discovery.accept)
	t.Cleanup(func() {
		close(discovery.ended)
		listener.Close()
		discovery.wg.Wait()
	})
	return discovery
}

func (d *scriptedDiscovery) accept() {
	for n := 0; ; n++ {
		conn, err := d.listener.Accept()
		if err != nil {
			return
		}
		d.mu.Lock()
		d.callCount++
		d.mu.Unlock()
		d.wg.Go(func() { d.serve(conn, n) })
	}
}

func (d *scriptedDiscovery) serve(conn net.Conn, n int) {
	defer conn.Close()
	request, err := http.ReadRequest(bufio.NewReader(conn))
	if err == nil {
		d.script(n, request.URL.String(), conn, d.ended)
	}
}

func (d *scriptedDiscovery) address() string { return d.listener.Addr().String() }

func (d *scriptedDiscovery) calls() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.callCount
}

// neverAnswer is the script of a discovery service that accepts calls and stays silent.
func neverAnswer(_ int, _ string, _ net.Conn, ended <-chan struct{}) { <-ended }

// answerUnavailable is the script of a discovery service that is overloaded.
func answerUnavailable(_ int, _ string, connection net.Conn, _ <-chan struct{}) {
	io.WriteString(connection, unavailableHead)
}

// isWatch reports whether a call's target is that of a watch.
func isWatch(target string) bool { return strings.Contains(target, "stream") }

// writeMessage writes the head of the response to a watch and one message.
func writeMessage(connection net.Conn, message string) {
	io.WriteString(connection, chunkedHead+chunk(message+"\n"))
}

// writeDocument writes the response to a fetch.
func writeDocument(connection net.Conn, document string) {
	fmt.Fprintf(connection, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(document), document)
}

func chunk(text string) string { return fmt.Sprintf("%x\r\n%s\r\n", len(text), text) }

// listDocument returns a list in discovery's encoding.
func listDocument(generation uint64, isFull bool, servers ...ListedServer) string {
	document, err := json.Marshal(List{Generation: generation, Reset: isFull, Instances: servers})
	if err != nil {
		panic(err)
	}
	return string(document)
}
