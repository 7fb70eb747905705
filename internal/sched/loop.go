package sched

import (
	"context"
	"slices"
	"time"

	"golang.org/x/sync/errgroup"

	"landingpaddle/control"
	"landingpaddle/internal/proto"
	"landingpaddle/roster"
)

// What reaches the loop beside *call, control.Peer and roster.News.
type (
	departed   struct{ call *call } // the client left or called off
	listFailed struct{ err error }
	notice     struct { // a node told on its connection that it drains
		server control.Server
		boot   int64
	}
	greeted notice   // a node's greeting told of this start
	result  struct { // an attempt ended
		att     *attempt
		code    control.Code
		answer  proto.Answer
		payload []byte
	}
	begun struct{ att *attempt } // a streamed answer has begun
)

// request is a call that the module knows, until it is answered and no attempt of it is out.
type request struct {
	call    *call
	id      uint32
	expires time.Duration
	sends   int
	out     []*attempt
	overdue *timer
	done    bool
	why     string // reason word of the last attempt's end
}

// attempt is one send.
type attempt struct {
	req      *request
	n        int
	server   control.Server
	at       time.Duration
	deadline time.Duration
	conn     *nodeConn // where it is in flight; nil: waits for a connection
	stream   uint64
	over     bool
	timeout  *timer
}

// loop owns the module and all state of requests. It never blocks on a socket.
type loop struct {
	i      *Instance
	host   Decider
	view   *roster.Roster
	pool   *pool
	timers timers
	nextID uint32
	reqs   map[uint32]*request
	byCall map[*call]*request
	now    time.Duration // of this batch
	fresh  bool          // the module was told of something
	spare  []any
	last   time.Duration // end of the last batch
}

func newLoop(ctx context.Context, g *errgroup.Group, i *Instance) *loop {
	set := i.cfg.Site.Control(i.cfg.Number, i.cfg.Of, i.cfg.Zone, i.link != nil)
	var host Decider = control.New(i.cfg.Seed, set)
	if wrap := i.cfg.Hooks.Decider; wrap != nil {
		host = wrap(set, host)
	}
	return &loop{i: i, host: host, view: roster.New(i.cfg.Site.Limits.ClockSkew), pool: newPool(ctx, g, i),
		reqs: map[uint32]*request{}, byCall: map[*call]*request{}}
}

// run gathers what happens into batches until the instance has stopped in order or ctx ends.
func (l *loop) run(ctx context.Context) error {
	var kept roster.Kept
	if l.i.cfg.Kept.Path != "" {
		k, err := l.i.cfg.Kept.Load()
		if err != nil {
			l.i.log.Warn("kept list left out", "error", err)
		}
		kept = k
	}
	l.now = l.i.now()
	l.tell(l.view.Restore(l.i.clock(), kept))
	l.decide()
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	var stopBy <-chan time.Time
	stop := l.i.stop
	for {
		if stop == nil && len(l.reqs) == 0 && l.i.front.open.Load() == 0 {
			return nil
		}
		if at, ok := l.timers.next(); ok {
			timer.Reset(max(0, at-l.i.now()))
		} else {
			timer.Reset(time.Hour)
		}
		select {
		case <-ctx.Done():
			return context.Cause(ctx)
		case <-stop:
			stop = nil
			stopBy = time.After(l.i.cfg.StopWithin)
			l.i.log.Info("instance stopping", "held", len(l.reqs))
		case <-stopBy:
			l.abandon()
			return nil
		case <-l.i.in.wake:
		case <-timer.C:
		}
		if wait := l.last + l.i.cfg.Site.Limits.Tick - l.i.now(); wait > 0 {
			time.Sleep(wait)
		}
		if l.i.cfg.Hooks.Gate != nil {
			l.i.cfg.Hooks.Gate()
		}
		l.batch()
	}
}

// batch hands all that has happened to the module and carries out what it asks for. Answers go before
// time-outs that are due in the same batch: what was served was served.
func (l *loop) batch() {
	l.now = l.i.now()
	items := l.i.in.take(l.spare)
	for _, item := range items {
		l.item(item)
	}
	l.spare = items
	l.timers.run(l.now)
	if l.fresh {
		l.decide()
	}
	if l.fresh {
		// Carrying out told the module something (an attempt called off has its outcome at once): what it
		// wants done about that must not wait for the next thing to happen.
		l.i.in.ring()
	}
	l.last = l.i.now()
}

