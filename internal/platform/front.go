package platform

import (
	"cmp"
	"context"
	"errors"
	"hash/fnv"
	"log/slog"
	"math"
	"net"
	"net/http"
	"net/url"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"landingpaddle/control"
	"landingpaddle/internal/http1"
	"landingpaddle/internal/proto"
	"landingpaddle/internal/sched"
	"landingpaddle/internal/wire"
)

// Names of the header fields that clients and disk servers use.
const (
	fieldID     = "X-Call-Id"
	fieldClass  = "X-Call-Class"
	fieldPlan   = "X-Storage-Class"
	fieldBudget = "X-Budget"
	fieldExtent = "X-Extent"
	fieldAgain  = "X-Again"
	fieldKey    = "Idempotency-Key"
	queryExtent = "extent"
	pathHealth  = "/healthz"
	maxID       = 128
	longestWait = time.Hour
	sayWithin   = 2 * time.Second // a request must be there whole so long after its connection or first byte
	// A connection that idles for longer is closed: some are kept for good, and clients hold only so many.
	idleAtMost   = 2 * time.Second
	idleAtLeast  = 200 * time.Millisecond // for want of room it is closed after this,
	silentFrom   = 5 * time.Millisecond   // one that has said nothing after this,
	slowFrom     = 700 * time.Millisecond // and one that has said half a request after this
	writeWithin  = 2 * time.Second
	readOff      = 1 << 20 // of what still comes after an error, so that the error arrives
	readOffFor   = 300 * time.Millisecond
	clientHead   = 8 << 10
	sweepClients = 100 * time.Millisecond
)

// front takes requests from clients, bounds them and hands them to the loop.
type front struct {
	core *sched.Core
	site *wire.Site
	log  *slog.Logger
	lim  bounds

	staying atomic.Bool // clients' connections are left open, as new ones come no more
	closing atomic.Bool // answers carry Connection: close
	bodies  atomic.Int64

	mu    sync.Mutex
	conns map[*clientConn]struct{}
	open  map[string]struct{} // ids of open requests

	counts frontCounts
}

type frontCounts struct{ accepted, turned, evicted, silent, malformed, doubled, crowded atomic.Uint64 }

// clientConn is one client's connection. Its state belongs to the front's lock.
type clientConn struct {
	conn  net.Conn
	rd    *http1.Reader
	state connState
	asked int       // requests whose head has come
	since time.Time // of the state
}

type connState uint8

const (
	idling  connState = iota // nothing of the next request has come
	reading                  // a part of it has
	working                  // it is in work
)

// missed tells how soon a connection may be closed for want of room, and which of several goes first; lower
// goes before. One whose request is in work is never closed.
func (c *clientConn) missed() (rank int, after time.Duration) {
	switch {
	case c.state == idling && c.asked == 0:
		return 0, silentFrom
	case c.state == reading:
		return 1, slowFrom
	}
	return 2, idleAtLeast
}

// exchange is one client's request; it waits for the loop's answer.
type exchange struct {
	front  *front
	c      *clientConn
	call   *sched.Call
	id     string
	method string
	target string
	pass   http1.Header // what goes on to the disk server unchanged
	body   []byte
	close  bool
	done   chan struct{} // closed once the answer is written
}

func newFront(core *sched.Core, site *wire.Site, log *slog.Logger, lim bounds) *front {
	return &front{core: core, site: site, log: log, lim: lim, conns: map[*clientConn]struct{}{},
		open: map[string]struct{}{}}
}

// serve accepts clients until the listener is closed.
func (f *front) serve(ln net.Listener) {
	for {
		conn, err := ln.Accept()
		switch {
		case errors.Is(err, net.ErrClosed):
			return
		case err != nil: // out of descriptors, or the client was gone already
			f.counts.turned.Add(1)
			f.makeRoom(true)
			time.Sleep(5 * time.Millisecond)
			continue
		}
		f.counts.accepted.Add(1)
		c := &clientConn{conn: conn, since: time.Now()}
		c.rd = http1.NewReader(conn, http1.Limits{Head: clientHead, Body: maxBody})
		if !f.enter(c) {
			f.counts.turned.Add(1)
			conn.Close()
			continue
		}
		go f.session(c)
	}
}

