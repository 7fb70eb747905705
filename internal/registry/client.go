package registry

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"time"

	"golang.org/x/sync/errgroup"

	"landingpaddle/endpoints"
	"landingpaddle/internal/proto"
)

const (
	defaultReconnectDelay = 500 * time.Millisecond
	// watchIdleTimeout is long as a watch is silent while nothing changes.
	watchIdleTimeout = 24 * time.Hour
	maxCommands      = 16 // that wait to be carried out
)

// Errors that a client reports to ClientConfig.OnFailure.
var (
	ErrTooManyCalls = errors.New("too many calls to the registry wait")
	ErrUnavailable  = errors.New("registry")
)

// ClientConfig configures an instance's client.
type ClientConfig struct {
	Addr string
	Conn proto.Config
	// Push means that the registry sends changes by itself: the client watches from its start and reconnects
	// by itself. Else it does only what it is asked for.
	Push bool
	// ReconnectDelay is the mean delay before a pushing registry is connected to again; 0: half a second.
	ReconnectDelay time.Duration
	// Version returns the list held, so that only changes are sent.
	Version func() (epoch, version uint64)
	// OnUpdate takes an update, OnFailure that a call failed or a watch broke. Both are called from the
	// client's goroutines and must not block.
	OnUpdate  func(endpoints.Update)
	OnFailure func(error)
}

type command uint8

const (
	watchOn command = iota
	watchOff
	fetch
	fetchFull
)

// Streams of a connection.
const (
	streamWatch = 1
	streamFetch = 2 // and up
)

// Client calls a registry. Its methods never block and may be called by any goroutine.
type Client struct {
	cfg      ClientConfig
	commands chan command
}

// NewClient prepares a client; Run makes it work.
func NewClient(cfg ClientConfig) *Client {
	if cfg.ReconnectDelay == 0 {
		cfg.ReconnectDelay = defaultReconnectDelay
	}
	cfg.Conn.Limits = Limits
	cfg.Conn.IdleTimeout = watchIdleTimeout
	return &Client{cfg: cfg, commands: make(chan command, maxCommands)}
}

// Watch opens or ends the standing watch.
func (c *Client) Watch(on bool) {
	if on {
		c.enqueue(watchOn)
	} else {
		c.enqueue(watchOff)
	}
}

// Fetch asks for the list once: changes since the one held, or the full list.
func (c *Client) Fetch() { c.enqueue(fetch) }

// FetchFull asks for the full list once, as no change can build on the one held.
func (c *Client) FetchFull() { c.enqueue(fetchFull) }

func (c *Client) enqueue(command command) {
	select {
	case c.commands <- command:
	default:
		c.cfg.OnFailure(ErrTooManyCalls)
	}
}

// Run carries calls out until ctx ends.
func (c *Client) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	caller := &clientLoop{client: c, group: group}
	group.Go(func() error { return caller.run(ctx) })
	return group.Wait()
}

// clientLoop carries a client's calls out, on one connection at a time. It is owned by the goroutine of run.
type clientLoop struct {
	client    *Client
	group     *errgroup.Group
	link      *link            // nil: not connected
	reconnect <-chan time.Time // nil: no reconnect is due
}

func (l *clientLoop) run(ctx context.Context) error {
	if l.client.cfg.Push {
		l.call(ctx, watchOn)
	}
	for {
		select {
		case <-ctx.Done():
			if l.link != nil {
				l.link.conn.CloseGracefully("stopping")
				<-l.link.ended
			}
			return nil
		case command := <-l.client.commands:
			l.call(ctx, command)
		case <-l.reconnect:
			l.reconnect = nil
			if l.link == nil || !l.link.watching {
				l.call(ctx, watchOn)
			}
		case err := <-l.linkEnded():
			l.disconnected(ctx, err)
		}
	}
}

// linkEnded receives why the connection ended; it blocks for ever without one.
func (l *clientLoop) linkEnded() <-chan error {
	if l.link == nil {
		return nil
	}
	return l.link.ended
}

// call sends a call, on a new connection if there is none.
func (l *clientLoop) call(ctx context.Context, command command) {
	if l.link == nil {
		made, err := l.client.connect(ctx, l.group)
		if err != nil {
			if ctx.Err() == nil {
				l.client.cfg.OnFailure(fmt.Errorf("%w: %w", ErrUnavailable, err))
				l.scheduleReconnect()
			}
			return
		}
		l.link = made
	}
	if err := l.link.call(command, l.client.cfg.Version); err != nil {
		l.link.conn.Close(err)
	}
}

func (l *clientLoop) disconnected(ctx context.Context, cause error) {
	called := l.link.called
	l.link = nil
	if called && ctx.Err() == nil {
		cause = cmp.Or(cause, proto.ErrClosed)
		l.client.cfg.OnFailure(fmt.Errorf("%w: connection ended: %w", ErrUnavailable, cause))
	}
	l.scheduleReconnect()
}

// scheduleReconnect connects to a pushing registry again after a random delay, so that instances do not do so
// in step.
func (l *clientLoop) scheduleReconnect() {
	if mean := l.client.cfg.ReconnectDelay; l.client.cfg.Push {
		l.reconnect = time.After(mean/2 + rand.N(mean))
	}
}

// link is one connection to the registry. It is owned by the goroutine of clientLoop.run.
type link struct {
	conn       *proto.Conn
	ended      chan error
	watching   bool
	called     bool // any call since it was made
	lastStream uint64
}

func (c *Client) connect(ctx context.Context, group *errgroup.Group) (*link, error) {
	dialCtx, cancel := context.WithTimeout(ctx, c.cfg.Conn.Defaults().HandshakeTimeout)
	defer cancel()
	conn, err := proto.Dial(dialCtx, c.cfg.Addr, c.cfg.Conn)
	if err != nil {
		return nil, err
	}
	l := &link{conn: conn, ended: make(chan error, 1), lastStream: streamFetch}
	group.Go(func() error {
		l.ended <- conn.Run(ctx, func(frame proto.Frame) error { return c.handleFrame(conn, frame) })
		return nil
	})
	return l, nil
}

// call sends a call with the version of the list held, unless the full list is wanted.
func (l *link) call(command command, held func() (epoch, version uint64)) error {
	var version proto.ListVersion
	if command != fetchFull && held != nil {
		version.Epoch, version.Version = held()
	}
	l.called = true
	switch command {
	case watchOn:
		l.watching = true
		return l.conn.Send(proto.TypeWatch, streamWatch, version, nil)
	case watchOff:
		if !l.watching {
			return nil
		}
		l.watching = false
		return l.conn.Send(proto.TypeCancel, streamWatch, nil, nil)
	}
	l.lastStream++
	return l.conn.Send(proto.TypeFetch, l.lastStream, version, nil)
}

// handleFrame takes in what the registry sends. An update is acknowledged once it has been passed on, so that
// the registry's own record tells when this instance knew.
func (c *Client) handleFrame(conn *proto.Conn, frame proto.Frame) error {
	switch frame.Type {
	case proto.TypeUpdate:
		update, err := DecodeUpdate(frame)
		if err != nil {
			return err
		}
		c.cfg.OnUpdate(update)
		return conn.Send(proto.TypeAcknowledge, update.Version, nil, nil)
	case proto.TypeAnswer:
		var answer proto.Answer
		if err := frame.Decode(&answer); err != nil {
			return err
		}
		if answer.Code != proto.OK {
			c.cfg.OnFailure(fmt.Errorf("%w: %s", ErrUnavailable, answer.Reason))
		}
		return nil
	}
	return fmt.Errorf("a registry sends no frame of type %v", frame.Type)
}
