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

// rawLists is a discovery written byte by byte: script answers the n-th call, and the connection ends with
// it.
type scriptedDiscovery struct {
	listener  net.Listener
	wg        sync.WaitGroup
	mu        sync.Mutex
	callTimes []time.Time // of calls
	ended     chan struct{}
}

func newScriptedDiscovery(t *testing.T,
	script func(n int, target string, connection net.Conn, ended <-chan struct{})) *scriptedDiscovery {
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	discovery := &scriptedDiscovery{listener: ln, ended: make(chan struct{})}
	discovery.wg.Go(func() {
		for n := 0; ; n++ {
			conn, err := ln.Accept()
			if err != nil {
				return
			}
			discovery.mu.Lock()
			discovery.callTimes = append(discovery.callTimes, time.Now())
			discovery.mu.Unlock()
			discovery.wg.Go(func() {
				defer conn.Close()
				request, err := http.ReadRequest(bufio.NewReader(conn))
				if err == nil {
					script(n, request.URL.String(), conn, discovery.ended)
				}
			})
		}
	})
	t.Cleanup(func() { close(discovery.ended); ln.Close(); discovery.wg.Wait() })
	return discovery
}

func (discovery *scriptedDiscovery) calls() int {
	discovery.mu.Lock()
	defer discovery.mu.Unlock()
	return len(discovery.callTimes)
}

const chunkedHead = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"

func chunk(text string) string { return fmt.Sprintf("%x\r\n%s\r\n", len(text), text) }

// doc is a list in discovery's form.
func listDocument(generation uint64, whole bool, entries ...ListedServer) string {
	b, err := json.Marshal(List{Generation: generation, Reset: whole, Instances: entries})
	if err != nil {
		panic(err)
	}
	return string(b)
}
