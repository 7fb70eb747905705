package platform

import (
	"net"
	"time"
)

const (
	// What still comes after the last answer is read off, so that the answer arrives: so many bytes and so
	// long at most, or what is there already if too many connections linger.
	maxLingerBytes       = 1 << 20
	lingerTimeout        = 300 * time.Millisecond
	crowdedLingerTimeout = time.Millisecond
)

// linger ends a client's connection. It is the one way to do so while the client may still be there: a
// close over bytes that were not read resets the connection, and the answer written last goes with it. So
// the sending side is shut down first, and what still comes is read off, within bounds, and never taken for
// a request.
func (f *frontend) linger(client *clientConn) {
	f.mu.Lock()
	f.moveToLingering(client)
	f.mu.Unlock()
	isCrowded := f.isLingeringFull()
	tcp, ok := client.conn.(*net.TCPConn)
	if !ok || tcp.CloseWrite() != nil {
		return
	}
	timeout := lingerTimeout
	if isCrowded {
		timeout = crowdedLingerTimeout
	}
	client.conn.SetReadDeadline(time.Now().Add(timeout))
	client.reader.Discard(maxLingerBytes)
}

// moveToLingering moves a connection from the open to the lingering ones. The caller holds f.mu.
func (f *frontend) moveToLingering(client *clientConn) {
	if _, open := f.connections[client]; open {
		delete(f.connections, client)
		client.isLingering = true
		f.lingering++
	}
}

func (f *frontend) lingeringCount() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.lingering
}

// isLingeringFull reports whether as many connections linger as may.
func (f *frontend) isLingeringFull() bool { return f.lingeringCount() >= f.limits.lingering }
