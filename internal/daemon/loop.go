package daemon

import (
	"context"
	"slices"
	"time"

	"landingpaddle/checkpoint"
	"landingpaddle/endpoints"
	"landingpaddle/extent"
	"landingpaddle/internal/proto"
	"landingpaddle/scheduler"
)

// What reaches the loop beside *Call, control.Peer, control.Probed, roster.News and what an edge wants done
// on the loop (a func).
type (
	clientGone struct{ call *Call } // the client left or cancelled
	listFailed struct{ err error }
	notice     struct { // a node told on its connection that it drains
		server scheduler.Server
		boot   int64
	}
	greeted notice   // a node's greeting told of this start
	result  struct { // an operation ended
		op      *Operation
		code    scheduler.ResultCode
		answer  proto.Answer
		payload []byte
	}
	begun struct{ op *Operation } // a streamed answer has begun
)

// request is what the module knows as one: a call, or a piece of a ranged call, until it has its end and no
// attempt of it is out.
type request struct {
	call    *Call
	piece   extent.Piece // of a ranged call
	id      uint32
	expires time.Duration
	sends   int
	out     []*attempt
	done    bool
	served  bool
	server  scheduler.Server // of the last attempt
	why     string           // reason word of the last attempt's end
}

// attempt is one send of one request.
type attempt struct {
	req      *request
	op       *Operation
	n        int
	server   scheduler.Server
	boot     time.Duration // of the process that it was decided to send to
	before   time.Duration // it must have begun by then; 0: any time
	at       time.Duration
	deadline time.Duration
	over     bool
	timeout  *timer
}

// loop owns the module and all state of requests. It never blocks on a socket.
type loop struct {
	shared          *EventLoop
	drivers         Drivers
	decider         Decider
	scheduler       *scheduler.Scheduler // the one behind decider
	savedStatistics *checkpoint.Record   // of the incarnation before; nil: none to restore
	settings        scheduler.Settings
	planner         *extent.Planner // nil: no ranged requests
	view            *endpoints.View
	timers          timers
	nextID          uint32
	wholes          uint64
	requests        map[uint32]*request
	leaving         []*Operation  // of this batch
	now             time.Duration // of this batch
	fresh           bool          // the module was told of something
	spare           []any
	last            time.Duration // end of the last batch
	told            time.Duration // when the counters were last logged
}

// handOver is how long a call may be between Admit and Take.
const handOver = 50 * time.Millisecond

// tellEvery is how often an instance that works logs its counters.
const tellEvery = time.Minute

func newLoop(c *EventLoop, drivers Drivers) *loop {
	set := c.cfg.Settings
	module := scheduler.New(c.cfg.Seed, set)
	l := &loop{
		shared:    c,
		drivers:   drivers,
		decider:   module,
		scheduler: module,
		settings:  set,
		view:      endpoints.New(c.cfg.ClockSkew),
		requests:  map[uint32]*request{},
	}
	if e := c.cfg.Extents; e != nil {
		l.planner = extent.New(*e)
		module.SetBatcher(l.planner)
	}
	if wrap := c.cfg.Hooks.Decider; wrap != nil {
		l.decider = wrap(set, module)
	}
	return l
}