func (l *loop) tell(ev control.Event) {
	l.fresh = true
	l.host.Handle(l.now, ev)
}

func (l *loop) decide() {
	l.fresh = false
	l.i.Stats.Batches.Add(1)
	for _, a := range l.host.Decide(l.now) {
		l.act(a)
	}
}

func (l *loop) item(item any) {
	switch x := item.(type) {
	case *call:
		l.take(x)
	case departed:
		l.left(x.call)
	case result:
		l.ended(x)
	case begun:
		if !x.att.over {
			l.tell(control.First{ID: x.att.req.id, Attempt: x.att.n, Server: x.att.server,
				Took: l.now - x.att.at})
		}
	case roster.News:
		l.news(x)
	case listFailed:
		l.i.log.Warn("list call failed", "error", x.err)
		l.tell(control.Members{Form: control.ListFailed})
	case notice:
		if m, ok := l.view.Notice(l.i.clock(), x.server, x.boot); ok {
			l.i.log.Info("node drains", "node", addrText(x.server), "told by", "node")
			l.tell(m)
		}
	case greeted:
		if m, ok := l.view.Greeted(l.i.clock(), x.server, x.boot); ok {
			l.i.log.Info("node restarted", "node", addrText(x.server), "told by", "node")
			l.tell(m)
		}
	case control.Peer:
		l.tell(x)
	case dialed:
		l.pool.dialed(l, x)
	case dropped:
		l.pool.dropped(x.conn)
	case control.Probed:
		l.tell(x)
	}
}

func (l *loop) news(n roster.News) {
	m, verdict := l.view.Hear(l.i.clock(), n)
	switch verdict {
	case roster.Gap:
		l.i.log.Info("list has a gap", "version", n.Version, "since", n.Since)
		l.i.held.Store(&[2]uint64{})
		l.i.list.FetchWhole()
	case roster.Believed:
		l.tell(m)
		epoch, version := l.view.Held()
		l.i.held.Store(&[2]uint64{epoch, version})
		for _, e := range m.Entries {
			l.i.log.Info("node listed", "node", addrText(e.Server), "status", e.Status.String(),
				"cell", e.Cell)
		}
		select {
		case <-l.i.kept: // an older list that was not written yet
		default:
		}
		l.i.kept <- l.view.Keep()
	}
}

func (l *loop) take(k *call) {
	for {
		l.nextID++
		if _, used := l.reqs[l.nextID]; !used {
			break
		}
	}
	q := &k.req
	r := &request{call: k, id: l.nextID, expires: k.at + q.Wait - l.i.cfg.Site.Limits.Transit}
	l.reqs[r.id], l.byCall[k] = r, r
	class := l.i.cfg.Site.Classes[q.Class]
	r.overdue = l.timers.set(r.expires+l.i.cfg.Site.Rules.AnswerSlack, func() { l.overdue(r) })
	l.tell(control.Request{ID: r.id, Class: int(q.Class), Cell: int(q.Cell), Repeat: q.Try > 0,
		Write: q.Write || class.Writes, Writers: int(q.Writers), Plan: int(q.Plan), Key: q.Key,
		Expires: r.expires, Volume: q.Volume, Units: float64(q.Units)})
}

// overdue is the net under the module: a request that it has not answered when its time is up is answered
// here, and logged as the fault that it is.
func (l *loop) overdue(r *request) {
	if r.done {
		return
	}
	l.i.Stats.Overdue.Add(1)
	l.i.log.Error("overdue", "token", r.call.req.Token, "attempts", r.sends, "held", l.now-r.call.at)
	l.finish(r, proto.Answer{Code: proto.Failed, Reason: ReasonOverdue}, nil)
	l.tell(control.Left{ID: r.id})
	l.settle(r)
}

// left ends a call whose client is gone or wants no answer any more.
func (l *loop) left(k *call) {
	r := l.byCall[k]
	if r == nil || r.done {
		return
	}
	l.i.Stats.Left.Add(1)
	l.finish(r, proto.Answer{Code: proto.Failed, Reason: ReasonLeft}, nil)
	l.tell(control.Left{ID: r.id})
	l.settle(r)
}

