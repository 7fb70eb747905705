package proto

import (
	"errors"
	"fmt"
	"io"
	"os"
	"time"
)

// silenceCheckInterval is the interval at which a silent connection is checked: requests that are opened or
// closed while it is silent change the limit.
const silenceCheckInterval = time.Second

// goodbyeIdle is the reason of a goodbye after IdleTimeout.
const goodbyeIdle = "idle"

// readFrames passes frames to handle until the connection ends or handle fails; it never returns nil.
func (c *Conn) readFrames(handle func(Frame) error) error {
	frames := NewReader(c.reader, c.cfg.Limits)
	for {
		if err := c.waitForFrame(); err != nil {
			return err
		}
		if c.cfg.Gate != nil {
			c.cfg.Gate()
		}
		frame, err := frames.Next()
		if err != nil {
			return err
		}
		if frame.Type == TypeGoodbye {
			return errGoodbye
		}
		if err := handle(frame); err != nil {
			return err
		}
	}
}

// waitForFrame waits for the first byte of a frame. A connection with nothing in flight may be silent for
// IdleTimeout, one with requests in flight for SilenceTimeout; the rest of a frame must arrive within
// SilenceTimeout too.
func (c *Conn) waitForFrame() error {
	if c.reader.Buffered() >= prefixSize {
		return nil // the deadline is set once for a burst of frames, not for each frame
	}
	started := time.Now()
	for {
		allowed := c.allowedSilence(started)
		if time.Since(allowed.since) >= allowed.limit {
			return c.endSilentConnection(allowed)
		}
		step := min(allowed.limit, silenceCheckInterval)
		if err := c.netConn.SetReadDeadline(time.Now().Add(step)); err != nil {
			return err
		}
		_, err := c.reader.Peek(1)
		switch {
		case err == nil:
			return c.netConn.SetReadDeadline(time.Now().Add(c.cfg.SilenceTimeout))
		case errors.Is(err, os.ErrDeadlineExceeded): // nothing received yet
		case errors.Is(err, io.EOF):
			return errGoodbye
		default:
			return err
		}
	}
}

// silenceLimit is the limit that applies to a connection on which nothing is received.
type silenceLimit struct {
	idle  bool // no requests are in flight
	limit time.Duration
	since time.Time // from when the limit counts
}

// allowedSilence returns the limit that applies at present to a connection on which nothing was received
// since the given time.
func (c *Conn) allowedSilence(since time.Time) silenceLimit {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.openStreams) == 0 {
		return silenceLimit{idle: true, limit: c.cfg.IdleTimeout, since: since}
	}
	if c.busySince.After(since) {
		since = c.busySince // idle time before the first request does not count
	}
	return silenceLimit{limit: c.cfg.SilenceTimeout, since: since}
}

// endSilentConnection returns the error of a connection that has reached its limit; it closes an idle one
// gracefully.
func (c *Conn) endSilentConnection(allowed silenceLimit) error {
	if allowed.idle {
		c.CloseGracefully(goodbyeIdle)
		return io.EOF // Run returns nil, as CloseGracefully recorded ErrClosed as the cause
	}
	return fmt.Errorf("%w: %v", ErrSilent, allowed.limit)
}
