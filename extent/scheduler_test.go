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

// jointDriver drives a planner and a scheduler in simulated time, as the daemon does.
type jointDriver struct {
	t          *rapid.T
	scheduler  *scheduler.Scheduler
	planner    *extent.Planner
	settings   extent.Settings
	now        time.Duration
	lastID     uint32
	sequence   uint64
	requests   map[uint64]*clientRequest
	pieces     map[uint32]*clientPiece
	operations []*operation
	timers     []timer
	merged     int
}

type timer struct {
	at    time.Duration
	token uint32
}

// clientRequest is what the test knows of a request.
type clientRequest struct {
	id       uint64
	key      uint64
	expires  time.Duration
	answered bool
	pieces   []*clientPiece
}

type clientPiece struct {
	request   *clientRequest
	id        uint32
	resolved  bool
	sends     int
	operation *operation // where it is out
	server    scheduler.Server
	sentAt    time.Duration
}

type operation struct {
	pieces []*clientPiece
	end    time.Duration
	lost   bool
}

func serverOf(cell int) scheduler.Server {
	return scheduler.Server{Addr: [4]byte{10, 0, 0, byte(cell)}, Port: 1}
}

func (d *jointDriver) add(class int) {
	d.sequence++
	a := &clientRequest{
		id:      d.sequence,
		expires: d.now + time.Duration(rapid.IntRange(40, 900).Draw(d.t, "wait"))*ms,
	}
	q := extent.Request{ID: a.id, DataVolume: 1, Class: class, Write: class == 1, Units: 1, ReceivedAt: d.now,
		RetrySafe: class == 0, Range: extent.Range{Offset: 8 * rapid.Uint64Range(0, 14).Draw(d.t, "offset"),
			Length: 8 * rapid.Uint64Range(1, 5).Draw(d.t, "length")}}
	if class == 1 {
		a.key = rapid.Uint64Range(1, 2).Draw(d.t, "key")
	}
	cut, err := d.planner.Add(q, func() uint32 { d.lastID++; return d.lastID })
	if err != nil {
		d.t.Fatal(err)
	}
	d.requests[a.id] = a
	for _, c := range cut {
		p := &clientPiece{request: a, id: c.ID}
		a.pieces, d.pieces[c.ID] = append(a.pieces, p), p
	}
	for n, c := range cut {
		d.scheduler.Handle(d.now, scheduler.Request{ID: c.ID, Class: class, Cell: c.Cell,
			Key: a.key, Write: q.Write, VolumeInstances: 1, Volume: a.id % 3, Units: float64(c.Units),
			ExpiresAt: a.expires, Continuation: n > 0})
	}
}

// decide carries out the actions: sends become operations, each checked for the order by key.
func (d *jointDriver) decide() {
	var last *operation
	var leaving []*operation
	for _, act := range d.scheduler.Decide(d.now) {
		switch x := act.(type) {
		case scheduler.Send:
			p := d.pieces[x.ID]
			d.planner.AttemptSent(x.ID)
			p.sends++
			p.server, p.sentAt = x.Server, d.now
			if x.Leader == 0 {
				last = &operation{}
				leaving = append(leaving, last)
			}
			last.pieces = append(last.pieces, p)
			p.operation = last
		case scheduler.Reject:
			d.resolve(x.ID, extent.Rejected)
		case scheduler.Fail:
			d.resolve(x.ID, extent.Failed)
		case scheduler.SetTimer:
			d.timers = append(d.timers, timer{d.now + x.After, x.Token})
		}
	}
	for _, o := range leaving {
		d.start(o)
	}
}

func (d *jointDriver) start(o *operation) {
	ids := make([]uint32, len(o.pieces))
	for i, p := range o.pieces {
		ids[i] = p.id
	}
	d.planner.SealOperation(ids)
	if len(ids) > 1 {
		d.merged++
	}
	for _, p := range o.pieces {
		if p.request.answered { // answered in the same batch: the daemon does not send it
			continue
		}
		for _, other := range d.operations {
			for _, q := range other.pieces {
				if p.request.key != 0 && q.request.key == p.request.key {
					d.t.Fatalf(
						"request %d of key %d is sent while %d is in flight",
						p.request.id,
						p.request.key,
						q.request.id,
					)
				}
			}
		}
		for _, earlier := range d.requests {
			if p.request.key == 0 || earlier.key != p.request.key || earlier.id >= p.request.id ||
				earlier.answered {
				continue
			}
			for _, q := range earlier.pieces {
				if !q.resolved && q.operation != o {
					d.t.Fatalf("request %d of key %d is sent before %d is answered", p.request.id,
						p.request.key,
						earlier.id)
				}
			}
		}
	}
	o.end = d.now + time.Duration(rapid.IntRange(1, 80).Draw(d.t, "takes"))*ms
	o.lost = rapid.IntRange(0, 9).Draw(d.t, "lost") == 9
	d.operations = append(d.operations, o)
}

