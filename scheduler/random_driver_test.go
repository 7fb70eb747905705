package scheduler

import (
	"math/rand/v2"
	"testing"
	"time"
)

// chaos is what happens to one host, and what is known of it from outside.
type chaos struct {
	t      *testing.T
	rng    *rand.Rand
	h      *Scheduler
	set    Settings
	now    time.Duration
	timers []chaosTimer
	reqs   map[uint32]*chaosRequest
	out    []chaosSend
	status map[Server]Status
	nextID uint32
	joined int  // members of operations
	lead   Send // last sent alone or as one

	record func(Action) // nil: actions are not recorded
	events func()       // called for each event; nil: events are not counted
	extra  *rand.Rand   // draws service told of elsewhere; nil: none is told
}

type chaosTimer struct {
	at    time.Duration
	token uint32
}

type chaosRequest struct {
	Request
	sends    int
	answered bool
	left     time.Duration // when its client left; an answer of the same batch crossed that
	mayRun   bool
}

type chaosSend struct {
	Send
	attempt int
	end     time.Duration
}

func newChaos(t *testing.T, seed uint64, shape uint8) *chaos {
	return newChaosWith(t, seed, shape, func(*Settings) {})
}

// newChaosWith is newChaos under changed settings.
func newChaosWith(t *testing.T, seed uint64, shape uint8, change func(*Settings)) *chaos {
	set := scaleSettings()
	set.Instances = 1 + int(shape>>4)
	set.PollEndpoints = shape&1 != 0
	set.RetryBudget = shape&2 != 0
	set.OrderingPause = 20 * ms
	set.Classes = []Class{
		{LatencyObjective: 200 * ms, Deadline: 800 * ms, PriorityWeight: 1},
		{
			LatencyObjective: 200 * ms,
			Deadline:         800 * ms,
			Idempotency:      IdempotentByKey,
			DedupScope:       DedupScope(shape >> 2 & 1),
			DedupWindow:      400 * ms,
			OrderedByKey:     true,
			Writes:           true,
			PriorityWeight:   1,
		},
		{LatencyObjective: 200 * ms, Deadline: 800 * ms, Idempotency: NotIdempotent, PriorityWeight: 1}}
	set.Plans = []Plan{{Rate: 10, Weight: 1}, {Rate: 10, Weight: 2, Reserve: 5, Limit: 50, Burst: 50}}
	change(&set)
	c := &chaos{t: t, rng: rand.New(rand.NewPCG(seed, 7)), set: set, now: time.Hour, h: New(seed, set),
		reqs: map[uint32]*chaosRequest{}, status: map[Server]Status{}}
	if shape&8 != 0 {
		c.h.SetBatcher(c)
	}
	c.handle(EndpointUpdate{Kind: UpdateCached, Endpoints: c.entries(6)})
	c.decide()
	return c
}

// Beside offers whatever was asked lately, known or not, held or out.
func (c *chaos) Propose(id uint32, join func(uint32, float64) bool) {
	units := c.reqs[id].Units
	for range c.rng.IntN(12) {
		other := c.nextID - c.rng.Uint32N(min(c.nextID, 40))
		if r := c.reqs[other]; join(other, units+1) {
			units += r.Units
			c.joined++
		}
	}
}

func (c *chaos) entries(n int) (out []Endpoint) {
	for i := range n {
		e := Endpoint{
			Server: server(i),
			Cell:   uint16(i % 4),
			Zone:   uint8(i % 2),
			Status: Status(c.rng.IntN(3)),
		}
		if c.rng.IntN(3) == 0 {
			e.StartedAt = c.now - time.Duration(c.rng.Int64N(int64(20*time.Second)))
		}
		out = append(out, e)
	}
	return out
}

func (c *chaos) handle(ev Event) {
	if m, ok := ev.(EndpointUpdate); ok && m.Kind != UpdateFailed {
		if m.Kind != UpdateDelta {
			clear(c.status)
		}
		for _, e := range m.Endpoints {
			c.status[e.Server] = e.Status
		}
	}
	if c.events != nil {
		c.events()
	}
	c.h.Handle(c.now, ev)
}

func (c *chaos) run(steps int) {
	for range steps {
		c.now += time.Duration(c.rng.Int64N(int64(4 * ms)))
		if c.rng.IntN(100) == 0 {
			c.now += time.Duration(c.rng.Int64N(int64(300 * ms))) // a stall
		}
		for range c.rng.IntN(4) {
			c.event()
		}
		c.due()
		c.decide()
	}
	for range 2000 { // all comes to its end
		c.now += 2 * ms
		c.due()
		c.decide()
	}
	for id, r := range c.reqs {
		if !r.answered {
			c.t.Fatalf("request %d never got an answer", id)
		}
	}
	if len(c.h.requests) != 0 || c.h.inFlight != 0 || len(c.h.backlog.shards) != 0 {
		c.t.Fatalf(
			"%d requests, %d attempts, %d queues left behind",
			len(c.h.requests),
			c.h.inFlight,
			len(c.h.backlog.shards),
		)
	}
}

