package platform

import (
	"errors"
	"io"
	"net"
	"strconv"
	"strings"
	"testing"
	"time"
)

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

// only is the one client's connection that is open, once it is in a state.
func (fixture *gatewayFixture) awaitOnlyClient(state connState) *clientConn {
	fixture.t.Helper()
	var only *clientConn
	eventually(fixture.t, "one client's connection is as expected", func() bool {
		fixture.gateway.frontend.mu.Lock()
		defer fixture.gateway.frontend.mu.Unlock()
		for connection := range fixture.gateway.frontend.connections {
			only = connection
		}
		return len(fixture.gateway.frontend.connections) == 1 && only.state == state
	})
	return only
}

// stops begins a stop at its end: nothing new is taken, connections end as soon as nothing is on them.
func (fixture *gatewayFixture) stopAcceptingRequests() {
	fixture.gateway.shutdownAt = time.Now()
	fixture.gateway.frontend.closeGracefully()
	fixture.gateway.loop.Stop()
}

// end checks that a connection ends in order: nothing more comes, and it is not reset.
func (client *testClient) expectGracefulClose() {
	client.t.Helper()
	if b, err := client.reader.ReadByte(); !errors.Is(err, io.EOF) {
		client.t.Errorf("the connection goes on with %q, %v; want its end in order", b, err)
	}
}

// A client that goes away is noticed at once, whatever it wrote behind the request that is in work: half a
// request, whole ones, more than a head may be long.
func TestClientGoneBehindWhatItWrote(t *testing.T) {
	for name, behind := range map[string]string{
		"nothing":     "",
		"half a head": "GET /api?extent=7f3a",
		"half a body": requestText("PUT", "pay", "b1", 0, "hello")[:200],
		"whole ones": requestText("GET", "read", "b1", 0, "") +
			requestText("PUT", "pay", "b2", 0, "hello"),
		"very many":     strings.Repeat(requestText("GET", "read", "b1", 0, ""), 200),
		"noise and end": "\x00\x00\x00",
	} {
		t.Run(name, func(t *testing.T) {
			diskServer, released := newHeldDiskServer(t)
			fixture := startGateway(t, 256, diskServer)
			client := fixture.dial()
			client.send(requestText("PUT", "pay", "a1", 0, "") + behind)
			eventually(t, "the first is out", func() bool { return len(diskServer.received()) == 1 })
			client.conn.Close()
			eventually(t, "its going away is noticed while its answer is awaited", func() bool {
				return fixture.gateway.loop.Stats.ClientGone.Load() == 1
			})
			released <- struct{}{}
			eventually(t, "its connection is closed", func() bool {
				return fixture.gateway.frontend.countByState() == connectionCounts{}
			})
			if n := len(diskServer.received()); n != 1 {
				t.Errorf("%d sends; those behind must not begin", n)
			}
			eventually(
				t,
				"nothing is held for it",
				func() bool { return fixture.gateway.frontend.bodyBytes.Load() == 0 },
			)
		})
	}
}

// A request that came with others before it has waited since then: that is what is left of its time.
func TestTimeOfARequestBehindAnother(t *testing.T) {
	diskServer, released := newHeldDiskServer(t)
	fixture := startGateway(t, 256, diskServer)
	client := fixture.dial()
	sent := time.Now()
	client.send(requestText("PUT", "pay", "a1", 0, "") + requestText("PUT", "pay", "a2", 0, ""))
	eventually(t, "the first is out", func() bool { return len(diskServer.received()) == 1 })
	time.Sleep(100 * time.Millisecond) // the service of the first
	released <- struct{}{}
	released <- struct{}{}
	for _, id := range []string{"a1", "a2"} {
		if status, _, body := client.readAnswer(); status != 200 || body != id {
			t.Fatalf("%s: %d %q", id, status, body)
		}
	}
	text, _ := diskServer.received()[1].request.Header.Get("X-Budget")
	if told, err := strconv.ParseFloat(text, 64); err != nil || told > 1.4 ||
		told < 1.5-time.Since(sent).Seconds()-0.02 {
		t.Errorf("told %q, %v; 0.1 s of 1.5 s had passed", text, err)
	}
}

