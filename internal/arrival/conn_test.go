package arrival

import (
	"errors"
	"io"
	"net"
	"os"
	"syscall"
	"testing"
	"time"
)

const (
	// unreadFor is how long the tests leave data unread.
	unreadFor = 80 * time.Millisecond
	// tick bounds the resolution of the kernel's time since a socket last received data.
	tick = 20 * time.Millisecond
)

// connectedPair returns a client's connection and the accepted end of it. beforeAccept may be nil.
func connectedPair(t *testing.T, beforeAccept func(client net.Conn)) (client net.Conn, accepted *Conn) {
	t.Helper()
	listener, err := Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	if client, err = net.Dial("tcp4", listener.Addr().String()); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { client.Close() })
	if beforeAccept != nil {
		beforeAccept(client)
	}
	conn, err := listener.Accept()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { conn.Close() })
	conn.SetDeadline(time.Now().Add(5 * time.Second))
	return client, conn.(*Conn)
}

func write(t *testing.T, conn net.Conn, text string) (sentAt time.Time) {
	t.Helper()
	sentAt = time.Now()
	if _, err := io.WriteString(conn, text); err != nil {
		t.Fatal(err)
	}
	return sentAt
}

func read(t *testing.T, conn *Conn, want string) {
	t.Helper()
	buffer := make([]byte, 64)
	count, err := conn.Read(buffer)
	if err != nil || string(buffer[:count]) != want {
		t.Fatalf("got %q, error %v; want %q", buffer[:count], err, want)
	}
}

// expectArrival checks that the data read last arrived within a few milliseconds after it was sent.
func expectArrival(t *testing.T, conn *Conn, sentAt time.Time) {
	t.Helper()
	if delay := conn.LastArrival().Sub(sentAt); delay < -time.Millisecond || delay > unreadFor/2 {
		t.Errorf("got arrival %v after the send, want the time of the send", delay)
	}
}

func TestConn_TellsWhenUnreadDataArrived(t *testing.T) {
	client, conn := connectedPair(t, nil)
	for range 3 {
		sentAt := write(t, client, "data")
		time.Sleep(unreadFor)
		read(t, conn, "data")
		expectArrival(t, conn, sentAt)
	}
}

func TestConn_TellsWhenDataArrivedBeforeAccept(t *testing.T) {
	var sentAt time.Time
	_, conn := connectedPair(t, func(client net.Conn) {
		sentAt = write(t, client, "data")
		time.Sleep(unreadFor)
	})
	read(t, conn, "data")
	expectArrival(t, conn, sentAt)
}

// Of data that is read at once, the last byte counts.
func TestConn_TellsArrivalOfLastByte(t *testing.T) {
	client, conn := connectedPair(t, nil)
	write(t, client, "first ")
	time.Sleep(unreadFor)
	sentAt := write(t, client, "last")
	time.Sleep(unreadFor)
	read(t, conn, "first last")
	expectArrival(t, conn, sentAt)
}

func TestConn_ReadWaitsForData(t *testing.T) {
	client, conn := connectedPair(t, nil)
	sent := make(chan time.Time, 1)
	go func() {
		time.Sleep(unreadFor)
		sent <- write(t, client, "data")
	}()
	read(t, conn, "data")
	expectArrival(t, conn, <-sent)
}

func TestConn_ReadReportsEndAndErrors(t *testing.T) {
	client, conn := connectedPair(t, nil)
	conn.SetReadDeadline(time.Now().Add(-time.Second))
	if _, err := conn.Read(make([]byte, 1)); !errors.Is(err, os.ErrDeadlineExceeded) {
		t.Errorf("after the deadline: got %v, want os.ErrDeadlineExceeded", err)
	}
	conn.SetReadDeadline(time.Now().Add(5 * time.Second))
	client.(*net.TCPConn).CloseWrite()
	if _, err := conn.Read(make([]byte, 1)); err != io.EOF {
		t.Errorf("at the end: got %v, want io.EOF itself", err)
	}
	if count, err := conn.Read(nil); count != 0 || err != nil {
		t.Errorf("without a buffer: got %d, %v; want 0 and no error", count, err)
	}
	conn.Close()
	if _, err := conn.Read(make([]byte, 1)); !errors.Is(err, net.ErrClosed) {
		t.Errorf("after Close: got %v, want net.ErrClosed", err)
	}
}

func TestConn_ReadReportsReset(t *testing.T) {
	client, conn := connectedPair(t, nil)
	client.(*net.TCPConn).SetLinger(0)
	client.Close()
	if _, err := conn.Read(make([]byte, 1)); !errors.Is(err, syscall.ECONNRESET) {
		t.Errorf("got %v, want ECONNRESET", err)
	}
}

