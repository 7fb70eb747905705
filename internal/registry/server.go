package registry

import (
	"cmp"
	"context"
	"maps"
	"net"
	"slices"
	"sync"
	"time"

	"landingpaddle/endpoints"
	"landingpaddle/internal/proto"
	"landingpaddle/scheduler"
)

// Reasons in the answers to calls that fail.
const (
	reasonDown = "down"
	reasonBusy = "busy"
)

const defaultMaxConns = 4096

// ServerConfig configures a stand-in registry.
type ServerConfig struct {
	Epoch    uint64
	Delay    time.Duration // after which changes are published
	Workers  int           // calls served at the same time; at least 1
	CallTime time.Duration // that one call takes
	MaxWait  time.Duration // a call that would wait longer for a worker fails after this
	MaxConns int           // 0: 4096
	Conn     proto.Config
	// OnAcknowledged, where set, is called when an instance has acknowledged an update that contains an
	// endpoint.
	OnAcknowledged func(instance uint32, endpoint endpoints.Endpoint)
}

// Server is the stand-in: nodes register with it and are listed for as long as their connection lasts. Its
// methods may be called by any goroutine.
type Server struct {
	cfg ServerConfig

	mu          sync.Mutex
	delay       time.Duration
	down        bool
	version     uint64
	listed      map[scheduler.Server]endpoints.Endpoint // as published; gone ones stay with that status
	changedIn   map[scheduler.Server]uint64             // version of the last change
	watchers    map[*session]struct{}
	workersFree []time.Time // when each worker is free
	timers      map[*time.Timer]struct{}
	unpublished []change // in order
	closed      bool
}

// change is a change of an endpoint that is not published yet.
type change struct {
	due      time.Time
	endpoint endpoints.Endpoint
	ended    bool // its process ended, unless a later incarnation is listed by then
}

// NewServer returns a registry that lists nothing.
func NewServer(cfg ServerConfig) *Server {
	cfg.Workers, cfg.MaxConns = max(cfg.Workers, 1), cmp.Or(cfg.MaxConns, defaultMaxConns)
	cfg.Conn.Limits = Limits
	cfg.Conn.IdleTimeout = watchIdleTimeout
	cfg.Conn.Hello.Role = "list"
	return &Server{
		cfg:         cfg,
		delay:       cfg.Delay,
		listed:      map[scheduler.Server]endpoints.Endpoint{},
		changedIn:   map[scheduler.Server]uint64{},
		watchers:    map[*session]struct{}{},
		workersFree: make([]time.Time, cfg.Workers),
		timers:      map[*time.Timer]struct{}{},
	}
}

// SetDelay changes the delay of changes from now on.
func (s *Server) SetDelay(d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.delay = d
}

// SetDown makes all calls fail and breaks the watches, or ends that.
func (s *Server) SetDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = down
	if !down {
		return
	}
	for watcher := range s.watchers {
		watcher.conn.Close(proto.ErrClosed)
	}
}

// Serve runs the registry until ctx ends.
func (s *Server) Serve(ctx context.Context, ln net.Listener) error {
	err := proto.Serve(ctx, ln, s.cfg.Conn, s.cfg.MaxConns, s.serveConn)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closed = true
	for timer := range s.timers {
		timer.Stop()
	}
	return err
}

// after runs f with the lock held after a while, unless the registry has ended by then. The lock is held.
func (s *Server) after(d time.Duration, f func()) {
	var timer *time.Timer
	run := func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		delete(s.timers, timer)
		if !s.closed {
			f()
		}
	}
	timer = time.AfterFunc(max(d, 0), run)
	s.timers[timer] = struct{}{}
}

// Put lists an endpoint, after the delay.
func (s *Server) Put(endpoint endpoints.Endpoint) { s.schedule(change{endpoint: endpoint}) }

// remove lists an endpoint as gone, after the delay.
func (s *Server) remove(endpoint endpoints.Endpoint) {
	s.schedule(change{endpoint: endpoint, ended: true})
}

