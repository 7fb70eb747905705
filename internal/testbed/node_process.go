package testbed

import (
	"context"
	"math/rand/v2"
	"net"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"landingpaddle/endpoints"
	"landingpaddle/internal/proto"
	"landingpaddle/internal/registry"
	"landingpaddle/scheduler"
)

// Limits of a node's connections, in addition to those in the site's settings.
const (
	nodeMaxHeader   = 4 << 10  // bytes
	nodeMaxBacklog  = 64 << 20 // bytes
	nodeIdleTimeout = 10 * time.Minute
)

// nodeProcess is one incarnation of a node.
type nodeProcess struct {
	node      *Node
	startedAt int64 // in Unix nanoseconds by the node's clock; 0: long ago
	queue     chan *operation
	kill      context.CancelFunc
	status    chan endpoints.Endpoint // updates for the registry

	mu         sync.Mutex
	rng        *rand.Rand
	draining   bool
	conns      map[*proto.Conn]map[uint64]*operation // operations by stream, until their answers are sent
	slowStart  slowStart
	elsewhere  elsewhereCounter
	recentKeys []uint64      // of the latest operations with a key
	deferred   time.Duration // work that is deferred to the next flush
}

// newNodeProcess returns the next incarnation of a node; kill ends it.
func newNodeProcess(node *Node, kill context.CancelFunc) *nodeProcess {
	isCold := node.cfg.StartsCold || node.starts > 0
	p := &nodeProcess{
		node:      node,
		kill:      kill,
		queue:     make(chan *operation, node.cfg.Model.Queue),
		rng:       rand.New(rand.NewPCG(node.cfg.Seed, uint64(2+node.starts))),
		conns:     map[*proto.Conn]map[uint64]*operation{},
		slowStart: slowStart{cold: isCold, started: time.Now(), rules: &node.cfg.Site.Rules},
		elsewhere: newElsewhereCounter(),
		status:    make(chan endpoints.Endpoint, 4),
	}
	if isCold {
		p.startedAt = node.cfg.Log.Now() + int64(node.cfg.ClockAhead)
	}
	return p
}

// run serves connections, executes operations and keeps the node registered until ctx ends or one of these
// fails.
func (p *nodeProcess) run(ctx context.Context, listener net.Listener) error {
	cfg := &p.node.cfg
	p.log(Event{Kind: KindNodeStarted, StartedAt: p.startedAt, Reason: cfg.Addr.String()})
	defer p.log(Event{Kind: KindNodeStopped, StartedAt: p.startedAt})
	connCfg := p.connConfig()
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error {
		return proto.Serve(ctx, listener, connCfg, cfg.Model.MaxConnections, p.serveConn)
	})
	for range cfg.Model.Cores {
		group.Go(func() error { return p.runCore(ctx) })
	}
	group.Go(func() error { return p.pauseAndFlush(ctx) })
	group.Go(func() error { return registry.Register(ctx, cfg.Registry, connCfg, p.status) })
	p.status <- p.endpoint(scheduler.Ready)
	return group.Wait()
}

func (p *nodeProcess) connConfig() proto.Config {
	cfg := &p.node.cfg
	return proto.Config{
		Limits: proto.Limits{
			MaxHeader:  nodeMaxHeader,
			MaxPayload: int(cfg.Site.Limits.MaxPayload),
			MaxStreams: cfg.Site.Limits.Streams,
			MaxBacklog: nodeMaxBacklog,
		},
		IdleTimeout: nodeIdleTimeout,
		Gate:        p.node.Faults.waitWhileStuck,
		Hello:       proto.Hello{Role: "node", Number: uint32(cfg.Number), StartedAt: p.startedAt},
	}
}

// endpoint returns the node's entry in the endpoint list, with a status.
func (p *nodeProcess) endpoint(status scheduler.Status) endpoints.Endpoint {
	server, err := registry.ServerFromAddrPort(p.node.cfg.Addr)
	if err != nil {
		panic(err) // the address is bound as IPv4
	}
	return endpoints.Endpoint{
		Server:          server,
		Status:          status,
		Cell:            p.node.cfg.Cell,
		Zone:            p.node.cfg.Zone,
		StartedAt:       p.startedAt,
		NominalCapacity: 1,
	}
}

func (p *nodeProcess) log(event Event) {
	cfg := &p.node.cfg
	event.Node, event.Zone, event.Cell = cfg.Number, int(cfg.Zone), int(cfg.Cell)
	if cfg.Log != nil {
		cfg.Log.Add(event)
	}
}

// logOperation logs an event of an operation, once for each of its members. For a dropped member neither the
// start nor an end is logged: its end was logged when it was dropped.
func (p *nodeProcess) logOperation(kind Kind, op *operation, code proto.Code) {
	for i, m := range op.members {
		if m.dropped && (kind == KindStart || kind == KindEnd || kind == KindCancel) {
			continue
		}
		event := op.event(kind, m, code)
		event.StartedAt = p.startedAt
		if kind == KindEnd && i < len(op.sums) { // sums are set for ranged operations only
			event.Checksum = op.sums[i]
		}
		p.log(event)
	}
}

// pauseAndFlush pauses the node for PauseLength after each PauseInterval and, after each FlushInterval, for
// the time that its cores need for the deferred work. Both intervals are jittered.
func (p *nodeProcess) pauseAndFlush(ctx context.Context) error {
	model := &p.node.cfg.Model
	pause, flush := p.jitteredTimer(model.PauseInterval), p.jitteredTimer(model.FlushInterval)
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-pause:
			p.node.Faults.Pause(model.PauseLength)
			pause = p.jitteredTimer(model.PauseInterval)
		case <-flush:
			p.node.Faults.Pause(p.takeDeferred() / time.Duration(model.Cores))
			flush = p.jitteredTimer(model.FlushInterval)
		}
	}
}

func (p *nodeProcess) takeDeferred() time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	deferred := p.deferred
	p.deferred = 0
	return deferred
}

// jitteredTimer returns a channel that fires once, after 0.5 to 1.5 times the average. For 0 it returns nil,
// which never fires.
func (p *nodeProcess) jitteredTimer(average time.Duration) <-chan time.Time {
	if average <= 0 {
		return nil
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	return time.After(average/2 + time.Duration(p.rng.Int64N(int64(average))))
}
