package platform

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"maps"
	"math"
	"net"
	"runtime"
	"runtime/debug"
	"sync"
	"time"

	"landingpaddle/endpoints"
	"landingpaddle/internal/daemon"
	"landingpaddle/scheduler"
)

// bounds are what the machine's limits leave for each use.
type bounds struct {
	clients   int // connections of clients,
	lingering int // those that end besides,
	// and how many of these may idle for a while: clients hold a third of the descriptors at most, and what
	// one of them keeps for good is missing to the next request.
	kept   int
	nodes  int   // connections to disk servers
	open   int   // requests in work
	bodies int64 // bytes of requests' bodies in work
	memory int64 // bytes that the runtime aims to stay under
}

// spareSockets are set aside for discovery, peers, the listener, logs and the runtime.
const spareSockets = 24

// lingeringPart of the clients' connections may be such that end already.
const lingeringPart = 16

// boundsOf divides the machine. Clients get more connections than the usual ones need, as some hold theirs
// for nothing.
func boundsOf(c *Config) bounds {
	free := c.Limits.Sockets - spareSockets
	memory := int64(c.Limits.MemoryMB) << 20
	b := bounds{clients: free * 60 / 100, kept: c.Limits.Sockets / 4, bodies: memory / 8,
		memory: memory * 6 / 10}
	b.nodes = free - b.clients
	b.lingering = max(2, b.clients/lingeringPart)
	b.clients -= b.lingering
	b.open = b.clients
	if c.Site.MaxOpenRequests > 0 {
		b.open = min(b.open, c.Site.MaxOpenRequests)
	}
	return b
}

// lateSlack is part of what the platform grants beyond every time limit, as sockets and processors are late.
const lateSlack = 30 * time.Millisecond

// transit is kept of a client's wait for the way of the answer.
const transit = 5 * time.Millisecond

// tellEvery is how often what passes at the sockets is logged.
const tellEvery = 5 * time.Second

// How a stop in order goes, counted from the signal. The platform kills no sooner than the longest deadline
// and killSpare later, and as long as their connections stay open clients use them: so they are served for as
// long as what comes can still be answered.
const (
	leastAccept = 550 * time.Millisecond // new clients come for a moment, as news of a stop reaches them late
	leastAnswer = 200 * time.Millisecond // of what came by then
	killMost    = 3 * time.Second        // a longer deadline counts as this
	killSpare   = 700 * time.Millisecond
	killMargin  = 100 * time.Millisecond
)

// stopTimes is when a scheduler that is stopping takes nothing new any more, and when all that is still open
// is answered: ahead of the kill.
func stopTimes(set *scheduler.Settings) (last, end time.Duration) {
	var deadline, aim time.Duration
	for _, c := range set.Classes {
		deadline, aim = max(deadline, c.Deadline), max(aim, c.LatencyObjective)
	}
	end = max(min(deadline, killMost)+killSpare-killMargin, leastAccept+leastAnswer)
	// Half of the aim is enough for most: what is refused a connection here is lost to its client either way.
	return max(leastAccept, end-max(aim/2, leastAnswer)), end
}

// Scheduler is one scheduler on the platform.
type Gateway struct {
	cfg   *Config
	log   *slog.Logger
	core  *daemon.EventLoop
	book  *book
	front *front
	lim   bounds

	mu          sync.Mutex
	disc        *discovery // nil: not running yet
	discoveryAt string

	term    chan struct{}
	termed  sync.Once
	nodes   *nodes
	started chan net.Addr

	termAt time.Time // set before term is closed
}