func (c *chaos) event() {
	switch x := c.rng.IntN(20); {
	case x < 16:
		c.nextID++
		r := &chaosRequest{Request: Request{ID: c.nextID, Class: c.rng.IntN(3), Cell: c.rng.IntN(6) - 1,
			Plan: c.rng.IntN(
				2,
			), Volume: uint64(c.rng.IntN(9)), Units: float64(1 + c.rng.IntN(8)), VolumeInstances: 1,
			ExpiresAt: c.now + time.Duration(c.rng.Int64N(int64(800*ms)))}}
		if r.Class == 1 {
			r.Key = uint64(1 + c.rng.IntN(3))
		}
		c.reqs[r.ID] = r
		c.handle(r.Request)
	case x == 16:
		c.handle(EndpointUpdate{Kind: UpdateDelta, Endpoints: c.entries(6)[c.rng.IntN(6):]})
	case x == 17 && c.rng.IntN(4) == 0:
		c.handle(EndpointUpdate{Kind: UpdateFull, Endpoints: c.entries(1 + c.rng.IntN(6))})
	case x == 18:
		c.handle(EndpointUpdate{Kind: UpdateFailed})
	case x == 19 && c.nextID > 0:
		id := 1 + c.rng.Uint32N(c.nextID)
		if r := c.reqs[id]; !r.answered {
			r.answered, r.left = true, c.now
			c.handle(ClientGone{ID: id})
		}
	}
}

// due lets timers and attempts end; clients whose time is up must have been answered.
func (c *chaos) due() {
	timers := c.timers
	c.timers = nil
	for _, x := range timers {
		if x.at > c.now {
			c.timers = append(c.timers, x)
			continue
		}
		c.handle(TimerFired{Token: x.token})
	}
	sends := c.out
	c.out = nil
	for _, s := range sends {
		r := c.reqs[s.ID]
		code := []ResultCode{OK, OK, OK, OK, Error, Overloaded, ConnectFailed, Reset, TimedOut}[c.rng.IntN(9)]
		if r.ExpiresAt <= c.now {
			code = TimedOut
		} else if s.end > c.now {
			c.out = append(c.out, s)
			continue
		}
		if code != Overloaded && code != ConnectFailed {
			r.mayRun = true
		}
		r.answered = r.answered || code == OK
		out := AttemptResult{ID: s.ID, Attempt: s.attempt, Server: s.Server, Code: code, Latency: 10 * ms,
			RequestDone: r.answered}
		if c.extra != nil {
			out.ElsewhereUnits = float64(c.extra.IntN(3))
		}
		c.handle(out)
	}
}

func (c *chaos) decide() {
	for _, a := range c.h.Decide(c.now) {
		if c.record != nil {
			c.record(a)
		}
		switch x := a.(type) {
		case Send:
			c.send(x)
		case Reject:
			r := c.final(x.ID)
			untold := r.Class == 2 || r.Class == 1 && c.set.Classes[1].DedupScope != DedupAll
			if r.mayRun && untold {
				c.t.Fatalf("request %d refused while it may have run", x.ID)
			}
		case Fail:
			c.final(x.ID)
		case SetTimer:
			c.timers = append(c.timers, chaosTimer{c.now + x.After, x.Token})
		}
	}
	for id, r := range c.reqs {
		if !r.answered && c.now > r.ExpiresAt+400*ms {
			c.t.Fatalf("request %d is overdue", id)
		}
	}
}

func (c *chaos) final(id uint32) *chaosRequest {
	r := c.reqs[id]
	if r == nil || r.answered && r.left != c.now {
		c.t.Fatalf("request %d answered twice or unknown", id)
	}
	r.answered = true
	return r
}

func (c *chaos) send(s Send) {
	r := c.reqs[s.ID]
	switch {
	case r.answered:
		c.t.Fatalf("request %d sent after its answer", s.ID)
	case r.sends >= c.set.MaxAttempts:
		c.t.Fatalf("request %d sent %d times", s.ID, r.sends+1)
	case r.Class == 2 && r.mayRun:
		c.t.Fatalf("unsafe request %d sent again", s.ID)
	case c.status[s.Server] != Ready:
		c.t.Fatalf("request %d sent to a node that is not ready", s.ID)
	}
	if s.Leader == 0 {
		c.lead = s
	} else if s.Leader != c.lead.ID || s.Server != c.lead.Server || r.sends > 0 ||
		r.Class != c.reqs[s.Leader].Class {
		c.t.Fatalf("request %d sent as a member with %d: %+v after %+v", s.ID, s.Leader, s, c.lead)
	}
	end := time.Duration(c.rng.Int64N(int64(150 * ms)))
	if s.Timeout > 0 {
		end = min(end, s.Timeout)
	}
	c.out = append(c.out, chaosSend{s, r.sends, c.now + end})
	r.sends++
}
