package daemon

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"net/netip"
	"time"

	"golang.org/x/sync/errgroup"

	"landingpaddle/internal/arrival"
	"landingpaddle/internal/config"
	"landingpaddle/internal/peer"
	"landingpaddle/internal/proto"
	"landingpaddle/internal/registry"
)

// closeTimeout bounds how long a stopping instance waits for answers that are still being written.
const closeTimeout = time.Second

// errStopped ends the goroutines of an instance after a graceful shutdown.
var errStopped = errors.New("graceful shutdown completed")

// errPeersNotAllowed reports a configuration with peers for a site whose settings allow none.
var errPeersNotAllowed = errors.New("the site's settings allow no messages between instances")

// Config is the configuration of one instance.
type Config struct {
	Number          int    // index of this instance, from 0
	Instances       int    // number of instances of the fleet
	Zone            uint8  // index of the instance's zone in Site.Zones
	Seed            uint64 // of the scheduler's random delays; different for each instance
	Site            config.Site
	Listener        net.Listener // for clients; owned by the instance
	Registry        string       // address
	Snapshot        registry.SnapshotFile
	StatisticsFile  string                    // path of the checkpoint of statistics; "": none is kept
	PeerListen      string                    // address for messages from other instances; "": there are none
	Peers           map[uint32]netip.AddrPort // by instance number
	ShutdownTimeout time.Duration
	Log             *slog.Logger // nil: nothing is logged
	Hooks           Hooks
}

// Instance is an event loop with the drivers of the native protocol.
type Instance struct {
	*EventLoop
	cfg      Config
	clients  *clientListener
	registry *registry.Client
	peers    *peer.Link // nil: no messages between instances
}

// New returns an instance; Run starts it. If PeerListen is set, New opens the socket for messages from other
// instances.
func New(cfg Config) (*Instance, error) {
	if cfg.Log == nil {
		cfg.Log = slog.New(slog.DiscardHandler)
	}
	listener, err := recordArrivals(cfg.Listener)
	if err != nil {
		return nil, fmt.Errorf("listener: %w", err)
	}
	cfg.Listener = listener
	i := &Instance{cfg: cfg}
	i.EventLoop = NewEventLoop(i.eventLoopConfig())
	i.clients = newClientListener(i)
	if cfg.PeerListen != "" {
		peers, err := i.listenForPeers()
		if err != nil {
			return nil, fmt.Errorf("peers: %w", err)
		}
		i.peers = peers
	}
	i.registry = registry.NewClient(registry.ClientConfig{
		Addr:      cfg.Registry,
		Push:      !cfg.Site.PollEndpoints,
		Conn:      proto.Config{Hello: i.hello(), Gate: cfg.Hooks.Gate},
		Version:   i.ListVersion,
		OnUpdate:  i.ReceiveUpdate,
		OnFailure: i.ReportListFailure,
	})
	return i, nil
}

// recordArrivals makes a TCP listener tell when clients' data arrives. Other listeners are returned
// unchanged.
func recordArrivals(listener net.Listener) (net.Listener, error) {
	tcp, ok := listener.(*net.TCPListener)
	if !ok {
		return listener, nil
	}
	return arrival.Wrap(tcp)
}

func (i *Instance) eventLoopConfig() EventLoopConfig {
	cfg, site := &i.cfg, &i.cfg.Site
	loopConfig := EventLoopConfig{
		Seed:            cfg.Seed,
		Settings:        site.SchedulerSettings(cfg.Number, cfg.Instances, cfg.Zone, cfg.PeerListen != ""),
		BatchInterval:   site.Limits.BatchInterval,
		ResponseMargin:  site.Limits.ResponseMargin,
		AnswerSlack:     site.Rules.AnswerSlack,
		ClockSkew:       site.Limits.ClockSkew,
		Snapshot:        cfg.Snapshot,
		StatisticsFile:  cfg.StatisticsFile,
		Fingerprint:     i.fingerprint(),
		ShutdownTimeout: cfg.ShutdownTimeout,
		Log:             cfg.Log.With(keyInstance, cfg.Number),
		Hooks:           cfg.Hooks,
	}
	if site.Extents != nil {
		extents := site.Extents.PlannerSettings()
		loopConfig.Extents = &extents
	}
	return loopConfig
}

