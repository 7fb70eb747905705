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

// ClientConfig is what an instance's client of the list service needs.
type ClientConfig struct {
	Addr string
	Conn proto.Config
	// Push: the service tells changes by itself, so the client watches from its start and connects again by
	// itself. Else it does only what it is asked for.
	Push bool
	// Again is the mean pause before a pushing service is connected to again; 0: half a second.
	ReconnectDelay time.Duration
	// Held tells which list is held, to be told of changes only.
	Version func() (epoch, version uint64)
	// Hear takes news, Failed that a call failed or a watch broke. Both are called from the client's
	// goroutines and must not block.
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

const (
	streamWatch = 1
	streamFetch = 2 // and up
)

// Client talks to a list service. Its methods never block.
type Client struct {
	cfg      ClientConfig
	commands chan command
}

// NewClient makes a client; Run makes it work.
func NewClient(cfg ClientConfig) *Client {
	if cfg.ReconnectDelay == 0 {
		cfg.ReconnectDelay = 500 * time.Millisecond
	}
	cfg.Conn.Limits = Limits
	cfg.Conn.Idle = 24 * time.Hour // a watch is silent while nothing changes
	return &Client{cfg: cfg, commands: make(chan command, 16)}
}

// Watch opens or ends the standing subscription.
func (c *Client) Watch(on bool) {
	if on {
		c.do(watchOn)
	} else {
		c.do(watchOff)
	}
}

// Fetch asks for the list once: changes since the one held, or the whole.
func (c *Client) Fetch() { c.do(fetch) }

// FetchWhole asks for the whole list once: what is held cannot be built on.
func (c *Client) FetchFull() { c.do(fetchFull) }

func (c *Client) do(cmd command) {
	select {
	case c.commands <- cmd:
	default:
		c.cfg.OnFailure(errors.New("too many calls to the list service wait"))
	}
}

// link is one connection's state; owned by Run's goroutine.
type link struct {
	conn     *proto.Conn
	ended    chan error
	watching bool
	asked    bool // any call since it was made
	next     uint64
}

// Run carries calls out until ctx ends.
func (c *Client) Run(ctx context.Context) error {
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error { return c.loop(ctx, g) })
	return g.Wait()
}

func (c *Client) loop(ctx context.Context, g *errgroup.Group) error {
	var l *link
	var again <-chan time.Time
	var ended chan error
	wait := func() {
		if c.cfg.Push {
			again = time.After(c.cfg.ReconnectDelay/2 + rand.N(c.cfg.ReconnectDelay))
		}
	}
	call := func(cmd command) {
		if l == nil {
			made, err := c.connect(ctx, g)
			if err != nil {
				if ctx.Err() == nil {
					c.cfg.OnFailure(fmt.Errorf("list service: %w", err))
					wait()
				}
				return
			}
			l, ended = made, made.ended
		}
		if err := l.call(cmd, c.cfg.Version); err != nil {
			l.conn.Close(err)
		}
	}
	if c.cfg.Push {
		call(watchOn)
	}
	for {
		select {
		case <-ctx.Done():
			if l != nil {
				l.conn.CloseGracefully("stopping")
				<-ended
			}
			return nil
		case cmd := <-c.commands:
			call(cmd)
		case <-again:
			again = nil
			if l == nil || !l.watching {
				call(watchOn)
			}
		case err := <-ended:
			asked := l.asked
			l, ended = nil, nil
			if asked && ctx.Err() == nil {
				c.cfg.OnFailure(
					fmt.Errorf("list service: connection ended: %w", cmp.Or(err, proto.ErrClosed)),
				)
			}
			wait()
		}
	}
}

func (c *Client) connect(ctx context.Context, g *errgroup.Group) (*link, error) {
	dial, cancel := context.WithTimeout(ctx, c.cfg.Conn.Defaults().Handshake)
	defer cancel()
	conn, err := proto.Dial(dial, c.cfg.Addr, c.cfg.Conn)
	if err != nil {
		return nil, err
	}
	l := &link{conn: conn, ended: make(chan error, 1), next: streamFetch}
	g.Go(func() error {
		l.ended <- conn.Run(ctx, func(f proto.Frame) error { return c.frame(conn, f) })
		return nil
	})
	return l, nil
}

func (l *link) call(cmd command, held func() (uint64, uint64)) error {
	var ask proto.ListVersion
	if cmd != fetchFull && held != nil {
		ask.Epoch, ask.Version = held()
	}
	l.asked = true
	switch cmd {
	case watchOn:
		l.watching = true
		return l.conn.Send(proto.TypeWatch, streamWatch, ask, nil)
	case watchOff:
		if l.watching {
			l.watching = false
			return l.conn.Send(proto.TypeCancel, streamWatch, nil, nil)
		}
		return nil
	}
	l.next++
	return l.conn.Send(proto.TypeFetch, l.next, ask, nil)
}

// frame takes in what the service says. News is acknowledged once it has been handed on, so that the
// service's own record tells when this instance knew.
func (c *Client) frame(conn *proto.Conn, f proto.Frame) error {
	switch f.Type {
	case proto.TypeUpdate:
		n, err := DecodeUpdate(f)
		if err != nil {
			return err
		}
		c.cfg.OnUpdate(n)
		return conn.Send(proto.TypeAcknowledge, n.Version, nil, nil)
	case proto.TypeAnswer:
		var a proto.Answer
		if err := f.Decode(&a); err != nil {
			return err
		}
		if a.Code != proto.OK {
			c.cfg.OnFailure(fmt.Errorf("list service: %s", a.Reason))
		}
		return nil
	}
	return fmt.Errorf("a list service sends no frame of type %v", f.Type)
}
