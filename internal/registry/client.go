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
	"landingpaddle/scheduler"
)

const (
	defaultReconnectDelay = 500 * time.Millisecond
	// watchIdleTimeout is long because a watch carries no frames while the list does not change.
	watchIdleTimeout = 24 * time.Hour
	maxCommands      = 16 // maximum number of calls queued for Run
)

// Errors that a client reports to ClientConfig.OnFailure. ErrUnavailable is wrapped by the errors of failed
// calls and ended connections, whose texts it prefixes.
var (
	ErrTooManyCalls = errors.New("too many queued calls to the registry")
	ErrUnavailable  = errors.New("registry")
)

// ClientConfig configures an instance's client.
type ClientConfig struct {
	Addr string
	Conn proto.Config // NewClient sets Limits and IdleTimeout
	// Push means that the registry pushes changes: the client opens a watch when it starts and after each
	// automatic reconnect. Otherwise it connects only for the calls of its methods.
	Push bool
	// ReconnectDelay is the mean delay before reconnecting to a registry that pushes; 0 means 500 ms.
	ReconnectDelay time.Duration
	// Version returns the version of the list that the instance stores, so that the registry sends only
	// later changes; nil requests full lists.
	Version func() (epoch, version uint64)
	// OnUpdate is called with each update, OnFailure when a call failed or the connection ended. Both are
	// called from the client's goroutines, OnFailure also from a caller's, and must not block.
	OnUpdate  func(endpoints.Update)
	OnFailure func(error)
}

// command is a kind of call that is queued for Run.
type command uint8

const (
	watchOn command = iota
	watchOff
	fetch
	fetchFull
)

// Streams of a connection.
const (
	streamWatch     = 1
	fetchStreamBase = 2 // fetches are numbered from fetchStreamBase+1
)

// Client calls a registry. Its methods never block and may be called by any goroutine.
type Client struct {
	cfg      ClientConfig
	commands chan command
}

// NewClient returns a client that sends nothing until Run is called.
func NewClient(cfg ClientConfig) *Client {
	if cfg.ReconnectDelay == 0 {
		cfg.ReconnectDelay = defaultReconnectDelay
	}
	cfg.Conn.Limits = Limits
	cfg.Conn.IdleTimeout = watchIdleTimeout
	return &Client{cfg: cfg, commands: make(chan command, maxCommands)}
}

// Watch opens the watch, on which the registry sends updates, or cancels it. All calls share one connection,
// on which a later one does not end an earlier one, so the call's response timeout is not used.
func (c *Client) Watch(call scheduler.WatchEndpoints) {
	if call.On {
		c.enqueue(watchOn)
	} else {
		c.enqueue(watchOff)
	}
}

// Fetch requests the list once: the changes since the stored version, or the full list.
func (c *Client) Fetch() { c.enqueue(fetch) }

// FetchFull requests the full list once, for an instance that could not apply a change to the stored list.
func (c *Client) FetchFull() { c.enqueue(fetchFull) }

func (c *Client) enqueue(command command) {
	select {
	case c.commands <- command:
	default:
		c.cfg.OnFailure(ErrTooManyCalls)
	}
}

// Run connects to the registry and sends the queued calls until ctx ends.
func (c *Client) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	loop := &clientLoop{client: c, group: group}
	group.Go(func() error { return loop.run(ctx) })
	return group.Wait()
}

// clientLoop sends a client's calls, on one connection at a time. It is owned by the goroutine of run.
type clientLoop struct {
	client    *Client
	group     *errgroup.Group
	link      *link            // nil: not connected
	reconnect <-chan time.Time // nil: no reconnect is scheduled
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
			if l.link == nil || !l.link.watching { // a call may have opened the watch since
				l.call(ctx, watchOn)
			}
		case err := <-l.linkEnded():
			l.disconnected(ctx, err)
		}
	}
}

// linkEnded returns the channel that receives the cause of the connection's end. Without a connection it
// returns nil, on which a receive blocks forever.
func (l *clientLoop) linkEnded() <-chan error {
	if l.link == nil {
		return nil
	}
	return l.link.ended
}

// call sends a call, on a new connection if none is open.
func (l *clientLoop) call(ctx context.Context, command command) {
	if l.link == nil {
		newLink, err := l.client.connect(ctx, l.group)
		if err != nil {
			if ctx.Err() == nil {
				l.client.cfg.OnFailure(fmt.Errorf("%w: %w", ErrUnavailable, err))
				l.scheduleReconnect()
			}
			return
		}
		l.link = newLink
	}
	if err := l.link.call(command, l.client.cfg.Version); err != nil {
		l.link.conn.Close(err) // disconnected reports the cause
	}
}

// disconnected handles the end of the connection: it reports the cause if a call was sent on the connection,
// and schedules a reconnect.
func (l *clientLoop) disconnected(ctx context.Context, cause error) {
	called := l.link.callSent
	l.link = nil
	if called && ctx.Err() == nil {
		cause = cmp.Or(cause, proto.ErrClosed)
		l.client.cfg.OnFailure(fmt.Errorf("%w: connection ended: %w", ErrUnavailable, cause))
	}
	l.scheduleReconnect()
}

// scheduleReconnect schedules a reconnect if the registry pushes changes. The delay is random, so that
// instances do not reconnect at the same time.
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
	callSent   bool // a call was sent on this connection
	lastStream uint64
}

func (c *Client) connect(ctx context.Context, group *errgroup.Group) (*link, error) {
	dialCtx, cancel := context.WithTimeout(ctx, c.cfg.Conn.Defaults().HandshakeTimeout)
	defer cancel()
	conn, err := proto.Dial(dialCtx, c.cfg.Addr, c.cfg.Conn)
	if err != nil {
		return nil, err
	}
	l := &link{conn: conn, ended: make(chan error, 1), lastStream: fetchStreamBase}
	group.Go(func() error {
		l.ended <- conn.Run(ctx, func(frame proto.Frame) error { return c.handleFrame(conn, frame) })
		return nil
	})
	return l, nil
}

// call sends a call with the version of the stored list, or with version 0 to request the full list. watchOff
// is ignored if no watch is open.
func (l *link) call(command command, storedVersion func() (epoch, version uint64)) error {
	var version proto.ListVersion
	if command != fetchFull && storedVersion != nil {
		version.Epoch, version.Version = storedVersion()
	}
	l.callSent = true
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

// handleFrame handles a frame from the registry. An update is acknowledged after OnUpdate has returned, so
// that the registry can record when this instance received it.
func (c *Client) handleFrame(conn *proto.Conn, frame proto.Frame) error {
	switch frame.Type {
	case proto.TypeUpdate:
		update, err := DecodeUpdate(frame)
		if err != nil {
			return err
		}
		c.cfg.OnUpdate(update)
		return conn.Send(proto.TypeAcknowledge, update.Version, nil, nil) // the version is sent as the stream
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
	return fmt.Errorf("unexpected frame of type %v from the registry", frame.Type)
}