func (i *Instance) listenForPeers() (*peer.Link, error) {
	if !i.cfg.Site.Limits.PeerMessages {
		return nil, errPeersNotAllowed
	}
	return peer.Listen(i.cfg.PeerListen, uint32(i.cfg.Number), i.cfg.Peers, i.cfg.Hooks.Gate)
}

// hello returns the handshake message that the instance sends on its connections.
func (i *Instance) hello() proto.Hello {
	return proto.Hello{Role: "instance", Number: uint32(i.cfg.Number), StartedAt: i.startedAt.UnixNano()}
}

// Addr returns the address for clients.
func (i *Instance) Addr() net.Addr { return i.cfg.Listener.Addr() }

// PeerAddr returns the address for messages from other instances; the zero value if PeerListen is "".
func (i *Instance) PeerAddr() netip.AddrPort {
	if i.peers == nil {
		return netip.AddrPort{}
	}
	return i.peers.Addr()
}

// Run serves until the graceful shutdown begun by Stop is complete, and then returns nil, or until ctx ends,
// which acts as a kill: open calls get no answer, and Run returns the context's cause. It waits for all
// goroutines of the instance.
func (i *Instance) Run(ctx context.Context) error {
	group, groupCtx := errgroup.WithContext(ctx)
	clientsCtx, closeClients := context.WithCancel(groupCtx)
	defer closeClients()
	clientsClosed := make(chan struct{})
	group.Go(func() error {
		defer close(clientsClosed)
		return i.clients.serve(clientsCtx)
	})
	group.Go(func() error { return i.registry.Run(groupCtx) })
	group.Go(func() error { return i.saveSnapshots(groupCtx) })
	if i.peers != nil {
		group.Go(func() error { return i.peers.Run(groupCtx, i.ReceivePeerMessage) })
	}
	group.Go(func() error {
		if err := i.runLoop(groupCtx, group); err != nil {
			return err
		}
		i.drainClients(groupCtx)
		closeClients()
		<-clientsClosed
		return errStopped
	})
	i.log.Info("instance started", keyListener, i.Addr().String(), keyRegistry, i.cfg.Registry,
		keyInstances, i.cfg.Instances)
	err := group.Wait()
	i.log.Info("counters", keyCounters, &i.Stats)
	return i.logStopped(ctx, err)
}

// runLoop runs the event loop and saves the statistics after a graceful shutdown.
func (i *Instance) runLoop(ctx context.Context, group *errgroup.Group) error {
	drivers := Drivers{
		Upstream:  newUpstreamPool(ctx, group, i),
		Endpoints: i.registry,
		Arrivals:  NewArrivalCollector(i.EventLoop, i.clients),
	}
	if i.peers != nil {
		drivers.Peers = i.peers
	}
	l := newLoop(i.EventLoop, drivers)
	if err := l.run(ctx); err != nil {
		return err
	}
	l.saveStatistics()
	return nil
}

// drainClients closes the clients' connections and waits up to closeTimeout for answers still being written.
func (i *Instance) drainClients(ctx context.Context) {
	i.clients.closeGracefully("stopping")
	select {
	case <-time.After(closeTimeout):
	case <-ctx.Done():
	case <-i.clients.drained:
	}
}

// logStopped logs why the instance has stopped and returns the result of Run.
func (i *Instance) logStopped(ctx context.Context, err error) error {
	switch {
	case errors.Is(err, errStopped):
		i.log.Info("instance stopped", keyCause, "asked")
		return nil
	case ctx.Err() != nil:
		i.log.Info("instance stopped", keyCause, "killed")
		return context.Cause(ctx)
	}
	return err
}
