package platform

import (
	"context"
	"errors"
	"log/slog"
	"net"
	"sync"
	"time"

	"landingpaddle/endpoints"
	"landingpaddle/internal/arrival"
	"landingpaddle/internal/daemon"
)

const (
	// answerSlackMargin is added to the answer slack of the settings, as sockets and processors may delay an
	// answer. The platform tolerates answers a little beyond every time limit.
	answerSlackMargin = 30 * time.Millisecond
	// responseMargin is the part of a client's wait that is reserved for the network delay of the response.
	responseMargin = 5 * time.Millisecond
)

// Gateway is one scheduler on the platform. [New] prepares it and [Gateway.Run] runs it, once. Shutdown and
// Reload may be called from any goroutine.
type Gateway struct {
	config    *Config
	log       *slog.Logger
	loop      *daemon.EventLoop
	addresses *addressTable
	limits    resourceLimits
	frontend  *frontend
	upstream  *upstreamPool // set by Run
	started   chan net.Addr // receives the listener's address

	mu               sync.Mutex
	discovery        *discovery // nil until Run sets it
	discoveryAddress string

	shutdown     chan struct{} // closed to request a graceful shutdown
	shutdownOnce sync.Once
	shutdownAt   time.Time // set before shutdown is closed
}

// New prepares a scheduler. Its error is a [*ConfigError] for the endpoint list in the configuration.
func New(config *Config, log *slog.Logger) (*Gateway, error) {
	g := &Gateway{
		config:           config,
		log:              log.With(attrName, config.Name),
		addresses:        newAddressTable(),
		limits:           limitsFor(config),
		started:          make(chan net.Addr, 1),
		discoveryAddress: config.Discovery,
		shutdown:         make(chan struct{}),
	}
	initial, err := g.initialList()
	if err != nil {
		return nil, keyError(configKeyKnown, err)
	}
	site := &config.Site
	g.loop = daemon.NewEventLoop(daemon.EventLoopConfig{
		Seed:             config.Seed,
		Settings:         site.Settings,
		BatchInterval:    site.Settings.BatchInterval,
		ResponseMargin:   responseMargin,
		AnswerSlack:      site.AnswerSlack + answerSlackMargin,
		InitialList:      initial,
		TrustInitialList: config.InitialList != nil,
		NodeName:         g.addresses.nodeName,
		ShutdownTimeout:  shutdownScheduleFor(&site.Settings).answerTime(),
		Log:              g.log,
	})
	g.frontend = newFrontend(g.loop, site, g.log, g.limits)
	return g, nil
}

// initialList returns the endpoint list of the configuration, or an empty one.
func (g *Gateway) initialList() (endpoints.Snapshot, error) {
	var list List
	if g.config.InitialList != nil {
		list = *g.config.InitialList
	}
	list.Reset = true
	update, err := g.addresses.applyList(list, 0, &g.config.Site)
	if err != nil {
		return endpoints.Snapshot{}, err
	}
	return endpoints.Snapshot{Version: update.Version, Endpoints: update.Endpoints}, nil
}

// Run serves until a graceful shutdown is complete or ctx is cancelled; both return nil. It waits for the
// goroutines that it started, except those of sessions, attempts and health checks. If it cannot listen on
// the address for clients or for datagrams, the error is a [*ConfigError].
func (g *Gateway) Run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	listener, err := arrival.Listen("tcp4", g.config.Listen.String())
	if err != nil {
		return keyError(configKeyListen, err)
	}
	defer listener.Close()
	g.frontend.accepting.listener = listener
	g.started <- listener.Addr()
	var workers sync.WaitGroup
	drivers, err := g.startDrivers(ctx, &workers)
	if err != nil {
		return err
	}
	workers.Go(func() { g.frontend.sweepIdle(ctx) })
	workers.Go(func() { g.upstream.sweepIdle(ctx) })
	workers.Go(func() { g.logStatus(ctx) })
	workers.Go(func() { g.runShutdown(ctx, listener) })
	workers.Go(func() { g.serveClients(ctx, listener) })
	g.log.Info(messageStarted, attrListen, listener.Addr().String(), attrDiscovery, g.config.Discovery,
		attrMaxClients, g.limits.clients, attrMaxUpstream, g.limits.upstream,
		attrMemoryLimit, g.limits.memoryBytes)
	err = g.loop.Run(ctx, drivers)
	if err == nil {
		g.frontend.waitUntilClosed(g.exitDeadline())
	}
	cancel()
	listener.Close()
	g.frontend.closeAll()
	workers.Wait()
	g.discovery.wait()
	g.log.Info(messageStopped, attrCounters, &g.loop.Stats)
	if errors.Is(err, context.Canceled) {
		return nil
	}
	return err
}

// startDrivers creates the drivers that execute the loop's actions: discovery, the upstream pool, the
// collector of arrivals and, if the configuration has an address for it, gossip.
func (g *Gateway) startDrivers(ctx context.Context, workers *sync.WaitGroup) (daemon.Drivers, error) {
	g.mu.Lock()
	g.discovery = newDiscovery(ctx, g.loop, &g.config.Site, g.discoveryAddress, g.addresses)
	g.mu.Unlock()
	g.upstream = newUpstreamPool(ctx, g.loop, g.config, g.addresses, g.log, g.limits.upstream)
	drivers := daemon.Drivers{Upstream: g.upstream, Endpoints: g.discovery,
		Arrivals: daemon.NewArrivalCollector(g.loop, g.frontend)}
	if g.config.PeerListen.IsValid() {
		gossip, err := newGossip(g.config)
		if err != nil {
			return drivers, err
		}
		drivers.Peers = gossip
		workers.Go(func() { gossip.receive(ctx, g.loop) })
	}
	return drivers, nil
}

// serveClients accepts clients. If lists are pushed, it first waits for a list or a failed call, and then
// until the loop is ready. The first wait is bounded, as an agent without a newer list sends no list.
func (g *Gateway) serveClients(ctx context.Context, listener net.Listener) {
	if g.config.PushedList {
		select {
		case <-ctx.Done():
		case <-g.discovery.firstOutcome:
		case <-time.After(slowCallTime):
		}
		select {
		case <-ctx.Done():
		case <-g.loop.Ready():
		}
	}
	g.frontend.serve(listener)
}