// enter counts a connection among the open ones, making room for it where there is none.
func (f *front) enter(c *clientConn) bool {
	f.mu.Lock()
	room := len(f.conns) < f.lim.clients
	f.mu.Unlock()
	if !room && !f.makeRoom(false) {
		return false
	}
	f.mu.Lock()
	f.conns[c] = struct{}{}
	f.mu.Unlock()
	return true
}

// row is a connection that might be closed, as it stood when it was looked at.
type row struct {
	c      *clientConn
	rank   int // lower goes before
	since  time.Time
	idling bool
}

// ranked gathers the connections that pick ranks: by rank, then the longest in its state first.
func (f *front) ranked(pick func(*clientConn) (rank int, ok bool)) []row {
	var rows []row
	f.mu.Lock()
	for c := range f.conns {
		if rank, ok := pick(c); ok {
			rows = append(rows, row{c, rank, c.since, c.state == idling})
		}
	}
	f.mu.Unlock()
	slices.SortFunc(rows, func(a, b row) int {
		return cmp.Or(cmp.Compare(a.rank, b.rank), a.since.Compare(b.since))
	})
	return rows
}

// makeRoom closes the connection that is missed least: one that has said nothing since it was made, else one
// that is slow to say its request, else the one that has idled for the longest. One that idles but on which a
// request waits to be read stays.
func (f *front) makeRoom(force bool) bool {
	rows := f.ranked(func(c *clientConn) (int, bool) {
		rank, after := c.missed()
		return rank, c.state != working && (force || time.Since(c.since) >= after)
	})
	for _, r := range rows {
		if !r.idling || quiet(r.c.conn) {
			f.counts.evicted.Add(1)
			f.leave(r.c)
			r.c.conn.Close()
			return true
		}
	}
	return false
}

// crowd counts the connections by what they are at: silent so far, saying a request, idle, with one in work.
func (f *front) crowd() (silent, saying, idle, work int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for c := range f.conns {
		switch {
		case c.state == working:
			work++
		case c.state == reading:
			saying++
		case c.asked > 0:
			idle++
		default:
			silent++
		}
	}
	return silent, saying, idle, work
}

func (f *front) leave(c *clientConn) {
	f.mu.Lock()
	delete(f.conns, c)
	f.mu.Unlock()
}

// sweep closes connections that have idled for long until ctx ends.
func (f *front) sweep(ctx context.Context) {
	every(ctx, sweepClients, func() {
		if !f.staying.Load() {
			f.closeIdle(idleAtMost, -1)
			f.closeIdle(idleAtLeast, f.lim.kept)
		}
	})
}

// closeIdle closes connections without an open request that have idled for so long, as long as more than keep
// have said something: those that asked once go first, then the longest idle.
func (f *front) closeIdle(least time.Duration, keep int) {
	said := 0
	rows := f.ranked(func(c *clientConn) (rank int, ok bool) {
		if c.asked > 0 {
			said++
		}
		if c.asked > 1 {
			rank = 1
		}
		return rank, c.state == idling && time.Since(c.since) >= least
	})
	for _, r := range rows {
		if said <= keep {
			return
		}
		if quiet(r.c.conn) {
			r.c.conn.Close()
			said--
		}
	}
}

func (f *front) mark(c *clientConn, state connState) {
	f.mu.Lock()
	c.state, c.since = state, time.Now()
	if state == working {
		c.asked++
	}
	f.mu.Unlock()
}

// session serves one connection, one request after another.
func (f *front) session(c *clientConn) {
	defer f.leave(c)
	defer c.conn.Close()
	by := c.since.Add(sayWithin)
	for {
		c.conn.SetReadDeadline(by)
		if err := c.rd.Await(); err != nil {
			if c.asked == 0 {
				f.counts.silent.Add(1)
			}
			return // gone, or it has said nothing
		}
		f.mark(c, reading)
		q, err := c.rd.Request()
		if err != nil {
			f.turnAway(c, err)
			return
		}
		f.mark(c, working)
		if path, _, _ := strings.Cut(q.Target, "?"); path == pathHealth && q.Method == "GET" {
			if !f.health(c, q.Close) {
				return
			}
			f.mark(c, idling)
			by = f.nextBy(c)
			continue
		}
		e, err := f.read(c, q)
		if err != nil {
			f.turnAway(c, err)
			return
		}
		if !f.work(e) {
			return
		}
		by = f.nextBy(c)
	}
}

