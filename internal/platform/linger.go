package platform

import "time"

const (
	// Data that arrives after the last answer is drained and discarded, so that the answer is delivered: at
	// most maxLingerBytes, for at most lingerTimeout. If the limit of lingering connections is reached, the
	// timeout is shortLingerTimeout, which is enough only for data that has already arrived.
	maxLingerBytes     = 1 << 20
	lingerTimeout      = 300 * time.Millisecond
	shortLingerTimeout = time.Millisecond
)

// linger ends a client's connection gracefully; its session closes it afterwards. A connection whose client
// may still be connected must end this way: closing a socket with unread bytes resets the connection, and
// the answer written last is lost with it. So the sending side is shut down first, and data that still
// arrives is drained and discarded, within bounds, and never read as a request.
func (f *frontend) linger(client *clientConn) {
	f.mu.Lock()
	f.moveToLingering(client)
	f.mu.Unlock()
	isLimitReached := f.isLingerLimitReached()
	conn, ok := client.conn.(interface{ CloseWrite() error })
	if !ok || conn.CloseWrite() != nil {
		return
	}
	timeout := lingerTimeout
	if isLimitReached {
		timeout = shortLingerTimeout
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

// isLingerLimitReached reports whether the limit of lingering connections is reached.
func (f *frontend) isLingerLimitReached() bool { return f.lingeringCount() >= f.limits.lingering }
