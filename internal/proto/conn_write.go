package proto

import (
	"bytes"
	"fmt"
	"time"
)

// maxSpareBuffer is the largest capacity, in bytes, of a buffer that the writer keeps for reuse: the memory
// of one burst must not stay allocated for the lifetime of the connection.
const maxSpareBuffer = 1 << 20

// Send queues a frame; it never blocks on the socket. After the connection has ended, it returns the cause.
// If a header or payload is over the limits of the peer, only this frame fails, with ErrHeaderTooLong or
// ErrPayloadTooLong. A full queue ends the connection with ErrBacklogFull, as the peer does not read.
func (c *Conn) Send(frameType Type, stream uint64, header any, payload []byte) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.err != nil {
		return c.err
	}
	if err := appendFrame(c.pending, frameType, stream, header, payload, c.peerLimits); err != nil {
		return err
	}
	if c.pending.Len() > c.peerLimits.MaxBacklog {
		c.err = ErrBacklogFull
		c.finishWriting()
		return ErrBacklogFull
	}
	c.notifyWriter()
	return nil
}

// SendRaw queues bytes without framing them. Only the testbed and tests use it, to send malformed frames.
func (c *Conn) SendRaw(data []byte) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.pending.Write(data)
	c.notifyWriter()
}

func (c *Conn) notifyWriter() {
	select {
	case c.wakeWriter <- struct{}{}:
	default: // already notified
	}
}

// writeQueued writes the queued frames, all of them in one write, until the connection ends. Two buffers
// alternate: frames are queued in one during the write of the other.
func (c *Conn) writeQueued() error {
	spare := &bytes.Buffer{}
	for {
		closing := c.waitForQueued()
		queued := c.takePending(spare)
		if err := c.writeBuffer(queued, closing); err != nil {
			return err
		}
		if closing {
			c.netConn.Close()
			return nil
		}
		queued.Reset()
		if queued.Cap() > maxSpareBuffer {
			queued = &bytes.Buffer{}
		}
		spare = queued
	}
}

// waitForQueued blocks until frames are queued or the connection is closing, and reports the latter.
func (c *Conn) waitForQueued() (closing bool) {
	select {
	case <-c.wakeWriter:
	case <-c.closing:
	}
	select {
	case <-c.closing:
		return true
	default:
		return false
	}
}

// takePending returns the queued frames and replaces the queue with an empty buffer.
func (c *Conn) takePending(empty *bytes.Buffer) *bytes.Buffer {
	c.mu.Lock()
	defer c.mu.Unlock()
	queued := c.pending
	c.pending = empty
	return queued
}

// writeBuffer writes to the socket; an error closes the connection.
func (c *Conn) writeBuffer(queued *bytes.Buffer, closing bool) error {
	if queued.Len() == 0 {
		return nil
	}
	if c.cfg.Gate != nil {
		c.cfg.Gate()
	}
	if err := c.netConn.SetWriteDeadline(time.Now().Add(c.cfg.WriteTimeout)); err != nil && !closing {
		c.Close(err)
		return err
	}
	if _, err := c.netConn.Write(queued.Bytes()); err != nil {
		c.Close(fmt.Errorf("writing: %w", err))
		return err
	}
	return nil
}
