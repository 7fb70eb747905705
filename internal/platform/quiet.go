package platform

import (
	"errors"
	"net"
	"syscall"
)

// quiet tells whether a connection is open and nothing has come on it that was not read. It takes nothing
// off.
func isOpenAndEmpty(conn net.Conn) bool {
	sc, ok := conn.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	still := false
	err = raw.Control(func(fd uintptr) {
		var one [1]byte
		_, _, err := syscall.Recvfrom(int(fd), one[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		still = errors.Is(err, syscall.EAGAIN)
	})
	return err == nil && still
}

// timedOut tells whether an error is that a deadline passed.
func isTimeout(err error) bool {
	var late net.Error
	return errors.As(err, &late) && late.Timeout()
}
