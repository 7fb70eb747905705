package platform

import (
	"context"
	"fmt"
	"net"
	"slices"
	"sync"
	"testing"

	"landingpaddle/internal/http1"
)

// diskServerScript returns the bytes of the response to request n of a disk server, counted from 0. If it
// returns nil, the connection is closed without a response.
type diskServerScript func(n int, request *receivedRequest) []byte

// fakeDiskServer is a disk server that responds by a script.
type fakeDiskServer struct {
	listener net.Listener
	script   diskServerScript
	wg       sync.WaitGroup

	mu          sync.Mutex
	requests    []*receivedRequest
	connections map[net.Conn]struct{}
}

// receivedRequest is a request that a disk server received completely.
type receivedRequest struct {
	head       *http1.Request
	body       []byte
	connection int // number of its connection, from 0
	conn       net.Conn
}

// field returns the first value of a header field.
func (r *receivedRequest) field(name string) string {
	value, _ := r.head.Header.Get(name)
	return value
}

func newFakeDiskServer(t *testing.T, script diskServerScript) *fakeDiskServer {
	t.Helper()
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := &fakeDiskServer{listener: listener, script: script, connections: map[net.Conn]struct{}{}}
	server.wg.Go(server.accept)
	t.Cleanup(server.close)
	return server
}

// newOKDiskServer returns a disk server that answers every request with "ok".
func newOKDiskServer(t *testing.T) *fakeDiskServer {
	t.Helper()
	return newFakeDiskServer(t, func(int, *receivedRequest) []byte { return okResponse("ok") })
}

// newBlockingDiskServer returns a disk server that answers one request with its id for each value sent to
// release.
func newBlockingDiskServer(t *testing.T) (server *fakeDiskServer, release chan struct{}) {
	t.Helper()
	release = make(chan struct{}, 64)
	server = newFakeDiskServer(t, func(n int, request *receivedRequest) []byte {
		<-release
		return echoID(n, request)
	})
	t.Cleanup(func() { close(release) })
	return server, release
}

// echoID returns a response with the request's id as its body.
func echoID(_ int, request *receivedRequest) []byte { return okResponse(request.field(fieldID)) }

func okResponse(body string) []byte { return http1.AppendResponse(nil, 200, "OK", nil, []byte(body)) }

func (s *fakeDiskServer) accept() {
	for n := 0; ; n++ {
		conn, err := s.listener.Accept()
		if err != nil {
			return
		}
		s.mu.Lock()
		s.connections[conn] = struct{}{}
		s.mu.Unlock()
		s.wg.Go(func() { s.serve(conn, n) })
	}
}

func (s *fakeDiskServer) serve(conn net.Conn, n int) {
	defer conn.Close()
	reader := http1.NewReader(conn, http1.Limits{MaxHead: 8192, MaxBody: maxBody})
	for {
		head, err := reader.ReadRequest()
		if err != nil {
			return
		}
		body, err := reader.ReadBody(head.Length)
		if err != nil {
			return
		}
		request := &receivedRequest{head, body, n, conn}
		response := s.script(s.record(request), request)
		if response == nil {
			return
		}
		if _, err := conn.Write(response); err != nil {
			return
		}
	}
}

// record stores a received request and returns its number, from 0.
func (s *fakeDiskServer) record(request *receivedRequest) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.requests = append(s.requests, request)
	return len(s.requests) - 1
}

func (s *fakeDiskServer) received() []*receivedRequest {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.requests)
}

// clearRequests deletes the received requests, to free their memory.
func (s *fakeDiskServer) clearRequests() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.requests = nil
}

// awaitRequests waits until count requests have been received completely.
func (s *fakeDiskServer) awaitRequests(t *testing.T, count int) {
	t.Helper()
	eventually(t, fmt.Sprintf("the disk server has received %d requests", count), func() bool {
		return len(s.received()) == count
	})
}

func (s *fakeDiskServer) close() {
	s.listener.Close()
	s.mu.Lock()
	for conn := range s.connections {
		conn.Close()
	}
	s.mu.Unlock()
	s.wg.Wait()
}

// listedServer returns the list entry of a disk server that is ready.
func listedServer(id string, server *fakeDiskServer, cell int) ListedServer {
	return ListedServer{ID: id, HostPort: server.listener.Addr().String(), Zone: "a", MachineType: "m",
		Cell: cell, Lifecycle: "ready", Weight: 1}
}

// drainingServer returns the list entry of a disk server that is draining.
func drainingServer(id string, server *fakeDiskServer, cell int) ListedServer {
	listed := listedServer(id, server, cell)
	listed.Lifecycle = "draining"
	return listed
}

// heldConnections delays new connections to disk servers until they are released.
type heldConnections struct {
	requested chan struct{} // receives a value for each connection that is requested
	release   chan struct{} // a value releases one connection
}

// holdConnections delays the connections to disk servers of a scheduler. It must be called before the
// scheduler's first attempt, as the pool reads connect without a lock.
func holdConnections(fixture *gatewayFixture) *heldConnections {
	held := &heldConnections{requested: make(chan struct{}, 16), release: make(chan struct{}, 16)}
	fixture.gateway.upstream.connect = func(ctx context.Context, network, address string) (net.Conn, error) {
		held.requested <- struct{}{}
		select {
		case <-ctx.Done():
			return nil, ctx.Err()
		case <-held.release:
			return (&net.Dialer{}).DialContext(ctx, network, address)
		}
	}
	return held
}
