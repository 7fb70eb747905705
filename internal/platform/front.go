package platform

import (
	"hash/fnv"
	"log/slog"
	"math"
	"net/url"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"landingpaddle/internal/daemon"
	"landingpaddle/internal/http1"
	"landingpaddle/internal/proto"
	"landingpaddle/internal/wire"
	"landingpaddle/scheduler"
)

// Names of the header fields that clients and disk servers use.
const (
	fieldID       = "X-Call-Id"
	fieldClass    = "X-Call-Class"
	fieldPlan     = "X-Storage-Class"
	fieldBudget   = "X-Budget"
	fieldExtent   = "X-Extent"
	fieldRetry    = "X-Again"
	fieldKey      = "Idempotency-Key"
	queryExtent   = "extent"
	pathHealth    = "/healthz"
	maxIDLength   = 128
	maxClientWait = time.Hour
)

// front takes requests from clients, bounds them and hands them to the loop.
type frontend struct {
	loop   *daemon.EventLoop
	site   *wire.Site
	log    *slog.Logger
	limits resourceLimits

	keepIdle  atomic.Bool  // clients' connections are left open, as new ones come no more
	bodyBytes atomic.Int64 // bytes of bodies and of what came ahead of its turn

	mu          sync.Mutex
	closing     bool // clients' connections end as soon as nothing of a request is on them
	connections map[*clientConn]struct{}
	lingering   int                 // connections that end and are not among conns any more
	openIDs     map[string]struct{} // ids of open requests

	counters frontendCounters
}

type frontendCounters struct {
	accepted, refused, evicted, silent, invalid, duplicateIDs, overLimit atomic.Uint64
}

// exchange is one client's request; it waits for the loop's answer.
type inFlightRequest struct {
	frontend    *frontend
	client      *clientConn
	call        *daemon.Call
	id          string
	method      string
	target      string
	forwarded   http1.Header // what goes on to the disk server unchanged
	body        []byte
	closeWanted bool          // the client wants nothing more on its connection
	answered    chan struct{} // closed once the answer is written
	isLast      bool          // it was the connection's last; known once done is closed
}

func newFrontend(core *daemon.EventLoop, site *wire.Site, log *slog.Logger, lim resourceLimits) *frontend {
	return &frontend{loop: core, site: site, log: log, limits: lim, connections: map[*clientConn]struct{}{},
		openIDs: map[string]struct{}{}}
}

// health answers the platform's question whether this scheduler can serve.
func (f *frontend) answerHealth(c *clientConn, last bool) bool {
	last = f.isLastAnswer(c, last)
	status, text := 200, "ok\n"
	switch {
	case f.loop.Stopping():
		status, text = 503, "stopping\n"
	case !f.loop.IsReady():
		status, text = 503, "starting\n"
	}
	return c.writeResponse(status, withConnectionClose(nil, last), []byte(text)) == nil && !last
}

func withConnectionClose(h http1.Header, last bool) http1.Header {
	if last {
		h = append(h, http1.Field{Name: "Connection", Value: "close"})
	}
	return h
}

func badRequest(what string) error { return &http1.Error{Status: 400, Reason: what} }

// read takes a request in: its terms are checked before its body is read.
func (f *frontend) readRequest(c *clientConn, q *http1.Request) (*inFlightRequest, error) {
	if q.Method != "GET" && q.Method != "PUT" {
		return nil, &http1.Error{Status: 405, Reason: "reads are GET, writes are PUT"}
	}
	e := &inFlightRequest{frontend: f, client: c, method: q.Method, target: q.Target, closeWanted: q.Close,
		answered: make(chan struct{}), call: &daemon.Call{}}
	if err := f.validate(e, q); err != nil {
		return nil, err
	}
	if q.Length > 0 {
		if f.bodyBytes.Add(q.Length) > f.limits.bodyBytes {
			f.bodyBytes.Add(-q.Length)
			f.counters.overLimit.Add(1)
			return nil, &http1.Error{Status: 503, Reason: daemon.ReasonOverload}
		}
		if awaited, _ := q.Header.Get("Expect"); strings.EqualFold(awaited, "100-continue") {
			_, _ = c.conn.Write([]byte("HTTP/1.1 100 Continue\r\n\r\n")) // the read tells if it broke
		}
		body, err := c.reader.Body(q.Length)
		if err != nil {
			f.bodyBytes.Add(-q.Length)
			return nil, err
		}
		e.body = body
	}
	e.call.Responder = e
	e.call.ReceivedAt = f.receivedAt(c)
	return e, nil
}

