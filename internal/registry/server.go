package registry

import (
	"cmp"
	"context"
	"fmt"
	"maps"
	"net"
	"slices"
	"sync"
	"time"

	"landingpaddle/endpoints"
	"landingpaddle/internal/proto"
	"landingpaddle/scheduler"
)

// ServerConfig is a stand-in list service.
type ServerConfig struct {
	Epoch    uint64
	Delay    time.Duration // entries are told so late
	Workers  int           // calls served at the same time
	CallTime time.Duration // that one takes
	MaxWait  time.Duration // a call that would wait longer fails when it has waited so long
	MaxConns int
	Conn     proto.Config
	// Told, where set, is called when an instance has acknowledged news of a node.
	OnAcknowledged func(instance uint32, e endpoints.Endpoint)
}

// Server is the stand-in: nodes register with it and are listed for as long as their connection lasts.
type Server struct {
	cfg ServerConfig

	mu       sync.Mutex
	delay    time.Duration
	down     bool
	version  uint64
	listed   map[scheduler.Server]endpoints.Endpoint // as told; gone ones stay with that status
	changed  map[scheduler.Server]uint64             // version of the last change
	watchers map[*session]struct{}
	free     []time.Time // when each worker is free
	pending  map[*time.Timer]struct{}
	coming   []change // not told yet, in order
	closed   bool
}

// change is news of a node that is not told yet.
type change struct {
	due   time.Time
	entry endpoints.Endpoint
	ended bool // its process ended, unless another life is listed by then
}

// session is one connection.
type session struct {
	conn           *proto.Conn
	instance       uint32
	unacknowledged map[uint64][]endpoints.Endpoint // news sent, by version
}

// NewServer makes a service that lists nothing.
func NewServer(cfg ServerConfig) *Server {
	cfg.Workers, cfg.MaxConns = max(cfg.Workers, 1), cmp.Or(cfg.MaxConns, 4096)
	cfg.Conn.Limits = Limits
	cfg.Conn.Idle = 24 * time.Hour
	cfg.Conn.Hello.Role = "list"
	return &Server{cfg: cfg, delay: cfg.Delay, listed: map[scheduler.Server]endpoints.Endpoint{},
		changed: map[scheduler.Server]uint64{}, watchers: map[*session]struct{}{},
		free: make([]time.Time, cfg.Workers), pending: map[*time.Timer]struct{}{}}
}

// SetDelay changes how late entries are told from now on.
func (s *Server) SetDelay(d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.delay = d
}

// SetDown makes all calls fail, or ends that.
func (s *Server) SetDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = down
	if !down {
		return
	}
	for w := range s.watchers {
		w.conn.Close(proto.ErrClosed)
	}
}

// Serve runs the service until ctx ends.
func (s *Server) Serve(ctx context.Context, ln net.Listener) error {
	err := proto.Serve(ctx, ln, s.cfg.Conn, s.cfg.MaxConns, s.session)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closed = true
	for t := range s.pending {
		t.Stop()
	}
	return err
}

// after runs f later unless the service has ended.
func (s *Server) after(d time.Duration, f func()) {
	var t *time.Timer
	run := func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		delete(s.pending, t)
		if !s.closed {
			f()
		}
	}
	t = time.AfterFunc(max(d, 0), run)
	s.pending[t] = struct{}{}
}

func (s *Server) session(ctx context.Context, c *proto.Conn) {
	w := &session{conn: c, instance: c.PeerHello().Number, unacknowledged: map[uint64][]endpoints.Endpoint{}}
	var node *endpoints.Endpoint
	_ = c.Run(ctx, func(f proto.Frame) error { // why a peer left is its own matter
		switch f.Type {
		case proto.TypeRegister:
			n, err := DecodeUpdate(f)
			if err != nil {
				return err
			}
			if len(n.Endpoints) != 1 {
				return fmt.Errorf("a node registers one entry, not %d", len(n.Endpoints))
			}
			node = &n.Endpoints[0]
			s.Put(*node)
			return nil
		case proto.TypeWatch, proto.TypeFetch:
			var ask proto.ListVersion
			if err := f.Decode(&ask); err != nil {
				return err
			}
			s.call(w, f.Type, f.Stream, ask)
			return nil
		case proto.TypeCancel:
			s.mu.Lock()
			delete(s.watchers, w)
			s.mu.Unlock()
			return nil
		case proto.TypeAcknowledge:
			s.acknowledge(w, f.Stream)
			return nil
		}
		return fmt.Errorf("a list service takes no frame of type %v", f.Type)
	})
	s.mu.Lock()
	delete(s.watchers, w)
	s.mu.Unlock()
	if node != nil {
		s.drop(*node)
	}
}

// Put lists an entry, after the delay.
func (s *Server) Put(e endpoints.Endpoint) { s.later(change{entry: e}) }

// drop lists a node as gone, after the delay.
func (s *Server) drop(e endpoints.Endpoint) { s.later(change{entry: e, ended: true}) }

