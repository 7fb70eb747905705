package extent_test

import (
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"landingpaddle/extent"
	"landingpaddle/scheduler"
)

const (
	ms          = time.Millisecond
	longestStep = 30 * ms
)

// joint is a planner and a real control.Host in simulated time, driven as the scheduler drives them.
type joint struct {
	t      *rapid.T
	host   *scheduler.Scheduler
	plan   *extent.Planner
	set    extent.Settings
	now    time.Duration
	id     uint32
	seq    uint64
	asks   map[uint64]*ask
	pieces map[uint32]*part
	ops    []*op
	timers []timer
	merged int
}

type timer struct {
	at    time.Duration
	token uint32
}

// ask is a client's request.
type ask struct {
	id       uint64
	key      uint64
	expires  time.Duration
	answered bool
	parts    []*part
}

type part struct {
	ask   *ask
	id    uint32
	done  bool
	sends int
	op    *op // where it is out
	at    scheduler.Server
	sent  time.Duration
}

type op struct {
	parts []*part
	end   time.Duration
	lost  bool
}

func at(cell int) scheduler.Server {
	return scheduler.Server{Addr: [4]byte{10, 0, 0, byte(cell)}, Port: 1}
}

func (j *joint) take(class int) {
	j.seq++
	a := &ask{id: j.seq, expires: j.now + time.Duration(rapid.IntRange(40, 900).Draw(j.t, "wait"))*ms}
	q := extent.Request{ID: a.id, DataVolume: 1, Class: class, Write: class == 1, Units: 1, ReceivedAt: j.now,
		RetrySafe: class == 0, Range: extent.Range{Offset: 8 * rapid.Uint64Range(0, 14).Draw(j.t, "offset"),
			Length: 8 * rapid.Uint64Range(1, 5).Draw(j.t, "length")}}
	if class == 1 {
		a.key = rapid.Uint64Range(1, 2).Draw(j.t, "key")
	}
	cut, err := j.plan.Add(q, func() uint32 { j.id++; return j.id })
	if err != nil {
		j.t.Fatal(err)
	}
	j.asks[a.id] = a
	for _, c := range cut {
		p := &part{ask: a, id: c.ID}
		a.parts, j.pieces[c.ID] = append(a.parts, p), p
	}
	for n, c := range cut {
		j.host.Handle(j.now, scheduler.Request{ID: c.ID, Class: class, Cell: c.Cell,
			Key: a.key, Write: q.Write, VolumeInstances: 1, Volume: a.id % 3, Units: float64(c.Units),
			ExpiresAt: a.expires, Continuation: n > 0})
	}
}

// decide lets the host act: sends become operations, each checked for the order by key.
func (j *joint) decide() {
	var last *op
	var leaving []*op
	for _, act := range j.host.Decide(j.now) {
		switch x := act.(type) {
		case scheduler.Send:
			p := j.pieces[x.ID]
			j.plan.AttemptSent(x.ID)
			p.sends++
			p.at, p.sent = x.Server, j.now
			if x.Leader == 0 {
				last = &op{}
				leaving = append(leaving, last)
			}
			last.parts = append(last.parts, p)
			p.op = last
		case scheduler.Reject:
			j.over(x.ID, extent.Rejected)
		case scheduler.Fail:
			j.over(x.ID, extent.Failed)
		case scheduler.SetTimer:
			j.timers = append(j.timers, timer{j.now + x.After, x.Token})
		}
	}
	for _, o := range leaving {
		j.leave(o)
	}
}

func (j *joint) leave(o *op) {
	ids := make([]uint32, len(o.parts))
	for i, p := range o.parts {
		ids[i] = p.id
	}
	j.plan.SealOperation(ids)
	if len(ids) > 1 {
		j.merged++
	}
	for _, p := range o.parts {
		if p.ask.answered { // it crossed an answer of its batch: the driver does not send it
			continue
		}
		for _, other := range j.ops {
			for _, q := range other.parts {
				if p.ask.key != 0 && q.ask.key == p.ask.key {
					j.t.Fatalf("request %d of key %d leaves while %d is out", p.ask.id, p.ask.key, q.ask.id)
				}
			}
		}
		for _, earlier := range j.asks {
			if p.ask.key == 0 || earlier.key != p.ask.key || earlier.id >= p.ask.id || earlier.answered {
				continue
			}
			for _, q := range earlier.parts {
				if !q.done && q.op != o {
					j.t.Fatalf("request %d of key %d leaves before %d is over", p.ask.id, p.ask.key,
						earlier.id)
				}
			}
		}
	}
	o.end = j.now + time.Duration(rapid.IntRange(1, 80).Draw(j.t, "takes"))*ms
	o.lost = rapid.IntRange(0, 9).Draw(j.t, "lost") == 9
	j.ops = append(j.ops, o)
}