// one is the value of a field that stands once.
func requireSingleField(h http1.Header, name string) (string, error) {
	v, n := h.Get(name)
	if n != 1 || v == "" {
		return "", badRequest(name + " is missing or stands twice")
	}
	return v, nil
}

// terms reads what a request states of itself into the module's form.
func (f *frontend) validate(e *inFlightRequest, q *http1.Request) error {
	ask := &e.call.Request
	values := map[string]string{}
	for _, name := range []string{fieldID, fieldClass, fieldPlan, fieldBudget, fieldExtent} {
		v, err := requireSingleField(q.Header, name)
		if err != nil {
			return err
		}
		values[name] = v
	}
	e.id = values[fieldID]
	if len(e.id) > maxIDLength {
		return badRequest(fieldID + " is too long")
	}
	e.call.Token = tokenOf(e.id)
	if ask.Class = slices.Index(f.site.Classes, values[fieldClass]); ask.Class < 0 {
		return badRequest(fieldClass + " names no class of the settings")
	}
	if ask.Plan = slices.Index(f.site.Plans, values[fieldPlan]); ask.Plan < 0 {
		return badRequest(fieldPlan + " names no plan of the settings")
	}
	class := &f.site.Settings.Classes[ask.Class]
	wait, err := strconv.ParseFloat(values[fieldBudget], 64)
	if err != nil || !(wait > 0 && wait <= maxClientWait.Seconds()) ||
		strings.Trim(values[fieldBudget], "0123456789.") != "" {
		return badRequest(fieldBudget + " is no time in seconds")
	}
	e.call.Wait = time.Duration(wait * float64(time.Second))
	if class.Deadline > 0 { // a client waits for its class's deadline at most, over all its tries
		e.call.Wait = min(e.call.Wait, class.Deadline)
	}
	if ask.Key, err = parseExtentQuery(q.Target); err != nil {
		return err
	}
	if err := f.parseExtentField(ask, values[fieldExtent]); err != nil {
		return err
	}
	key, keys := q.Header.Get(fieldKey)
	switch {
	case keys > 1 || (keys == 1 && key == ""):
		return badRequest(fieldKey + " stands twice or is empty")
	case keys == 0 && class.Idempotency == scheduler.IdempotentByKey:
		return badRequest("a keyed class carries " + fieldKey)
	}
	again, tries := q.Header.Get(fieldRetry)
	if tries > 1 || (tries == 1 && again != "1" && again != "0") {
		return badRequest(fieldRetry + " is neither 1 nor 0")
	}
	ask.Retry, ask.Write = again == "1", q.Method == "PUT"
	for _, field := range q.Header {
		for _, name := range []string{fieldID, fieldClass, fieldPlan, fieldExtent, fieldKey, "Content-Type"} {
			if strings.EqualFold(field.Name, name) {
				e.forwarded = append(e.forwarded, field)
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
func parseExtentQuery(target string) (uint64, error) {
	_, query, _ := strings.Cut(target, "?")
	values, err := url.ParseQuery(query)
	if err != nil || len(values[queryExtent]) != 1 {
		return 0, badRequest("the query does not name one extent")
	}
	return parseHex16(values[queryExtent][0], "the extent")
}

func parseHex16(text, what string) (uint64, error) {
	v, err := strconv.ParseUint(text, 16, 64)
	if err != nil || len(text) != 16 {
		return 0, badRequest(what + " is not 16 hex digits")
	}
	return v, nil
}

// extent reads the field that tells of the data: volume, units, shard and hosts, each once.
func (f *frontend) parseExtentField(ask *scheduler.Request, text string) error {
	seen := map[string]bool{}
	for part := range strings.SplitSeq(text, ",") {
		name, value, ok := strings.Cut(strings.Trim(part, " "), "=")
		if !ok || seen[name] {
			return badRequest(fieldExtent + " is not name=value, each once")
		}
		seen[name] = true
		var err error
		switch name {
		case "volume":
			if ask.Volume, err = parseHex16(value, "the volume"); err != nil {
				return err
			}
		case "units":
			ask.Units, err = strconv.ParseFloat(value, 64)
			if err != nil || !(ask.Units > 0) || ask.Units != math.Trunc(ask.Units) ||
				ask.Units > max(1, f.site.Settings.MaxUnits) {
				return badRequest(fieldExtent + ": units out of range")
			}
		case "shard":
			most := math.MaxUint16
			if f.site.Shards > 0 {
				most = f.site.Shards - 1
			}
			if ask.Cell, err = strconv.Atoi(value); err != nil || ask.Cell < scheduler.NewObject ||
				ask.Cell > most {
				return badRequest(fieldExtent + ": shard out of range")
			}
		case "hosts":
			if ask.VolumeInstances, err = strconv.Atoi(value); err != nil || ask.VolumeInstances < 1 ||
				ask.VolumeInstances > max(1, f.site.Settings.Instances) {
				return badRequest(fieldExtent + ": hosts out of range")
			}
		}
	}
	for _, name := range []string{"volume", "units", "shard", "hosts"} {
		if !seen[name] {
			return badRequest(fieldExtent + " lacks " + name)
		}
	}
	return nil
}

// work hands a request to the loop and waits for its answer, or for the client to go away. It tells whether
// the connection goes on.
func (f *frontend) process(e *inFlightRequest) bool {
	c := e.client
	defer f.bodyBytes.Add(-int64(len(e.body)))
	f.mu.Lock()
	_, twice := f.openIDs[e.id]
	if !twice {
		f.openIDs[e.id] = struct{}{}
	}
	f.mu.Unlock()
	if twice {
		f.counters.duplicateIDs.Add(1)
		f.refuse(c, &http1.Error{Status: 409, Reason: "a request of this id is open"})
		return false
	}
	f.beginProcessing(c)
	if why := f.loop.Admit(f.limits.openRequests); why != "" {
		f.releaseID(e)
		f.counters.overLimit.Add(1)
		f.log.Debug("refused", "reason", why, "id", e.id)
		advice := f.site.Settings.MaxRetryAfter
		if !f.site.Settings.RetryAfter {
			advice = 0
		}
		e.writeAnswer(proto.Answer{Code: proto.Rejected, Reason: why, RetryAfter: advice}, nil)
	} else {
		f.loop.Submit(e.call)
		if !f.readAheadUntilAnswered(c) {
			f.loop.ClientGone(e.call)
			<-e.answered
			return false
		}
	}
	<-e.answered
	if e.isLast {
		f.linger(c)
	}
	return !e.isLast
}

func (f *frontend) releaseID(e *inFlightRequest) {
	f.mu.Lock()
	delete(f.openIDs, e.id)
	f.mu.Unlock()
}

// Answer gives the request its one final answer; it is written beside the loop.
func (e *inFlightRequest) Respond(a proto.Answer, payload []byte) {
	e.frontend.releaseID(e)
	go e.writeAnswer(a, payload)
}

// write puts the answer on the client's connection.
func (e *inFlightRequest) writeAnswer(a proto.Answer, payload []byte) {
	f := e.frontend
	e.isLast = f.isLastAnswer(e.client, e.closeWanted)
	status, h := 200, http1.Header(nil)
	switch a.Code {
	case proto.OK:
	case proto.Rejected:
		status = 503
		if a.RetryAfter > 0 {
			h = append(
				h,
				http1.Field{Name: "Retry-After", Value: strconv.FormatFloat(a.RetryAfter.Seconds(),
					'f', 3, 64)},
			)
		}
	default:
		status = 502
		if a.Reason == daemon.ReasonNodeTimeout || a.Reason == daemon.ReasonNotInTime ||
			a.Reason == daemon.ReasonOverdue {
			status = 504
		}
	}
	if a.Code != proto.OK {
		h, payload = append(h, http1.Field{Name: "X-Reason", Value: a.Reason}), nil
	}
	if e.client.writeResponse(status, withConnectionClose(h, e.isLast), payload) != nil {
		e.isLast = true
	}
	f.endProcessing(e.client, e.isLast)
	close(e.answered)
}