// run gathers what happens into batches until the instance has stopped in order or ctx ends.
func (l *loop) run(ctx context.Context) error {
	kept := l.loadSnapshot()
	l.now = l.shared.Now()
	l.told = l.now
	l.members(l.view.Restore(l.shared.clock(), kept))
	if l.shared.cfg.TrustInitialList {
		l.view.TrustRestored()
		l.holds()
	}
	l.loadStatistics()
	l.restoreStatistics(kept.Endpoints)
	l.decide()
	close(l.shared.ready)
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	var stopBy <-chan time.Time
	stop := l.shared.stopping
	for {
		if stop == nil && len(l.requests) == 0 && l.shared.openCalls.Load() == 0 {
			return nil
		}
		if at, ok := l.timers.next(); ok {
			timer.Reset(max(0, at-l.shared.Now()))
		} else {
			timer.Reset(time.Hour)
		}
		select {
		case <-ctx.Done():
			return context.Cause(ctx)
		case <-stop:
			stop = nil
			stopBy = time.After(l.shared.cfg.ShutdownTimeout)
			l.shared.log.Info("instance stopping", "held", len(l.requests))
		case <-stopBy:
			l.abandon()
			return nil
		case <-l.shared.inbox.wake:
		case <-timer.C:
		}
		if wait := l.last + l.shared.cfg.BatchInterval - l.shared.Now(); wait > 0 {
			time.Sleep(wait)
		}
		if l.shared.cfg.Hooks.Gate != nil {
			l.shared.cfg.Hooks.Gate()
		}
		l.batch()
	}
}

// batch hands all that has happened to the module and carries out what it asks for. Answers go before
// time-outs that are due in the same batch: what was served was served.
func (l *loop) batch() {
	l.now = l.shared.Now()
	items := l.shared.inbox.take(l.spare)
	for _, item := range items {
		l.item(item)
	}
	l.spare = items
	l.timers.runDue(l.now)
	if l.fresh {
		l.decide()
	}
	if l.fresh {
		// Carrying out told the module something (an attempt cancelled has its outcome at once): what it
		// wants done about that must not wait for the next thing to happen.
		l.shared.inbox.ring()
	}
	l.publishPlannerStats()
	if l.now-l.told >= tellEvery {
		l.told = l.now
		l.shared.log.Info("counters", "all", &l.shared.Stats)
	}
	l.last = l.shared.Now()
}

func (l *loop) tell(ev scheduler.Event) {
	l.fresh = true
	l.decider.Handle(l.now, ev)
}

// members tells the module, and whoever is about to write a first byte, of the nodes.
func (l *loop) members(m scheduler.EndpointUpdate) {
	l.shared.notifiedEndpoints.told(m)
	l.tell(m)
}

func (l *loop) decide() {
	l.fresh = false
	l.shared.Stats.Batches.Add(1)
	for _, a := range l.decider.Decide(l.now) {
		l.act(a)
	}
	l.depart()
}

func (l *loop) item(item any) {
	switch x := item.(type) {
	case *Call:
		l.take(x)
	case clientGone:
		l.clientGone(x.call)
	case result:
		l.opEnded(x)
	case begun:
		for _, a := range x.op.members {
			if !a.over {
				l.tell(scheduler.ResponseStarted{ID: a.req.id, Attempt: a.n, Server: a.server,
					Latency: l.now - a.at})
			}
		}
	case endpoints.Update:
		l.news(x)
	case listFailed:
		l.shared.log.Warn("list call failed", "error", x.err)
		l.members(scheduler.EndpointUpdate{Kind: scheduler.UpdateFailed})
	case notice:
		if m, ok := l.view.ApplyDrainNotice(l.shared.clock(), x.server, x.boot); ok {
			l.shared.log.Info("node drains", "node", l.shared.cfg.NodeName(x.server), "told by", "node")
			l.members(m)
		}
	case greeted:
		if m, ok := l.view.ApplyGreeting(l.shared.clock(), x.server, x.boot); ok {
			l.shared.log.Info("node restarted", "node", l.shared.cfg.NodeName(x.server), "told by", "node")
			l.members(m)
		}
	case scheduler.PeerMessage:
		l.tell(x)
	case func(*loop):
		x(l)
	case scheduler.HealthCheckResult:
		l.tell(x)
	}
}

