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
type resourceLimits struct {
	clients   int // connections of clients,
	lingering int // those that end besides,
	// and how many of these may idle for a while: clients hold a third of the descriptors at most, and what
	// one of them keeps for good is missing to the next request.
	keptIdle     int
	upstream     int   // connections to disk servers
	openRequests int   // requests in work
	bodyBytes    int64 // bytes of requests' bodies in work
	memoryBytes  int64 // bytes that the runtime aims to stay under
}

// spareSockets are set aside for discovery, peers, the listener, logs and the runtime.
const reservedSockets = 24

// lingeringPart of the clients' connections may be such that end already.
const lingeringDivisor = 16

// boundsOf divides the machine. Clients get more connections than the usual ones need, as some hold theirs
// for nothing.
func limitsFor(c *Config) resourceLimits {
	free := c.Limits.Sockets - reservedSockets
	memory := int64(c.Limits.MemoryMB) << 20
	b := resourceLimits{clients: free * 60 / 100, keptIdle: c.Limits.Sockets / 4, bodyBytes: memory / 8,
		memoryBytes: memory * 6 / 10}
	b.upstream = free - b.clients
	b.lingering = max(2, b.clients/lingeringDivisor)
	b.clients -= b.lingering
	b.openRequests = b.clients
	if c.Site.MaxOpenRequests > 0 {
		b.openRequests = min(b.openRequests, c.Site.MaxOpenRequests)
	}
	return b
}

// lateSlack is part of what the platform grants beyond every time limit, as sockets and processors are late.
const answerSlackMargin = 30 * time.Millisecond

// transit is kept of a client's wait for the way of the answer.
const responseMargin = 5 * time.Millisecond

// tellEvery is how often what passes at the sockets is logged.
const statusInterval = 5 * time.Second

// How a stop in order goes, counted from the signal. The platform kills no sooner than the longest deadline
// and killSpare later, and as long as their connections stay open clients use them: so they are served for as
// long as what comes can still be answered.
const (
	minAcceptTime      = 550 * time.Millisecond // clients learn late of a shutdown
	minAnswerTime      = 200 * time.Millisecond // of what came by then
	maxDeadlineCounted = 3 * time.Second        // a longer deadline counts as this
	killGrace          = 700 * time.Millisecond
	killMargin         = 100 * time.Millisecond
)

// stopTimes is when a scheduler that is stopping takes nothing new any more, and when all that is still open
// is answered: ahead of the kill.
func shutdownScheduleFor(set *scheduler.Settings) (last, end time.Duration) {
	var deadline, aim time.Duration
	for _, c := range set.Classes {
		deadline, aim = max(deadline, c.Deadline), max(aim, c.LatencyObjective)
	}
	end = max(min(deadline, maxDeadlineCounted)+killGrace-killMargin, minAcceptTime+minAnswerTime)
	// Half of the aim is enough for most: what is refused a connection here is lost to its client either way.
	return max(minAcceptTime, end-max(aim/2, minAnswerTime)), end
}

// Scheduler is one scheduler on the platform.
type Gateway struct {
	config    *Config
	log       *slog.Logger
	loop      *daemon.EventLoop
	addresses *addressTable
	frontend  *frontend
	limits    resourceLimits

	mu               sync.Mutex
	discovery        *discovery // nil: not running yet
	discoveryAddress string

	shutdown     chan struct{}
	shutdownOnce sync.Once
	upstream     *upstreamPool
	started      chan net.Addr

	shutdownAt time.Time // set before term is closed
}

// New prepares a scheduler.
func New(cfg *Config, log *slog.Logger) (*Gateway, error) {
	s := &Gateway{
		config:           cfg,
		discoveryAddress: cfg.Discovery,
		log:              log.With("name", cfg.Name),
		addresses:        newAddressTable(),
		limits:           limitsFor(cfg),
		shutdown:         make(chan struct{}),
		started:          make(chan net.Addr, 1),
	}
	var known List
	if cfg.InitialList != nil {
		known = *cfg.InitialList
	}
	known.Reset = true
	news, err := s.addresses.applyList(known, 0, &cfg.Site)
	if err != nil {
		return nil, fmt.Errorf("key %q: %w", "known", err)
	}
	last, end := shutdownScheduleFor(&cfg.Site.Settings)
	s.loop = daemon.NewEventLoop(daemon.EventLoopConfig{Seed: cfg.Seed, Settings: cfg.Site.Settings,
		BatchInterval: cfg.Site.Settings.BatchInterval, ResponseMargin: responseMargin,
		AnswerSlack:      cfg.Site.AnswerSlack + answerSlackMargin,
		InitialList:      endpoints.Snapshot{Version: news.Version, Endpoints: news.Endpoints},
		TrustInitialList: cfg.InitialList != nil, NodeName: s.addresses.nodeName, ShutdownTimeout: end - last,
		Log: s.log})
	s.frontend = newFrontend(s.loop, &s.config.Site, s.log, s.limits)
	return s, nil
}

// FitRuntime tells the Go runtime what the machine has.
func ApplyRuntimeLimits(cfg *Config) {
	if cores := cfg.Limits.Cores; cores > 0 {
		runtime.GOMAXPROCS(max(1, int(math.Ceil(cores))))
	}
	debug.SetMemoryLimit(limitsFor(cfg).memoryBytes)
}

// Term ends the scheduler in order.
func (s *Gateway) Shutdown() {
	s.shutdownOnce.Do(func() {
		s.shutdownAt = time.Now()
		close(s.shutdown)
	})
}

// stopBy is when a scheduler that was asked to end has to have ended, its connections lingering included.
func (s *Gateway) exitDeadline() time.Time {
	_, end := shutdownScheduleFor(&s.config.Site.Settings)
	return s.shutdownAt.Add(end + killMargin/2)
}