// nextBy waits until the next request begins, for as long as the connection may idle.
func (f *front) nextBy(c *clientConn) time.Time {
	c.conn.SetReadDeadline(time.Time{})
	if c.rd.Buffered() == 0 {
		c.rd.Shrink()
		_ = c.rd.Await() // its error comes again
	}
	return time.Now().Add(sayWithin)
}

// health answers the platform's question whether this scheduler can serve.
func (f *front) health(c *clientConn, last bool) bool {
	last = last || f.closing.Load()
	status, text := 200, "ok\n"
	select {
	case <-f.core.Ready():
	default:
		status, text = 503, "starting\n"
	}
	h := closeHeader(nil, last)
	return c.answer(status, h, []byte(text)) == nil && !last
}

// answer writes one answer, within bounds of time.
func (c *clientConn) answer(status int, h http1.Header, body []byte) error {
	c.conn.SetWriteDeadline(time.Now().Add(writeWithin))
	_, err := c.conn.Write(http1.AppendResponse(nil, status, http.StatusText(status), h, body))
	return err
}

func closeHeader(h http1.Header, last bool) http1.Header {
	if last {
		h = append(h, http1.Field{Name: "Connection", Value: "close"})
	}
	return h
}

// turnAway answers what cannot be taken with its error and lets the connection end in order.
func (f *front) turnAway(c *clientConn, cause error) {
	var e *http1.Error
	var late net.Error
	switch {
	case errors.As(cause, &e):
	case errors.As(cause, &late) && late.Timeout():
		e = &http1.Error{Status: 408, What: "the request did not come in time"}
	default:
		return // the client is gone
	}
	f.counts.malformed.Add(1)
	f.log.Debug("request turned away", "status", e.Status, "cause", e.What)
	if c.answer(e.Status, closeHeader(nil, true), []byte(e.What+"\n")) != nil {
		return
	}
	if tcp, ok := c.conn.(*net.TCPConn); ok && tcp.CloseWrite() == nil {
		c.conn.SetReadDeadline(time.Now().Add(readOffFor))
		c.rd.Discard(readOff)
	}
}

func bad(what string) error { return &http1.Error{Status: 400, What: what} }

// read takes a request in: its terms are checked before its body is read.
func (f *front) read(c *clientConn, q *http1.Request) (*exchange, error) {
	if q.Method != "GET" && q.Method != "PUT" {
		return nil, &http1.Error{Status: 405, What: "reads are GET, writes are PUT"}
	}
	e := &exchange{front: f, c: c, method: q.Method, target: q.Target, close: q.Close,
		done: make(chan struct{}), call: &sched.Call{}}
	if err := f.terms(e, q); err != nil {
		return nil, err
	}
	if q.Length > 0 {
		if f.bodies.Add(q.Length) > f.lim.bodies {
			f.bodies.Add(-q.Length)
			f.counts.crowded.Add(1)
			return nil, &http1.Error{Status: 503, What: sched.ReasonOverload}
		}
		if awaited, _ := q.Header.Get("Expect"); strings.EqualFold(awaited, "100-continue") {
			_, _ = c.conn.Write([]byte("HTTP/1.1 100 Continue\r\n\r\n")) // the read tells if it broke
		}
		body, err := c.rd.Body(q.Length)
		if err != nil {
			f.bodies.Add(-q.Length)
			return nil, err
		}
		e.body = body
	}
	e.call.Caller = e
	e.call.At = f.core.Now()
	return e, nil
}

// one is the value of a field that stands once.
func one(h http1.Header, name string) (string, error) {
	v, n := h.Get(name)
	if n != 1 || v == "" {
		return "", bad(name + " is missing or stands twice")
	}
	return v, nil
}