// New prepares a scheduler.
func New(cfg *Config, log *slog.Logger) (*Gateway, error) {
	s := &Gateway{cfg: cfg, discoveryAt: cfg.Discovery, log: log.With("name", cfg.Name), book: newBook(),
		lim:  boundsOf(cfg),
		term: make(chan struct{}), started: make(chan net.Addr, 1)}
	var known List
	if cfg.InitialList != nil {
		known = *cfg.InitialList
	}
	known.Reset = true
	news, err := s.book.news(known, 0, &cfg.Site)
	if err != nil {
		return nil, fmt.Errorf("key %q: %w", "known", err)
	}
	last, end := stopTimes(&cfg.Site.Settings)
	s.core = daemon.NewEventLoop(daemon.EventLoopConfig{Seed: cfg.Seed, Settings: cfg.Site.Settings,
		BatchInterval: cfg.Site.Settings.BatchInterval, ResponseMargin: transit,
		AnswerSlack:      cfg.Site.AnswerSlack + lateSlack,
		InitialList:      endpoints.Snapshot{Version: news.Version, Endpoints: news.Endpoints},
		TrustInitialList: cfg.InitialList != nil, NodeName: s.book.name, ShutdownTimeout: end - last,
		Log: s.log})
	s.front = newFront(s.core, &s.cfg.Site, s.log, s.lim)
	return s, nil
}

// FitRuntime tells the Go runtime what the machine has.
func ApplyRuntimeLimits(cfg *Config) {
	if cores := cfg.Limits.Cores; cores > 0 {
		runtime.GOMAXPROCS(max(1, int(math.Ceil(cores))))
	}
	debug.SetMemoryLimit(boundsOf(cfg).memory)
}

// Term ends the scheduler in order.
func (s *Gateway) Shutdown() {
	s.termed.Do(func() {
		s.termAt = time.Now()
		close(s.term)
	})
}

// stopBy is when a scheduler that was asked to end has to have ended, its connections lingering included.
func (s *Gateway) stopBy() time.Time {
	_, end := stopTimes(&s.cfg.Site.Settings)
	return s.termAt.Add(end + killMargin/2)
}

// Reload takes over from a new configuration what may change while it runs: where discovery is.
func (s *Gateway) Reload(cfg *Config) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.discoveryAt = cfg.Discovery
	if s.disc != nil {
		s.disc.MoveTo(cfg.Discovery)
	}
	s.log.Info("configuration read again", "discovery", cfg.Discovery)
}

// Run serves until Term has been carried out (nil) or ctx ends.
func (s *Gateway) Run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	ln, err := net.Listen("tcp4", s.cfg.Listen.String())
	if err != nil {
		return fmt.Errorf("key %q: %w", "listen", err)
	}
	defer ln.Close()
	s.started <- ln.Addr()
	s.mu.Lock()
	disc := newDiscovery(ctx, s.core, &s.cfg.Site, s.discoveryAt, s.book)
	s.disc = disc
	s.mu.Unlock()
	s.nodes = newNodes(ctx, s.core, s.cfg, s.book, s.log, s.lim.nodes)
	edges := daemon.Drivers{Upstream: s.nodes, Endpoints: disc}
	var wg sync.WaitGroup
	if s.cfg.PeerListen.IsValid() {
		p, err := newPeers(s.cfg)
		if err != nil {
			return err
		}
		edges.Peers = p
		wg.Go(func() { p.run(ctx, s.core) })
	}
	wg.Go(func() { s.front.sweep(ctx) })
	wg.Go(func() { s.nodes.sweep(ctx) })
	wg.Go(func() { s.tell(ctx) })
	wg.Go(func() { s.stop(ctx, ln) })
	wg.Go(func() {
		if s.cfg.PushedList { // nothing is taken before the first list is there, or cannot be had now
			select {
			case <-ctx.Done():
			case <-disc.first:
			case <-time.After(callWithin): // an agent that is there and has nothing new says nothing
			}
			select {
			case <-ctx.Done():
			case <-s.core.Ready():
			}
		}
		s.front.serve(ln)
	})
	s.log.Info("scheduler started", "listen", ln.Addr().String(), "discovery", s.cfg.Discovery,
		"clients", s.lim.clients, "nodes", s.lim.nodes, "memory", s.lim.memory)
	err = s.core.Run(ctx, edges)
	if err == nil {
		s.front.drain(s.stopBy())
	}
	cancel()
	ln.Close()
	s.front.closeAll()
	wg.Wait()
	disc.wg.Wait()
	s.log.Info("scheduler stopped", "counters", &s.core.Stats)
	if errors.Is(err, context.Canceled) {
		return nil
	}
	return err
}

