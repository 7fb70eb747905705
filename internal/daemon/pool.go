package daemon

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"landingpaddle/internal/proto"
	"landingpaddle/internal/registry"
	"landingpaddle/scheduler"
)

// Protocol violations by the other end of a connection.
var (
	errUnexpectedFrame  = errors.New("unexpected frame")
	errUnexpectedAnswer = errors.New("unexpected answer")
	errUnknownCode      = errors.New("unknown result code")
)

// pool holds the connections to nodes. It belongs to the loop; connections report to its inbox.
type pool struct {
	ctx   context.Context
	g     *errgroup.Group
	i     *Instance
	cfg   proto.Config
	nodes map[scheduler.Server]*nodeLink
}

// nodeLink is what the pool holds of one node.
type nodeLink struct {
	server  scheduler.Server
	conns   []*nodeConn
	dialing int
	waiting []*Operation
}

// nodeConn is one connection to a node.
type nodeConn struct {
	server scheduler.Server
	conn   *proto.Conn

	mu    sync.Mutex
	ops   map[uint64]*Operation
	next  uint64
	ended bool
}

// flight is where an operation is in flight, and its Edge.
type flight struct {
	conn   *nodeConn
	stream uint64
}

type dialed struct {
	server scheduler.Server
	conn   *nodeConn
	err    error
}

func newUpstreamPool(ctx context.Context, g *errgroup.Group, i *Instance) *pool {
	lim := i.cfg.Site.Limits
	cfg := proto.Config{Hello: i.hello(), Gate: i.cfg.Hooks.Gate, Handshake: lim.ConnectTimeout,
		Idle: lim.IdleTimeout, Silence: lim.SilenceTimeout}
	cfg.Limits = proto.LimitsFor(int(lim.MaxPayload), lim.Streams)
	return &pool{ctx: ctx, g: g, i: i, cfg: cfg, nodes: map[scheduler.Server]*nodeLink{}}
}

func serverAddress(s scheduler.Server) string { return registry.AddrPortOf(s).String() }

func (p *pool) link(s scheduler.Server) *nodeLink {
	n := p.nodes[s]
	if n == nil {
		n = &nodeLink{server: s}
		p.nodes[s] = n
	}
	return n
}

// Send puts an operation on the connection with the least in flight, or lets it wait for one that is being
// made. Where all that may be made are full, the node is out of reach for it.
func (p *pool) Send(op *Operation) {
	n := p.link(op.server)
	var best *nodeConn
	for _, c := range n.conns {
		if f := c.conn.InFlight(); f < c.conn.Streams() && (best == nil || f < best.conn.InFlight()) {
			best = c
		}
	}
	if best != nil {
		p.post(best, op)
		return
	}
	lim := p.i.cfg.Site.Limits
	if len(n.waiting) >= n.dialing*lim.Streams {
		if len(n.conns)+n.dialing >= lim.NodeConnections {
			p.i.inbox.put(result{op: op, code: scheduler.ConnectFailed})
			return
		}
		p.dial(n)
	}
	n.waiting = append(n.waiting, op)
}

func (p *pool) dial(n *nodeLink) {
	n.dialing++
	server := n.server
	p.g.Go(func() error {
		ctx, cancel := context.WithTimeout(p.ctx, p.i.cfg.Site.Limits.ConnectTimeout)
		defer cancel()
		conn, err := proto.Dial(ctx, serverAddress(server), p.cfg)
		if err != nil {
			p.did(dialed{server: server, err: err})
			return nil
		}
		c := &nodeConn{server: server, conn: conn, ops: map[uint64]*Operation{}}
		p.i.inbox.put(greeted{server, conn.PeerHello().StartedAt})
		p.did(dialed{server: server, conn: c})
		err = conn.Run(p.ctx, func(f proto.Frame) error { return p.frame(c, f) })
		p.reset(c, err)
		return nil
	})
}

func (p *pool) did(x dialed) { p.i.inbox.put(func(l *loop) { p.dialed(l, x) }) }

