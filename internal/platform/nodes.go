package platform

import (
	"context"
	"errors"
	"log/slog"
	"net"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"landingpaddle/internal/daemon"
	"landingpaddle/internal/http1"
	"landingpaddle/internal/proto"
	"landingpaddle/scheduler"
)

const (
	maxBody         = 64 << 10 // of requests and answers, by the protocol
	maxUpstreamHead = 8 << 10
	idleFraction    = 0.8                   // of the time after which disk servers close
	settleTime      = 10 * time.Millisecond // by then what comes unasked has come
	maxReadTime     = time.Minute           // where no attempt has a deadline
	fieldMeter      = "X-Meter"
	fieldDelta      = "X-Delta"
	fieldRejected   = "X-Rejected"
)

// nodes holds the connections to disk servers: one request at a time on each.
type upstreamPool struct {
	ctx            context.Context
	loop           *daemon.EventLoop
	config         *Config
	addresses      *addressTable
	log            *slog.Logger
	maxConnections int // connections at once

	connect func(ctx context.Context, network, addr string) (net.Conn, error)

	mu          sync.Mutex
	idle        map[scheduler.Server][]*upstreamConn // longest idle first
	connections int                                  // connections open or being made
	attempts    map[scheduler.Server]int             // attempts on their way

	counters upstreamCounters
}

type upstreamCounters struct{ dialed, reused, stale, malformed, unsolicited, exhausted atomic.Uint64 }

// nodeConn is one connection to a disk server.
type upstreamConn struct {
	conn      net.Conn
	reader    *http1.Reader
	idleSince time.Time // idle from then on in the eyes of its disk server
	isUnused  bool      // it has brought no answer yet
}

// attempt is one operation on its way: the Edge of it.
type attempt struct {
	pool      *upstreamPool
	operation *daemon.Operation
	request   *inFlightRequest
	ctx       context.Context
	cancel    context.CancelFunc

	mu     sync.Mutex
	conn   net.Conn
	isOver bool // nobody waits any more
}

func newUpstreamPool(
	ctx context.Context,
	core *daemon.EventLoop,
	cfg *Config,
	book *addressTable,
	log *slog.Logger,
	most int,
) *upstreamPool {
	return &upstreamPool{ctx: ctx, loop: core, config: cfg, addresses: book, log: log, maxConnections: most,
		connect: (&net.Dialer{}).DialContext, idle: map[scheduler.Server][]*upstreamConn{},
		attempts: map[scheduler.Server]int{}}
}

// Send starts an attempt.
func (n *upstreamPool) Send(op *daemon.Operation) {
	a := &attempt{pool: n, operation: op, request: op.Responder().(*inFlightRequest)}
	a.ctx, a.cancel = context.WithCancel(n.ctx)
	op.DriverState = a
	go a.run()
}

// Cancel ends an attempt: its connection is closed, which is how disk servers are told.
func (n *upstreamPool) Cancel(op *daemon.Operation) {
	if a, ok := op.DriverState.(*attempt); ok {
		a.mu.Lock()
		defer a.mu.Unlock()
		a.isOver = true
		a.cancel()
		if a.conn != nil {
			a.conn.Close()
		}
	}
}

// CancelMember does nothing: here every operation is of one attempt.
func (n *upstreamPool) CancelMember(*daemon.Operation, int) {}

// run carries the attempt out and tells its one outcome.
func (a *attempt) run() {
	defer a.cancel()
	a.pool.countAttempt(a.operation.Server(), 1)
	code, answer, body := a.execute()
	a.pool.countAttempt(a.operation.Server(), -1)
	a.mu.Lock()
	over := a.isOver
	a.isOver = true
	a.mu.Unlock()
	if !over {
		a.pool.loop.OperationEnded(a.operation, code, answer, body)
	}
}

// works counts the attempts that are on their way to a disk server.
func (n *upstreamPool) countAttempt(s scheduler.Server, by int) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.attempts[s] += by; n.attempts[s] == 0 {
		delete(n.attempts, s)
	}
}

