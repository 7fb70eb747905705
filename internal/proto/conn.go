package proto

import (
	"bufio"
	"bytes"
	"cmp"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"
)

// Errors of connections.
var (
	ErrClosed  = errors.New("connection is closed")
	ErrBacklog = errors.New("the other side does not read: too much waits to be written")
	ErrStreams = errors.New("more requests in flight than agreed")
	ErrStream  = errors.New("stream is in use")
	ErrVersion = errors.New("the other side speaks another version")
	ErrIdle    = errors.New("idle")
	ErrSilent  = errors.New("nothing was heard for too long")
)

// Config is how a connection is run.
type Config struct {
	Hello  Hello
	Limits Limits
	// Handshake bounds the greeting, Idle how long a connection without requests in flight stays open,
	// Silence how long one with requests in flight may say nothing, Write how long a write may make no
	// progress.
	Handshake, Idle, Silence, Write time.Duration
	// Gate, where set, is passed before each read and write: a laboratory stops a process by it.
	Gate func()
}

// Defaults fills what is not set.
func (c Config) Defaults() Config {
	set := func(d *time.Duration, to time.Duration) {
		if *d == 0 {
			*d = to
		}
	}
	set(&c.Handshake, time.Second)
	set(&c.Idle, time.Minute)
	set(&c.Silence, 30*time.Second)
	set(&c.Write, 10*time.Second)
	if c.Limits == (Limits{}) {
		c.Limits = DefaultLimits
	}
	c.Hello.Version = Version
	c.Hello.Header, c.Hello.Payload = uint32(c.Limits.Header), uint32(c.Limits.Payload)
	c.Hello.Streams = uint32(c.Limits.Streams)
	return c
}

// Conn is one connection after its greeting. Post may be called by many goroutines, Run by one.
type Conn struct {
	nc         net.Conn
	cfg        Config
	r          *bufio.Reader
	peerLimits Limits // what the other side takes
	peerHello  Hello

	mu      sync.Mutex
	pending *bytes.Buffer
	err     error
	open    map[uint64]struct{} // streams in flight
	busyAt  time.Time           // when the first of them came to be
	wake    chan struct{}
	done    chan struct{}
	once    sync.Once
}

// Dial connects and greets.
func Dial(ctx context.Context, addr string, cfg Config) (*Conn, error) {
	nc, err := (&net.Dialer{}).DialContext(ctx, "tcp", addr)
	if err != nil {
		return nil, err
	}
	return Greet(ctx, nc, cfg)
}

// Greet exchanges greetings on a connection just made by either side. It closes nc where that fails.
func Greet(ctx context.Context, nc net.Conn, cfg Config) (*Conn, error) {
	cfg = cfg.Defaults()
	c := &Conn{nc: nc, cfg: cfg, r: bufio.NewReaderSize(nc, 64<<10), pending: &bytes.Buffer{},
		open: map[uint64]struct{}{}, wake: make(chan struct{}, 1), done: make(chan struct{})}
	stop := context.AfterFunc(ctx, func() { nc.Close() })
	err := c.greet()
	if !stop() || err != nil {
		nc.Close()
		return nil, errors.Join(err, context.Cause(ctx))
	}
	return c, nil
}

func (c *Conn) greet() error {
	if err := c.nc.SetDeadline(time.Now().Add(c.cfg.Handshake)); err != nil {
		return err
	}
	var b bytes.Buffer
	if err := appendFrame(&b, TypeHello, 0, c.cfg.Hello, nil, DefaultLimits); err != nil {
		return err
	}
	if _, err := c.nc.Write(b.Bytes()); err != nil {
		return fmt.Errorf("greeting: %w", err)
	}
	f, err := NewReader(c.r, Limits{Header: DefaultLimits.Header}).Next()
	if err != nil {
		return fmt.Errorf("greeting: %w", err)
	}
	if f.Type != TypeHello {
		return fmt.Errorf("greeting: found a frame of type %v; want %v", f.Type, TypeHello)
	}
	if err := f.Decode(&c.peerHello); err != nil {
		return err
	}
	if c.peerHello.Version != Version {
		return fmt.Errorf("%w: %d, not %d", ErrVersion, c.peerHello.Version, Version)
	}
	c.peerLimits = Limits{Header: min(int(c.peerHello.Header), c.cfg.Limits.Header),
		Payload: min(int(c.peerHello.Payload), c.cfg.Limits.Payload),
		Streams: min(int(c.peerHello.Streams), c.cfg.Limits.Streams), Backlog: c.cfg.Limits.Backlog}
	return c.nc.SetDeadline(time.Time{})
}

