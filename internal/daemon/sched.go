// Package sched is the running scheduler: one instance as a daemon. One goroutine owns one decision module;
// it hands it what happens and carries out what it asks for. Nothing here decides about health, retries,
// shares, order or drains: the only time-outs are those that actions and clients state, and what comes in
// over a bound is refused at once with a reason and when to come back.
package daemon

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"

	"landingpaddle/checkpoint"
	"landingpaddle/endpoints"
	"landingpaddle/extent"
	"landingpaddle/internal/config"
	"landingpaddle/internal/peer"
	"landingpaddle/internal/proto"
	"landingpaddle/internal/registry"
	"landingpaddle/scheduler"
)

// Decider is a decision module as the scheduler drives it; control.Host is one.
type Decider interface {
	Handle(now time.Duration, ev scheduler.Event)
	Decide(now time.Duration) []scheduler.Action
}

// Hooks let a laboratory stand between the parts of an instance. All are nil in service.
type Hooks struct {
	// Passed before all reads, writes and batches.
	Gate     func()
	Decider  func(set scheduler.Settings, host Decider) Decider           // takes the module's place
	OnAnswer func(c *proto.Conn, stream uint64, a proto.Answer, p []byte) // after each final answer
}

// Config is one instance.
type Config struct {
	Number, Instances int
	Zone              uint8
	Seed              uint64
	Site              config.Site
	Listener          net.Listener // for clients; owned by the instance
	Registry          string       // address of the list service
	Snapshot          registry.SnapshotFile
	StatisticsFile    string // file of what was learnt; "": nothing is kept
	PeerListen        string // "": no peers
	Peers             map[uint32]netip.AddrPort
	ShutdownTimeout   time.Duration
	Log               *slog.Logger
	Hooks             Hooks
}

// epoch is the module's clock at an instance's start: times before it, such as starts of nodes, stay
// positive.
const epoch = time.Hour

// CoreConfig is what the loop needs to know, whatever the edges speak.
type EventLoopConfig struct {
	Seed           uint64
	Settings       scheduler.Settings
	BatchInterval  time.Duration         // batches begin at most this often
	ResponseMargin time.Duration         // what of a client's wait is left for the way back
	AnswerSlack    time.Duration         // so long after a call's time the net under the module answers it
	ClockSkew      time.Duration         // of nodes' clocks
	Extents        *extent.Settings      // nil: no ranged requests
	Snapshot       registry.SnapshotFile // the list kept from before a restart;
	InitialList    endpoints.Snapshot    // without such a file, the list as it was told at the start
	// the list service goes on as it was: changes to what was kept are believed
	TrustInitialList bool
	StatisticsFile   string                 // file of what was learnt; "": nothing is kept
	Fingerprint      checkpoint.Fingerprint // on which the meaning of that hangs
	ShutdownTimeout  time.Duration
	NodeName         func(scheduler.Server) string // how logs call a node; nil: by its address
	Log              *slog.Logger
	Hooks            Hooks
}

// Core is one scheduler without its edges: the decision module, the loop that owns it and what leads there.
type EventLoop struct {
	cfg       EventLoopConfig
	log       *slog.Logger
	start     time.Time
	in        *inbox
	kept      chan endpoints.Snapshot
	held      atomic.Pointer[[2]uint64] // epoch and version of the list held
	open      atomic.Int64              // calls admitted and not answered
	standings standings
	ready     chan struct{}
	stop      chan struct{}
	stopped   sync.Once
	Stats     Stats
}

// NewCore prepares a scheduler; Loop makes it work.
func NewEventLoop(cfg EventLoopConfig) *EventLoop {
	c := &EventLoop{
		cfg:   cfg,
		log:   cfg.Log,
		start: time.Now(),
		in:    newInbox(),
		kept:  make(chan endpoints.Snapshot, 1),
		ready: make(chan struct{}),
		stop:  make(chan struct{}),
	}
	if c.log == nil {
		c.log = slog.New(slog.DiscardHandler)
	}
	if c.cfg.NodeName == nil {
		c.cfg.NodeName = addrText
	}
	c.held.Store(&[2]uint64{})
	return c
}

// Loop works until Stop has been carried out (nil) or ctx ends, which is a kill.
func (c *EventLoop) Run(ctx context.Context, edges Drivers) error { return newLoop(c, edges).run(ctx) }

// IsReady tells whether the module holds the list of the start.
func (c *EventLoop) IsReady() bool { return closed(c.ready) }

func closed(ch <-chan struct{}) bool {
	select {
	case <-ch:
		return true
	default:
		return false
	}
}

// Ready is closed once the module holds the list of the start.
func (c *EventLoop) Ready() <-chan struct{} { return c.ready }

// Now is the module's clock.
func (c *EventLoop) Now() time.Duration { return epoch + time.Since(c.start) }

// Held is the version of the list that is held; 0: none was heard in this life.
func (c *EventLoop) ListVersion() (epoch, version uint64) {
	h := c.held.Load()
	return h[0], h[1]
}

// Instance is one scheduler that speaks the native protocol.
type Instance struct {
	*EventLoop
	cfg   Config
	front *front
	list  *registry.Client
	link  *peer.Link
}

