package proto

import (
	"bytes"
	"fmt"
	"time"
)

// maxSpareBuffer bounds the memory in bytes that the writer keeps: one burst must not hold its memory for
// good.
const maxSpareBuffer = 1 << 20

// Send queues a frame; it never blocks on the socket. A header or payload over the limits of the other side
// is an error of that frame alone (ErrHeaderTooLong, ErrPayloadTooLong). A full queue ends the connection
// with ErrBacklogFull, as the other side does not read.
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
		c.stopQueueing()
		return ErrBacklogFull
	}
	c.notifyWriter()
	return nil
}

// SendRaw queues bytes as they are. Only the testbed sends what is no frame.
func (c *Conn) SendRaw(data []byte) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.pending.Write(data)
	c.notifyWriter()
}

func (c *Conn) notifyWriter() {
	select {
	case c.wakeWriter <- struct{}{}:
	default: // it was notified already
	}
}

// writeQueued writes what is queued, all that has come together at once, until the connection ends. The
// buffers of what is being written and of what is queued meanwhile take turns.
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

// waitForQueued blocks until something is queued or nothing more will be, and reports the latter.
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

// takePending returns what is queued and makes empty the queue.
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
