package proto

import (
	"fmt"
	"time"
)

// MaxStreams returns the maximum number of requests in flight.
func (c *Conn) MaxStreams() int { return c.peerLimits.MaxStreams }

// InFlight returns the number of open streams.
func (c *Conn) InFlight() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.openStreams)
}

// OpenStream records that a stream is in flight. Both sides count: the sender of requests stays within the
// limit agreed in the handshake, and the receiver closes the connection if OpenStream fails. The error wraps
// ErrStreamInUse or ErrTooManyStreams.
func (c *Conn) OpenStream(stream uint64) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if _, inUse := c.openStreams[stream]; inUse {
		return fmt.Errorf("%w: %d", ErrStreamInUse, stream)
	}
	if len(c.openStreams) >= c.peerLimits.MaxStreams {
		return fmt.Errorf("%w: %d", ErrTooManyStreams, c.peerLimits.MaxStreams)
	}
	if len(c.openStreams) == 0 {
		c.busySince = time.Now()
	}
	c.openStreams[stream] = struct{}{}
	return nil
}

// CloseStream records that a stream is no longer in flight, and reports whether it was.
func (c *Conn) CloseStream(stream uint64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	_, inUse := c.openStreams[stream]
	delete(c.openStreams, stream)
	return inUse
}