func (l *loop) news(n endpoints.Update) {
	m, verdict := l.view.Apply(l.shared.clock(), n)
	switch verdict {
	case endpoints.Gap:
		l.shared.log.Info("list has a gap", "version", n.Version, "since", n.BaseVersion)
		l.shared.listVersion.Store(&listVersion{})
		l.drivers.Endpoints.FetchFull()
	case endpoints.Applied:
		l.members(m)
		if m.Kind == scheduler.UpdateFull { // the first whole list of a life ends what is taken over
			l.restoreStatistics(l.view.Snapshot().Endpoints)
			l.savedStatistics = nil
		}
		l.holds()
		for _, e := range m.Endpoints {
			l.shared.log.Info("node listed", "node", l.shared.cfg.NodeName(e.Server), "status", e.Status.String(),
				"cell", e.Cell)
		}
		l.queueSnapshot()
	}
}

// holds tells the edges which version of the list is held.
func (l *loop) holds() {
	epoch, version := l.view.Version()
	l.shared.listVersion.Store(&listVersion{epoch, version})
}

// id hands out a number by which the module knows a request.
func (l *loop) id() uint32 {
	for {
		l.nextID++
		if _, used := l.requests[l.nextID]; !used && l.nextID != 0 {
			return l.nextID
		}
	}
}

func (l *loop) take(k *Call) {
	expires := k.ReceivedAt + k.Wait - l.shared.cfg.ResponseMargin
	k.overdue = l.timers.set(expires+l.shared.cfg.AnswerSlack, func() { l.overdue(k) })
	ask := k.Request
	ask.ExpiresAt = expires
	if k.Range == nil {
		r := &request{call: k, id: l.id(), expires: expires}
		l.requests[r.id], k.reqs = r, []*request{r}
		ask.ID = r.id
		l.tell(ask)
		return
	}
	l.wholes++
	pieces, err := l.planner.Add(
		extent.Request{ID: l.wholes, DataVolume: k.DataVolume, Range: *k.Range, Write: ask.Write,
			Class: ask.Class, Plan: ask.Plan, Units: int(ask.Units), ReceivedAt: k.ReceivedAt,
			RetrySafe: l.settings.Classes[ask.Class].RetrySafe()},
		l.id,
	)
	if err != nil {
		l.shared.log.Debug("range refused", "token", k.Token, "error", err)
		l.finish(k, proto.Answer{Code: proto.Rejected, Reason: ReasonBadRange}, nil)
		return
	}
	k.id = l.wholes
	for n, p := range pieces {
		r := &request{call: k, piece: p, id: p.ID, expires: expires}
		l.requests[r.id], k.reqs = r, append(k.reqs, r)
		ask.ID, ask.Cell, ask.Units, ask.Continuation = p.ID, p.Cell, float64(p.Units), n > 0
		l.tell(ask)
	}
}

// overdue is the net under the module: a call that it has not answered when its time is up is answered
// here, and logged as the fault that it is.
func (l *loop) overdue(k *Call) {
	if !k.done && l.fresh {
		// A loop that had no turn for long finds the end of an attempt and this in one batch: the module,
		// which was only just told, has its word first.
		l.decide()
	}
	if k.done {
		return
	}
	l.shared.Stats.Overdue.Add(1)
	sends := 0
	for _, r := range k.reqs {
		sends += r.sends
	}
	l.shared.log.Error("overdue", "token", k.Token, "attempts", sends, "held", l.now-k.ReceivedAt)
	l.drop(k, ReasonOverdue)
}

// clientGone ends a call whose client is gone or wants no answer any more.
func (l *loop) clientGone(k *Call) {
	if k.done || k.reqs == nil {
		return
	}
	l.shared.Stats.ClientGone.Add(1)
	l.drop(k, ReasonClientGone)
}

// drop answers a call as failed and lets the module know that nothing is owed for it any more.
func (l *loop) drop(k *Call, reason string) {
	a := proto.Answer{Code: proto.Failed, Reason: reason}
	var withdraw []uint32
	if k.id != 0 {
		var ends *extent.Answer
		if ends, withdraw = l.planner.Abandon(k.id); ends != nil {
			tellPieces(&a, ends)
		}
	} else {
		withdraw = []uint32{k.reqs[0].id}
	}
	l.finish(k, a, nil)
	l.withdraw(withdraw)
}