// New prepares an instance; Run makes it work. Where the kept list cannot be believed it is left out and
// logged.
func New(cfg Config) (*Instance, error) {
	if cfg.Log == nil {
		cfg.Log = slog.New(slog.DiscardHandler)
	}
	site := &cfg.Site
	i := &Instance{cfg: cfg}
	core := EventLoopConfig{
		Seed:            cfg.Seed,
		BatchInterval:   site.Limits.BatchInterval,
		ResponseMargin:  site.Limits.ResponseMargin,
		AnswerSlack:     site.Rules.AnswerSlack,
		ClockSkew:       site.Limits.ClockSkew,
		Snapshot:        cfg.Snapshot,
		StatisticsFile:  cfg.StatisticsFile,
		Fingerprint:     i.fingerprint(),
		ShutdownTimeout: cfg.ShutdownTimeout,
		Log:             cfg.Log.With("instance", cfg.Number),
		Settings:        site.Scheduler(cfg.Number, cfg.Instances, cfg.Zone, cfg.PeerListen != ""),
		Hooks:           cfg.Hooks,
	}
	if site.Extents != nil {
		plan := site.Extents.Planner()
		core.Extents = &plan
	}
	i.EventLoop = NewEventLoop(core)
	i.front = newFront(i)
	if cfg.PeerListen != "" && !cfg.Site.Limits.PeerMessages {
		return nil, errors.New("peers: the site allows no messages between instances")
	}
	if cfg.PeerListen != "" {
		link, err := peer.Listen(cfg.PeerListen, uint32(cfg.Number), cfg.Peers, cfg.Hooks.Gate)
		if err != nil {
			return nil, fmt.Errorf("peers: %w", err)
		}
		i.link = link
	}
	i.list = registry.NewClient(registry.ClientConfig{Addr: cfg.Registry, Push: !cfg.Site.PollEndpoints,
		Conn:    proto.Config{Hello: i.hello(), Gate: cfg.Hooks.Gate},
		Version: i.ListVersion, OnUpdate: i.ReceiveUpdate, OnFailure: i.ReportListFailure})
	return i, nil
}

func (i *Instance) hello() proto.Hello {
	return proto.Hello{Role: "instance", Number: uint32(i.cfg.Number), StartedAt: i.start.UnixNano()}
}

// Addr is where clients connect.
func (i *Instance) Addr() net.Addr { return i.cfg.Listener.Addr() }

// PeerAddr is where other instances send to; the zero value without peers.
func (i *Instance) PeerAddr() netip.AddrPort {
	if i.link == nil {
		return netip.AddrPort{}
	}
	return i.link.Addr()
}

func (c *EventLoop) clock() endpoints.Clock {
	return endpoints.Clock{Now: c.Now(), Wall: time.Now().UnixNano()}
}

// Stop ends the scheduler in order: it takes nothing new, answers all that it holds, then Run returns.
func (c *EventLoop) Stop() { c.stopped.Do(func() { close(c.stop) }) }

// Stopping tells whether Stop was called: nothing new is taken any more.
func (c *EventLoop) Stopping() bool { return closed(c.stop) }

var errDone = errors.New("stopped in order")

// Run works until Stop has been carried out (nil) or ctx ends, which is a kill: what is held gets no answer.
func (i *Instance) Run(ctx context.Context) error {
	g, run := errgroup.WithContext(ctx)
	clients, cancelClients := context.WithCancel(run)
	defer cancelClients()
	served := make(chan struct{})
	g.Go(func() error {
		defer close(served)
		return i.front.serve(clients)
	})
	g.Go(func() error { return i.list.Run(run) })
	g.Go(func() error { return i.keep(run) })
	if i.link != nil {
		g.Go(func() error { return i.link.Run(run, i.ReceivePeerMessage) })
	}
	g.Go(func() error {
		edges := Drivers{Upstream: newPool(run, g, i), Endpoints: i.list}
		if i.link != nil {
			edges.Peers = i.link
		}
		l := newLoop(i.EventLoop, edges)
		err := l.run(run)
		if err == nil {
			l.saveStatistics()
			i.front.bye("stopping")
			select { // answers on their way out are given a moment
			case <-time.After(time.Second):
			case <-run.Done():
			case <-i.front.empty():
			}
			cancelClients()
			<-served
			return errDone
		}
		return err
	})
	i.log.Info(
		"instance started",
		"clients",
		i.Addr().String(),
		"list",
		i.cfg.Registry,
		"of",
		i.cfg.Instances,
	)
	err := g.Wait()
	i.log.Info("counters", "all", &i.Stats)
	switch {
	case errors.Is(err, errDone):
		i.log.Info("instance stopped", "cause", "asked")
		return nil
	case ctx.Err() != nil:
		i.log.Info("instance stopped", "cause", "killed")
		return context.Cause(ctx)
	}
	return err
}

// keep writes the last list to disk, away from the path of requests. A disk that is full costs the instance
// what it would believe after a restart, and nothing else.
func (i *Instance) keep(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case k := <-i.kept:
			if i.cfg.Snapshot.Path == "" {
				continue
			}
			if err := i.cfg.Snapshot.Save(k); err != nil {
				i.Stats.SnapshotFailures.Add(1)
				i.log.Warn("kept list not written", "error", err)
			}
		}
	}
}
