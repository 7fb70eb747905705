package proto

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"net"
	"time"

	"landingpaddle/internal/arrival"
)

// Dial connects to a TCP address and performs the handshake.
func Dial(ctx context.Context, addr string, cfg Config) (*Conn, error) {
	netConn, err := (&net.Dialer{}).DialContext(ctx, "tcp", addr)
	if err != nil {
		return nil, err
	}
	conn, err := arrival.NewConn(netConn.(*net.TCPConn))
	if err != nil {
		return nil, err
	}
	return Handshake(ctx, conn, cfg)
}

// Handshake performs the handshake on a new connection, which either side may have opened. It takes ownership
// of netConn, and closes it if the handshake fails or ctx ends during it.
func Handshake(ctx context.Context, netConn net.Conn, cfg Config) (*Conn, error) {
	conn := newConn(netConn, cfg.Defaults())
	stop := context.AfterFunc(ctx, func() { netConn.Close() })
	err := conn.handshake()
	if !stop() || err != nil {
		netConn.Close()
		return nil, errors.Join(err, context.Cause(ctx))
	}
	return conn, nil
}

func (c *Conn) handshake() error {
	if err := c.netConn.SetDeadline(time.Now().Add(c.cfg.HandshakeTimeout)); err != nil {
		return err
	}
	if err := c.sendHello(); err != nil {
		return err
	}
	if err := c.receiveHello(); err != nil {
		return err
	}
	c.peerLimits = Limits{
		MaxHeader:  min(int(c.peerHello.Header), c.cfg.Limits.MaxHeader),
		MaxPayload: min(int(c.peerHello.Payload), c.cfg.Limits.MaxPayload),
		MaxStreams: min(int(c.peerHello.Streams), c.cfg.Limits.MaxStreams),
		MaxBacklog: c.cfg.Limits.MaxBacklog,
	}
	return c.netConn.SetDeadline(time.Time{})
}

func (c *Conn) sendHello() error {
	var buffer bytes.Buffer
	if err := appendFrame(&buffer, TypeHello, 0, c.cfg.Hello, nil, DefaultLimits); err != nil {
		return err
	}
	if _, err := c.netConn.Write(buffer.Bytes()); err != nil {
		return fmt.Errorf("handshake: %w", err)
	}
	return nil
}

func (c *Conn) receiveHello() error {
	frame, err := NewReader(c.reader, Limits{MaxHeader: DefaultLimits.MaxHeader}).Next()
	if err != nil {
		return fmt.Errorf("handshake: %w", err)
	}
	if frame.Type != TypeHello {
		return fmt.Errorf("handshake: found a frame of type %v; want %v", frame.Type, TypeHello)
	}
	if err := frame.Decode(&c.peerHello); err != nil {
		return err
	}
	if c.peerHello.Version != Version {
		return fmt.Errorf("%w: found %d; want %d", ErrVersionMismatch, c.peerHello.Version, Version)
	}
	return nil
}