// A request that is there when its connection is asked to end is served, and its answer says that it is the
// last. (roll+brink: it was read and sent on, and the connection closed under it.)
func TestRequestBeforeTheEnd(t *testing.T) {
	for _, pieces := range []int{1, 2} {
		diskServer := newFakeDiskServer(t, func(int, *receivedRequest) []byte { return okResponse("ok") })
		fixture := startGateway(t, 256, diskServer)
		client := fixture.dial()
		client.send(requestText("GET", "read", "a1", 0, ""))
		client.readAnswer()
		connection := fixture.awaitOnlyClient(stateIdle)
		text := requestText("GET", "read", "a2", 0, "")
		frontend := fixture.gateway.frontend
		frontend.mu.Lock() // its session is woken and can't go on: what comes now comes in that very moment
		connection.closeRequested = true
		connection.conn.SetReadDeadline(wakeDeadline)
		client.send(text[:len(text)/pieces])
		// It is there: still to be read, or, as bytes may overtake a deadline, read and held up by the lock.
		deadline := time.Now().Add(100 * time.Millisecond)
		for isOpenAndEmpty(connection.conn) && time.Now().Before(deadline) {
			time.Sleep(time.Millisecond)
		}
		frontend.mu.Unlock()
		client.send(text[len(text)/pieces:])
		if status, header, body := client.readAnswer(); status != 200 || body != "ok" ||
			header.Get("Connection") != "close" {
			t.Errorf("in %d pieces: %d %v %q", pieces, status, header, body)
		}
		client.expectGracefulClose()
	}
}

// The other order: what comes once the sending side is shut is read off and never sent on; the connection
// ends in order, so that its client tries elsewhere.
func TestRequestAfterTheEnd(t *testing.T) {
	diskServer := newFakeDiskServer(t, func(int, *receivedRequest) []byte { return okResponse("ok") })
	fixture := startGateway(t, 256, diskServer)
	client := fixture.dial()
	client.send(requestText("GET", "read", "a1", 0, ""))
	client.readAnswer()
	if connection := fixture.awaitOnlyClient(stateIdle); !fixture.gateway.frontend.evict(
		connection,
		false,
	) {
		t.Fatal("an idle connection was not asked to end")
	}
	client.expectGracefulClose() // shut for sending
	client.send(requestText("GET", "read", "a2", 0, ""))
	eventually(t, "the session is over", func() bool {
		fixture.gateway.frontend.mu.Lock()
		defer fixture.gateway.frontend.mu.Unlock()
		return len(fixture.gateway.frontend.connections)+fixture.gateway.frontend.lingering == 0
	})
	if n := len(diskServer.received()); n != 1 || fixture.gateway.loop.Stats.Admitted.Load() != 1 {
		t.Errorf("%d sends, %d taken", n, fixture.gateway.loop.Stats.Admitted.Load())
	}
}

// A connection whose request is in work is never asked to end, and one with bytes to read neither.
func TestEvictSparesRequests(t *testing.T) {
	diskServer, released := newHeldDiskServer(t)
	fixture := startGateway(t, 256, diskServer)
	client := fixture.dial()
	client.send(requestText("GET", "read", "a1", 0, ""))
	if fixture.gateway.frontend.evict(fixture.awaitOnlyClient(stateWorking), true) {
		t.Error("a connection with a request in work was asked to end")
	}
	released <- struct{}{}
	if status, _, _ := client.readAnswer(); status != 200 {
		t.Error(status)
	}
}

// One that is slow to say its request and has to give way is told so.
func TestEvictSlowRequest(t *testing.T) {
	fixture := startGateway(
		t,
		256,
		newFakeDiskServer(t, func(int, *receivedRequest) []byte { return okResponse("ok") }),
	)
	client := fixture.dial()
	client.send("GET /api")
	if !fixture.gateway.frontend.evict(fixture.awaitOnlyClient(stateReading), true) {
		t.Fatal("it was not asked to end")
	}
	if status, _, _ := client.readAnswer(); status != 408 {
		t.Errorf("%d", status)
	}
	client.expectGracefulClose()
}

// The last answer of a connection arrives although its client goes on writing: a close over what was not read
// would reset the connection.
func TestLastAnswerArrives(t *testing.T) {
	for name, c := range map[string]struct {
		text   string
		status int
	}{
		"served, then more": {replaceOnce(t, requestText("PUT", "pay", "a1", 0, ""), "Host: service.internal",
			"Host: service.internal\r\nConnection: close") + strings.Repeat("x", 100<<10), 200},
		"an error, then more": {"NOT HTTP\r\n\r\n" + strings.Repeat("x", 100<<10), 400},
		"a body that is too long": {replaceOnce(t, requestText("PUT", "pay", "a1", 0, ""),
			"Content-Length: 0",
			"Content-Length: 60000000") + strings.Repeat("x", 100<<10), 413},
	} {
		t.Run(name, func(t *testing.T) {
			diskServer, released := newHeldDiskServer(t)
			client := startGateway(t, 256, diskServer).dial()
			released <- struct{}{}
			client.send(c.text)
			if status, header, _ := client.readAnswer(); status != c.status ||
				header.Get("Connection") != "close" {
				t.Errorf("%d %v", status, header)
			}
			client.expectGracefulClose()
		})
	}
}