// terms reads what a request states of itself into the module's form.
func (f *front) terms(e *exchange, q *http1.Request) error {
	ask := &e.call.Ask
	values := map[string]string{}
	for _, name := range []string{fieldID, fieldClass, fieldPlan, fieldBudget, fieldExtent} {
		v, err := one(q.Header, name)
		if err != nil {
			return err
		}
		values[name] = v
	}
	e.id = values[fieldID]
	if len(e.id) > maxID {
		return bad(fieldID + " is too long")
	}
	e.call.Token = tokenOf(e.id)
	if ask.Class = slices.Index(f.site.Classes, values[fieldClass]); ask.Class < 0 {
		return bad(fieldClass + " names no class of the settings")
	}
	if ask.Plan = slices.Index(f.site.Plans, values[fieldPlan]); ask.Plan < 0 {
		return bad(fieldPlan + " names no plan of the settings")
	}
	class := &f.site.Control.Classes[ask.Class]
	wait, err := strconv.ParseFloat(values[fieldBudget], 64)
	if err != nil || !(wait > 0 && wait <= longestWait.Seconds()) ||
		strings.Trim(values[fieldBudget], "0123456789.") != "" {
		return bad(fieldBudget + " is no time in seconds")
	}
	e.call.Wait = time.Duration(wait * float64(time.Second))
	if class.Deadline > 0 { // a client waits for its class's deadline at most, over all its tries
		e.call.Wait = min(e.call.Wait, class.Deadline)
	}
	if ask.Key, err = extentOf(q.Target); err != nil {
		return err
	}
	if err := f.extent(ask, values[fieldExtent]); err != nil {
		return err
	}
	key, keys := q.Header.Get(fieldKey)
	switch {
	case keys > 1 || (keys == 1 && key == ""):
		return bad(fieldKey + " stands twice or is empty")
	case keys == 0 && class.Repeat == control.Keyed:
		return bad("a keyed class carries " + fieldKey)
	}
	again, tries := q.Header.Get(fieldAgain)
	if tries > 1 || (tries == 1 && again != "1" && again != "0") {
		return bad(fieldAgain + " is neither 1 nor 0")
	}
	ask.Repeat, ask.Write = again == "1", q.Method == "PUT"
	for _, field := range q.Header {
		for _, name := range []string{fieldID, fieldClass, fieldPlan, fieldExtent, fieldKey, "Content-Type"} {
			if strings.EqualFold(field.Name, name) {
				e.pass = append(e.pass, field)
			}
		}
	}
	return nil
}

// tokenOf is the number by which logs name a request: its id where that is one.
func tokenOf(id string) uint64 {
	if v, err := strconv.ParseUint(id, 16, 64); err == nil {
		return v
	}
	h := fnv.New64a()
	h.Write([]byte(id))
	return h.Sum64()
}

// extentOf is the piece of data that a target's query names.
func extentOf(target string) (uint64, error) {
	_, query, _ := strings.Cut(target, "?")
	values, err := url.ParseQuery(query)
	if err != nil || len(values[queryExtent]) != 1 {
		return 0, bad("the query does not name one extent")
	}
	return hex16(values[queryExtent][0], "the extent")
}

func hex16(text, what string) (uint64, error) {
	v, err := strconv.ParseUint(text, 16, 64)
	if err != nil || len(text) != 16 {
		return 0, bad(what + " is not 16 hex digits")
	}
	return v, nil
}

// extent reads the field that tells of the data: volume, units, shard and hosts, each once.
func (f *front) extent(ask *control.Request, text string) error {
	seen := map[string]bool{}
	for part := range strings.SplitSeq(text, ",") {
		name, value, ok := strings.Cut(strings.Trim(part, " "), "=")
		if !ok || seen[name] {
			return bad(fieldExtent + " is not name=value, each once")
		}
		seen[name] = true
		var err error
		switch name {
		case "volume":
			if ask.Volume, err = hex16(value, "the volume"); err != nil {
				return err
			}
		case "units":
			ask.Units, err = strconv.ParseFloat(value, 64)
			if err != nil || !(ask.Units > 0) || ask.Units != math.Trunc(ask.Units) ||
				ask.Units > max(1, f.site.Control.MostUnits) {
				return bad(fieldExtent + ": units out of range")
			}
		case "shard":
			most := math.MaxUint16
			if f.site.Shards > 0 {
				most = f.site.Shards - 1
			}
			if ask.Cell, err = strconv.Atoi(value); err != nil || ask.Cell < control.NewObject ||
				ask.Cell > most {
				return bad(fieldExtent + ": shard out of range")
			}
		case "hosts":
			if ask.Writers, err = strconv.Atoi(value); err != nil || ask.Writers < 1 ||
				ask.Writers > max(1, f.site.Control.Hosts) {
				return bad(fieldExtent + ": hosts out of range")
			}
		}
	}
	for _, name := range []string{"volume", "units", "shard", "hosts"} {
		if !seen[name] {
			return bad(fieldExtent + " lacks " + name)
		}
	}
	return nil
}

