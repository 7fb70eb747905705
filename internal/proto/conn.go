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

	"landingpaddle/internal/arrival"
)

// Errors of connections.
var (
	ErrClosed          = errors.New("connection is closed")
	ErrBacklogFull     = errors.New("peer does not read: write queue is over the limit")
	ErrTooManyStreams  = errors.New("more requests in flight than agreed")
	ErrStreamInUse     = errors.New("stream is in use")
	ErrVersionMismatch = errors.New("peer uses another protocol version")
	ErrSilent          = errors.New("nothing received within the time limit")
)

// errGoodbye ends reading after an orderly close by the peer.
var errGoodbye = errors.New("peer closed the connection")

const readBufferSize = 64 << 10 // bytes

// Conn is a connection after its handshake. Run is called by one goroutine, once; all other methods may be
// called by any goroutine.
type Conn struct {
	netConn    net.Conn
	cfg        Config
	reader     *bufio.Reader // owned by the handshake, then by Run
	arrivals   arrival.Log   // of the bytes read from netConn; used with reader
	peerHello  Hello
	peerLimits Limits // of frames sent to the peer

	mu          sync.Mutex
	pending     *bytes.Buffer       // frames that are queued for writing
	err         error               // why the connection ended; nil: it is open
	openStreams map[uint64]struct{} // requests in flight
	busySince   time.Time           // when openStreams last became non-empty

	wakeWriter chan struct{} // contains an item if pending may be non-empty
	closing    chan struct{} // closed when no more frames are to be queued
	closeOnce  sync.Once     // guards the closing of closing
}

func newConn(netConn net.Conn, cfg Config) *Conn {
	c := &Conn{
		netConn:     netConn,
		cfg:         cfg,
		arrivals:    arrival.NewLog(netConn),
		pending:     &bytes.Buffer{},
		openStreams: map[uint64]struct{}{},
		wakeWriter:  make(chan struct{}, 1),
		closing:     make(chan struct{}),
	}
	c.reader = bufio.NewReaderSize(arrivalRecorder{c}, readBufferSize)
	return c
}

// PeerHello returns the Hello of the peer.
func (c *Conn) PeerHello() Hello { return c.peerHello }

// Run reads frames, passes each to handle and writes queued frames until the connection ends. It returns the
// cause of the end: nil after an orderly close, that is a goodbye of either side or a close by the peer
// between two frames. An error of handle ends the connection, and so does the end of ctx.
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
		return nil // this side closed it without a fault
	case cause != nil && errors.Is(readErr, net.ErrClosed):
		return cause
	case writeErr != nil && errors.Is(readErr, net.ErrClosed):
		return writeErr
	}
	return readErr
}

// Close ends the connection at once, without writing the queued frames. Run returns soon after. Of several
// causes, the first is kept.
func (c *Conn) Close(cause error) {
	c.setCause(cause)
	c.finishWriting()
	c.netConn.Close()
}

// CloseGracefully ends the connection after the queued frames and a goodbye have been written. It does not
// block.
func (c *Conn) CloseGracefully(reason string) {
	_ = c.Send(TypeGoodbye, 0, Goodbye{Reason: reason}, nil) // a closed connection needs no goodbye
	c.setCause(ErrClosed)
	c.finishWriting()
}

// setCause records why the connection ended, unless a cause is recorded already.
func (c *Conn) setCause(cause error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.err == nil {
		c.err = cause
	}
}

// finishWriting makes the writer write the queued frames, close the socket and return.
func (c *Conn) finishWriting() { c.closeOnce.Do(func() { close(c.closing) }) }
