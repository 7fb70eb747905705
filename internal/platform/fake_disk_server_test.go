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

// diskServerScript answers the n-th request of a disk server, from 0, with the bytes of a response. It closes
// the connection by returning nil.
type diskServerScript func(n int, request *receivedRequest) []byte

// fakeDiskServer is a disk server that answers by a script.
type fakeDiskServer struct {
	listener net.Listener
	script   diskServerScript
	wg       sync.WaitGroup

	mu          sync.Mutex
	requests    []*receivedRequest
	connections map[net.Conn]struct{}
}

// receivedRequest is a request that a disk server received whole.
type receivedRequest struct {
	head       *http1.Request
	body       []byte
	connection int // the number of the connection that it came on, from 0
}

// field is the first value of a header field.
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

// newOKDiskServer is a disk server that answers every request with "ok".
func newOKDiskServer(t *testing.T) *fakeDiskServer {
	t.Helper()
	return newFakeDiskServer(t, func(int, *receivedRequest) []byte { return okResponse("ok") })
}

// newHeldDiskServer is a disk server that answers one request with its id for each value sent to the channel.
func newHeldDiskServer(t *testing.T) (server *fakeDiskServer, released chan struct{}) {
	t.Helper()
	released = make(chan struct{}, 64)
	server = newFakeDiskServer(t, func(n int, request *receivedRequest) []byte {
		<-released
		return echoID(n, request)
	})
	t.Cleanup(func() { close(released) })
	return server, released
}

// echoID answers a request with its id.
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
		request := &receivedRequest{head, body, n}
		response := s.script(s.record(request), request)
		if response == nil {
			return
		}
		if _, err := conn.Write(response); err != nil {
			return
		}
	}
}

// record adds a request to those received and returns its number.
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

// forgetRequests frees the memory of the requests received.
func (s *fakeDiskServer) forgetRequests() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.requests = nil
}

// awaitRequests waits until as many requests have been received whole.
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

// listedServer is how the list names a disk server that is ready.
func listedServer(id string, server *fakeDiskServer, cell int) ListedServer {
	return ListedServer{ID: id, HostPort: server.listener.Addr().String(), Zone: "a", MachineType: "m",
		Cell: cell, Lifecycle: "ready", Weight: 1}
}

// drainingServer is how the list names a disk server that is draining.
func drainingServer(id string, server *fakeDiskServer, cell int) ListedServer {
	listed := listedServer(id, server, cell)
	listed.Lifecycle = "draining"
	return listed
}

// heldConnections makes connections to disk servers come up only when they are released.
type heldConnections struct {
	requested chan struct{} // receives a value for each connection that is wanted
	release   chan struct{} // a value releases one connection
}

// holdConnections holds back the connections of a scheduler that has sent nothing yet.
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