// dialed takes a new connection in: attempts that waited leave on it, or fail with it when it could not be
// made.
func (p *pool) dialed(l *loop, x dialed) {
	n := p.link(x.server)
	n.dialing--
	if x.err != nil {
		p.i.log.Info("node unreachable", "node", serverAddress(x.server), "error", x.err)
		if n.dialing > 0 {
			return
		}
		for _, op := range n.waiting {
			l.opEnded(result{op: op, code: scheduler.ConnectFailed})
		}
		n.waiting = nil
		p.forget(n)
		return
	}
	n.conns = append(n.conns, x.conn)
	waiting := n.waiting
	n.waiting = nil
	for _, op := range waiting {
		for _, live := range l.live(op) {
			// A node that drains or was restarted while the connection came up is not what was decided on.
			if code := p.i.CheckPreconditions(live); code != scheduler.OK {
				l.opEnded(result{op: live, code: code})
				continue
			}
			p.Send(live)
		}
	}
}

// post writes an operation's request. What cannot be queued has surely not run.
func (p *pool) post(c *nodeConn, op *Operation) {
	c.mu.Lock()
	c.next++
	stream := c.next
	op.DriverState = flight{c, stream}
	ended := c.ended || c.conn.OpenStream(stream) != nil
	if !ended {
		c.ops[stream] = op
	}
	c.mu.Unlock()
	if !ended {
		req, payload, copied := op.frame(p.i.Now())
		p.i.Stats.Copied.Add(uint64(copied))
		err := c.conn.Send(proto.TypeRequest, stream, req, payload)
		if err == nil {
			return
		}
		p.i.log.Warn("request not sent", "node", serverAddress(op.server), "error", err)
		c.conn.CloseStream(stream) // no answer will come that would end it
	}
	if c.take(stream) != nil || ended {
		p.i.inbox.put(result{op: op, code: scheduler.ConnectFailed})
	}
}

// take removes an operation from those in flight; nil if it is not there any more.
func (c *nodeConn) take(stream uint64) *Operation {
	c.mu.Lock()
	defer c.mu.Unlock()
	op := c.ops[stream]
	delete(c.ops, stream)
	return op
}

// Cancel tells the node that an answer is no longer wanted. The stream stays in flight until the node ends
// it, so that a node that answers nothing does not get more than was agreed.
func (p *pool) Cancel(op *Operation) {
	if at, ok := op.DriverState.(flight); ok && at.conn.take(at.stream) != nil {
		_ = at.conn.conn.Send(proto.TypeCancel, at.stream, nil, nil) // a closed connection reports itself
	}
}

// CancelMember tells the node that one of an operation's members no longer waits.
func (p *pool) CancelMember(op *Operation, place int) {
	if at, ok := op.DriverState.(flight); ok {
		call := proto.Cancel{Members: []uint16{uint16(place)}}
		_ = at.conn.conn.Send(proto.TypeCancel, at.stream, call, nil) // a closed connection reports itself
	}
}

// frame runs on a connection's own goroutine.
func (p *pool) frame(c *nodeConn, f proto.Frame) error {
	switch f.Type {
	case proto.TypeAnswer:
		var answer proto.Answer
		if err := f.Decode(&answer); err != nil {
			return err
		}
		if !c.conn.CloseStream(f.Stream) {
			return fmt.Errorf("%w: stream %d is not in flight", errUnexpectedAnswer, f.Stream)
		}
		code, err := codeOf(answer.Code)
		if err != nil {
			return err
		}
		if op := c.take(f.Stream); op != nil {
			p.i.inbox.put(result{op: op, code: code, answer: answer, payload: f.Payload})
		}
		return nil
	case proto.TypeResponseStarted:
		c.mu.Lock()
		op := c.ops[f.Stream]
		c.mu.Unlock()
		if op != nil {
			p.i.inbox.put(begun{op})
		}
		return nil
	case proto.TypeDrain:
		p.i.inbox.put(notice{c.server, c.conn.PeerHello().StartedAt})
		return nil
	case proto.TypeHealthCheckResult:
		c.conn.CloseStream(f.Stream)
		return nil
	}
	return fmt.Errorf("%w from a node: type %v", errUnexpectedFrame, f.Type)
}

// reset gives each operation that was out on a connection its own outcome.
func (p *pool) reset(c *nodeConn, cause error) {
	c.mu.Lock()
	c.ended = true
	out := c.ops
	c.ops = nil
	c.mu.Unlock()
	if cause != nil && p.ctx.Err() == nil {
		p.i.log.Info("node connection ended", "node", serverAddress(c.server), "out", len(out), "error", cause)
	}
	for _, op := range out {
		p.i.inbox.put(result{op: op, code: scheduler.Reset})
	}
	p.i.inbox.put(func(*loop) { p.dropped(c) })
}