// A system that does not provide times of arrival is still read from; data counts as having arrived then.
func TestConn_ReadsWhereTimesAreNotRecorded(t *testing.T) {
	client, conn := connectedPair(t, nil)
	conn.isUnrecorded = true
	write(t, client, "data")
	time.Sleep(unreadFor)
	readAt := time.Now()
	read(t, conn, "data")
	expectArrival(t, conn, readAt)
	for _, err := range []error{syscall.ENOSYS, syscall.EOPNOTSUPP} {
		if !isUnsupported(err) {
			t.Errorf("%v: got supported, want unsupported", err)
		}
	}
	if isUnsupported(syscall.ECONNRESET) || isUnsupported(nil) {
		t.Error("got a reset or success taken for an unsupported call")
	}
}

func TestClampArrival(t *testing.T) {
	now := time.Now()
	never := time.Time{}
	ago := func(millis int) time.Time { return now.Add(-time.Duration(millis) * time.Millisecond) }
	for name, test := range map[string]struct {
		recordedAt, emptyAt, want time.Time
	}{
		"in the past":                {ago(30), never, ago(30)},
		"clock was set back":         {ago(-3_600_000), never, now},
		"clock was set forward":      {ago(3_600_000), ago(40), ago(40)},
		"after the socket was empty": {ago(10), ago(60_000), ago(10)},
	} {
		// The kernel's times have no monotonic reading.
		if got := clampArrival(test.recordedAt.Round(0), test.emptyAt, now); !got.Equal(test.want) {
			t.Errorf("%s: got %v before now, want %v", name, now.Sub(got), now.Sub(test.want))
		}
	}
}

// Guards against messages of one connection that change places: the time of data read later must not be
// before that of data read earlier, however the kernel's time is converted.
func TestConn_ArrivalsNeverDecrease(t *testing.T) {
	_, conn := connectedPair(t, nil)
	now := time.Now()
	conn.recordArrival(now)
	first := conn.LastArrival()
	conn.recordArrival(now.Add(-time.Nanosecond))
	if second := conn.LastArrival(); second.Before(first) {
		t.Errorf("got an arrival %v before the one recorded earlier, want none", first.Sub(second))
	}
}

func TestParseTimestamp_RejectsOtherMessages(t *testing.T) {
	for name, control := range map[string][]byte{
		"none":         nil,
		"truncated":    make([]byte, controlSize-1),
		"another type": make([]byte, controlSize),
	} {
		if at, ok := parseTimestamp(control); ok {
			t.Errorf("%s: got %v, want no time", name, at)
		}
	}
}

// Data counts as unhandled while it is in the socket, and until the reader comes back for more or states that
// its work is finished; but only if it arrived before the given time.
func TestConn_TellsUnhandledData(t *testing.T) {
	client, conn := connectedPair(t, nil)
	now := func() time.Time { return time.Now().Add(tick) }
	expect := func(state string, before time.Time, want bool) {
		t.Helper()
		if got := conn.HasUnhandled(before); got != want {
			t.Errorf("%s: got unhandled %v, want %v", state, got, want)
		}
	}
	expect("nothing sent", now(), false)
	conn.BeginHandling() // as at the beginning of a read, which may have taken the data already
	expect("being read for the first time", time.Now().Add(-time.Hour), true)
	conn.FinishHandling()
	sentAt := write(t, client, "data")
	time.Sleep(unreadFor)
	expect("unread", now(), true)
	expect("unread, arrived later", sentAt.Add(-tick), false)
	expect("unread, at any time", time.Time{}, true)
	read(t, conn, "data")
	expect("read", now(), true)
	expect("read, arrived later", sentAt.Add(-tick), false)
	expect("read, at any time", time.Time{}, true)
	conn.FinishHandling()
	expect("handled", now(), false)
	conn.BeginHandling()
	expect("worked on again", now(), true)
	conn.FinishHandling()

	write(t, client, "part")
	read(t, conn, "part")
	expect("read a part", now(), true)
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		conn.Read(make([]byte, 1)) // waits for more
	}()
	for deadline := time.Now().Add(5 * time.Second); conn.IsUnhandled(now()); {
		if time.Now().After(deadline) {
			t.Fatal("waiting for the rest: got unhandled, want not")
		}
	}
	client.Close()
	<-ended
	expect("ended", now(), false)
}

