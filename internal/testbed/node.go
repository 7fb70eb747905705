package testbed

import (
	"context"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"landingpaddle/internal/config"
	"landingpaddle/internal/proto"
	"landingpaddle/scheduler"
)

// NodeConfig configures a stand-in node.
type NodeConfig struct {
	Number      int
	Cell        uint16
	Zone        uint8
	Model       config.NodeModel
	Site        *config.Site
	Registry    string         // TCP address of the registry
	Addr        netip.AddrPort // to listen on; the zero value: any free loopback port
	Seed        uint64
	Log         *Log                                         // nil: no logging; required by cold incarnations
	DedupGroups func(scope scheduler.DedupScope) *DedupGroup // the node's group for a scope
	Meter       *Meter
	StartsCold  bool          // the first incarnation is cold; false: it started long ago
	ClockAhead  time.Duration // by which its clock is ahead of the testbed's
}

// Node is a stand-in for a storage node's machine. Each call of Run is one process of the node; Run may be
// called again after it has returned. Run may be called by one goroutine at a time, all other methods by any.
type Node struct {
	cfg        NodeConfig
	Faults     NodeFaults
	listener   net.Listener // bound for the next incarnation; nil: not bound yet; used by Run only
	starts     int          // incarnations so far; used by Run only
	disk       *disk
	operations atomic.Uint64 // number of operations that have arrived so far

	mu      sync.Mutex
	process *nodeProcess // the running or last one; nil before the first
}

// NewNode returns a node and binds its address, so that others can be configured with it before the node
// runs.
func NewNode(cfg NodeConfig) (*Node, error) {
	if !cfg.Addr.IsValid() {
		cfg.Addr = netip.MustParseAddrPort("127.0.0.1:0")
	}
	listener, err := net.Listen("tcp4", cfg.Addr.String())
	if err != nil {
		return nil, err
	}
	cfg.Addr = listener.Addr().(*net.TCPAddr).AddrPort()
	n := &Node{cfg: cfg, listener: listener, disk: newDisk()}
	n.Faults.rng = rand.New(rand.NewPCG(cfg.Seed, 1))
	return n, nil
}

// Addr returns the address on which all incarnations of the node listen.
func (n *Node) Addr() netip.AddrPort { return n.cfg.Addr }

// Run runs one incarnation of the node until ctx ends, Kill is called or the node collapses.
func (n *Node) Run(ctx context.Context) error {
	listener, err := n.takeListener(ctx)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	process := newNodeProcess(n, cancel)
	n.starts++
	n.mu.Lock()
	n.process = process
	n.mu.Unlock()
	return process.run(ctx, listener)
}

// takeListener returns the listener that NewNode bound or, for a later incarnation, binds the address again.
func (n *Node) takeListener(ctx context.Context) (net.Listener, error) {
	listener := n.listener
	n.listener = nil
	if listener != nil {
		return listener, nil
	}
	return listenAgain(ctx, n.cfg.Addr)
}

// currentProcess returns the running or last process, nil before the first.
func (n *Node) currentProcess() *nodeProcess {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.process
}

// Kill ends the process at once.
func (n *Node) Kill() {
	if process := n.currentProcess(); process != nil {
		process.kill()
	}
}

// Drain makes the node finish the operations that it has accepted and reject new ones. It notifies the
// registry and, if the node's model sends drain notices, the instances on their connections.
func (n *Node) Drain() {
	process := n.currentProcess()
	if process == nil {
		return
	}
	process.mu.Lock()
	process.draining = true
	if n.cfg.Model.DrainNotices {
		for conn := range process.conns {
			process.sendDrainNotice(conn)
		}
	}
	process.mu.Unlock()
	select {
	case process.status <- process.endpoint(scheduler.Draining):
	default:
	}
}

// ResetConns closes all connections at once, without writing the queued frames.
func (n *Node) ResetConns() {
	if process := n.currentProcess(); process != nil {
		process.mu.Lock()
		defer process.mu.Unlock()
		for conn := range process.conns {
			conn.Close(proto.ErrClosed)
		}
	}
}