// tellPieces puts into an answer what is known of a request's pieces.
func tellPieces(a *proto.Answer, ends *extent.Answer) {
	a.Done, a.Uncertain, a.Unsent = uint16(ends.Done), uint16(ends.Uncertain), uint16(ends.Unsent)
}

// withdraw tells the module that nothing is owed for requests any more.
func (l *loop) withdraw(ids []uint32) {
	for _, id := range ids {
		if r := l.requests[id]; r != nil {
			r.done = true
			l.tell(scheduler.ClientGone{ID: id})
			l.settle(r)
		}
	}
}

// finish gives a call its one final answer.
func (l *loop) finish(k *Call, a proto.Answer, payload []byte) {
	if k.done {
		return
	}
	k.done = true
	k.unwanted.Store(true)
	l.timers.cancel(k.overdue)
	l.shared.Stats.countAnswer(a.Code)
	if a.Code != proto.OK {
		l.shared.log.Debug(answerEvent(a.Code), "reason", a.Reason, "token", k.Token, "advice", a.RetryAfter)
		if a.Done > 0 && k.Request.Write {
			l.partial(k)
		}
	}
	l.shared.openCalls.Add(-1)
	k.Responder.Respond(a, payload)
}

// partial logs what of a failed write is where: nobody else can tell.
func (l *loop) partial(k *Call) {
	for _, r := range k.reqs {
		state := "unsent"
		switch {
		case r.served:
			state = "done"
		case r.sends > 0:
			state = "unsure"
		}
		at := r.piece.Range
		l.shared.log.Warn("write in part", "token", k.Token, "data", k.DataVolume, "offset", at.Offset,
			"length", at.Length, "state", state, "node", l.shared.cfg.NodeName(r.server), "last", r.why)
	}
}

// over takes in how a request ended by the module's word, or by being served.
func (l *loop) over(r *request, a proto.Answer, payload []byte) {
	if r.done {
		return
	}
	r.done, r.served = true, a.Code == proto.OK
	k := r.call
	if k.id == 0 {
		l.finish(k, a, payload)
		return
	}
	verdict := extent.Failed
	switch a.Code {
	case proto.OK:
		verdict = extent.Served
	case proto.Rejected:
		verdict = extent.Rejected
	}
	ends, withdraw := l.planner.Resolve(r.id, verdict, payload)
	if ends != nil {
		tellPieces(&a, ends)
		a.Unreadable = nil
		if ends.Outcome == extent.Failed {
			a.Code, a.RetryAfter = proto.Failed, 0
		}
		payload = nil
		if len(ends.Data) == 1 {
			payload = ends.Data[0]
		} else if ends.Outcome == extent.Served {
			payload = slices.Concat(ends.Data...)
			l.shared.Stats.Copied.Add(uint64(len(payload)))
		}
		l.finish(k, a, payload)
	}
	l.withdraw(withdraw)
}

// settle forgets a request that has its end and no attempt out.
func (l *loop) settle(r *request) {
	if r.done && len(r.out) == 0 {
		delete(l.requests, r.id)
		if r.call.id != 0 {
			l.planner.Forget(r.id)
		}
	}
}

// opEnded takes in how an operation ended: each member has its own part of that.
func (l *loop) opEnded(x result) {
	var parts []extent.Part
	if x.code == scheduler.OK && x.op.ranged() {
		var bad []extent.Range
		for _, b := range x.answer.Unreadable {
			bad = append(bad, extent.Range{Offset: b.Offset, Length: b.Length})
		}
		parts = x.op.plan.Distribute(bad, x.payload)
	}
	for n, a := range x.op.members {
		code, payload := x.code, x.payload
		if parts != nil {
			payload = parts[n].Data
			if !parts[n].OK {
				code = scheduler.Error
			}
		}
		l.ended(a, code, x.answer, payload, n == 0)
	}
}