// Their is the other side's greeting.
func (c *Conn) PeerHello() Hello { return c.peerHello }

// Streams is how many requests may be in flight.
func (c *Conn) Streams() int { return c.peerLimits.Streams }

// Open notes that a stream is in flight, Done that it is not any more; both sides count, and the one that
// asks never goes over what was agreed.
func (c *Conn) OpenStream(stream uint64) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if _, ok := c.open[stream]; ok {
		return fmt.Errorf("%w: %d", ErrStream, stream)
	}
	if len(c.open) >= c.peerLimits.Streams {
		return fmt.Errorf("%w: %d", ErrStreams, c.peerLimits.Streams)
	}
	if len(c.open) == 0 {
		c.busyAt = time.Now()
	}
	c.open[stream] = struct{}{}
	return nil
}

// Done ends a stream; it tells whether the stream was in flight.
func (c *Conn) CloseStream(stream uint64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	_, ok := c.open[stream]
	delete(c.open, stream)
	return ok
}

// InFlight is how many streams are open.
func (c *Conn) InFlight() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.open)
}

// Post queues a frame; it never blocks on the socket. What cannot be queued for its size is an error of that
// frame alone. A queue that is full ends the connection: the other side does not read.
func (c *Conn) Send(t Type, stream uint64, header any, payload []byte) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.err != nil {
		return c.err
	}
	if err := appendFrame(c.pending, t, stream, header, payload, c.peerLimits); err != nil {
		return err
	}
	if c.pending.Len() > c.peerLimits.Backlog {
		c.err = ErrBacklog
		c.end()
		return ErrBacklog
	}
	select {
	case c.wake <- struct{}{}:
	default:
	}
	return nil
}

// Raw queues bytes as they are: only laboratories send what is no frame.
func (c *Conn) Raw(b []byte) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.pending.Write(b)
	select {
	case c.wake <- struct{}{}:
	default:
	}
}

func (c *Conn) end() { c.once.Do(func() { close(c.done) }) }

// Close ends the connection at once. Run returns soon after.
func (c *Conn) Close(cause error) {
	c.mu.Lock()
	if c.err == nil {
		c.err = cause
	}
	c.mu.Unlock()
	c.end()
	c.nc.Close()
}

// Bye ends the connection in order: what is queued is written first.
func (c *Conn) CloseGracefully(reason string) {
	_ = c.Send(TypeGoodbye, 0, Goodbye{Reason: reason}, nil) // a closed connection needs no farewell
	c.mu.Lock()
	if c.err == nil {
		c.err = ErrClosed
	}
	c.mu.Unlock()
	c.end()
}

// Run reads frames into handle and writes what is posted until the connection ends, and returns why. An
// orderly end (the other side said goodbye, or closed between two frames) is nil. An error of handle ends
// the connection.
func (c *Conn) Run(ctx context.Context, handle func(Frame) error) error {
	stop := context.AfterFunc(ctx, func() { c.Close(context.Cause(ctx)) })
	defer stop()
	var g errgroup.Group
	g.Go(c.write)
	err := c.read(handle)
	c.Close(cmp.Or(err, ErrClosed))
	werr := g.Wait()
	c.mu.Lock()
	cause := c.err
	c.mu.Unlock()
	switch {
	case err == nil || errors.Is(err, errGoodbye):
		return nil
	case errors.Is(cause, ErrClosed):
		return nil // this side said goodbye
	case cause != nil && errors.Is(err, net.ErrClosed):
		return cause
	case werr != nil && errors.Is(err, net.ErrClosed):
		return werr
	}
	return err
}

