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
	maxBody     = 64 << 10 // of requests and answers, by the protocol
	nodeHead    = 8 << 10
	idlePart    = 0.8                   // of the time after which disk servers close, a connection is kept
	settled     = 10 * time.Millisecond // a connection that idled for so long has shown what comes unasked
	longestRead = time.Minute           // where no attempt has a deadline
	fieldMeter  = "X-Meter"
	fieldDelta  = "X-Delta"
	fieldTurned = "X-Rejected"
)

// nodes holds the connections to disk servers: one request at a time on each.
type nodes struct {
	ctx  context.Context
	core *daemon.EventLoop
	cfg  *Config
	book *book
	log  *slog.Logger
	most int // connections at once

	connect func(ctx context.Context, network, addr string) (net.Conn, error)

	mu   sync.Mutex
	idle map[scheduler.Server][]*nodeConn // longest idle first
	held int                              // connections open or being made
	work map[scheduler.Server]int         // attempts on their way

	counts nodeCounts
}

type nodeCounts struct{ dialed, reused, stale, spoilt, unasked, crowded atomic.Uint64 }

// nodeConn is one connection to a disk server.
type nodeConn struct {
	conn  net.Conn
	rd    *http1.Reader
	since time.Time // idle from then on in the eyes of its disk server
	fresh bool      // it has brought no answer yet
}

// attempt is one operation on its way: the Edge of it.
type attempt struct {
	n      *nodes
	op     *daemon.Operation
	e      *exchange
	ctx    context.Context
	cancel context.CancelFunc

	mu   sync.Mutex
	conn net.Conn
	over bool // nobody waits any more
}

func newNodes(ctx context.Context, core *daemon.EventLoop, cfg *Config, book *book, log *slog.Logger,
	most int) *nodes {
	return &nodes{ctx: ctx, core: core, cfg: cfg, book: book, log: log, most: most,
		connect: (&net.Dialer{}).DialContext, idle: map[scheduler.Server][]*nodeConn{},
		work: map[scheduler.Server]int{}}
}

// Send starts an attempt.
func (n *nodes) Send(op *daemon.Operation) {
	a := &attempt{n: n, op: op, e: op.Responder().(*exchange)}
	a.ctx, a.cancel = context.WithCancel(n.ctx)
	op.DriverState = a
	go a.run()
}

// Cancel ends an attempt: its connection is closed, which is how disk servers are told.
func (n *nodes) Cancel(op *daemon.Operation) {
	if a, ok := op.DriverState.(*attempt); ok {
		a.mu.Lock()
		defer a.mu.Unlock()
		a.over = true
		a.cancel()
		if a.conn != nil {
			a.conn.Close()
		}
	}
}

// CancelMember does nothing: here every operation is of one attempt.
func (n *nodes) CancelMember(*daemon.Operation, int) {}

// run carries the attempt out and tells its one outcome.
func (a *attempt) run() {
	defer a.cancel()
	a.n.works(a.op.Server(), 1)
	code, answer, body := a.try()
	a.n.works(a.op.Server(), -1)
	a.mu.Lock()
	over := a.over
	a.over = true
	a.mu.Unlock()
	if !over {
		a.n.core.OperationEnded(a.op, code, answer, body)
	}
}

// works counts the attempts that are on their way to a disk server.
func (n *nodes) works(s scheduler.Server, by int) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.work[s] += by; n.work[s] == 0 {
		delete(n.work, s)
	}
}

