package daemon

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"landingpaddle/extent"
	"landingpaddle/internal/proto"
	"landingpaddle/scheduler"
)

// stream is one client's request as it came on its connection.
type stream struct {
	front   *front
	call    *Call
	client  *client
	stream  uint64
	req     proto.Request
	payload []byte
	write   bool // by itself or by its class
}

// waiting is the stream that waits for an attempt's request.
func waiting(a *attempt) *stream { return a.req.call.Responder.(*stream) }

// client is one client's connection.
type client struct {
	conn  *proto.Conn
	mu    sync.Mutex
	calls map[uint64]*Call
}

// front takes requests from clients, bounds them and hands them to the loop.
type front struct {
	i *Instance

	mu      sync.Mutex
	clients map[*client]struct{}
	none    chan struct{} // closed when the last client is gone after bye
	byeing  bool
	isNone  bool
}

func newFront(i *Instance) *front {
	return &front{i: i, clients: map[*client]struct{}{}, none: make(chan struct{})}
}

func (f *front) serve(ctx context.Context) error {
	lim := f.i.cfg.Site.Limits
	cfg := proto.Config{Hello: f.i.hello(), Gate: f.i.cfg.Hooks.Gate, Idle: 10 * time.Minute,
		Limits: proto.LimitsFor(int(lim.MaxPayload), max(lim.Streams, 64)*64)}
	return proto.Serve(ctx, f.i.cfg.Listener, cfg, lim.ClientConnections, f.session)
}

// bye closes all clients' connections in order.
func (f *front) bye(reason string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.byeing = true
	for c := range f.clients {
		c.conn.CloseGracefully(reason)
	}
	f.noteNone()
}

func (f *front) noteNone() {
	if f.byeing && len(f.clients) == 0 && !f.isNone {
		f.isNone = true
		close(f.none)
	}
}

func (f *front) empty() <-chan struct{} { return f.none }

func (f *front) session(ctx context.Context, conn *proto.Conn) {
	c := &client{conn: conn, calls: map[uint64]*Call{}}
	f.mu.Lock()
	f.clients[c] = struct{}{}
	f.mu.Unlock()
	err := conn.Run(ctx, func(fr proto.Frame) error { return f.frame(c, fr) })
	if err != nil && ctx.Err() == nil && !errors.Is(err, context.Canceled) {
		f.i.log.Warn(
			"client connection ended",
			"role",
			conn.PeerHello().Role,
			"client",
			conn.PeerHello().Number,
			"error",
			err,
		)
	}
	f.mu.Lock()
	delete(f.clients, c)
	f.noteNone()
	f.mu.Unlock()
	c.mu.Lock()
	left := c.calls
	c.calls = nil
	c.mu.Unlock()
	for _, k := range left {
		f.i.ClientGone(k)
	}
}

func (f *front) frame(c *client, fr proto.Frame) error {
	switch fr.Type {
	case proto.TypeRequest:
		return f.request(c, fr)
	case proto.TypeCancel:
		c.mu.Lock()
		k := c.calls[fr.Stream]
		c.mu.Unlock()
		if k != nil {
			f.i.ClientGone(k)
		}
		return nil
	case proto.TypeHealthCheck:
		return c.conn.Send(proto.TypeHealthCheckResult, fr.Stream, proto.Answer{Code: proto.OK}, nil)
	}
	return fmt.Errorf("a client sends no frame of type %v", fr.Type)
}

func (f *front) request(c *client, fr proto.Frame) error {
	if err := c.conn.OpenStream(fr.Stream); err != nil {
		return err
	}
	k := &stream{front: f, client: c, stream: fr.Stream, payload: fr.Payload}
	at := f.i.Now()
	if err := fr.Decode(&k.req); err != nil {
		return err
	}
	lim := f.i.cfg.Site.Limits
	refuse := func(reason string, advice time.Duration) error {
		f.i.Stats.Rejected.Add(1)
		a := proto.Answer{Code: proto.Rejected, Reason: reason, RetryAfter: advice}
		c.conn.CloseStream(fr.Stream)
		f.i.log.Debug("refused", "reason", reason, "token", k.req.Token)
		return c.conn.Send(proto.TypeAnswer, fr.Stream, a, nil)
	}
	advice := lim.MaxRetryAfter
	if !lim.RetryAfter {
		advice = 0 // where a refusal may not say when to come back, this one does not either
	}
	if why := f.bad(k); why != "" {
		return refuse(why, 0)
	}
	if why := f.i.Admit(lim.MaxOpenRequests); why != "" {
		return refuse(why, advice)
	}
	k.call = k.asCall(at)
	c.mu.Lock()
	c.calls[fr.Stream] = k.call
	c.mu.Unlock()
	f.i.Submit(k.call)
	return nil
}

// asCall is the request as the loop takes it.
func (k *stream) asCall(at time.Duration) *Call {
	q := &k.req
	call := &Call{Responder: k, ReceivedAt: at, Wait: q.Timeout, Token: q.Token, DataVolume: q.DataVolume(),
		Request: scheduler.Request{Class: int(q.Class), Cell: int(q.Cell), Retry: q.Try > 0, Write: k.write,
			VolumeInstances: int(q.VolumeInstances), Plan: int(q.Plan), Key: q.Key, Volume: q.Volume,
			Units: float64(q.Units)}}
	if q.Ranged {
		call.Range = &extent.Range{Offset: q.Offset, Length: uint64(q.Length)}
	}
	return call
}

// bad bounds what a client states, and notes whether it writes; "" is good. How a range is cut, and whether
// that goes, the planner says.
func (f *front) bad(k *stream) string {
	q, site := &k.req, &f.i.cfg.Site
	if int(q.Class) >= len(site.Classes) || int(q.Plan) >= len(site.Plans) || q.Units == 0 ||
		float64(q.Units) > site.MaxUnits || q.Timeout <= 0 || q.Timeout > time.Hour ||
		q.Cell < scheduler.NewObject || q.Cell > 1<<16-1 {
		return ReasonBadRequest
	}
	k.write = q.Write || site.Classes[q.Class].Writes
	if !q.Ranged {
		return ""
	}
	if site.Extents == nil {
		return ReasonBadRequest
	}
	payload := 0
	if k.write {
		payload = int(q.Length)
	}
	if uint64(q.Length) > uint64(site.Limits.MaxPayload) || len(k.payload) != payload {
		return ReasonBadRange
	}
	return ""
}

// Answer gives the request its one final answer.
func (k *stream) Respond(a proto.Answer, payload []byte) {
	k.client.mu.Lock()
	delete(k.client.calls, k.stream)
	k.client.mu.Unlock()
	k.client.conn.CloseStream(k.stream)
	err := k.client.conn.Send(proto.TypeAnswer, k.stream, a, payload)
	if errors.Is(err, proto.ErrPayload) || errors.Is(err, proto.ErrHeader) {
		a = proto.Answer{Code: proto.Failed, Reason: ReasonTooLarge}
		_ = k.client.conn.Send(proto.TypeAnswer, k.stream, a, nil) // a closed connection has its own end
	}
	if hook := k.front.i.cfg.Hooks.OnAnswer; hook != nil {
		hook(k.client.conn, k.stream, a, payload)
	}
	k.payload = nil
}
