package arrival

import (
	"context"
	"errors"
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// maxKernelBuffer bounds the data that the kernel buffers for a connection in each direction, in bytes: the
// largest message, and what the kernel needs beside it.
const maxKernelBuffer = 128 << 10

// tcpListenState is the state of a listening socket in the system's TCP information.
const tcpListenState = 10

// Listener accepts TCP connections on which the kernel records times of arrival.
type Listener struct {
	tcp *net.TCPListener
	raw syscall.RawConn
}

var _ net.Listener = (*Listener)(nil)

// Listen listens on a TCP address. If the kernel does not record times of arrival, data counts as having
// arrived when it is read. It begins to record them some milliseconds after the first socket of the machine
// asks for them.
func Listen(network, address string) (*Listener, error) {
	config := net.ListenConfig{Control: func(_, _ string, raw syscall.RawConn) error {
		return errors.Join(recordArrivals(raw), limitBuffers(raw))
	}}
	listener, err := config.Listen(context.Background(), network, address)
	if err != nil {
		return nil, err
	}
	return newListener(listener.(*net.TCPListener))
}

// Wrap returns a Listener for one that listens already, and takes ownership of it. Of connections that were
// established before, times of arrival are not known.
func Wrap(tcp *net.TCPListener) (*Listener, error) {
	listener, err := newListener(tcp)
	if err == nil {
		err = recordArrivals(listener.raw)
	}
	return listener, err
}

func newListener(tcp *net.TCPListener) (*Listener, error) {
	raw, err := tcp.SyscallConn()
	if err != nil {
		tcp.Close()
		return nil, err
	}
	return &Listener{tcp: tcp, raw: raw}, nil
}

// recordArrivals makes the kernel record times of arrival. Accepted connections inherit the setting.
func recordArrivals(raw syscall.RawConn) error {
	return raw.Control(func(descriptor uintptr) {
		// Without the setting, Conn falls back to the time of reading.
		_ = unix.SetsockoptInt(int(descriptor), unix.SOL_SOCKET, unix.SO_TIMESTAMPNS, 1)
	})
}

// limitBuffers bounds the kernel's buffers of each connection, which it would otherwise let grow to some
// megabytes. Accepted connections inherit the setting.
func limitBuffers(raw syscall.RawConn) error {
	return raw.Control(func(descriptor uintptr) {
		// Without the setting, the kernel's own bounds hold.
		_ = unix.SetsockoptInt(int(descriptor), unix.SOL_SOCKET, unix.SO_SNDBUF, maxKernelBuffer)
		_ = unix.SetsockoptInt(int(descriptor), unix.SOL_SOCKET, unix.SO_RCVBUF, maxKernelBuffer)
	})
}

// Accept returns the next connection, which is a *Conn.
func (l *Listener) Accept() (net.Conn, error) {
	tcp, err := l.tcp.AcceptTCP()
	if err != nil {
		return nil, err
	}
	return NewConn(tcp)
}

// Close stops listening. Connections that were accepted stay open.
func (l *Listener) Close() error { return l.tcp.Close() }

// Addr returns the address on which the listener listens.
func (l *Listener) Addr() net.Addr { return l.tcp.Addr() }

// Backlog returns how many established connections wait to be accepted. If isKnown is false, the system does
// not tell their number; HasPending reports whether there are any.
func (l *Listener) Backlog() (count int, isKnown bool) {
	err := l.raw.Control(func(descriptor uintptr) {
		// Of a listening socket, this field holds the number of connections in its queue.
		info, err := unix.GetsockoptTCPInfo(int(descriptor), unix.IPPROTO_TCP, unix.TCP_INFO)
		if err == nil && info.State == tcpListenState {
			count, isKnown = int(info.Unacked), true
		}
	})
	if err != nil || count == 0 && l.HasPending() {
		return 0, false
	}
	return count, isKnown
}

// HasPending reports whether established connections wait to be accepted.
func (l *Listener) HasPending() bool {
	descriptors := []unix.PollFd{{Events: unix.POLLIN}}
	ready := 0
	err := l.raw.Control(func(descriptor uintptr) {
		descriptors[0].Fd = int32(descriptor)
		ready, _ = unix.Poll(descriptors, 0) // an error leaves ready at 0 or less
	})
	return err == nil && ready > 0
}