// try sends the request once and reads what comes back. What it returns follows the protocol's table:
// until the last byte of the request is written it has never run, after that it may have.
func (a *attempt) try() (scheduler.ResultCode, proto.Answer, []byte) {
	n, none := a.n, proto.Answer{}
	at, ok := n.book.find(a.op.Server())
	if !ok {
		return scheduler.ConnectFailed, none, nil
	}
	if cell := a.e.call.Request.Cell; cell >= 0 && int(at.cell) != cell {
		return scheduler.NotApplicable, none, nil
	}
	c := n.take(a.op.Server())
	if c == nil {
		var err error
		if c, err = n.dial(a.ctx, at.addr); err != nil {
			n.log.Debug("disk server out of reach", "node", at.id, "error", err)
			return scheduler.ConnectFailed, none, nil
		}
	}
	if code := a.begin(c); code != scheduler.OK {
		n.rest(a.op.Server(), c) // nothing was written: it serves the next
		return code, none, nil
	}
	left := a.op.Deadline() - n.core.Now()
	h := append(http1.Header{{Name: "Host", Value: at.addr},
		{Name: fieldBudget, Value: strconv.FormatFloat(left.Seconds(), 'f', 4, 64)}}, a.e.pass...)
	b := http1.AppendRequest(nil, a.e.method, a.e.target, h, a.e.body)
	if _, err := c.conn.Write(b); err != nil {
		n.drop(c)
		return scheduler.ConnectFailed, none, nil // its last byte was not written
	}
	c.conn.SetReadDeadline(time.Now().Add(max(2*left, longestRead)))
	p, err := c.rd.Response()
	if err != nil {
		n.drop(c)
		var spoilt *http1.Error
		if errors.As(err, &spoilt) {
			n.counts.spoilt.Add(1)
			n.log.Debug("spoilt answer", "node", at.id, "cause", spoilt.Reason)
		}
		return scheduler.Reset, none, nil
	}
	if p.Close || c.rd.Buffered() > 0 {
		if c.rd.Buffered() > 0 {
			n.counts.unasked.Add(1)
		}
		n.drop(c)
	} else {
		n.put(a, c)
	}
	return outcome(p)
}

// begin ties an attempt to its connection, unless what it rested on no longer holds: finding a connection may
// have taken long. It is the one check before the first byte.
func (a *attempt) begin(c *nodeConn) scheduler.ResultCode {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.over {
		return scheduler.NotApplicable
	}
	code := a.n.core.CheckPreconditions(a.op)
	if code == scheduler.OK {
		a.conn = c.conn
	}
	return code
}

// outcome reads an answer by the protocol's table.
func outcome(p *http1.Response) (scheduler.ResultCode, proto.Answer, []byte) {
	a := proto.Answer{}
	if v, ok := figure(p.Header, fieldMeter); ok {
		a.MeteredRate = 1 + v
	}
	if v, ok := figure(p.Header, fieldDelta); ok {
		a.ElsewhereUnits = v
	}
	turned, _ := p.Header.Get(fieldTurned)
	switch {
	case p.Status == 200:
		return scheduler.OK, a, p.Body
	case (p.Status == 503 || p.Status == 504) && turned == "1":
		return scheduler.Overloaded, a, nil
	}
	return scheduler.Error, a, nil
}

// figure reads a figure on use. One that cannot be read is no news.
func figure(h http1.Header, name string) (uint32, bool) {
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
func (n *nodes) take(s scheduler.Server) *nodeConn {
	for {
		n.mu.Lock()
		row := n.idle[s]
		at := -1
		for i, c := range row {
			if c.fresh || time.Since(c.since) >= settled {
				at = i
			}
		}
		if at < 0 {
			n.mu.Unlock()
			return nil
		}
		c := row[at]
		n.keep(s, slices.Delete(row, at, at+1))
		n.mu.Unlock()
		if time.Since(c.since) < n.idleFor() && quiet(c.conn) {
			n.counts.reused.Add(1)
			return c
		}
		n.counts.stale.Add(1)
		n.drop(c)
	}
}

func (n *nodes) keep(s scheduler.Server, row []*nodeConn) {
	if len(row) == 0 {
		delete(n.idle, s)
		return
	}
	n.idle[s] = row
}

func (n *nodes) idleFor() time.Duration {
	if t := n.cfg.Site.IdleTimeout; t > 0 {
		return time.Duration(idlePart * float64(t))
	}
	return longestRead
}

// put lets a connection idle. One whose attempt was cancelled meanwhile is closed already.
func (n *nodes) put(a *attempt, c *nodeConn) {
	a.mu.Lock()
	over := a.over
	a.conn = nil
	a.mu.Unlock()
	if over {
		n.drop(c)
		return
	}
	c.since, c.fresh = time.Now(), false
	n.rest(a.op.Server(), c)
}

// rest lets a connection idle until the next attempt. One that was not written to has idled for longer in
// the eyes of its disk server, so its time runs on.
func (n *nodes) rest(s scheduler.Server, c *nodeConn) {
	if n.ctx.Err() != nil {
		n.drop(c)
		return
	}
	c.conn.SetReadDeadline(time.Time{})
	c.rd.Shrink()
	n.mu.Lock()
	n.idle[s] = append(n.idle[s], c)
	n.mu.Unlock()
}

func (n *nodes) drop(c *nodeConn) {
	c.conn.Close()
	n.mu.Lock()
	n.held--
	n.mu.Unlock()
}

var errCrowded = errors.New("all connections that may be open are in work")

// dial makes a connection, in place of the longest idle one where no more may be open.
func (n *nodes) dial(ctx context.Context, addr string) (*nodeConn, error) {
	n.mu.Lock()
	if n.held >= n.most && !n.evict() {
		n.mu.Unlock()
		n.counts.crowded.Add(1)
		return nil, errCrowded
	}
	n.held++
	n.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, n.connectTimeout())
	defer cancel()
	n.counts.dialed.Add(1)
	conn, err := n.connect(ctx, "tcp4", addr)
	if err != nil {
		n.mu.Lock()
		n.held--
		n.mu.Unlock()
		return nil, err
	}
	return &nodeConn{conn: conn, since: time.Now(), fresh: true,
		rd: http1.NewReader(conn, http1.Limits{MaxHead: nodeHead, MaxBody: maxBody})}, nil
}

