package testbed

import (
	"context"
	"fmt"
	"net"
	"net/netip"
	"path/filepath"
	"sync"
	"time"

	"landingpaddle/endpoints"
	"landingpaddle/internal/daemon"
	"landingpaddle/internal/registry"
)

const (
	instanceShutdownTimeout = 5 * time.Second
	// Factors that make the random seeds of nodes and instances differ.
	nodeSeedStep       = 7919
	instanceSeedFactor = 1_000_003
)

// instanceHost is the machine of one instance; its address stays the same when the process is restarted.
type instanceHost struct {
	number   int
	addr     string
	listener net.Listener // bound for the next process; nil: not bound yet
	stall    stallGate

	mu   sync.Mutex
	kill context.CancelFunc // of the running or last process
}

// stallGate blocks a process while it is stalled.
type stallGate struct {
	mu    sync.Mutex
	until time.Time // end of the latest stall
}

// wait blocks while the process is stalled, including by a stall that starts during the wait.
func (g *stallGate) wait() {
	for {
		g.mu.Lock()
		left := time.Until(g.until)
		g.mu.Unlock()
		if left <= 0 {
			return
		}
		time.Sleep(left)
	}
}

// start stalls the process for d. It replaces a stall that has not ended.
func (g *stallGate) start(d time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.until = time.Now().Add(d)
}

// startFleet starts the registry, the nodes, the instances and the clients.
func (r *scenarioRunner) startFleet(ctx context.Context) error {
	if err := r.startRegistry(ctx); err != nil {
		return err
	}
	if err := r.startNodes(ctx); err != nil {
		return err
	}
	addrs, err := r.bindInstances()
	if err != nil {
		return err
	}
	for _, host := range r.instances {
		if err := r.startInstance(ctx, host); err != nil {
			return err
		}
	}
	for number := range r.scenario.Clients.Count {
		r.clients = append(r.clients, NewClient(number, r.log, addrs, r.scenario.Clients.behavior()))
	}
	return nil
}

func (r *scenarioRunner) startRegistry(ctx context.Context) error {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return err
	}
	settings := &r.scenario.Registry
	r.registryAddr = listener.Addr().String()
	r.registry = registry.NewServer(registry.ServerConfig{
		Epoch:          1 + r.options.Seed,
		Delay:          settings.Delay,
		Workers:        settings.Workers,
		ServiceTime:    settings.CallTime,
		MaxWait:        settings.MaxWait,
		OnAcknowledged: r.logAcknowledged,
	})
	r.group.Go(func() error { return r.registry.Serve(ctx, listener) })
	return nil
}

// logAcknowledged logs that an instance has acknowledged an update of an endpoint.
func (r *scenarioRunner) logAcknowledged(instance uint32, endpoint endpoints.Endpoint) {
	node, ok := r.nodesByAddr[registry.AddrPortOf(endpoint.Server)]
	if !ok {
		return
	}
	r.log.Add(Event{
		Kind:      KindAcknowledged,
		Instance:  int(instance),
		Node:      node,
		Status:    endpoint.Status.String(),
		StartedAt: endpoint.StartedAt,
	})
}

func (r *scenarioRunner) startNodes(ctx context.Context) error {
	site, settings := &r.scenario.Site, &r.scenario.Nodes
	groups, meter := newDedupGroups(), NewMeter(site.MeterPeriod)
	for number := range settings.Count {
		zone, cell := uint8(number%len(site.Zones)), uint16(number)
		node, err := NewNode(NodeConfig{
			Number:      number,
			Cell:        cell,
			Zone:        zone,
			Model:       settings.Model,
			Site:        site,
			Registry:    r.registryAddr,
			Seed:        r.options.Seed + uint64(number)*nodeSeedStep,
			Log:         r.log,
			Meter:       meter,
			DedupGroups: groups.forNode(zone, cell),
			ClockAhead:  settings.ClockAhead,
		})
		if err != nil {
			return err
		}
		r.nodes = append(r.nodes, node)
		r.nodesByAddr[node.Addr()] = number
		r.runNode(ctx, node)
	}
	return nil
}

