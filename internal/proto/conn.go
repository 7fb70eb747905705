package proto

import (
	"bufio"
	"bytes"
	"cmp"
	"context"
	"errors"
	"net"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"
)

// Errors of connections.
var (
	ErrClosed          = errors.New("connection is closed")
	ErrBacklogFull     = errors.New("the other side does not read: too much waits to be written")
	ErrTooManyStreams  = errors.New("more requests in flight than agreed")
	ErrStreamInUse     = errors.New("stream is in use")
	ErrVersionMismatch = errors.New("the other side speaks another version")
	ErrSilent          = errors.New("nothing was heard for too long")
)

// errGoodbye is the end of reading after an orderly end by the other side.
var errGoodbye = errors.New("the other side said goodbye")

const readBufferSize = 64 << 10 // bytes

// Conn is a connection after its greeting. Run is called by one goroutine, once; all other methods may be
// called by any goroutine.
type Conn struct {
	netConn    net.Conn
	cfg        Config
	reader     *bufio.Reader // owned by the greeting, then by Run
	peerHello  Hello
	peerLimits Limits // of what may be sent

	mu          sync.Mutex
	pending     *bytes.Buffer       // frames that are not written yet
	err         error               // why the connection ended; nil: it is open
	openStreams map[uint64]struct{} // in flight
	busySince   time.Time           // when the first of them was opened

	wakeWriter chan struct{} // holds an item if pending may have content
	closing    chan struct{} // closed when nothing more is to be queued
	closeOnce  sync.Once     // guards the closing of closing
}

func newConn(netConn net.Conn, cfg Config) *Conn {
	return &Conn{
		netConn:     netConn,
		cfg:         cfg,
		reader:      bufio.NewReaderSize(netConn, readBufferSize),
		pending:     &bytes.Buffer{},
		openStreams: map[uint64]struct{}{},
		wakeWriter:  make(chan struct{}, 1),
		closing:     make(chan struct{}),
	}
}

// PeerHello returns the greeting of the other side.
func (c *Conn) PeerHello() Hello { return c.peerHello }

// Run reads frames, passes each to handle and writes what is queued until the connection ends. It returns
// why: nil after an orderly end, that is a goodbye of either side or a close by the other side between two
// frames. An error of handle ends the connection.
func (c *Conn) Run(ctx context.Context, handle func(Frame) error) error {
	stop := context.AfterFunc(ctx, func() { c.Close(context.Cause(ctx)) })
	defer stop()
	var group errgroup.Group
	group.Go(c.writeQueued)
	readErr := c.readFrames(handle)
	c.Close(cmp.Or(readErr, ErrClosed))
	writeErr := group.Wait()
	return c.runResult(readErr, writeErr)
}

// runResult returns the cause of the connection's end. Reading from a connection that this side closed fails
// with net.ErrClosed, which hides the cause.
func (c *Conn) runResult(readErr, writeErr error) error {
	c.mu.Lock()
	cause := c.err
	c.mu.Unlock()
	switch {
	case readErr == nil || errors.Is(readErr, errGoodbye):
		return nil
	case errors.Is(cause, ErrClosed):
		return nil // this side said goodbye
	case cause != nil && errors.Is(readErr, net.ErrClosed):
		return cause
	case writeErr != nil && errors.Is(readErr, net.ErrClosed):
		return writeErr
	}
	return readErr
}

// Close ends the connection at once, without writing what is queued. Run returns soon after. Only the first
// cause counts.
func (c *Conn) Close(cause error) {
	c.setCause(cause)
	c.stopQueueing()
	c.netConn.Close()
}

// CloseGracefully ends the connection after what is queued and a goodbye have been written.
func (c *Conn) CloseGracefully(reason string) {
	_ = c.Send(TypeGoodbye, 0, Goodbye{Reason: reason}, nil) // a closed connection needs no goodbye
	c.setCause(ErrClosed)
	c.stopQueueing()
}

// setCause notes why the connection ended, unless that is known.
func (c *Conn) setCause(cause error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.err == nil {
		c.err = cause
	}
}

// stopQueueing makes the writer write what is queued and end.
func (c *Conn) stopQueueing() { c.closeOnce.Do(func() { close(c.closing) }) }
