package platform

import (
	"fmt"
	"net"
	"testing"
	"time"
)

// After Term clients are served on their connections for as long as there is time before the kill; then all
// that came is answered and the scheduler ends by itself.
func TestShutdown_ServesThenEnds(t *testing.T) {
	diskServer := newFakeDiskServer(
		t,
		func(int, *receivedRequest) []byte { time.Sleep(20 * time.Millisecond); return okResponse("ok") },
	)
	fixture := startGateway(t, 256, diskServer)
	schedule := shutdownScheduleFor(&fixture.gateway.config.Site.Settings)
	client := fixture.dial()
	began := time.Now()
	fixture.gateway.Shutdown()
	served := 0
	for i := 0; ; i++ {
		text := requestText("GET", "read", fmt.Sprintf("a%d", i), 0, "")
		if _, err := client.conn.Write([]byte(text)); err != nil {
			break
		}
		head, err := client.reader.Peek(12)
		if err != nil {
			break // it was closed between requests
		}
		if string(head) == "HTTP/1.1 503" && time.Since(began) >= schedule.acceptFor {
			break // it came as the scheduler had just stopped taking
		}
		if string(head) != "HTTP/1.1 200" {
			t.Fatalf("%q, %v after the signal", head, time.Since(began))
		}
		_, header, _ := client.readAnswer()
		served++
		if header.Get("Connection") == "close" {
			break
		}
	}
	if d := time.Since(began); served < 10 || d < schedule.acceptFor-50*time.Millisecond {
		t.Errorf("served %d requests over %v after the signal, not until %v", served, d, schedule.acceptFor)
	}
	if err := <-fixture.done; err != nil || time.Since(began) > schedule.answerWithin+time.Second {
		t.Errorf("ended with %v after %v; all should be over by %v", err, time.Since(began),
			schedule.answerWithin)
	}
	fixture.done <- nil
}

// At a stop every request that came has its answer, also those behind another on their connection, and the
// last answer alone ends it.
func TestShutdown_AnswersPipelinedRequests(t *testing.T) {
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
func TestShutdown_RejectsHalfReadRequest(t *testing.T) {
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
func TestShutdown_RejectsNewConnections(t *testing.T) {
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
func TestShutdown_ReportsUnhealthy(t *testing.T) {
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