// Reload takes over from a new configuration what may change while it runs: where discovery is.
func (s *Gateway) Reload(cfg *Config) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.discoveryAddress = cfg.Discovery
	if s.discovery != nil {
		s.discovery.MoveTo(cfg.Discovery)
	}
	s.log.Info("configuration read again", "discovery", cfg.Discovery)
}

// Run serves until Term has been carried out (nil) or ctx ends.
func (s *Gateway) Run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	ln, err := net.Listen("tcp4", s.config.Listen.String())
	if err != nil {
		return fmt.Errorf("key %q: %w", "listen", err)
	}
	defer ln.Close()
	s.started <- ln.Addr()
	s.mu.Lock()
	disc := newDiscovery(ctx, s.loop, &s.config.Site, s.discoveryAddress, s.addresses)
	s.discovery = disc
	s.mu.Unlock()
	s.upstream = newUpstreamPool(ctx, s.loop, s.config, s.addresses, s.log, s.limits.upstream)
	edges := daemon.Drivers{Upstream: s.upstream, Endpoints: disc}
	var wg sync.WaitGroup
	if s.config.PeerListen.IsValid() {
		p, err := newGossip(s.config)
		if err != nil {
			return err
		}
		edges.Peers = p
		wg.Go(func() { p.receive(ctx, s.loop) })
	}
	wg.Go(func() { s.frontend.sweepIdle(ctx) })
	wg.Go(func() { s.upstream.sweepIdle(ctx) })
	wg.Go(func() { s.logStatus(ctx) })
	wg.Go(func() { s.runShutdown(ctx, ln) })
	wg.Go(func() {
		if s.config.PushedList { // nothing is taken before the first list is there, or cannot be had now
			select {
			case <-ctx.Done():
			case <-disc.firstOutcome:
			case <-time.After(callTimeout): // an agent that is there and has nothing new says nothing
			}
			select {
			case <-ctx.Done():
			case <-s.loop.Ready():
			}
		}
		s.frontend.serve(ln)
	})
	s.log.Info("scheduler started", "listen", ln.Addr().String(), "discovery", s.config.Discovery,
		"clients", s.limits.clients, "nodes", s.limits.upstream, "memory", s.limits.memoryBytes)
	err = s.loop.Run(ctx, edges)
	if err == nil {
		s.frontend.waitUntilClosed(s.exitDeadline())
	}
	cancel()
	ln.Close()
	s.frontend.closeAll()
	wg.Wait()
	disc.wg.Wait()
	s.log.Info("scheduler stopped", "counters", &s.loop.Stats)
	if errors.Is(err, context.Canceled) {
		return nil
	}
	return err
}

// stop carries Term out: clients are served for as long as there is time, then idle connections close, and
// the loop ends once all that came has its answer.
func (s *Gateway) runShutdown(ctx context.Context, ln net.Listener) {
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
	case <-s.shutdown:
	}
	last, end := shutdownScheduleFor(&s.config.Site.Settings)
	s.frontend.keepIdle.Store(true)
	s.log.Info("scheduler stops", "cause", "asked", "serves", last, "ends", end)
	if !wait(last) {
		return
	}
	ln.Close()
	s.frontend.closeGracefully()
	s.loop.Stop()
}

// tell logs what happened at an interval.
func (s *Gateway) logStatus(ctx context.Context) {
	every(ctx, statusInterval, func() {
		s.log.Info("state", "all", s.statusValue())
		s.loop.InspectNodes(s.logNodeStates)
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
func (s *Gateway) logNodeStates(beliefs []scheduler.NodeState) {
	s.upstream.mu.Lock()
	work := maps.Clone(s.upstream.attempts)
	s.upstream.mu.Unlock()
	var rows []any
	for _, b := range beliefs {
		rows = append(rows, slog.String(s.addresses.nodeName(b.Server), fmt.Sprintf(
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
func (s *Gateway) statusValue() slog.Value {
	f, n := s.frontend, s.upstream
	silent, saying, idling, work := f.countByState()
	n.mu.Lock()
	held, idle := n.connections, 0
	for _, row := range n.idle {
		idle += len(row)
	}
	n.mu.Unlock()
	var mem runtime.MemStats
	runtime.ReadMemStats(&mem)
	return slog.GroupValue(
		slog.Any("counters", &s.loop.Stats),
		slog.Int("silent", silent),
		slog.Int("saying", saying),
		slog.Int("idle", idling),
		slog.Int("work", work),
		slog.Int("lingering", f.lingeringCount()),
		slog.Int("node_conns", held),
		slog.Int("node_idle", idle),
		slog.Uint64(
			"accepted",
			f.counters.accepted.Load(),
		),
		slog.Uint64("turned", f.counters.refused.Load()),
		slog.Uint64(
			"never_said",
			f.counters.silent.Load(),
		),
		slog.Uint64("evicted", f.counters.evicted.Load()),
		slog.Uint64("malformed", f.counters.invalid.Load()),
		slog.Uint64(
			"doubled",
			f.counters.duplicateIDs.Load(),
		),
		slog.Uint64("crowded", f.counters.overLimit.Load()),
		slog.Uint64("dialed", n.counters.dialed.Load()),
		slog.Uint64("reused", n.counters.reused.Load()),
		slog.Uint64("stale", n.counters.stale.Load()),
		slog.Uint64("spoilt", n.counters.malformed.Load()),
		slog.Uint64(
			"unasked",
			n.counters.unsolicited.Load(),
		),
		slog.Uint64("node_crowded", n.counters.exhausted.Load()),
		slog.Uint64("heap_kb", mem.HeapInuse>>10),
		slog.Uint64("sys_kb", mem.Sys>>10),
		slog.Int("goroutines", runtime.NumGoroutine()),
	)
}