// runNode runs one incarnation of a node.
func (r *scenarioRunner) runNode(ctx context.Context, node *Node) {
	r.group.Go(func() error {
		if err := node.Run(ctx); err != nil && ctx.Err() == nil {
			r.options.Log.Warn("node failed", "node", node.cfg.Number, "error", err)
		}
		return nil
	})
}

// eachNode calls do for the nodes with the given numbers.
func (r *scenarioRunner) eachNode(numbers []int, do func(*Node)) {
	for _, number := range numbers {
		do(r.nodes[number])
	}
}

// restartNodes kills nodes and starts them again after restartAfter, unless that is 0 or traffic ends before.
func (r *scenarioRunner) restartNodes(ctx, traffic context.Context, numbers []int,
	restartAfter time.Duration) {
	r.eachNode(numbers, (*Node).Kill)
	if restartAfter > 0 && sleep(traffic, restartAfter) {
		r.eachNode(numbers, func(node *Node) { r.runNode(ctx, node) })
	}
}

// bindInstances creates the instances' hosts, binds an address for each and returns the addresses.
func (r *scenarioRunner) bindInstances() ([]string, error) {
	var addrs []string
	for number := range r.scenario.Instances {
		listener, err := net.Listen("tcp4", "127.0.0.1:0")
		if err != nil {
			return nil, err
		}
		addr := listener.Addr().String()
		r.instances = append(r.instances, &instanceHost{number: number, addr: addr, listener: listener})
		addrs = append(addrs, addr)
	}
	return addrs, nil
}

// takeListener returns the listener that is bound for the next process, or binds the address again.
func (h *instanceHost) takeListener(ctx context.Context) (net.Listener, error) {
	listener := h.listener
	h.listener = nil
	if listener != nil {
		return listener, nil
	}
	return listenAgain(ctx, netip.MustParseAddrPort(h.addr))
}

// startInstance starts an instance's process.
func (r *scenarioRunner) startInstance(ctx context.Context, host *instanceHost) error {
	listener, err := host.takeListener(ctx)
	if err != nil {
		return err
	}
	instance, err := daemon.New(r.instanceConfig(host, listener))
	if err != nil {
		listener.Close()
		return err
	}
	ctx, kill := context.WithCancel(ctx)
	host.mu.Lock()
	host.kill = kill
	host.mu.Unlock()
	r.log.Add(Event{Kind: KindInstanceStarted, Instance: host.number})
	r.group.Go(func() error {
		defer kill()
		if err := instance.Run(ctx); err != nil && ctx.Err() == nil {
			return fmt.Errorf("instance %d: %w", host.number, err)
		}
		return nil
	})
	return nil
}

func (r *scenarioRunner) instanceConfig(host *instanceHost, listener net.Listener) daemon.Config {
	hooks := r.options.Hooks
	hooks.Gate = host.stall.wait
	snapshot := filepath.Join(r.options.Dir, fmt.Sprintf("list-%d", host.number))
	return daemon.Config{
		Number:          host.number,
		Instances:       r.scenario.Instances,
		Seed:            r.options.Seed*instanceSeedFactor + uint64(host.number),
		Zone:            uint8(host.number % len(r.scenario.Site.Zones)),
		Site:            r.scenario.Site,
		Listener:        listener,
		Registry:        r.registryAddr,
		Snapshot:        registry.SnapshotFile{Path: snapshot},
		ShutdownTimeout: instanceShutdownTimeout,
		Log:             r.options.Log,
		Hooks:           hooks,
	}
}

// crashInstance kills an instance and starts it again after restartAfter, unless that is 0 or traffic ends
// before.
func (r *scenarioRunner) crashInstance(ctx, traffic context.Context, number int, restartAfter time.Duration) {
	host := r.instances[number]
	host.mu.Lock()
	r.log.Add(Event{Kind: KindInstanceKilled, Instance: number})
	host.kill()
	host.mu.Unlock()
	if restartAfter <= 0 || !sleep(traffic, restartAfter) {
		return
	}
	if err := r.startInstance(ctx, host); err != nil && ctx.Err() == nil {
		r.options.Log.Warn("instance not restarted", "instance", number, "error", err)
	}
}
