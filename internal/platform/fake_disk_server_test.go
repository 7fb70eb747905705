package platform

import (
	"context"
	"net"
	"sync"
	"testing"

	"landingpaddle/internal/http1"
)

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

// holding is a disk server whose answers come when they are let through, each with its request's id.
func newHeldDiskServer(t *testing.T) (*fakeDiskServer, chan struct{}) {
	released := make(chan struct{}, 64)
	diskServer := newFakeDiskServer(t, func(_ int, request *receivedRequest) []byte {
		<-released
		id, _ := request.request.Header.Get("X-Call-Id")
		return okResponse(id)
	})
	t.Cleanup(func() { close(released) })
	return diskServer, released
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

// heldConnect makes connections to disk servers come up only when they are let through.
type heldConnections struct {
	requested chan struct{} // one for each connection asked for
	release   chan struct{} // one lets one through
}

// holdConnects holds back the connections of a scheduler that has sent nothing yet.
func holdConnections(fixture *gatewayFixture) *heldConnections {
	held := &heldConnections{requested: make(chan struct{}, 16), release: make(chan struct{}, 16)}
	fixture.gateway.upstream.connect = func(ctx context.Context, network, addr string) (net.Conn, error) {
		held.requested <- struct{}{}
		select {
		case <-ctx.Done():
			return nil, ctx.Err()
		case <-held.release:
			return (&net.Dialer{}).DialContext(ctx, network, addr)
		}
	}
	return held
}