// later queues a change. Changes are told in the order in which they came, also where the delay became less.
func (s *Server) later(c change) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return
	}
	c.due = time.Now().Add(s.delay)
	if n := len(s.coming); n > 0 && s.coming[n-1].due.After(c.due) {
		c.due = s.coming[n-1].due
	}
	s.coming = append(s.coming, c)
	s.after(time.Until(c.due), s.ripen)
}

// ripen tells all changes that are due.
func (s *Server) ripen() {
	for len(s.coming) > 0 && !s.coming[0].due.After(time.Now()) {
		c := s.coming[0]
		s.coming = s.coming[1:]
		if now := s.listed[c.entry.Server]; c.ended {
			if now.StartedAt > c.entry.StartedAt {
				continue
			}
			c.entry = now
			c.entry.Status = scheduler.Gone
		}
		s.apply(c.entry)
	}
}

func (s *Server) apply(e endpoints.Endpoint) {
	if old, ok := s.listed[e.Server]; ok && old.StartedAt > e.StartedAt {
		return
	}
	s.version++
	s.listed[e.Server], s.changed[e.Server] = e, s.version
	for w := range s.watchers {
		s.tell(w, endpoints.Update{Epoch: s.cfg.Epoch, Version: s.version, BaseVersion: s.version - 1,
			Endpoints: []endpoints.Endpoint{e}}, 1)
	}
}

// call serves a watch or fetch when a worker is free.
func (s *Server) call(w *session, t proto.Type, stream uint64, ask proto.ListVersion) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	first := slices.MinFunc(s.free, time.Time.Compare)
	start := now
	if first.After(now) {
		start = first
	}
	fail := func(reason string) {
		_ = w.conn.Send(proto.TypeAnswer, stream, proto.Answer{Code: proto.Error, Reason: reason}, nil)
	}
	switch wait := start.Sub(now); {
	case s.down:
		fail("down")
	case wait > s.cfg.MaxWait:
		s.after(s.cfg.MaxWait, func() { fail("busy") })
	default:
		s.free[slices.Index(s.free, first)] = start.Add(s.cfg.CallTime)
		s.after(wait+s.cfg.CallTime, func() {
			if t == proto.TypeWatch {
				s.watchers[w] = struct{}{}
			}
			s.tell(w, s.since(ask), stream)
		})
	}
}

// since is what has changed since the list that an instance holds, or the whole list where that is unknown.
func (s *Server) since(ask proto.ListVersion) endpoints.Update {
	n := endpoints.Update{Epoch: s.cfg.Epoch, Version: s.version, BaseVersion: ask.Version,
		Full: ask.Epoch != s.cfg.Epoch || ask.Version == 0 || ask.Version > s.version}
	for _, e := range s.listed {
		if n.Full && e.Status != scheduler.Gone || !n.Full && s.changed[e.Server] > ask.Version {
			n.Endpoints = append(n.Endpoints, e)
		}
	}
	slices.SortFunc(n.Endpoints, endpoints.ByServer)
	return n
}

func (s *Server) tell(w *session, n endpoints.Update, stream uint64) {
	m := Message{Epoch: n.Epoch, Version: n.Version, BaseVersion: n.BaseVersion, Full: n.Full,
		Endpoints: recordsOf(n.Endpoints)}
	if w.conn.Send(proto.TypeUpdate, stream, m, nil) != nil {
		return
	}
	told := n.Endpoints
	if n.Full {
		told = slices.Collect(maps.Values(s.listed)) // what is missing in a whole list is gone
	}
	w.unacknowledged[n.Version] = append(w.unacknowledged[n.Version], told...)
}

func (s *Server) acknowledge(w *session, version uint64) {
	s.mu.Lock()
	told := w.unacknowledged[version]
	delete(w.unacknowledged, version)
	s.mu.Unlock()
	if s.cfg.OnAcknowledged != nil {
		for _, e := range told {
			s.cfg.OnAcknowledged(w.instance, e)
		}
	}
}

// Register keeps a node's entry listed for as long as ctx lasts: each entry read from changes is told to the
// service. It connects again when the service is away.
func Register(ctx context.Context, addr string, cfg proto.Config, changes <-chan endpoints.Endpoint) error {
	cfg.Limits, cfg.Idle = Limits, 24*time.Hour
	var last *endpoints.Endpoint
	for ctx.Err() == nil {
		conn, err := proto.Dial(ctx, addr, cfg)
		if err != nil {
			select {
			case <-ctx.Done():
			case e := <-changes:
				last = &e
			case <-time.After(100 * time.Millisecond):
			}
			continue
		}
		ended := make(chan struct{})
		go func() {
			defer close(ended)
			_ = conn.Run(ctx, func(f proto.Frame) error { return fmt.Errorf("unasked frame %v", f.Type) })
		}()
		put := func(e endpoints.Endpoint) {
			_ = conn.Send(proto.TypeRegister, 0, Message{Endpoints: recordsOf([]endpoints.Endpoint{e})}, nil)
		}
		if last != nil {
			put(*last)
		}
		for open := true; open; {
			select {
			case <-ctx.Done():
				conn.Close(ctx.Err())
				<-ended
				open = false
			case <-ended:
				open = false
			case e := <-changes:
				last = &e
				put(e)
			}
		}
	}
	return nil
}
