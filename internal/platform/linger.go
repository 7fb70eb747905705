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
// arrives is drained and discarded, within bounds, and never read as a request. A connection that was evicted
// before anything was written to it has no answer that could be lost, and is closed at once.
func (f *frontend) linger(client *clientConn) {
	f.mu.Lock()
	isEvicted := client.isLingering
	f.moveToLingering(client)
	f.mu.Unlock()
	if isEvicted && !client.hasWritten {
		return
	}
	conn, ok := client.conn.(interface{ CloseWrite() error })
	if !ok || conn.CloseWrite() != nil {
		return
	}
	f.beginDraining(client)
	client.reader.Discard(maxLingerBytes)
}

// beginDraining sets until when a lingering connection is drained.
func (f *frontend) beginDraining(client *clientConn) {
	f.mu.Lock()
	defer f.mu.Unlock()
	client.drainingSince = time.Now()
	timeout := lingerTimeout
	if len(f.lingering) >= f.limits.lingering {
		timeout = shortLingerTimeout
	}
	client.conn.SetReadDeadline(client.drainingSince.Add(timeout))
}

// endOldestLinger ends the lingering connection that has been drained for the longest, if that is
// shortLingerTimeout at least.
func (f *frontend) endOldestLinger() {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, client := range f.lingering {
		if !client.drainingSince.IsZero() && time.Since(client.drainingSince) >= shortLingerTimeout {
			client.conn.SetReadDeadline(wakeDeadline)
			return
		}
	}
}

// moveToLingering moves a connection from the open to the lingering ones. The caller holds f.mu.
func (f *frontend) moveToLingering(client *clientConn) {
	if _, open := f.connections[client]; open {
		delete(f.connections, client)
		client.isLingering = true
		f.lingering = append(f.lingering, client)
	}
}

func (f *frontend) lingeringCount() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.lingering)
}

// isLingerLimitReached reports whether the limit of lingering connections is reached.
func (f *frontend) isLingerLimitReached() bool { return f.lingeringCount() >= f.limits.lingering }
