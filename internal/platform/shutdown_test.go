package platform

import (
	"fmt"
	"net"
	"testing"
	"time"
)

// After Shutdown clients are served for as long as there is time before the kill; then every request that
// came is answered and the scheduler ends by itself.
func TestShutdown_ServesThenEnds(t *testing.T) {
	diskServer := newFakeDiskServer(t, func(int, *receivedRequest) []byte {
		time.Sleep(20 * time.Millisecond)
		return okResponse("ok")
	})
	fixture := startGateway(t, 256, diskServer)
	schedule := shutdownScheduleFor(&fixture.gateway.config.Site.Settings)
	client := fixture.dial()
	began := time.Now()
	fixture.gateway.Shutdown()
	served := 0
	for i := 0; ; i++ {
		text := readText(fmt.Sprintf("a%d", i))
		if _, err := client.conn.Write([]byte(text)); err != nil {
			break
		}
		head, err := client.reader.Peek(12)
		if err != nil {
			break // it was closed between requests
		}
		if string(head) == "HTTP/1.1 503" && time.Since(began) >= schedule.acceptFor {
			break // it came as the scheduler had just stopped accepting
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

// At a shutdown every request that came has its answer, pipelined ones too, and only the last answer ends the
// connection.
func TestShutdown_AnswersPipelinedRequests(t *testing.T) {
	diskServer, released := newHeldDiskServer(t)
	fixture := startGateway(t, 256, diskServer)
	client := fixture.dial()
	client.send(readText("a1") + payText("a2", "hello") + readText("a3"))
	diskServer.awaitRequests(t, 1)
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

// A request of which half has come when the scheduler stops accepting is rejected; an idle connection just
// ends.
func TestShutdown_RejectsHalfReadRequest(t *testing.T) {
	diskServer := newOKDiskServer(t)
	fixture := startGateway(t, 256, diskServer)
	half, idle := fixture.dial(), fixture.dial()
	idle.send(readText("a1"))
	idle.readAnswer()
	text := readText("a2")
	half.send(text[:40])
	eventually(t, "half of it is there", func() bool {
		counts := fixture.gateway.frontend.countByState()
		return counts.reading == 1 && counts.idle == 1
	})
	fixture.stopAcceptingRequests()
	idle.expectGracefulClose()
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

// A connection that is accepted at the very moment of the shutdown: a request on it is rejected, and
// without one it ends.
func TestShutdown_RejectsNewConnections(t *testing.T) {
	diskServer, released := newHeldDiskServer(t)
	fixture := startGateway(t, 256, diskServer)
	busy := fixture.dial() // keeps the loop going
	busy.send(readText("a1"))
	diskServer.awaitRequests(t, 1)
	fixture.stopAcceptingRequests()
	for _, text := range []string{readText("a2"), ""} {
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
		go func() { // as the frontend's own listener would hand it over
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
		t.Errorf("the one in flight: %d %v", status, header)
	}
}

// A scheduler that is shutting down does not report that it is ready.
func TestShutdown_ReportsUnhealthy(t *testing.T) {
	diskServer, released := newHeldDiskServer(t)
	fixture := startGateway(t, 256, diskServer)
	client := fixture.dial()
	client.send(readText("a1") + healthRequest)
	diskServer.awaitRequests(t, 1)
	fixture.stopAcceptingRequests()
	released <- struct{}{}
	client.readAnswer()
	if status, header, _ := client.readAnswer(); status != 503 || header.Get("Connection") != "close" {
		t.Errorf("%d %v", status, header)
	}
}