// work hands a request to the loop and waits for its answer, or for the client to go away. It tells whether
// the connection goes on.
func (f *front) work(e *exchange) bool {
	defer f.bodies.Add(-int64(len(e.body)))
	f.mu.Lock()
	_, twice := f.open[e.id]
	if !twice {
		f.open[e.id] = struct{}{}
	}
	f.mu.Unlock()
	if twice {
		f.counts.doubled.Add(1)
		f.turnAway(e.c, &http1.Error{Status: 409, What: "a request of this id is open"})
		return false
	}
	if why := f.core.Admit(f.lim.open); why != "" {
		f.forget(e)
		f.counts.crowded.Add(1)
		f.log.Debug("refused", "reason", why, "id", e.id)
		e.close = e.close || why == sched.ReasonStopping
		advice := f.site.Control.MaxRetryAfter
		if !f.site.Control.RetryAfter {
			advice = 0
		}
		e.write(proto.Answer{Code: proto.Refused, Reason: why, Advice: advice}, nil)
		return !e.close
	}
	f.core.Take(e.call)
	e.c.conn.SetReadDeadline(time.Time{})
	if e.c.rd.Buffered() == 0 {
		if err := e.c.rd.Await(); err != nil {
			select {
			case <-e.done:
			default:
				f.core.Left(e.call)
			}
			<-e.done
			return false
		}
	}
	<-e.done
	return !e.close
}

func (f *front) forget(e *exchange) {
	f.mu.Lock()
	delete(f.open, e.id)
	f.mu.Unlock()
}

// Answer gives the request its one final answer; it is written beside the loop.
func (e *exchange) Answer(a proto.Answer, payload []byte) {
	e.front.forget(e)
	go e.write(a, payload)
}

// write puts the answer on the client's connection.
func (e *exchange) write(a proto.Answer, payload []byte) {
	f := e.front
	e.close = e.close || f.closing.Load()
	status, h := 200, http1.Header(nil)
	switch a.Code {
	case proto.OK:
	case proto.Refused:
		status = 503
		if a.Advice > 0 {
			h = append(h, http1.Field{Name: "Retry-After", Value: strconv.FormatFloat(a.Advice.Seconds(),
				'f', 3, 64)})
		}
	default:
		status = 502
		if a.Reason == sched.ReasonTimeout || a.Reason == sched.ReasonHeld ||
			a.Reason == sched.ReasonOverdue {
			status = 504
		}
	}
	if a.Code != proto.OK {
		h, payload = append(h, http1.Field{Name: "X-Reason", Value: a.Reason}), nil
	}
	if err := e.c.answer(status, closeHeader(h, e.close), payload); err != nil || e.close {
		e.c.conn.Close()
	}
	f.mark(e.c, idling)
	close(e.done)
}

// bye closes the connections that idle, and all others after their answer.
func (f *front) bye() {
	f.closing.Store(true)
	f.closeIdle(0, -1)
}

// closeAll ends what is left.
func (f *front) closeAll() {
	f.mu.Lock()
	defer f.mu.Unlock()
	for c := range f.conns {
		c.conn.Close()
	}
}

// drain waits until the answers that are being written are out, at most for so long.
func (f *front) drain(most time.Duration) {
	for by := time.Now().Add(most); time.Now().Before(by); time.Sleep(time.Millisecond) {
		busy := false
		f.mu.Lock()
		for c := range f.conns {
			busy = busy || c.state == working
		}
		f.mu.Unlock()
		if !busy {
			return
		}
	}
}