// ended takes in how an attempt ended. The first that was served reaches the client at once. What a node
// tells of volumes concerns that of the operation's lead.
func (l *loop) ended(a *attempt, code scheduler.ResultCode, answer proto.Answer, payload []byte, lead bool) {
	if a.over {
		l.shared.Stats.Late.Add(1)
		return // its time-out came first, and was its one outcome
	}
	a.over = true
	l.timers.cancel(a.timeout)
	l.shared.Stats.countAttempt(code)
	r := a.req
	r.out = slices.DeleteFunc(r.out, func(o *attempt) bool { return o == a })
	r.why = attemptReason(code)
	if k := r.call; k.id != 0 {
		l.planner.AttemptEnded(r.id, code.MayHaveRun())
		if k.done && k.Request.Write && code.MayHaveRun() {
			at := r.piece.Range
			l.shared.log.Info("piece of an answered write ended", "token", k.Token, "data", k.DataVolume,
				"offset", at.Offset, "length", at.Length, "node", l.shared.cfg.NodeName(a.server), "code", code)
		}
	}
	out := scheduler.AttemptResult{
		ID:      r.id,
		Attempt: a.n,
		Server:  a.server,
		Code:    code,
		Latency: l.now - a.at,
		Load:    answer.Load,
	}
	if lead {
		out.MeteredRate, out.ElsewhereUnits = int(answer.MeteredRate), float64(answer.ElsewhereUnits)
	}
	if code == scheduler.OK {
		answer.Code, answer.MeteredRate, answer.ElsewhereUnits, answer.Load = proto.OK, 0, 0, nil
		l.over(r, answer, payload)
	}
	out.RequestDone = r.done
	l.tell(out)
	l.settle(r)
}

// giveUp ends an attempt on this side: its time is up or it was cancelled. An operation is cancelled at
// its node once no member waits for it, and one of several members for itself: a write that was given up on
// here but still stood in an operation at its node was done after a later one of its key.
func (l *loop) giveUp(a *attempt, code scheduler.ResultCode) {
	if a.over {
		return
	}
	l.ended(a, code, proto.Answer{}, nil, false)
	if slices.ContainsFunc(a.op.members, func(o *attempt) bool { return !o.over }) {
		l.drivers.Upstream.CancelMember(a.op, slices.Index(a.op.members, a))
		return
	}
	l.drivers.Upstream.Cancel(a.op)
}

func (l *loop) act(action scheduler.Action) {
	switch x := action.(type) {
	case scheduler.Send:
		l.send(x)
	case scheduler.Reject:
		if r := l.requests[x.ID]; r != nil {
			l.over(r, proto.Answer{Code: proto.Rejected, Reason: r.reason(), RetryAfter: x.RetryAfter}, nil)
			l.settle(r)
		}
	case scheduler.Fail:
		if r := l.requests[x.ID]; r != nil {
			l.over(r, proto.Answer{Code: proto.Failed, Reason: r.reason()}, nil)
			l.settle(r)
		}
	case scheduler.Cancel:
		if r := l.requests[x.ID]; r != nil {
			for _, a := range slices.Clone(r.out) {
				if a.n == x.Attempt {
					l.giveUp(a, scheduler.Cancelled)
				}
			}
		}
	case scheduler.SetTimer:
		l.timers.set(l.now+x.After, func() { l.tell(scheduler.TimerFired{Token: x.Token}) })
	case scheduler.CheckHealth:
		l.drivers.Upstream.CheckHealth(x.Server)
	case scheduler.CloseIdle:
		l.drivers.Upstream.CloseIdle(x.Server)
	case scheduler.SendToPeer:
		if l.drivers.Peers != nil {
			if err := l.drivers.Peers.Send(x.To, x.Body); err != nil {
				l.shared.log.Debug("message lost", "error", err)
			}
		}
	case scheduler.WriteLog:
		l.shared.log.Info("module", "text", x.Text)
	case scheduler.WatchEndpoints:
		l.drivers.Endpoints.Watch(x.On)
	case scheduler.FetchEndpoints:
		l.drivers.Endpoints.Fetch()
	}
}