// A disconnect of the peer shows, and is awaited, whatever data before it is unread; until then a deadline
// ends the wait.
func TestConn_TellsHangupBehindUnreadData(t *testing.T) {
	client, conn := connectedPair(t, nil)
	write(t, client, "unread")
	conn.SetReadDeadline(time.Now().Add(unreadFor))
	if err := conn.AwaitHangup(); !errors.Is(err, os.ErrDeadlineExceeded) || conn.HasHungUp() {
		t.Errorf("connected: got error %v, hung up %v; want the deadline to end the wait", err,
			conn.HasHungUp())
	}
	conn.SetReadDeadline(time.Now().Add(5 * time.Second))
	time.AfterFunc(unreadFor, func() { client.Close() })
	if err := conn.AwaitHangup(); err != nil || !conn.HasHungUp() {
		t.Errorf("closed: got error %v, hung up %v; want the wait to end with the close", err,
			conn.HasHungUp())
	}
	read(t, conn, "unread")
}

// The peer was last seen when the socket was found empty, or when data arrived that was awaited; data that
// was unread before tells nothing.
func TestConn_TellsWhenPeerWasSeen(t *testing.T) {
	client, conn := connectedPair(t, nil)
	time.Sleep(unreadFor)
	write(t, client, "unread")
	if age := time.Since(conn.LastSeen()); age < unreadFor {
		t.Errorf("before a read: got the peer seen %v ago, want %v at least", age, unreadFor)
	}
	time.Sleep(tick)
	read(t, conn, "unread")
	if age := time.Since(conn.LastSeen()); age < unreadFor+tick {
		t.Errorf("after a read: got the peer seen %v ago, want %v at least", age, unreadFor+tick)
	}
	time.AfterFunc(unreadFor, func() { write(t, client, "awaited") })
	read(t, conn, "awaited")
	if age := time.Since(conn.LastSeen()); age > unreadFor/2 {
		t.Errorf("after a read that waited: got the peer seen %v ago, want just now", age)
	}
}

func TestListener_HasPending(t *testing.T) {
	listener, err := Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	if listener.HasPending() {
		t.Error("without a client: got pending, want none")
	}
	expectBacklog(t, listener, 0)
	client, err := net.Dial("tcp4", listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer client.Close()
	if !listener.HasPending() {
		t.Error("with a client: got none, want pending")
	}
	second, err := net.Dial("tcp4", listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer second.Close()
	expectBacklog(t, listener, 2)
	if conn, err := listener.Accept(); err != nil {
		t.Fatal(err)
	} else {
		conn.Close()
	}
	expectBacklog(t, listener, 1)
	conn, err := listener.Accept()
	if err != nil {
		t.Fatal(err)
	}
	conn.Close()
	if listener.HasPending() {
		t.Error("after accept: got pending, want none")
	}
	listener.Close()
	if listener.HasPending() {
		t.Error("after close: got pending, want none")
	}
	if _, err := Listen("tcp4", "127.0.0.1:99999"); err == nil {
		t.Error("got no error for an invalid port")
	}
}

func expectBacklog(t *testing.T, listener *Listener, want int) {
	t.Helper()
	if got, isKnown := listener.Backlog(); got != want || !isKnown {
		t.Errorf("got a backlog of %d connections, known: %v; want %d, known", got, isKnown, want)
	}
}

// What times of arrival cost a read: compare BenchmarkConn_Read with BenchmarkTCPConn_Read.
func BenchmarkConn_Read(b *testing.B) {
	listener, err := Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	benchmarkRead(b, listener)
}

func BenchmarkTCPConn_Read(b *testing.B) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	benchmarkRead(b, listener)
}

// benchmarkRead measures one write and one read of a short request.
func benchmarkRead(b *testing.B, listener net.Listener) {
	client, conn := benchmarkPair(b, listener)
	request, buffer := make([]byte, 300), make([]byte, 4096)
	b.ReportAllocs()
	for b.Loop() {
		if _, err := client.Write(request); err != nil {
			b.Fatal(err)
		}
		if _, err := conn.Read(buffer); err != nil {
			b.Fatal(err)
		}
	}
}

// What checking one idle connection for unread data costs.
func BenchmarkConn_HasUnhandled(b *testing.B) {
	listener, err := Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	_, conn := benchmarkPair(b, listener)
	before := time.Now()
	b.ReportAllocs()
	for b.Loop() {
		if conn.(*Conn).HasUnhandled(before) {
			b.Fatal("got unread data, want none")
		}
	}
}

// benchmarkPair returns a client's connection and the accepted end of it, and closes the listener.
func benchmarkPair(b *testing.B, listener net.Listener) (client, accepted net.Conn) {
	b.Helper()
	defer listener.Close()
	client, err := net.Dial("tcp4", listener.Addr().String())
	if err != nil {
		b.Fatal(err)
	}
	if accepted, err = listener.Accept(); err != nil {
		b.Fatal(err)
	}
	b.Cleanup(func() { client.Close(); accepted.Close() })
	return client, accepted
}
