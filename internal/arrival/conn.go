package arrival

import (
	"errors"
	"io"
	"net"
	"os"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// longAgo is before the arrival of any data that may still be unread.
const longAgo = -24 * time.Hour

// Conn is a TCP connection that tells when the data read from it arrived. Only one goroutine may call Read at
// a time; all other methods may be called from any goroutine.
type Conn struct {
	net.Conn
	raw     syscall.RawConn
	receive func(descriptor uintptr) (done bool) // c.receiveInto, stored to be allocated once
	base    time.Time                            // lastArrival counts from it

	// Used by Read only.
	buffer       []byte // into which Read reads
	control      [controlSize]byte
	received     received
	emptyAt      time.Time // when Read last found nothing to read; zero: never
	wasEmpty     bool      // the present call of Read has found nothing to read
	seenAt       time.Time // see LastSeen
	firstReadAt  time.Time // of the data read since BeginSpread; zero: none was read
	lastReadAt   time.Time
	isUnrecorded bool // the system does not provide times of arrival

	lastArrival atomic.Int64 // nanoseconds since base
	isUnhandled atomic.Bool  // data may have been read on which the reader has not finished its work
}

// received is the result of one system call that reads.
type received struct {
	count        int // bytes of data
	controlCount int // bytes of control messages
	err          error
}

// NewConn returns a Conn for a connection of any origin, and takes ownership of it. Unless the kernel was set
// to record times of arrival, data counts as having arrived when it is read.
func NewConn(tcp *net.TCPConn) (*Conn, error) {
	raw, err := tcp.SyscallConn()
	if err != nil {
		tcp.Close()
		return nil, err
	}
	now := time.Now()
	c := &Conn{Conn: tcp, raw: raw, base: now, seenAt: now}
	c.receive = c.receiveInto
	c.lastArrival.Store(int64(longAgo))
	return c, nil
}

// SyscallConn returns the raw connection.
func (c *Conn) SyscallConn() (syscall.RawConn, error) { return c.raw, nil }

// CloseWrite shuts down the sending side of the connection.
func (c *Conn) CloseWrite() error { return c.Conn.(*net.TCPConn).CloseWrite() }

// Read reads data as net.Conn specifies, and records when the last byte of it arrived.
func (c *Conn) Read(buffer []byte) (int, error) {
	if len(buffer) == 0 {
		return 0, nil
	}
	c.buffer, c.wasEmpty = buffer, false
	err := c.raw.Read(c.receive)
	c.buffer = nil
	if err == nil {
		err = c.received.failure(c.Conn)
	}
	if err != nil {
		c.isUnhandled.Store(false) // no message can be completed any more
		return 0, err
	}
	now := time.Now()
	c.recordArrival(now)
	c.lastReadAt = now
	if c.firstReadAt.IsZero() {
		c.firstReadAt = now
	}
	if c.wasEmpty {
		c.seenAt = c.LastArrival()
	}
	return c.received.count, nil
}

// failure returns the error of a system call that brought no data; nil if it brought some.
func (r received) failure(conn net.Conn) error {
	switch {
	case r.err != nil:
		return &net.OpError{Op: "read", Net: conn.LocalAddr().Network(), Source: conn.LocalAddr(),
			Addr: conn.RemoteAddr(), Err: os.NewSyscallError("recvmsg", r.err)}
	case r.count == 0:
		return io.EOF
	}
	return nil
}

// receiveInto reads once without waiting. It reports false if there is nothing to read.
func (c *Conn) receiveInto(descriptor uintptr) (done bool) {
	c.isUnhandled.Store(true) // before the data disappears from the socket
	for {
		began := time.Now() // data may arrive as soon as the socket was found empty
		c.received = c.receiveOnce(int(descriptor))
		switch {
		case errors.Is(c.received.err, syscall.EINTR):
		case errors.Is(c.received.err, syscall.EAGAIN):
			c.emptyAt, c.seenAt, c.wasEmpty = began, began, true
			c.isUnhandled.Store(false)
			return false
		case !c.isUnrecorded && isUnsupported(c.received.err):
			c.isUnrecorded = true
		default:
			return true
		}
	}
}

func (c *Conn) receiveOnce(descriptor int) (r received) {
	if c.isUnrecorded {
		r.count, r.err = syscall.Read(descriptor, c.buffer)
		return r
	}
	r.count, r.controlCount, _, _, r.err = syscall.Recvmsg(descriptor, c.buffer, c.control[:], 0)
	return r
}

// isUnsupported reports whether a system call failed because the system does not provide it for the socket.
func isUnsupported(err error) bool {
	return errors.Is(err, syscall.ENOSYS) || errors.Is(err, syscall.EOPNOTSUPP)
}

// recordArrival records when the last byte of the data just read arrived. That is never before the arrival of
// data read earlier: two conversions of one time of the kernel's clock differ by some nanoseconds.
func (c *Conn) recordArrival(now time.Time) {
	at := now
	if recordedAt, ok := parseTimestamp(c.control[:c.received.controlCount]); ok {
		at = clampArrival(recordedAt, c.emptyAt, now)
	}
	c.lastArrival.Store(max(c.lastArrival.Load(), int64(at.Sub(c.base))))
}

// clampArrival converts a time of the kernel's wall clock into one with a monotonic reading, which is not
// after now. It is not before emptyAt either, as the wall clock may have been set since the arrival.
func clampArrival(recordedAt, emptyAt, now time.Time) time.Time {
	age := max(0, now.Sub(recordedAt))
	if !emptyAt.IsZero() {
		age = min(age, now.Sub(emptyAt))
	}
	return now.Add(-age)
}

// LastArrival returns when the last byte of the data read last arrived, with a monotonic reading. Before the
// first read it is long ago: data that is being read counts as old until its time of arrival is recorded.
func (c *Conn) LastArrival() time.Time { return c.base.Add(time.Duration(c.lastArrival.Load())) }

// LastSeen returns when the peer was last known to be connected: nothing was left to read, or data arrived
// while nothing was. Like Read, it may be called by one goroutine only.
func (c *Conn) LastSeen() time.Time { return c.seenAt }

// BeginSpread states that the next data read begins a message. Like Read, it may be called by one goroutine
// only, and so may Spread.
func (c *Conn) BeginSpread() { c.firstReadAt, c.lastReadAt = time.Time{}, time.Time{} }

// Spread returns the time between the first and the last read since BeginSpread.
func (c *Conn) Spread() time.Duration { return c.lastReadAt.Sub(c.firstReadAt) }

// HasHungUp reports whether the peer has closed the connection or its sending side, or the connection broke,
// whatever data is unread. A close shows only once the kernel has received all data sent before it.
func (c *Conn) HasHungUp() (hasHungUp bool) {
	err := c.raw.Control(func(descriptor uintptr) { hasHungUp = pollHangup(descriptor) })
	return err == nil && hasHungUp
}

// AwaitHangup blocks until HasHungUp, or until the read deadline has passed. It must not be called together
// with Read.
func (c *Conn) AwaitHangup() error { return c.raw.Read(pollHangup) }

// hangupEvents are the events of which each states that the peer has disconnected or the connection broke.
const hangupEvents = unix.POLLRDHUP | unix.POLLHUP | unix.POLLERR

func pollHangup(descriptor uintptr) bool {
	descriptors := []unix.PollFd{{Fd: int32(descriptor), Events: unix.POLLRDHUP}}
	_, err := unix.Poll(descriptors, 0)
	return err == nil && descriptors[0].Revents&hangupEvents != 0
}

// BeginHandling states that the reader works on data that it read earlier.
func (c *Conn) BeginHandling() { c.isUnhandled.Store(true) }

// FinishHandling states that the reader's work on all data read so far is finished. Without it, the work
// counts as finished once Read finds nothing more to read.
func (c *Conn) FinishHandling() { c.isUnhandled.Store(false) }

// IsUnhandled reports whether data, the last byte of which arrived before the given time, may have been read
// by a goroutine that has not finished its work on it. The zero time stands for any time.
func (c *Conn) IsUnhandled(before time.Time) bool {
	return c.isUnhandled.Load() && (before.IsZero() || c.LastArrival().Before(before))
}

// HasUnhandled reports whether such data is unread or IsUnhandled.
func (c *Conn) HasUnhandled(before time.Time) bool {
	// The order matters: data that is read after the first check is found by the second.
	return c.hasUnread(before) || c.IsUnhandled(before)
}

// hasUnread reports whether the socket holds data, the last byte of which arrived before the given time. The
// zero time stands for any time.
func (c *Conn) hasUnread(before time.Time) (unread bool) {
	err := c.raw.Control(func(descriptor uintptr) {
		var peeked [1]byte
		count, _, err := syscall.Recvfrom(int(descriptor), peeked[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		unread = err == nil && count > 0 &&
			(before.IsZero() || lastReceived(int(descriptor)).Before(before))
	})
	return err == nil && unread
}

// lastReceived returns when a socket last received data, to the kernel's tick; the zero time if that is not
// known.
func lastReceived(descriptor int) time.Time {
	info, err := unix.GetsockoptTCPInfo(descriptor, unix.IPPROTO_TCP, unix.TCP_INFO)
	if err != nil {
		return time.Time{}
	}
	return time.Now().Add(-time.Duration(info.Last_data_recv) * time.Millisecond)
}