func (r *request) reason() string {
	if r.why != "" {
		return r.why
	}
	return ReasonNotInTime
}

// send starts an attempt, for as long as it may take and never longer than the client waits. What leaves
// with it as one operation follows at once, by With; depart then hands them to the pool.
func (l *loop) send(x scheduler.Send) {
	r := l.requests[x.ID]
	if r == nil {
		return
	}
	a := &attempt{req: r, n: r.sends, server: x.Server, boot: l.shared.notifiedEndpoints.of(x.Server).boot, at: l.now,
		before: x.StartBefore, deadline: r.expires}
	r.sends++
	r.server = x.Server
	r.out = append(r.out, a)
	if r.call.id != 0 {
		l.planner.AttemptSent(r.id)
	}
	if x.Timeout > 0 {
		a.deadline = min(a.deadline, l.now+x.Timeout)
	}
	if n := len(l.leaving); x.Leader != 0 && n > 0 && l.leaving[n-1].members[0].req.id == x.Leader {
		a.op = l.leaving[n-1]
		a.op.members = append(a.op.members, a)
	} else {
		a.op = alone(a)
		l.leaving = append(l.leaving, a.op)
	}
	a.timeout = l.timers.set(a.deadline, func() { l.giveUp(a, scheduler.TimedOut) })
}

// depart hands this batch's operations to the pool.
func (l *loop) depart() {
	leaving := l.leaving
	l.leaving = nil
	for _, op := range leaving {
		for _, live := range l.live(op) {
			l.shared.Stats.Attempts.Add(uint64(len(live.members)))
			l.drivers.Upstream.Send(live)
		}
	}
	clear(leaving)
	l.leaving = leaving[:0]
}

// live is what of an operation is still to be sent: nothing is sent for a request that has its end or whose
// time is up. Where members have dropped out, the others may not touch any more, so each goes alone. Of
// several of one ordered key only the first may: the others go back to the module as not sent. (Sent side by
// side, they were carried out in any order.)
func (l *loop) live(op *Operation) []*Operation {
	var keep []*attempt
	for _, a := range op.members {
		switch {
		case a.over:
		case a.req.done || a.deadline <= l.now:
			l.shared.Stats.Withheld.Add(1)
			l.shared.inbox.put(result{op: alone(a), code: scheduler.NotApplicable})
		default:
			keep = append(keep, a)
		}
	}
	if len(keep) == len(op.members) {
		op.seal(l)
		return []*Operation{op}
	}
	var out []*Operation
	keys := map[uint64]bool{}
	for _, a := range keep {
		if q := &a.req.call.Request; q.Key != 0 && l.settings.Classes[q.Class].OrderedByKey {
			if keys[q.Key] {
				l.shared.inbox.put(result{op: alone(a), code: scheduler.ConnectFailed})
				continue
			}
			keys[q.Key] = true
		}
		a.op = alone(a)
		a.op.seal(l)
		out = append(out, a.op)
	}
	return out
}

// abandon answers all that is held when the time to stop in is over: also what was admitted before the stop
// and is still on its way here, as it would wait for ever.
func (l *loop) abandon() {
	stopping := proto.Answer{Code: proto.Failed, Reason: ReasonStopping}
	for _, r := range l.requests {
		l.finish(r.call, stopping, nil)
	}
	for by := l.shared.Now() + handOver; ; time.Sleep(time.Millisecond) {
		for _, item := range l.shared.inbox.take(nil) {
			if k, ok := item.(*Call); ok {
				l.finish(k, stopping, nil)
			}
		}
		if l.shared.openCalls.Load() == 0 || l.shared.Now() >= by {
			return
		}
	}
}