// At a stop every request that came has its answer, also those behind another on their connection, and the
// last answer alone ends it.
func TestStopAnswersWhatIsPipelined(t *testing.T) {
	diskServer, released := newHeldDiskServer(t)
	fixture := startGateway(t, 256, diskServer)
	client := fixture.dial()
	client.send(requestText("GET", "read", "a1", 0, "") + requestText("PUT", "pay", "a2", 0, "hello") +
		requestText("GET", "read", "a3", 0, ""))
	eventually(t, "the first is out", func() bool { return len(diskServer.received()) == 1 })
	eventually(t, "those behind it are there", func() bool {
		fixture.gateway.frontend.mu.Lock()
		defer fixture.gateway.frontend.mu.Unlock()
		for connection := range fixture.gateway.frontend.connections {
			return connection.hasPipelined
		}
		return false
	})
	fixture.stopAcceptingRequests()
	released <- struct{}{}
	for _, want := range []struct {
		status int
		last   string
	}{{200, ""}, {503, ""}, {503, "close"}} {
		if status, header, _ := client.readAnswer(); status != want.status ||
			header.Get("Connection") != want.last {
			t.Errorf("%d %v; want %+v", status, header, want)
		}
	}
	client.expectGracefulClose()
	if n := len(diskServer.received()); n != 1 {
		t.Errorf("%d sends", n)
	}
}

// A request that is half there when a scheduler stops, and one that comes on a resting connection or a new
// one in that moment, is refused; a connection with nothing on it just ends.
func TestStopWithRequestsComing(t *testing.T) {
	diskServer := newFakeDiskServer(t, func(int, *receivedRequest) []byte { return okResponse("ok") })
	fixture := startGateway(t, 256, diskServer)
	half, resting := fixture.dial(), fixture.dial()
	resting.send(requestText("GET", "read", "a1", 0, ""))
	resting.readAnswer()
	text := requestText("GET", "read", "a2", 0, "")
	half.send(text[:40])
	eventually(t, "half of it is there", func() bool {
		counts := fixture.gateway.frontend.countByState()
		return counts.reading == 1 && counts.idle == 1
	})
	fixture.stopAcceptingRequests()
	resting.expectGracefulClose()
	half.send(text[40:])
	if status, header, _ := half.readAnswer(); status != 503 || header.Get("Connection") != "close" {
		t.Errorf("half there: %d %v", status, header)
	}
	half.expectGracefulClose()
	if err := <-fixture.done; err != nil {
		t.Error(err)
	}
	fixture.done <- nil
}

// A connection that was accepted in the very moment of the stop: with a request it is answered, without one
// it ends.
func TestStopAcceptsNoMore(t *testing.T) {
	diskServer, released := newHeldDiskServer(t)
	fixture := startGateway(t, 256, diskServer)
	busy := fixture.dial() // keeps the loop going
	busy.send(requestText("GET", "read", "a1", 0, ""))
	eventually(t, "it is out", func() bool { return len(diskServer.received()) == 1 })
	fixture.stopAcceptingRequests()
	for _, text := range []string{requestText("GET", "read", "a2", 0, ""), ""} {
		ln, err := net.Listen("tcp4", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		conn, err := net.Dial("tcp4", ln.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		client := newTestClient(t, conn)
		if text != "" {
			client.send(text)
		}
		accepted := make(chan struct{})
		go func() { // as the front's own listener would hand it over
			defer close(accepted)
			fixture.gateway.frontend.serve(ln)
		}()
		if text != "" {
			if status, _, _ := client.readAnswer(); status != 503 {
				t.Errorf("%d", status)
			}
		}
		client.expectGracefulClose()
		conn.Close()
		ln.Close()
		<-accepted
	}
	released <- struct{}{}
	if status, header, _ := busy.readAnswer(); status != 200 || header.Get("Connection") != "close" {
		t.Errorf("the one in work: %d %v", status, header)
	}
}

// A stopping scheduler does not say that it is ready.
func TestHealthWhileStopping(t *testing.T) {
	diskServer, released := newHeldDiskServer(t)
	fixture := startGateway(t, 256, diskServer)
	client := fixture.dial()
	client.send(requestText("GET", "read", "a1", 0, "") + "GET /healthz HTTP/1.1\r\nHost: a\r\n\r\n")
	eventually(t, "it is out", func() bool { return len(diskServer.received()) == 1 })
	fixture.stopAcceptingRequests()
	released <- struct{}{}
	client.readAnswer()
	if status, header, _ := client.readAnswer(); status != 503 || header.Get("Connection") != "close" {
		t.Errorf("%d %v", status, header)
	}
}