// finish gives the one final answer.
func (l *loop) finish(r *request, a proto.Answer, payload []byte) {
	if r.done {
		return
	}
	r.done = true
	l.timers.cancel(r.overdue)
	delete(l.byCall, r.call)
	switch a.Code {
	case proto.OK:
		l.i.Stats.Served.Add(1)
	case proto.Refused:
		l.i.Stats.Refused.Add(1)
	default:
		l.i.Stats.Failed.Add(1)
	}
	if a.Code != proto.OK {
		l.i.log.Debug(codeWord(a.Code), "reason", a.Reason, "token", r.call.req.Token, "attempts", r.sends,
			"advice", a.Advice)
	}
	l.i.front.answer(r.call, a, payload)
	r.call.payload = nil
}

// settle forgets a request that has its answer and no attempt out.
func (l *loop) settle(r *request) {
	if r.done && len(r.out) == 0 {
		delete(l.reqs, r.id)
	}
}

// ended takes in how an attempt ended. The first that was served reaches the client at once.
func (l *loop) ended(x result) {
	a, r := x.att, x.att.req
	if a.over {
		l.i.Stats.Late.Add(1)
		return // its time-out came first, and was its one outcome
	}
	a.over = true
	l.timers.cancel(a.timeout)
	r.out = slices.DeleteFunc(r.out, func(o *attempt) bool { return o == a })
	r.why = reasonOf(x.code)
	if x.code == control.OK {
		answer := x.answer
		answer.Code, answer.Metered, answer.Elsewhere, answer.Load = proto.OK, 0, 0, nil
		l.finish(r, answer, x.payload)
	}
	l.tell(control.Outcome{ID: r.id, Attempt: a.n, Server: a.server, Code: x.code, Took: l.now - a.at,
		Ended: r.done, Metered: int(x.answer.Metered), Elsewhere: float64(x.answer.Elsewhere),
		Load: x.answer.Load})
	l.settle(r)
}

// giveUp ends an attempt on this side: its time is up or it was called off.
func (l *loop) giveUp(a *attempt, code control.Code) {
	if a.over {
		return
	}
	l.pool.cancel(a)
	l.ended(result{att: a, code: code})
}

func (l *loop) act(action control.Action) {
	switch x := action.(type) {
	case control.Send:
		l.send(x)
	case control.Refuse:
		if r := l.reqs[x.ID]; r != nil {
			l.finish(r, proto.Answer{Code: proto.Refused, Reason: r.reason(), Advice: x.Backoff}, nil)
			l.settle(r)
		}
	case control.Fail:
		if r := l.reqs[x.ID]; r != nil {
			l.finish(r, proto.Answer{Code: proto.Failed, Reason: r.reason()}, nil)
			l.settle(r)
		}
	case control.Cancel:
		if r := l.reqs[x.ID]; r != nil {
			for _, a := range slices.Clone(r.out) {
				if a.n == x.Attempt {
					l.giveUp(a, control.Cancelled)
				}
			}
		}
	case control.SetTimer:
		l.timers.set(l.now+x.After, func() { l.tell(control.Timer{Token: x.Token}) })
	case control.Probe:
		l.pool.probe(l, x.Server)
	case control.Close:
		l.pool.closeIdle(x.Server)
	case control.Tell:
		if l.i.link != nil {
			if err := l.i.link.Send(x.To, x.Body); err != nil {
				l.i.log.Debug("message lost", "error", err)
			}
		}
	case control.Log:
		l.i.log.Info("module", "text", x.Text)
	case control.Watch:
		l.i.list.Watch(x.On)
	case control.Fetch:
		l.i.list.Fetch()
	}
}

func (r *request) reason() string {
	if r.why != "" {
		return r.why
	}
	return ReasonHeld
}

// send starts an attempt, for as long as it may take and never longer than the client waits.
func (l *loop) send(x control.Send) {
	r := l.reqs[x.ID]
	if r == nil {
		return
	}
	a := &attempt{req: r, n: r.sends, server: x.Server, at: l.now, deadline: r.expires}
	r.sends++
	r.out = append(r.out, a)
	if x.Allow > 0 {
		a.deadline = min(a.deadline, l.now+x.Allow)
	}
	if r.done || a.deadline <= l.now {
		l.i.Stats.Moot.Add(1)
		l.i.in.put(result{att: a, code: control.Moot})
		return
	}
	l.i.Stats.Sends.Add(1)
	a.timeout = l.timers.set(a.deadline, func() { l.giveUp(a, control.TimedOut) })
	l.pool.send(a)
}

// abandon answers all that is held when the time to stop in is over.
func (l *loop) abandon() {
	for _, r := range l.reqs {
		l.finish(r, proto.Answer{Code: proto.Failed, Reason: ReasonStopping}, nil)
	}
}
