package testbed

import (
	"cmp"
	"slices"
	"time"

	"landingpaddle/internal/daemon"
	"landingpaddle/internal/proto"
	"landingpaddle/scheduler"
)

// Greedy sends everything at once to the node that the list names. It is the baseline against which a day's
// worth is told, and, with one of its habits set, the mutant of a rule: a scheduler that the audit must
// catch.
type Greedy struct {
	set   scheduler.Settings
	nodes map[scheduler.Server]scheduler.Endpoint
	reqs  map[uint32]*greedyRequest
	acts  []scheduler.Action
	turn  int
	asked bool // a watch was opened

	Draining bool // sends to draining and gone nodes
	Again    bool // tries again at once whatever the budget, as often as it may
	Astray   bool // tries keyed requests again at any node
}

type greedyRequest struct {
	scheduler.Request
	sends int
	at    scheduler.Server
	ran   bool
}

// NewGreedy makes one for an instance with those settings.
func NewGreedy(set scheduler.Settings) *Greedy {
	return &Greedy{
		set:   set,
		nodes: map[scheduler.Server]scheduler.Endpoint{},
		reqs:  map[uint32]*greedyRequest{},
	}
}

// Handle takes an event in.
func (g *Greedy) Handle(_ time.Duration, ev scheduler.Event) {
	if g.set.PollEndpoints && !g.asked {
		g.asked = true
		g.acts = append(g.acts, scheduler.WatchEndpoints{On: true})
	}
	switch x := ev.(type) {
	case scheduler.TimerFired:
		g.asked = false // a watch failed a while ago: the next event opens it again
	case scheduler.EndpointUpdate:
		if x.Kind == scheduler.UpdateFailed {
			g.acts = append(g.acts, scheduler.SetTimer{After: time.Second})
			return
		}
		if x.Kind == scheduler.UpdateFull {
			for s, e := range g.nodes {
				e.Status = scheduler.Gone
				g.nodes[s] = e
			}
		}
		for _, e := range x.Endpoints {
			g.nodes[e.Server] = e
		}
	case scheduler.Request:
		r := &greedyRequest{Request: x}
		g.reqs[x.ID] = r
		g.send(r, g.pick(r, false))
	case scheduler.ClientGone:
		delete(g.reqs, x.ID)
	case scheduler.AttemptResult:
		if r := g.reqs[x.ID]; r != nil {
			g.outcome(r, x)
		}
	}
}

func (g *Greedy) outcome(r *greedyRequest, o scheduler.AttemptResult) {
	if o.RequestDone {
		delete(g.reqs, r.ID)
		return
	}
	proven := o.Code == scheduler.Overloaded || o.Code == scheduler.ConnectFailed ||
		o.Code == scheduler.NotApplicable
	r.ran = r.ran || !proven
	class := g.set.Classes[r.Class]
	switch {
	case g.Again && r.sends < g.set.MaxAttempts && (class.Idempotency == scheduler.Idempotent || !r.ran):
		g.send(r, g.pick(r, false))
	case g.Astray && r.sends < g.set.MaxAttempts && class.Idempotency == scheduler.IdempotentByKey:
		g.send(r, g.pick(r, true))
	case !r.ran || class.Idempotency == scheduler.Idempotent:
		g.acts = append(g.acts, scheduler.Reject{ID: r.ID})
		delete(g.reqs, r.ID)
	default:
		g.acts = append(g.acts, scheduler.Fail{ID: r.ID})
		delete(g.reqs, r.ID)
	}
}

func (g *Greedy) send(r *greedyRequest, e scheduler.Endpoint) {
	if e.Server == (scheduler.Server{}) {
		g.acts = append(g.acts, scheduler.Reject{ID: r.ID})
		delete(g.reqs, r.ID)
		return
	}
	r.sends++
	r.at = e.Server
	g.acts = append(g.acts, scheduler.Send{ID: r.ID, Server: e.Server})
}

// pick is the node that holds the cell, or for a new object the next in turn; other: one elsewhere than
// before.
func (g *Greedy) pick(r *greedyRequest, other bool) scheduler.Endpoint {
	var fit []scheduler.Endpoint
	for _, e := range g.nodes {
		ready := e.Status == scheduler.Ready || g.Draining
		if ready && (r.Cell < 0 || int(e.Cell) == r.Cell) && (!other || e.Zone != g.nodes[r.at].Zone) {
			fit = append(fit, e)
		}
	}
	if len(fit) == 0 {
		return scheduler.Endpoint{}
	}
	slices.SortFunc(fit, func(a, b scheduler.Endpoint) int { return cmp.Compare(a.Cell, b.Cell) })
	g.turn++
	return fit[g.turn%len(fit)]
}

// Decide returns what is to be done.
func (g *Greedy) Decide(time.Duration) []scheduler.Action {
	acts := g.acts
	g.acts = nil
	return acts
}

// Baseline are the hooks that put the greedy baseline in the module's place.
func Baseline(change func(*Greedy)) daemon.Hooks {
	return daemon.Hooks{Decider: func(set scheduler.Settings, _ daemon.Decider) daemon.Decider {
		g := NewGreedy(set)
		if change != nil {
			change(g)
		}
		return g
	}}
}

// AnswerTwice are the hooks of a scheduler that gives every answer twice.
func AnswerTwice() daemon.Hooks {
	return daemon.Hooks{OnAnswer: func(c *proto.Conn, stream uint64, a proto.Answer, payload []byte) {
		_ = c.Send(proto.TypeAnswer, stream, a, payload) // a closed connection gets neither
	}}
}
