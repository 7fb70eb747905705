package platform

import (
	"errors"
	"net"
	"syscall"
	"time"
)

// wakeDeadline is a deadline in the past; setting it wakes a goroutine that reads from a connection.
var wakeDeadline = time.Unix(1, 0)

// isOpenAndEmpty reports whether a connection is open and has no data to read. It consumes no data. A
// connection that is not a socket counts as open and empty.
func isOpenAndEmpty(conn net.Conn) bool {
	socket, ok := conn.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return false
	}
	wouldBlock := false
	err = raw.Control(func(descriptor uintptr) {
		var buffer [1]byte
		_, _, err := syscall.Recvfrom(int(descriptor), buffer[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		wouldBlock = errors.Is(err, syscall.EAGAIN)
	})
	return err == nil && wouldBlock
}

// isTimeout reports whether an error is an exceeded deadline.
func isTimeout(err error) bool {
	var netError net.Error
	return errors.As(err, &netError) && netError.Timeout()
}