// over takes in a piece's final word and checks that its request has one answer, in time.
func (j *joint) over(id uint32, v extent.Outcome) {
	p := j.pieces[id]
	if p.done {
		return
	}
	p.done = true
	answer, withdraw := j.plan.Resolve(id, v, nil)
	if answer != nil {
		if p.ask.answered || j.now > p.ask.expires+longestStep {
			j.t.Fatalf("request %d answered twice, or %v late", p.ask.id, j.now-p.ask.expires)
		}
		p.ask.answered = true
	}
	for _, w := range withdraw {
		j.pieces[w].done = true
		j.host.Handle(j.now, scheduler.ClientGone{ID: w})
	}
}

// outcome ends one member's attempt.
func (j *joint) outcome(p *part, code scheduler.ResultCode) {
	p.op = nil
	j.plan.AttemptEnded(p.id, code != scheduler.Overloaded)
	if code == scheduler.OK {
		j.over(p.id, extent.Served)
	}
	j.host.Handle(j.now, scheduler.AttemptResult{ID: p.id, Attempt: p.sends - 1, Server: p.at, Code: code,
		Latency: j.now - p.sent, RequestDone: p.done})
}

var codes = []scheduler.ResultCode{
	scheduler.OK,
	scheduler.OK,
	scheduler.OK,
	scheduler.Reset,
	scheduler.Overloaded,
}

// step lets time pass: operations end, members whose time is up are called off one by one, timers come due.
func (j *joint) step(d time.Duration) {
	j.now += d
	ops := j.ops
	j.ops = nil
	for _, o := range ops {
		ended := o.end <= j.now && !o.lost
		code := scheduler.OK
		if ended {
			code = rapid.SampledFrom(codes).Draw(j.t, "code")
		}
		o.parts = slices.DeleteFunc(o.parts, func(p *part) bool {
			switch {
			case ended:
				j.outcome(p, code)
			case p.ask.expires <= j.now:
				j.outcome(p, scheduler.TimedOut)
			default:
				return false
			}
			return true
		})
		if len(o.parts) > 0 {
			j.ops = append(j.ops, o)
		}
	}
	due := slices.Clone(j.timers)
	j.timers = slices.DeleteFunc(j.timers, func(t timer) bool { return t.at <= j.now })
	for _, t := range due {
		if t.at <= j.now {
			j.host.Handle(j.now, scheduler.TimerFired{Token: t.token})
		}
	}
	j.decide()
}

// Whatever is asked and lost: pieces of one key leave in the order taken, one operation at a time, whole by
// whole; each request has one answer by its time; merged or not.
func TestOrderAndAnswersThroughTheModule(t *testing.T) {
	merged := 0
	rapid.Check(t, func(t *rapid.T) {
		j := &joint{t: t, now: time.Hour, asks: map[uint64]*ask{}, pieces: map[uint32]*part{},
			set: extent.Settings{ExtentSize: 32, MaxOperation: 32, MaxPieces: 16, Cells: 2,
				MaxMembers: rapid.SampledFrom([]int{8, 1}).Draw(t, "members")}}
		j.plan = extent.New(j.set)
		j.host = scheduler.New(
			1,
			scheduler.Settings{Instances: 1, MaxAttempts: 3, RetryAfter: true, MeanUnits: 1,
				MaxRetryAfter: time.Second, MaxUnits: 64, OrderingPause: 20 * ms, Classes: []scheduler.Class{
					{
						LatencyObjective: 400 * ms,
						Deadline:         900 * ms,
						PriorityWeight:   1,
					}, {LatencyObjective: 400 * ms, Deadline: 900 * ms, PriorityWeight: 1,
						Idempotency: scheduler.IdempotentByKey, DedupWindow: time.Second,
						OrderedByKey: true, Writes: true}},
				Plans: []scheduler.Plan{{Rate: 10, Weight: 1}}},
		)
		j.host.SetBatcher(j.plan)
		var list []scheduler.Endpoint
		for cell := range 2 {
			list = append(
				list,
				scheduler.Endpoint{Server: at(cell), Status: scheduler.Ready, Cell: uint16(cell)},
			)
		}
		j.host.Handle(j.now, scheduler.EndpointUpdate{Kind: scheduler.UpdateFull, Endpoints: list})
		for range rapid.SampledFrom([]int{10, 40}).Draw(t, "steps") {
			for range rapid.SampledFrom([]int{6, 2, 0, 30}).Draw(t, "asks") {
				j.take(rapid.IntRange(0, 1).Draw(t, "class"))
			}
			j.step(time.Duration(rapid.IntRange(1, 30).Draw(t, "pass")) * ms)
		}
		for range 400 {
			j.step(5 * ms)
		}
		for id, a := range j.asks {
			if !a.answered {
				t.Fatalf("request %d never got an answer", id)
			}
		}
		merged += j.merged
	})
	if merged < 10 {
		t.Errorf("only %d operations of several", merged)
	}
}