// resolve resolves a piece and checks that its request has one answer, in time.
func (d *jointDriver) resolve(id uint32, v extent.Outcome) {
	p := d.pieces[id]
	if p.resolved {
		return
	}
	p.resolved = true
	answer, withdraw := d.planner.Resolve(id, v, nil)
	if answer != nil {
		if p.request.answered || d.now > p.request.expires+longestStep {
			d.t.Fatalf("request %d answered twice, or %v late", p.request.id, d.now-p.request.expires)
		}
		p.request.answered = true
	}
	for _, w := range withdraw {
		d.pieces[w].resolved = true
		d.scheduler.Handle(d.now, scheduler.ClientGone{ID: w})
	}
}

// endAttempt ends one member's attempt.
func (d *jointDriver) endAttempt(p *clientPiece, code scheduler.ResultCode) {
	p.operation = nil
	d.planner.AttemptEnded(p.id, code != scheduler.Overloaded)
	if code == scheduler.OK {
		d.resolve(p.id, extent.Served)
	}
	d.scheduler.Handle(
		d.now,
		scheduler.AttemptResult{ID: p.id, Attempt: p.sends - 1, Server: p.server, Code: code,
			Latency: d.now - p.sentAt, RequestDone: p.resolved},
	)
}

var codes = []scheduler.ResultCode{
	scheduler.OK,
	scheduler.OK,
	scheduler.OK,
	scheduler.Reset,
	scheduler.Overloaded,
}

// step advances the clock: operations end, members whose time is up are cancelled one by one, timers are due.
func (d *jointDriver) step(elapsed time.Duration) {
	d.now += elapsed
	ops := d.operations
	d.operations = nil
	for _, o := range ops {
		ended := o.end <= d.now && !o.lost
		code := scheduler.OK
		if ended {
			code = rapid.SampledFrom(codes).Draw(d.t, "code")
		}
		o.pieces = slices.DeleteFunc(o.pieces, func(p *clientPiece) bool {
			switch {
			case ended:
				d.endAttempt(p, code)
			case p.request.expires <= d.now:
				d.endAttempt(p, scheduler.TimedOut)
			default:
				return false
			}
			return true
		})
		if len(o.pieces) > 0 {
			d.operations = append(d.operations, o)
		}
	}
	due := slices.Clone(d.timers)
	d.timers = slices.DeleteFunc(d.timers, func(t timer) bool { return t.at <= d.now })
	for _, t := range due {
		if t.at <= d.now {
			d.scheduler.Handle(d.now, scheduler.TimerFired{Token: t.token})
		}
	}
	d.decide()
}

// Whatever is asked and lost: pieces of one key are sent in arrival order, one operation at a time, request
// by request; each request has one answer by its time; merged or not.
func TestPlannerAndScheduler_KeepOrderAndAnswerOnce(t *testing.T) {
	merged := 0
	rapid.Check(t, func(t *rapid.T) {
		j := &jointDriver{
			t:        t,
			now:      time.Hour,
			requests: map[uint64]*clientRequest{},
			pieces:   map[uint32]*clientPiece{},
			settings: extent.Settings{ExtentSize: 32, MaxOperation: 32, MaxPieces: 16, Cells: 2,
				MaxMembers: rapid.SampledFrom([]int{8, 1}).Draw(t, "members")},
		}
		j.planner = extent.New(j.settings)
		j.scheduler = scheduler.New(
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
		j.scheduler.SetBatcher(j.planner)
		var list []scheduler.Endpoint
		for cell := range 2 {
			list = append(
				list,
				scheduler.Endpoint{Server: serverOf(cell), Status: scheduler.Ready, Cell: uint16(cell)},
			)
		}
		j.scheduler.Handle(j.now, scheduler.EndpointUpdate{Kind: scheduler.UpdateFull, Endpoints: list})
		for range rapid.SampledFrom([]int{10, 40}).Draw(t, "steps") {
			for range rapid.SampledFrom([]int{6, 2, 0, 30}).Draw(t, "asks") {
				j.add(rapid.IntRange(0, 1).Draw(t, "class"))
			}
			j.step(time.Duration(rapid.IntRange(1, 30).Draw(t, "pass")) * ms)
		}
		for range 400 {
			j.step(5 * ms)
		}
		for id, a := range j.requests {
			if !a.answered {
				t.Fatalf("request %d never got an answer", id)
			}
		}
		merged += j.merged
	})
	if merged < 10 {
		t.Errorf("only %d merged operations", merged)
	}
}
