package platform

import (
	"log/slog"
	"net"
	"testing"
	"time"

	"landingpaddle/internal/arrival"
	"landingpaddle/internal/daemon"
	"landingpaddle/internal/wire"
)

// frontendWithClient returns a frontend with one client's connection and the client's end of it. No session
// runs.
func frontendWithClient(t *testing.T) (*frontend, *clientConn, net.Conn) {
	t.Helper()
	listener, err := arrival.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	peer, err := net.Dial("tcp4", listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	conn, err := listener.Accept()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { peer.Close(); conn.Close() })
	loop := daemon.NewEventLoop(daemon.EventLoopConfig{})
	f := newFrontend(loop, &wire.Site{}, slog.New(slog.DiscardHandler), resourceLimits{clients: 1})
	client := newClientConn(conn)
	if !f.register(client) {
		t.Fatal("got the client refused, want it registered")
	}
	return f, client, peer
}

// Guards against a request that is dropped without an answer: it was received whole, and the time in which it
// had to be received, or that of an eviction, ended while what followed it was read.
func TestFrontend_ObservesPresenceAfterReadDeadline(t *testing.T) {
	f, client, peer := frontendWithClient(t)
	if _, err := peer.Write([]byte(readText("a1"))); err != nil {
		t.Fatal(err)
	}
	eventually(t, "data has arrived", func() bool { return !isOpenAndEmpty(client.conn) })
	client.conn.SetReadDeadline(wakeDeadline)
	if presence := f.observePresence(client); presence != clientPresent {
		t.Errorf("got presence %d, want present (%d)", presence, clientPresent)
	}
	peer.Close()
	client.conn.SetReadDeadline(time.Time{})
	eventually(t, "the client is gone", func() bool {
		return f.observePresence(client) == clientDisconnected
	})
}

// A client's request counts as not submitted from its arrival until Submit has returned, whatever the session
// is doing; a request behind it on the connection does not count.
func TestFrontend_TellsUnsubmittedRequests(t *testing.T) {
	f, client, peer := frontendWithClient(t)
	expect := func(state string, want int) {
		t.Helper()
		time.Sleep(20 * time.Millisecond) // more than the kernel's tick
		if got := len(f.Unsubmitted(time.Now())); got != want {
			t.Errorf("%s: got %d clients with unsubmitted requests, want %d", state, got, want)
		}
	}
	send := func(text string) {
		t.Helper()
		if _, err := peer.Write([]byte(text)); err != nil {
			t.Fatal(err)
		}
	}
	expect("nothing sent", 0)
	send(readText("a1"))
	expect("unread", 1)
	if got := len(f.Unsubmitted(time.Now().Add(-time.Second))); got != 0 {
		t.Errorf("unread, arrived later: got %d clients, want 0", got)
	}
	if err := client.reader.WaitReadable(); err != nil {
		t.Fatal(err)
	}
	expect("read", 1)
	f.beginReading(client)
	expect("being parsed", 1)
	if _, err := client.reader.ReadRequest(); err != nil {
		t.Fatal(err)
	}
	f.beginProcessing(client)
	expect("not submitted yet", 1)
	client.arrivals.FinishHandling()
	expect("submitted", 0)
	send(readText("a2"))
	expect("another one behind it", 0)
	if err := client.reader.ReadAhead(maxReadAhead); err != nil {
		t.Fatal(err)
	}
	f.recordPipelined(client)
	client.arrivals.FinishHandling() // as the next read does, which finds nothing
	expect("another one read ahead", 0)
	f.endProcessing(client, false)
	expect("the first one answered", 1)
	f.beginReading(client)
	expect("the second one being parsed", 1)
	f.unregister(client)
	expect("closed", 0)
}
