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

// Reasons in the answers to failed calls.
const (
	reasonDown = "down"
	reasonBusy = "busy"
)

const defaultMaxConns = 4096

// ServerConfig configures a stand-in registry.
type ServerConfig struct {
	Epoch       uint64        // of this incarnation, stated in its updates
	Delay       time.Duration // between a change and its publication
	Workers     int           // calls served concurrently; at least 1
	ServiceTime time.Duration // service time of one call
	MaxWait     time.Duration // a call that would wait longer for a worker fails after this time
	MaxConns    int           // connections served at the same time; 0 means 4096
	Conn        proto.Config  // NewServer sets Limits, IdleTimeout and the role in Hello
	// OnAcknowledged, if not nil, is called for each endpoint of an update when an instance has acknowledged
	// the update.
	OnAcknowledged func(instance uint32, endpoint endpoints.Endpoint)
}

// Server is the stand-in registry: nodes register with it and are listed until their connection ends. Its
// methods may be called by any goroutine.
type Server struct {
	cfg ServerConfig

	mu           sync.Mutex
	delay        time.Duration // of later changes
	down         bool
	version      uint64                                  // of the list; each published change adds 1
	listed       map[scheduler.Server]endpoints.Endpoint // as published; removed nodes stay, as Removed
	changedIn    map[scheduler.Server]uint64             // version of each endpoint's last change
	watchers     map[*session]struct{}
	workerFreeAt []time.Time // at which each worker becomes free
	timers       map[*time.Timer]struct{}
	unpublished  []change // in the order of arrival
	closed       bool     // Serve has ended
}

// change is a change to an endpoint that is not published yet.
type change struct {
	due          time.Time
	endpoint     endpoints.Endpoint
	processEnded bool // removes the endpoint, unless a later incarnation is listed when due
}

// NewServer returns a registry with an empty list.
func NewServer(cfg ServerConfig) *Server {
	cfg.Workers, cfg.MaxConns = max(cfg.Workers, 1), cmp.Or(cfg.MaxConns, defaultMaxConns)
	cfg.Conn.Limits = Limits
	cfg.Conn.IdleTimeout = watchIdleTimeout
	cfg.Conn.Hello.Role = "list"
	return &Server{
		cfg:          cfg,
		delay:        cfg.Delay,
		listed:       map[scheduler.Server]endpoints.Endpoint{},
		changedIn:    map[scheduler.Server]uint64{},
		watchers:     map[*session]struct{}{},
		workerFreeAt: make([]time.Time, cfg.Workers),
		timers:       map[*time.Timer]struct{}{},
	}
}

// SetDelay sets the delay with which later changes are published.
func (s *Server) SetDelay(d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.delay = d
}

// SetDown sets whether the registry is down. Going down closes the connections of all watches; while it is
// down, new calls fail.
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

// Serve serves connections until ctx ends.
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

// afterFunc runs f, with the lock held, after d, unless Serve has ended by then. The caller holds the lock.
func (s *Server) afterFunc(d time.Duration, f func()) {
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

// Put adds an endpoint to the list or replaces it, after the delay.
func (s *Server) Put(endpoint endpoints.Endpoint) { s.schedule(change{endpoint: endpoint}) }

// remove marks an endpoint as removed, after the delay.
func (s *Server) remove(endpoint endpoints.Endpoint) {
	s.schedule(change{endpoint: endpoint, processEnded: true})
}

// schedule queues a change. Changes are published in the order of arrival, even if the delay is reduced
// between them.
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
	s.afterFunc(time.Until(c.due), s.publishDue)
}

// publishDue publishes all changes that are due. The caller holds the lock.
func (s *Server) publishDue() {
	for len(s.unpublished) > 0 && !s.unpublished[0].due.After(time.Now()) {
		next := s.unpublished[0]
		s.unpublished = s.unpublished[1:]
		if current := s.listed[next.endpoint.Server]; next.processEnded {
			if current.StartedAt > next.endpoint.StartedAt {
				continue // a later incarnation is listed
			}
			next.endpoint = current
			next.endpoint.Status = scheduler.Removed
		}
		s.publish(next.endpoint)
	}
}

// publish writes an endpoint into the list and sends it to all watchers, unless a later incarnation is
// listed. The caller holds the lock.
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

// call serves a watch or fetch as soon as a worker is free. A call fails at once while the registry is down,
// and after MaxWait if the wait for a worker would be longer.
func (s *Server) call(caller *session, kind proto.Type, stream uint64, stored proto.ListVersion) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	earliestFree := slices.MinFunc(s.workerFreeAt, time.Time.Compare)
	start := now
	if earliestFree.After(now) {
		start = earliestFree
	}
	switch wait := start.Sub(now); {
	case s.down:
		caller.fail(stream, reasonDown)
	case wait > s.cfg.MaxWait:
		s.afterFunc(s.cfg.MaxWait, func() { caller.fail(stream, reasonBusy) })
	default:
		s.workerFreeAt[slices.Index(s.workerFreeAt, earliestFree)] = start.Add(s.cfg.ServiceTime)
		s.afterFunc(wait+s.cfg.ServiceTime, func() {
			if kind == proto.TypeWatch {
				s.watchers[caller] = struct{}{}
			}
			s.send(caller, s.updateSince(stored), stream)
		})
	}
}

// updateSince returns the changes since the version that an instance stores, or the full list if it stores
// none or the version is unknown. The caller holds the lock.
func (s *Server) updateSince(stored proto.ListVersion) endpoints.Update {
	isUnknown := stored.Epoch != s.cfg.Epoch || stored.Version == 0 || stored.Version > s.version
	update := endpoints.Update{Epoch: s.cfg.Epoch, Version: s.version, BaseVersion: stored.Version,
		Full: isUnknown}
	for _, endpoint := range s.listed {
		included := s.changedIn[endpoint.Server] > stored.Version
		if update.Full {
			included = endpoint.Status != scheduler.Removed
		}
		if included {
			update.Endpoints = append(update.Endpoints, endpoint)
		}
	}
	slices.SortFunc(update.Endpoints, endpoints.ByServer)
	return update
}

// send sends an update and records the endpoints that its acknowledgement confirms. The caller holds the
// lock.
func (s *Server) send(to *session, update endpoints.Update, stream uint64) {
	if to.conn.Send(proto.TypeUpdate, stream, messageOf(update), nil) != nil {
		return
	}
	sent := update.Endpoints
	if update.Full {
		sent = slices.Collect(maps.Values(s.listed)) // a full list confirms removals by omission
	}
	to.unacknowledged[update.Version] = append(to.unacknowledged[update.Version], sent...)
}

// acknowledge reports the endpoints that an instance confirms by acknowledging a version.
func (s *Server) acknowledge(from *session, version uint64) {
	s.mu.Lock()
	confirmed := from.unacknowledged[version]
	delete(from.unacknowledged, version)
	s.mu.Unlock()
	if s.cfg.OnAcknowledged != nil {
		for _, endpoint := range confirmed {
			s.cfg.OnAcknowledged(from.instance, endpoint)
		}
	}
}

func (s *Server) unwatch(watcher *session) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.watchers, watcher)
}