// schedule queues a change. Changes are published in the order in which they came, also where the delay
// became less.
func (s *Server) schedule(c change) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return
	}
	c.due = time.Now().Add(s.delay)
	if n := len(s.unpublished); n > 0 && s.unpublished[n-1].due.After(c.due) {
		c.due = s.unpublished[n-1].due
	}
	s.unpublished = append(s.unpublished, c)
	s.after(time.Until(c.due), s.publishDue)
}

// publishDue publishes all changes that are due. The lock is held.
func (s *Server) publishDue() {
	for len(s.unpublished) > 0 && !s.unpublished[0].due.After(time.Now()) {
		next := s.unpublished[0]
		s.unpublished = s.unpublished[1:]
		if now := s.listed[next.endpoint.Server]; next.ended {
			if now.StartedAt > next.endpoint.StartedAt {
				continue
			}
			next.endpoint = now
			next.endpoint.Status = scheduler.Gone
		}
		s.publish(next.endpoint)
	}
}

// publish writes an endpoint into the list and sends it to all watchers. The lock is held.
func (s *Server) publish(endpoint endpoints.Endpoint) {
	if old, ok := s.listed[endpoint.Server]; ok && old.StartedAt > endpoint.StartedAt {
		return
	}
	s.version++
	s.listed[endpoint.Server], s.changedIn[endpoint.Server] = endpoint, s.version
	update := endpoints.Update{Epoch: s.cfg.Epoch, Version: s.version, BaseVersion: s.version - 1,
		Endpoints: []endpoints.Endpoint{endpoint}}
	for watcher := range s.watchers {
		s.send(watcher, update, streamWatch)
	}
}

// call serves a watch or fetch when a worker is free.
func (s *Server) call(caller *session, kind proto.Type, stream uint64, held proto.ListVersion) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	freeFirst := slices.MinFunc(s.workersFree, time.Time.Compare)
	start := now
	if freeFirst.After(now) {
		start = freeFirst
	}
	switch wait := start.Sub(now); {
	case s.down:
		caller.fail(stream, reasonDown)
	case wait > s.cfg.MaxWait:
		s.after(s.cfg.MaxWait, func() { caller.fail(stream, reasonBusy) })
	default:
		s.workersFree[slices.Index(s.workersFree, freeFirst)] = start.Add(s.cfg.CallTime)
		s.after(wait+s.cfg.CallTime, func() {
			if kind == proto.TypeWatch {
				s.watchers[caller] = struct{}{}
			}
			s.send(caller, s.updateSince(held), stream)
		})
	}
}

// updateSince returns what has changed since the list that an instance holds, or the full list where that is
// unknown. The lock is held.
func (s *Server) updateSince(held proto.ListVersion) endpoints.Update {
	isUnknown := held.Epoch != s.cfg.Epoch || held.Version == 0 || held.Version > s.version
	update := endpoints.Update{Epoch: s.cfg.Epoch, Version: s.version, BaseVersion: held.Version,
		Full: isUnknown}
	for _, endpoint := range s.listed {
		wanted := s.changedIn[endpoint.Server] > held.Version
		if update.Full {
			wanted = endpoint.Status != scheduler.Gone
		}
		if wanted {
			update.Endpoints = append(update.Endpoints, endpoint)
		}
	}
	slices.SortFunc(update.Endpoints, endpoints.ByServer)
	return update
}

// send sends an update and notes what its acknowledgement will confirm. The lock is held.
func (s *Server) send(to *session, update endpoints.Update, stream uint64) {
	if to.conn.Send(proto.TypeUpdate, stream, messageOf(update), nil) != nil {
		return
	}
	sent := update.Endpoints
	if update.Full {
		sent = slices.Collect(maps.Values(s.listed)) // what is missing in a full list is gone
	}
	to.unacknowledged[update.Version] = append(to.unacknowledged[update.Version], sent...)
}

// acknowledge reports what an instance knows by its acknowledgement of a version.
func (s *Server) acknowledge(from *session, version uint64) {
	s.mu.Lock()
	known := from.unacknowledged[version]
	delete(from.unacknowledged, version)
	s.mu.Unlock()
	if s.cfg.OnAcknowledged != nil {
		for _, endpoint := range known {
			s.cfg.OnAcknowledged(from.instance, endpoint)
		}
	}
}

func (s *Server) unwatch(watcher *session) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.watchers, watcher)
}