func (p *pool) dropped(c *nodeConn) {
	n := p.link(c.server)
	for i, o := range n.conns {
		if o == c {
			n.conns = append(n.conns[:i], n.conns[i+1:]...)
			break
		}
	}
	p.forget(n)
}

// forget drops a node to which nothing leads any more.
func (p *pool) forget(n *nodeLink) {
	if len(n.conns) == 0 && n.dialing == 0 && len(n.waiting) == 0 {
		delete(p.nodes, n.server)
	}
}

// CloseIdle closes the connections to a node on which nothing is in flight.
func (p *pool) CloseIdle(s scheduler.Server) {
	if n := p.nodes[s]; n != nil {
		for _, c := range n.conns {
			if c.conn.InFlight() == 0 {
				c.conn.CloseGracefully("not needed")
			}
		}
	}
}

// Probe asks a node on a connection of its own whether it lives.
func (p *pool) CheckHealth(s scheduler.Server) {
	at := p.i.Now()
	p.g.Go(func() error {
		code := scheduler.ConnectFailed
		var load []float64
		ctx, cancel := context.WithTimeout(p.ctx, p.i.cfg.Site.Limits.ConnectTimeout)
		defer cancel()
		if conn, err := proto.Dial(ctx, serverAddress(s), p.cfg); err == nil {
			code = scheduler.TimedOut
			_ = conn.OpenStream(1)
			_ = conn.Send(proto.TypeHealthCheck, 1, nil, nil)
			_ = conn.Run(ctx, func(f proto.Frame) error { // its end is the result
				if f.Type == proto.TypeHealthCheckResult {
					var a proto.Answer
					if f.Decode(&a) == nil {
						code, load = scheduler.OK, a.Load
					}
					return proto.ErrClosed
				}
				return nil
			})
		}
		if p.ctx.Err() == nil {
			p.i.inbox.put(
				scheduler.HealthCheckResult{Server: s, Code: code, Latency: p.i.Now() - at, Load: load},
			)
		}
		return nil
	})
}

// frame is the request as its node gets it, with the payload of a write. The node is told the time of the
// most urgent member; each member is given up on at its own.
func (o *Operation) frame(now time.Duration) (req proto.Request, payload []byte, copied int) {
	lead := o.members[0]
	req = clientRequestOf(lead).header
	req.Attempt, req.Timeout, req.Members, req.Piece = uint16(lead.n), lead.deadline-now, nil, 0
	if !o.ranged() {
		return req, clientRequestOf(lead).payload, 0
	}
	req.Cell = int32(lead.req.piece.Cell)
	req.Offset, req.Length, req.Units = o.plan.Range.Offset, uint32(o.plan.Range.Length), uint32(o.plan.Units)
	req.Data, req.Write, req.Piece = o.plan.DataVolume, o.plan.Write, uint16(lead.req.piece.Nth)
	if len(o.members) == 1 {
		return req, lead.bytes(), 0
	}
	if req.Write {
		payload = make([]byte, o.plan.Range.Length)
	}
	for n, a := range o.members {
		req.Timeout = min(req.Timeout, a.deadline-now)
		q, at := &clientRequestOf(a).header, o.plan.Slice(o.plan.Members[n])
		req.Members = append(req.Members, proto.Member{Token: q.Token, Volume: q.Volume, Key: q.Key,
			Plan: q.Plan, Units: uint32(max(1, a.req.piece.Units)), Offset: uint32(at.Offset),
			Length: uint32(at.Length), Piece: uint16(a.req.piece.Nth), Try: q.Try, Client: q.Client})
		if req.Write {
			copied += copy(payload[at.Offset:at.End()], a.bytes())
		}
	}
	return req, payload, copied
}

// bytes are what a piece of a write writes; nil for a read.
func (a *attempt) bytes() []byte {
	k, r := clientRequestOf(a), a.req.piece.Range
	if k.payload == nil {
		return nil
	}
	from := r.Offset - k.header.Offset
	return k.payload[from : from+r.Length]
}

// codeOf is a node's code as the module's; they are the same numbers.
func codeOf(c proto.Code) (scheduler.ResultCode, error) {
	switch c {
	case proto.OK, proto.Error, proto.Overloaded, proto.Cancelled, proto.NotApplicable:
		return scheduler.ResultCode(c), nil
	}
	return 0, fmt.Errorf("%w from a node: %d", errUnknownCode, c)
}