// try sends the request once and reads what comes back. What it returns follows the protocol's table:
// until the last byte of the request is written it has never run, after that it may have.
func (a *attempt) execute() (scheduler.ResultCode, proto.Answer, []byte) {
	n, none := a.pool, proto.Answer{}
	at, ok := n.addresses.find(a.operation.Server())
	if !ok {
		return scheduler.ConnectFailed, none, nil
	}
	if cell := a.request.call.Request.Cell; cell >= 0 && int(at.cell) != cell {
		return scheduler.NotApplicable, none, nil
	}
	c := n.acquire(a.operation.Server())
	if c == nil {
		var err error
		if c, err = n.dial(a.ctx, at.address); err != nil {
			n.log.Debug("disk server out of reach", "node", at.id, "error", err)
			return scheduler.ConnectFailed, none, nil
		}
	}
	if code := a.bind(c); code != scheduler.OK {
		n.release(a.operation.Server(), c) // nothing was written: it serves the next
		return code, none, nil
	}
	left := a.operation.Deadline() - n.loop.Now()
	h := append(http1.Header{{Name: "Host", Value: at.address},
		{
			Name:  fieldBudget,
			Value: strconv.FormatFloat(left.Seconds(), 'f', 4, 64),
		}}, a.request.forwarded...)
	b := http1.AppendRequest(nil, a.request.method, a.request.target, h, a.request.body)
	if _, err := c.conn.Write(b); err != nil {
		n.discard(c)
		return scheduler.ConnectFailed, none, nil // its last byte was not written
	}
	c.conn.SetReadDeadline(time.Now().Add(max(2*left, maxReadTime)))
	p, err := c.reader.Response()
	if err != nil {
		n.discard(c)
		var spoilt *http1.Error
		if errors.As(err, &spoilt) {
			n.counters.malformed.Add(1)
			n.log.Debug("spoilt answer", "node", at.id, "cause", spoilt.Reason)
		}
		return scheduler.Reset, none, nil
	}
	if p.Close || c.reader.Buffered() > 0 {
		if c.reader.Buffered() > 0 {
			n.counters.unsolicited.Add(1)
		}
		n.discard(c)
	} else {
		n.releaseAfterAnswer(a, c)
	}
	return resultOf(p)
}

// begin ties an attempt to its connection, unless what it rested on no longer holds: finding a connection may
// have taken long. It is the one check before the first byte.
func (a *attempt) bind(c *upstreamConn) scheduler.ResultCode {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.isOver {
		return scheduler.NotApplicable
	}
	code := a.pool.loop.CheckPreconditions(a.operation)
	if code == scheduler.OK {
		a.conn = c.conn
	}
	return code
}

// outcome reads an answer by the protocol's table.
func resultOf(p *http1.Response) (scheduler.ResultCode, proto.Answer, []byte) {
	a := proto.Answer{}
	if v, ok := parseUsageField(p.Header, fieldMeter); ok {
		a.MeteredRate = 1 + v
	}
	if v, ok := parseUsageField(p.Header, fieldDelta); ok {
		a.ElsewhereUnits = v
	}
	turned, _ := p.Header.Get(fieldRejected)
	switch {
	case p.Status == 200:
		return scheduler.OK, a, p.Body
	case (p.Status == 503 || p.Status == 504) && turned == "1":
		return scheduler.Overloaded, a, nil
	}
	return scheduler.Error, a, nil
}

// figure reads a figure on use. One that cannot be read is no news.
func parseUsageField(h http1.Header, name string) (uint32, bool) {
	text, count := h.Get(name)
	if count != 1 || text == "" || strings.Trim(text, "0123456789.") != "" {
		return 0, false
	}
	v, err := strconv.ParseFloat(text, 64)
	if err != nil || v > 1e6 {
		return 0, false
	}
	return uint32(v + 0.5), true
}

// take finds an idle connection on which nothing came unasked: the last one used of those that have settled.
// One that has not may still bring what belongs to nobody, which would be taken for the next answer.
func (n *upstreamPool) acquire(s scheduler.Server) *upstreamConn {
	for {
		n.mu.Lock()
		row := n.idle[s]
		at := -1
		for i, c := range row {
			if c.isUnused || time.Since(c.idleSince) >= settleTime {
				at = i
			}
		}
		if at < 0 {
			n.mu.Unlock()
			return nil
		}
		c := row[at]
		n.setIdle(s, slices.Delete(row, at, at+1))
		n.mu.Unlock()
		if time.Since(c.idleSince) < n.idleTimeout() && isOpenAndEmpty(c.conn) {
			n.counters.reused.Add(1)
			return c
		}
		n.counters.stale.Add(1)
		n.discard(c)
	}
}

func (n *upstreamPool) setIdle(s scheduler.Server, row []*upstreamConn) {
	if len(row) == 0 {
		delete(n.idle, s)
		return
	}
	n.idle[s] = row
}

func (n *upstreamPool) idleTimeout() time.Duration {
	if t := n.config.Site.IdleTimeout; t > 0 {
		return time.Duration(idleFraction * float64(t))
	}
	return maxReadTime
}

// put lets a connection idle. One whose attempt was cancelled meanwhile is closed already.
func (n *upstreamPool) releaseAfterAnswer(a *attempt, c *upstreamConn) {
	a.mu.Lock()
	over := a.isOver
	a.conn = nil
	a.mu.Unlock()
	if over {
		n.discard(c)
		return
	}
	c.idleSince, c.isUnused = time.Now(), false
	n.release(a.operation.Server(), c)
}