var errGoodbye = errors.New("the other side said goodbye")

func (c *Conn) read(handle func(Frame) error) error {
	fr := NewReader(c.r, c.cfg.Limits)
	for {
		if err := c.await(); err != nil {
			return err
		}
		if c.cfg.Gate != nil {
			c.cfg.Gate()
		}
		f, err := fr.Next()
		if err != nil {
			return err
		}
		if f.Type == TypeGoodbye {
			return errGoodbye
		}
		if err := handle(f); err != nil {
			return err
		}
	}
}

// await waits for the first byte of a frame. A connection with nothing in flight may be silent for Idle, one
// with requests in flight for Silence; the rest of a frame must come within Silence too.
func (c *Conn) await() error {
	if c.r.Buffered() >= headerSize {
		return nil // deadlines are set once a burst of frames, not for each
	}
	start := time.Now()
	for {
		limit, cause, since := c.cfg.Idle, ErrIdle, start
		c.mu.Lock()
		if len(c.open) > 0 {
			limit, cause = c.cfg.Silence, ErrSilent
			if c.busyAt.After(since) {
				since = c.busyAt // the silence before that was idleness
			}
		}
		c.mu.Unlock()
		if time.Since(since) >= limit {
			if cause == ErrIdle {
				c.CloseGracefully("idle")
				return io.EOF
			}
			return fmt.Errorf("%w: %v", cause, limit)
		}
		step := min(limit, time.Second)
		if err := c.nc.SetReadDeadline(time.Now().Add(step)); err != nil {
			return err
		}
		_, err := c.r.Peek(1)
		switch {
		case err == nil:
			return c.nc.SetReadDeadline(time.Now().Add(c.cfg.Silence))
		case errors.Is(err, os.ErrDeadlineExceeded):
		case errors.Is(err, io.EOF):
			return errGoodbye
		default:
			return err
		}
	}
}

// write sends what is posted, as much at once as has come together.
func (c *Conn) write() error {
	spare := &bytes.Buffer{}
	for {
		select {
		case <-c.wake:
		case <-c.done:
		}
		ended := false
		select {
		case <-c.done:
			ended = true
		default:
		}
		c.mu.Lock()
		out := c.pending
		c.pending = spare
		c.mu.Unlock()
		if out.Len() > 0 {
			if c.cfg.Gate != nil {
				c.cfg.Gate()
			}
			if err := c.nc.SetWriteDeadline(time.Now().Add(c.cfg.Write)); err != nil && !ended {
				c.Close(err)
				return err
			}
			if _, err := c.nc.Write(out.Bytes()); err != nil {
				c.Close(fmt.Errorf("writing: %w", err))
				return err
			}
		}
		if ended {
			c.nc.Close()
			return nil
		}
		out.Reset()
		if out.Cap() > 1<<20 {
			out = &bytes.Buffer{} // one burst must not hold its memory for good
		}
		spare = out
	}
}

// Serve accepts connections until ctx ends, greets and hands each to serve in a goroutine of its own, at
// most most of them at once. It returns when all of them are over; the listener is closed.
func Serve(ctx context.Context, ln net.Listener, cfg Config, most int,
	serve func(context.Context, *Conn)) error {
	g, ctx := errgroup.WithContext(ctx)
	stop := context.AfterFunc(ctx, func() { ln.Close() })
	defer stop()
	slots := make(chan struct{}, most)
	for {
		nc, err := ln.Accept()
		if err != nil {
			waited := g.Wait()
			if ctx.Err() != nil || errors.Is(err, net.ErrClosed) {
				return waited
			}
			return fmt.Errorf("accepting: %w", err)
		}
		select {
		case slots <- struct{}{}:
		default:
			nc.Close() // every connection that this side takes is in use
			continue
		}
		g.Go(func() error {
			defer func() { <-slots }()
			if c, err := Greet(ctx, nc, cfg); err == nil {
				serve(ctx, c)
			}
			return nil
		})
	}
}
