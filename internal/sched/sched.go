// Package sched is the running scheduler: one instance as a daemon. One goroutine owns one decision module;
// it hands it what happens and carries out what it asks for. Nothing here decides about health, retries,
// shares, order or drains: the only time-outs are those that actions and clients state, and what comes in
// over a bound is refused at once with a reason and when to come back.
package sched

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

	"landingpaddle/control"
	"landingpaddle/internal/config"
	"landingpaddle/internal/nodelist"
	"landingpaddle/internal/peer"
	"landingpaddle/internal/proto"
	"landingpaddle/roster"
)

// Decider is a decision module as the scheduler drives it; control.Host is one.
type Decider interface {
	Handle(now time.Duration, ev control.Event)
	Decide(now time.Duration) []control.Action
}

// Hooks let a laboratory stand between the parts of an instance. All are nil in service.
type Hooks struct {
	// Passed before all reads, writes and batches.
	Gate     func()
	Decider  func(set control.Settings, host Decider) Decider             // takes the module's place
	Answered func(c *proto.Conn, stream uint64, a proto.Answer, p []byte) // after each final answer
}

// Config is one instance.
type Config struct {
	Number, Of int
	Zone       uint8
	Seed       uint64
	Site       config.Site
	Listener   net.Listener // for clients; owned by the instance
	List       string       // address of the list service
	Kept       nodelist.File
	Learnt     string // file of what was learnt; "": nothing is kept
	PeerListen string // "": no peers
	Peers      map[uint32]netip.AddrPort
	StopWithin time.Duration
	Log        *slog.Logger
	Hooks      Hooks
}

// epoch is the module's clock at an instance's start: times before it, such as starts of nodes, stay
// positive.
const epoch = time.Hour

// Instance is one scheduler.
type Instance struct {
	cfg     Config
	log     *slog.Logger
	start   time.Time
	in      *inbox
	front   *front
	list    *nodelist.Client
	link    *peer.Link
	kept    chan roster.Kept
	held    atomic.Pointer[[2]uint64] // epoch and version of the list held
	stop    chan struct{}
	stopped sync.Once
	Stats   Stats
}

// New prepares an instance; Run makes it work. Where the kept list cannot be believed it is left out and
// logged.
func New(cfg Config) (*Instance, error) {
	i := &Instance{cfg: cfg, log: cfg.Log, start: time.Now(), in: newInbox(), kept: make(chan roster.Kept, 1),
		stop: make(chan struct{})}
	if i.log == nil {
		i.log = slog.New(slog.DiscardHandler)
	}
	i.log = i.log.With("instance", cfg.Number)
	i.front = newFront(i)
	if cfg.PeerListen != "" && !cfg.Site.Limits.Peers {
		return nil, errors.New("peers: the site allows no messages between instances")
	}
	if cfg.PeerListen != "" {
		link, err := peer.Listen(cfg.PeerListen, uint32(cfg.Number), cfg.Peers, cfg.Hooks.Gate)
		if err != nil {
			return nil, fmt.Errorf("peers: %w", err)
		}
		i.link = link
	}
	i.held.Store(&[2]uint64{})
	i.list = nodelist.NewClient(nodelist.ClientConfig{Addr: cfg.List, Push: !cfg.Site.Ask,
		Conn: proto.Config{Hello: i.hello(), Gate: cfg.Hooks.Gate},
		Held: func() (uint64, uint64) { h := i.held.Load(); return h[0], h[1] },
		Hear: func(n roster.News) { i.in.put(n) }, Failed: func(err error) { i.in.put(listFailed{err}) }})
	return i, nil
}

func (i *Instance) hello() proto.Hello {
	return proto.Hello{Role: "instance", Number: uint32(i.cfg.Number), Boot: i.start.UnixNano()}
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

// now is the module's clock.
func (i *Instance) now() time.Duration { return epoch + time.Since(i.start) }

func (i *Instance) clock() roster.Clock {
	return roster.Clock{Now: i.now(), Wall: time.Now().UnixNano()}
}

// Stop ends the instance in order: it takes nothing new, answers all that it holds, then Run returns.
func (i *Instance) Stop() { i.stopped.Do(func() { close(i.stop) }) }

func (i *Instance) stopping() bool {
	select {
	case <-i.stop:
		return true
	default:
		return false
	}
}

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
		g.Go(func() error { return i.link.Run(run, func(p control.Peer) { i.in.putPeer(p) }) })
	}
	g.Go(func() error {
		l := newLoop(run, g, i)
		err := l.run(run)
		if err == nil {
			l.saveLearnt()
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
	i.log.Info("instance started", "clients", i.Addr().String(), "list", i.cfg.List, "of", i.cfg.Of)
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
			if i.cfg.Kept.Path == "" {
				continue
			}
			if err := i.cfg.Kept.Save(k); err != nil {
				i.Stats.KeptFailed.Add(1)
				i.log.Warn("kept list not written", "error", err)
			}
		}
	}
}

// Stats count what an instance did; all may be read at any time.
type Stats struct {
	Taken, Served, Refused, Failed, Left            atomic.Uint64
	Sends, Batches, Late, Moot, Overdue, KeptFailed atomic.Uint64

	// Of ranged requests. Operations counts what was sent to nodes, an operation of several members once;
	// Saved, what merging spared.
	Split, Pieces, Operations, Merged, Members, Saved, Withdrawn, Partial, Copied atomic.Uint64
}

// LogValue lists the counters for the log, those of ranged requests only where there were some.
func (s *Stats) LogValue() slog.Value {
	var out []slog.Attr
	add := func(name string, c *atomic.Uint64) { out = append(out, slog.Uint64(name, c.Load())) }
	add("taken", &s.Taken)
	add("served", &s.Served)
	add("refused", &s.Refused)
	add("failed", &s.Failed)
	add("left", &s.Left)
	add("sends", &s.Sends)
	add("late", &s.Late)
	add("overdue", &s.Overdue)
	if s.Pieces.Load() > 0 {
		add("split", &s.Split)
		add("pieces", &s.Pieces)
		add("operations", &s.Operations)
		add("merged", &s.Merged)
		add("members", &s.Members)
		add("saved", &s.Saved)
		add("withdrawn", &s.Withdrawn)
		add("partial", &s.Partial)
		add("copied", &s.Copied)
	}
	return slog.GroupValue(out...)
}
