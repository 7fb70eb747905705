package platform

import (
	"fmt"
	"net"
	"syscall"
	"testing"
	"time"
)

// After Shutdown, clients are served for the accept time of the schedule, which leaves time for answers
// before the platform kills the process. Then every received request is answered and Run returns.
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
			break // closed between requests
		}
		if string(head) == "HTTP/1.1 503" && time.Since(began) >= schedule.acceptFor {
			break // received after the scheduler stopped accepting
		}
		if string(head) != "HTTP/1.1 200" {
			t.Fatalf("got %q, %v after Shutdown; want status 200", head, time.Since(began))
		}
		_, header, _ := client.readAnswer()
		served++
		if header.Get("Connection") == "close" {
			break
		}
	}
	if d := time.Since(began); served < 10 || d < schedule.acceptFor-50*time.Millisecond {
		t.Errorf("got %d requests served over %v after Shutdown, want at least 10 until %v", served, d,
			schedule.acceptFor)
	}
	if err := <-fixture.done; err != nil || time.Since(began) > schedule.answerWithin+time.Second {
		t.Errorf("got error %v after %v, want Run to return without one by %v", err, time.Since(began),
			schedule.answerWithin)
	}
	fixture.done <- nil
}

// Guards against requests that are not answered before the kill, as the process is held up for up to 0.15 s
// just before it.
func TestShutdown_AnswersDespiteHoldUpBeforeKill(t *testing.T) {
	const (
		killAfter = 2700 * time.Millisecond // the longest deadline and 0.7 s
		sendAfter = killAfter - 600*time.Millisecond
		heldFor   = 135 * time.Millisecond
		requests  = 6
	)
	diskServer := newFakeDiskServer(t, func(_ int, request *receivedRequest) []byte {
		if request.head.Method == "PUT" {
			time.Sleep(killAfter)
		}
		return okResponse("ok")
	})
	process := startGatewayProcess(t, diskServer)
	var clients []*testClient
	for n := range requests {
		client := process.dial()
		client.send(readText(fmt.Sprintf("a%d", n)))
		client.readAnswer()
		clients = append(clients, client)
	}
	began := time.Now()
	process.signal(syscall.SIGTERM)
	time.Sleep(time.Until(began.Add(sendAfter)))
	for n, client := range clients {
		client.send(payText(fmt.Sprintf("b%d", n), "x"))
	}
	time.Sleep(time.Until(began.Add(killAfter - heldFor)))
	process.signal(syscall.SIGSTOP)
	time.Sleep(time.Until(began.Add(killAfter)))
	process.signal(syscall.SIGKILL)
	for n, client := range clients {
		if _, err := client.reader.Peek(1); err != nil {
			t.Errorf("request %d, sent 0.6 s before the kill: got no answer: %v", n, err)
		}
	}
}

// At a shutdown every received request is answered, pipelined ones too, and only the last answer has
// Connection: close.
func TestShutdown_AnswersPipelinedRequests(t *testing.T) {
	diskServer, release := newBlockingDiskServer(t)
	fixture := startGateway(t, 256, diskServer)
	client := fixture.dial()
	client.send(readText("a1") + payText("a2", "hello") + readText("a3"))
	diskServer.awaitRequests(t, 1)
	eventually(t, "the pipelined requests have arrived", func() bool {
		fixture.gateway.frontend.mu.Lock()
		defer fixture.gateway.frontend.mu.Unlock()
		for connection := range fixture.gateway.frontend.connections {
			return connection.hasPipelined
		}
		return false
	})
	fixture.stopAcceptingRequests()
	release <- struct{}{}
	for _, want := range []struct {
		status     int
		connection string
	}{{200, ""}, {503, ""}, {503, "close"}} {
		if status, header, _ := client.readAnswer(); status != want.status ||
			header.Get("Connection") != want.connection {
			t.Errorf("got %d %v, want %+v", status, header, want)
		}
	}
	client.expectGracefulClose()
	if n := len(diskServer.received()); n != 1 {
		t.Errorf("got %d sends, want 1", n)
	}
}

// A request that has been received in part when the scheduler stops accepting is rejected; an idle connection
// is closed without an answer.
func TestShutdown_RejectsPartlyReadRequest(t *testing.T) {
	diskServer := newOKDiskServer(t)
	fixture := startGateway(t, 256, diskServer)
	partial, idle := fixture.dial(), fixture.dial()
	idle.send(readText("a1"))
	idle.readAnswer()
	text := readText("a2")
	partial.send(text[:40])
	eventually(t, "part of the request has arrived", func() bool {
		counts := fixture.gateway.frontend.countByState()
		return counts.reading == 1 && counts.idle == 1
	})
	fixture.stopAcceptingRequests()
	idle.expectGracefulClose()
	partial.send(text[40:])
	if status, header, _ := partial.readAnswer(); status != 503 || header.Get("Connection") != "close" {
		t.Errorf("request received in part: got %d %v, want 503 and Connection: close", status, header)
	}
	partial.expectGracefulClose()
	if err := <-fixture.done; err != nil {
		t.Error(err)
	}
	fixture.done <- nil
}

// A connection is accepted during a shutdown: a request on it is rejected, and without a request the
// connection is closed.
func TestShutdown_RejectsNewConnections(t *testing.T) {
	diskServer, release := newBlockingDiskServer(t)
	fixture := startGateway(t, 256, diskServer)
	working := fixture.dial() // its request keeps the loop running
	working.send(readText("a1"))
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
		go func() { // as if the frontend's own listener had accepted it
			defer close(accepted)
			fixture.gateway.frontend.serve(ln)
		}()
		if text != "" {
			if status, _, _ := client.readAnswer(); status != 503 {
				t.Errorf("got status %d, want 503", status)
			}
		}
		client.expectGracefulClose()
		conn.Close()
		ln.Close()
		<-accepted
	}
	release <- struct{}{}
	if status, header, _ := working.readAnswer(); status != 200 || header.Get("Connection") != "close" {
		t.Errorf("request in flight: got %d %v, want 200 and Connection: close", status, header)
	}
}

// A scheduler that is shutting down reports that it is not ready.
func TestShutdown_ReportsUnhealthy(t *testing.T) {
	diskServer, release := newBlockingDiskServer(t)
	fixture := startGateway(t, 256, diskServer)
	client := fixture.dial()
	client.send(readText("a1") + healthRequest)
	diskServer.awaitRequests(t, 1)
	fixture.stopAcceptingRequests()
	release <- struct{}{}
	client.readAnswer()
	if status, header, _ := client.readAnswer(); status != 503 || header.Get("Connection") != "close" {
		t.Errorf("got %d %v, want 503 and Connection: close", status, header)
	}
}
