package platform

import (
	"context"
	"log/slog"
	"maps"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"landingpaddle/internal/daemon"
	"landingpaddle/scheduler"
)

// upstreamPool holds the connections to disk servers, with one request at a time on each. It is the loop's
// driver for attempts and health checks.
type upstreamPool struct {
	ctx            context.Context // of the gateway; attempts end with it
	loop           *daemon.EventLoop
	config         *Config
	addresses      *addressTable
	log            *slog.Logger
	maxConnections int

	// connect dials a TCP connection. Tests replace it before the first attempt; it is read without a lock.
	connect func(ctx context.Context, network, address string) (net.Conn, error)
	// settleTime is how long a connection rests after a response. Tests replace it in the same way.
	settleTime time.Duration

	mu          sync.Mutex
	idle        map[scheduler.Server][]*upstreamConn // in the order of their release; no empty lists
	connections int                                  // open or being dialed
	attempts    map[scheduler.Server]int             // in flight; no zero counts

	spread   *responseSpread
	counters upstreamCounters
}

// upstreamCounters count events since the start.
type upstreamCounters struct {
	dialed      atomic.Uint64 // dials started
	reused      atomic.Uint64 // idle connections used again
	stale       atomic.Uint64 // idle connections found too old, closed or with unsolicited bytes
	invalid     atomic.Uint64 // responses that violate the protocol
	unsolicited atomic.Uint64 // responses followed by unsolicited bytes
	exhausted   atomic.Uint64 // dials refused because the limit of connections was reached
}

var _ daemon.Upstream = (*upstreamPool)(nil)

func newUpstreamPool(ctx context.Context, loop *daemon.EventLoop, config *Config, addresses *addressTable,
	log *slog.Logger, maxConnections int) *upstreamPool {
	return &upstreamPool{
		ctx: ctx, loop: loop, config: config, addresses: addresses, log: log,
		maxConnections: maxConnections,
		connect:        (&net.Dialer{}).DialContext,
		settleTime:     settleTime,
		idle:           map[scheduler.Server][]*upstreamConn{},
		attempts:       map[scheduler.Server]int{},
		spread:         newResponseSpread(),
	}
}

// Send starts an attempt in its own goroutine.
func (p *upstreamPool) Send(operation *daemon.Operation) {
	a := &attempt{pool: p, operation: operation, request: operation.Responder().(*inFlightRequest)}
	a.ctx, a.cancel = context.WithCancel(p.ctx)
	operation.DriverState = a
	go a.run()
}

// Cancel ends an attempt. Its connection is closed, which notifies the disk server of the cancellation.
func (p *upstreamPool) Cancel(operation *daemon.Operation) {
	a, ok := operation.DriverState.(*attempt)
	if !ok {
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.isOver = true
	a.cancel()
	if a.conn != nil {
		a.conn.Close()
	}
}

// HasUnreadAnswer implements daemon.Upstream.
func (p *upstreamPool) HasUnreadAnswer(operation *daemon.Operation) bool {
	a, ok := operation.DriverState.(*attempt)
	return ok && a.hasUnreadAnswer()
}

// CancelMember does nothing: requests over HTTP are not merged, so every operation has one member.
func (p *upstreamPool) CancelMember(*daemon.Operation, int) {}

// CloseIdle closes the idle connections to a disk server.
func (p *upstreamPool) CloseIdle(server scheduler.Server) {
	p.closeIdleWhere(func(owner scheduler.Server, _ *upstreamConn) bool { return owner == server })
}

// countAttempt adds change to the number of attempts in flight to a disk server.
func (p *upstreamPool) countAttempt(server scheduler.Server, change int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.attempts[server] += change; p.attempts[server] == 0 {
		delete(p.attempts, server)
	}
}

func (p *upstreamPool) attemptsByNode() map[scheduler.Server]int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return maps.Clone(p.attempts)
}

// countConnections returns how many connections are open or being dialed, and how many of them are idle.
func (p *upstreamPool) countConnections() (open, idle int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, connections := range p.idle {
		idle += len(connections)
	}
	return p.connections, idle
}