// stop carries Term out: clients are served for as long as there is time, then idle connections close, and
// the loop ends once all that came has its answer.
func (s *Gateway) stop(ctx context.Context, ln net.Listener) {
	wait := func(d time.Duration) bool {
		select {
		case <-ctx.Done():
			return false
		case <-time.After(d):
			return true
		}
	}
	select {
	case <-ctx.Done():
		return
	case <-s.term:
	}
	last, end := stopTimes(&s.cfg.Site.Settings)
	s.front.staying.Store(true)
	s.log.Info("scheduler stops", "cause", "asked", "serves", last, "ends", end)
	if !wait(last) {
		return
	}
	ln.Close()
	s.front.bye()
	s.core.Stop()
}

// tell logs what happened at an interval.
func (s *Gateway) tell(ctx context.Context) {
	every(ctx, tellEvery, func() {
		s.log.Info("state", "all", s.state())
		s.core.InspectNodes(s.compare)
	})
}

// every calls do at an interval until ctx ends.
func every(ctx context.Context, interval time.Duration, do func()) {
	tick := time.NewTicker(interval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
			do()
		}
	}
}

// compare logs what the module believes of each disk server beside what is on its way there.
func (s *Gateway) compare(beliefs []scheduler.NodeState) {
	s.nodes.mu.Lock()
	work := maps.Clone(s.nodes.work)
	s.nodes.mu.Unlock()
	var rows []any
	for _, b := range beliefs {
		rows = append(rows, slog.String(s.book.name(b.Server), fmt.Sprintf(
			"%v out=%d work=%d used=%.0f depth=%.1f latency=%v fails=%d",
			b.Status,
			b.InFlight,
			work[b.Server],
			b.SlotsUsed,
			b.Depth,
			b.Latency.Round(100*time.Microsecond),
			b.Failures,
		)))
	}
	s.log.Info("nodes", slog.Group("believed", rows...))
}

// state is what passes at the sockets, for the log.
func (s *Gateway) state() slog.Value {
	f, n := s.front, s.nodes
	silent, saying, idling, work := f.crowd()
	n.mu.Lock()
	held, idle := n.held, 0
	for _, row := range n.idle {
		idle += len(row)
	}
	n.mu.Unlock()
	var mem runtime.MemStats
	runtime.ReadMemStats(&mem)
	return slog.GroupValue(slog.Any("counters", &s.core.Stats), slog.Int("silent", silent),
		slog.Int("saying", saying), slog.Int("idle", idling), slog.Int("work", work),
		slog.Int("lingering", f.ending()),
		slog.Int("node_conns", held), slog.Int("node_idle", idle),
		slog.Uint64("accepted", f.counts.accepted.Load()), slog.Uint64("turned", f.counts.turned.Load()),
		slog.Uint64("never_said", f.counts.silent.Load()), slog.Uint64("evicted", f.counts.evicted.Load()),
		slog.Uint64("malformed", f.counts.malformed.Load()),
		slog.Uint64("doubled", f.counts.doubled.Load()), slog.Uint64("crowded", f.counts.crowded.Load()),
		slog.Uint64("dialed", n.counts.dialed.Load()), slog.Uint64("reused", n.counts.reused.Load()),
		slog.Uint64("stale", n.counts.stale.Load()), slog.Uint64("spoilt", n.counts.spoilt.Load()),
		slog.Uint64("unasked", n.counts.unasked.Load()), slog.Uint64("node_crowded", n.counts.crowded.Load()),
		slog.Uint64("heap_kb", mem.HeapInuse>>10), slog.Uint64("sys_kb", mem.Sys>>10),
		slog.Int("goroutines", runtime.NumGoroutine()))
}
