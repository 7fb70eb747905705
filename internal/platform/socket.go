package platform

import (
	"cmp"
	"errors"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"landingpaddle/internal/http1"
)

// wakeDeadline is a deadline in the past; setting it wakes a goroutine that reads from a connection.
var wakeDeadline = time.Unix(1, 0)

// isOpenAndEmpty reports whether a connection is open and has no data to read. It consumes no data. A
// connection that is not a socket counts as open and empty.
func isOpenAndEmpty(conn net.Conn) bool {
	var buffer [1]byte
	_, err := peek(conn, buffer[:])
	return errors.Is(err, syscall.EAGAIN)
}

// peek copies data that has arrived on a connection into buffer without consuming it, and returns the number
// of bytes; 0 if the connection has ended. It does not wait: if nothing has arrived, or the connection is not
// a socket, the error is syscall.EAGAIN.
func peek(conn net.Conn, buffer []byte) (count int, err error) {
	socket, ok := conn.(syscall.Conn)
	if !ok {
		return 0, syscall.EAGAIN
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return 0, err
	}
	controlErr := raw.Control(func(descriptor uintptr) {
		count, _, err = syscall.Recvfrom(int(descriptor), buffer, syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	})
	if err := cmp.Or(controlErr, err); err != nil {
		return 0, err
	}
	return count, nil
}

// unsentBytes returns the number of bytes written to a connection that its peer has not acknowledged; 0 if
// the system does not tell.
func unsentBytes(conn net.Conn) (count int) {
	socket, ok := conn.(syscall.Conn)
	if !ok {
		return 0
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return 0
	}
	_ = raw.Control(func(descriptor uintptr) { // if it fails, count stays 0
		if queued, err := unix.IoctlGetInt(int(descriptor), unix.SIOCOUTQ); err == nil {
			count = queued
		}
	})
	return count
}

// trailingBytes returns the first bytes, at most limit, that have arrived behind the messages that a reader
// has read from a connection. It consumes none of them and does not wait for more.
func trailingBytes(conn net.Conn, reader *http1.Reader, limit int) []byte {
	trailing := reader.Unread(limit)
	if len(trailing) == limit || isOpenAndEmpty(conn) {
		return trailing
	}
	arrived := make([]byte, limit-len(trailing))
	count, _ := peek(conn, arrived) // an error means that the connection broke: nothing more arrives
	return append(trailing, arrived[:count]...)
}

// isTimeout reports whether an error is an exceeded deadline.
func isTimeout(err error) bool {
	var netError net.Error
	return errors.As(err, &netError) && netError.Timeout()
}
