package lab

import (
	"cmp"
	"slices"
	"time"

	"landingpaddle/control"
	"landingpaddle/internal/proto"
	"landingpaddle/internal/sched"
)

// Greedy sends everything at once to the node that the list names. It is the baseline against which a day's
// worth is told, and, with one of its habits set, the mutant of a rule: a scheduler that the audit must
// catch.
type Greedy struct {
	set   control.Settings
	nodes map[control.Server]control.Entry
	reqs  map[uint32]*greedyRequest
	acts  []control.Action
	turn  int
	asked bool // a watch was opened

	Draining bool // sends to draining and gone nodes
	Again    bool // tries again at once whatever the budget, as often as it may
	Astray   bool // tries keyed requests again at any node
}

type greedyRequest struct {
	control.Request
	sends int
	at    control.Server
	ran   bool
}

// NewGreedy makes one for an instance with those settings.
func NewGreedy(set control.Settings) *Greedy {
	return &Greedy{set: set, nodes: map[control.Server]control.Entry{}, reqs: map[uint32]*greedyRequest{}}
}

// Handle takes an event in.
func (g *Greedy) Handle(_ time.Duration, ev control.Event) {
	if g.set.Ask && !g.asked {
		g.asked = true
		g.acts = append(g.acts, control.Watch{On: true})
	}
	switch x := ev.(type) {
	case control.Timer:
		g.asked = false // a watch failed a while ago: the next event opens it again
	case control.Members:
		if x.Form == control.ListFailed {
			g.acts = append(g.acts, control.SetTimer{After: time.Second})
			return
		}
		if x.Form == control.ListFull {
			for s, e := range g.nodes {
				e.Status = control.Gone
				g.nodes[s] = e
			}
		}
		for _, e := range x.Entries {
			g.nodes[e.Server] = e
		}
	case control.Request:
		r := &greedyRequest{Request: x}
		g.reqs[x.ID] = r
		g.send(r, g.pick(r, false))
	case control.Left:
		delete(g.reqs, x.ID)
	case control.Outcome:
		if r := g.reqs[x.ID]; r != nil {
			g.outcome(r, x)
		}
	}
}

func (g *Greedy) outcome(r *greedyRequest, o control.Outcome) {
	if o.Ended {
		delete(g.reqs, r.ID)
		return
	}
	proven := o.Code == control.Full || o.Code == control.ConnectFailed || o.Code == control.Moot
	r.ran = r.ran || !proven
	class := g.set.Classes[r.Class]
	switch {
	case g.Again && r.sends < g.set.MaxAttempts && (class.Repeat == control.Safe || !r.ran):
		g.send(r, g.pick(r, false))
	case g.Astray && r.sends < g.set.MaxAttempts && class.Repeat == control.Keyed:
		g.send(r, g.pick(r, true))
	case !r.ran || class.Repeat == control.Safe:
		g.acts = append(g.acts, control.Refuse{ID: r.ID})
		delete(g.reqs, r.ID)
	default:
		g.acts = append(g.acts, control.Fail{ID: r.ID})
		delete(g.reqs, r.ID)
	}
}

func (g *Greedy) send(r *greedyRequest, e control.Entry) {
	if e.Server == (control.Server{}) {
		g.acts = append(g.acts, control.Refuse{ID: r.ID})
		delete(g.reqs, r.ID)
		return
	}
	r.sends++
	r.at = e.Server
	g.acts = append(g.acts, control.Send{ID: r.ID, Server: e.Server})
}

// pick is the node that holds the cell, or for a new object the next in turn; other: one elsewhere than
// before.
func (g *Greedy) pick(r *greedyRequest, other bool) control.Entry {
	var fit []control.Entry
	for _, e := range g.nodes {
		ready := e.Status == control.Ready || g.Draining
		if ready && (r.Cell < 0 || int(e.Cell) == r.Cell) && (!other || e.Zone != g.nodes[r.at].Zone) {
			fit = append(fit, e)
		}
	}
	if len(fit) == 0 {
		return control.Entry{}
	}
	slices.SortFunc(fit, func(a, b control.Entry) int { return cmp.Compare(a.Cell, b.Cell) })
	g.turn++
	return fit[g.turn%len(fit)]
}

// Decide returns what is to be done.
func (g *Greedy) Decide(time.Duration) []control.Action {
	acts := g.acts
	g.acts = nil
	return acts
}

// Baseline are the hooks that put the greedy baseline in the module's place.
func Baseline(change func(*Greedy)) sched.Hooks {
	return sched.Hooks{Decider: func(set control.Settings, _ sched.Decider) sched.Decider {
		g := NewGreedy(set)
		if change != nil {
			change(g)
		}
		return g
	}}
}

// AnswerTwice are the hooks of a scheduler that gives every answer twice.
func AnswerTwice() sched.Hooks {
	return sched.Hooks{Answered: func(c *proto.Conn, stream uint64, a proto.Answer, payload []byte) {
		_ = c.Post(proto.TypeAnswer, stream, a, payload) // a closed connection gets neither
	}}
}