func (n *nodes) connectTimeout() time.Duration {
	if t := n.cfg.Site.Settings.ConnectTimeout; t > 0 {
		return t
	}
	return time.Second
}

// evict closes the connection that idles for the longest. The lock is held.
func (n *nodes) evict() bool {
	var from scheduler.Server
	var oldest *nodeConn
	for s, row := range n.idle {
		if oldest == nil || row[0].since.Before(oldest.since) {
			from, oldest = s, row[0]
		}
	}
	if oldest == nil {
		return false
	}
	n.keep(from, n.idle[from][1:])
	oldest.conn.Close()
	n.held--
	return true
}

// sweep closes connections ahead of the time after which disk servers do, until ctx ends.
func (n *nodes) sweep(ctx context.Context) {
	every(ctx, time.Second, func() {
		n.closeWhere(func(s scheduler.Server, c *nodeConn) bool {
			at, listed := n.book.find(s)
			return time.Since(c.since) >= n.idleFor() || !listed || !at.goneAt.IsZero()
		})
	})
	n.closeWhere(func(scheduler.Server, *nodeConn) bool { return true })
}

func (n *nodes) closeWhere(old func(scheduler.Server, *nodeConn) bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for s, row := range n.idle {
		n.keep(s, slices.DeleteFunc(row, func(c *nodeConn) bool {
			if !old(s, c) {
				return false
			}
			c.conn.Close()
			n.held--
			return true
		}))
	}
}

// CloseIdle closes the idle connections to a disk server.
func (n *nodes) CloseIdle(s scheduler.Server) {
	n.closeWhere(func(of scheduler.Server, _ *nodeConn) bool { return of == s })
}

// Probe asks a disk server on a connection of its own whether it lives.
func (n *nodes) CheckHealth(s scheduler.Server) {
	at := n.core.Now()
	go func() {
		n.core.ReportHealthCheck(
			scheduler.HealthCheckResult{Server: s, Code: n.probe(s), Latency: n.core.Now() - at},
		)
	}()
}

func (n *nodes) probe(s scheduler.Server) scheduler.ResultCode {
	page, ok := n.book.find(s)
	if !ok {
		return scheduler.ConnectFailed
	}
	c, err := n.dial(n.ctx, page.addr)
	if err != nil {
		return scheduler.ConnectFailed
	}
	defer n.drop(c)
	c.conn.SetDeadline(time.Now().Add(n.connectTimeout()))
	h := http1.Header{{Name: "Host", Value: page.addr}, {Name: "Connection", Value: "close"}}
	if _, err := c.conn.Write(http1.AppendRequest(nil, "GET", pathHealth, h, nil)); err != nil {
		return scheduler.ConnectFailed
	}
	p, err := c.rd.Response()
	switch {
	case timedOut(err):
		return scheduler.TimedOut
	case err != nil:
		return scheduler.Reset
	case p.Status == 200:
		return scheduler.OK
	}
	return scheduler.Error
}