// rest lets a connection idle until the next attempt. One that was not written to has idled for longer in
// the eyes of its disk server, so its time runs on.
func (n *upstreamPool) release(s scheduler.Server, c *upstreamConn) {
	if n.ctx.Err() != nil {
		n.discard(c)
		return
	}
	c.conn.SetReadDeadline(time.Time{})
	c.reader.Shrink()
	n.mu.Lock()
	n.idle[s] = append(n.idle[s], c)
	n.mu.Unlock()
}

func (n *upstreamPool) discard(c *upstreamConn) {
	c.conn.Close()
	n.mu.Lock()
	n.connections--
	n.mu.Unlock()
}

var errPoolExhausted = errors.New("all connections that may be open are in work")

// dial makes a connection, in place of the longest idle one where no more may be open.
func (n *upstreamPool) dial(ctx context.Context, addr string) (*upstreamConn, error) {
	n.mu.Lock()
	if n.connections >= n.maxConnections && !n.evictLongestIdle() {
		n.mu.Unlock()
		n.counters.exhausted.Add(1)
		return nil, errPoolExhausted
	}
	n.connections++
	n.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, n.connectTimeout())
	defer cancel()
	n.counters.dialed.Add(1)
	conn, err := n.connect(ctx, "tcp4", addr)
	if err != nil {
		n.mu.Lock()
		n.connections--
		n.mu.Unlock()
		return nil, err
	}
	return &upstreamConn{conn: conn, idleSince: time.Now(), isUnused: true,
		reader: http1.NewReader(conn, http1.Limits{MaxHead: maxUpstreamHead, MaxBody: maxBody})}, nil
}

func (n *upstreamPool) connectTimeout() time.Duration {
	if t := n.config.Site.Settings.ConnectTimeout; t > 0 {
		return t
	}
	return time.Second
}

// evict closes the connection that idles for the longest. The lock is held.
func (n *upstreamPool) evictLongestIdle() bool {
	var from scheduler.Server
	var oldest *upstreamConn
	for s, row := range n.idle {
		if oldest == nil || row[0].idleSince.Before(oldest.idleSince) {
			from, oldest = s, row[0]
		}
	}
	if oldest == nil {
		return false
	}
	n.setIdle(from, n.idle[from][1:])
	oldest.conn.Close()
	n.connections--
	return true
}

// sweep closes connections ahead of the time after which disk servers do, until ctx ends.
func (n *upstreamPool) sweepIdle(ctx context.Context) {
	every(ctx, time.Second, func() {
		n.closeIdleWhere(func(s scheduler.Server, c *upstreamConn) bool {
			at, listed := n.addresses.find(s)
			return time.Since(c.idleSince) >= n.idleTimeout() || !listed || !at.goneAt.IsZero()
		})
	})
	n.closeIdleWhere(func(scheduler.Server, *upstreamConn) bool { return true })
}

func (n *upstreamPool) closeIdleWhere(old func(scheduler.Server, *upstreamConn) bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for s, row := range n.idle {
		n.setIdle(s, slices.DeleteFunc(row, func(c *upstreamConn) bool {
			if !old(s, c) {
				return false
			}
			c.conn.Close()
			n.connections--
			return true
		}))
	}
}

// CloseIdle closes the idle connections to a disk server.
func (n *upstreamPool) CloseIdle(s scheduler.Server) {
	n.closeIdleWhere(func(of scheduler.Server, _ *upstreamConn) bool { return of == s })
}

// Probe asks a disk server on a connection of its own whether it lives.
func (n *upstreamPool) CheckHealth(s scheduler.Server) {
	at := n.loop.Now()
	go func() {
		n.loop.ReportHealthCheck(
			scheduler.HealthCheckResult{Server: s, Code: n.checkHealth(s), Latency: n.loop.Now() - at},
		)
	}()
}

func (n *upstreamPool) checkHealth(s scheduler.Server) scheduler.ResultCode {
	page, ok := n.addresses.find(s)
	if !ok {
		return scheduler.ConnectFailed
	}
	c, err := n.dial(n.ctx, page.address)
	if err != nil {
		return scheduler.ConnectFailed
	}
	defer n.discard(c)
	c.conn.SetDeadline(time.Now().Add(n.connectTimeout()))
	h := http1.Header{{Name: "Host", Value: page.address}, {Name: "Connection", Value: "close"}}
	if _, err := c.conn.Write(http1.AppendRequest(nil, "GET", pathHealth, h, nil)); err != nil {
		return scheduler.ConnectFailed
	}
	p, err := c.reader.Response()
	switch {
	case isTimeout(err):
		return scheduler.TimedOut
	case err != nil:
		return scheduler.Reset
	case p.Status == 200:
		return scheduler.OK
	}
	return scheduler.Error
}
