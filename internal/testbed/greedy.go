package testbed

import (
	"cmp"
	"slices"
	"time"

	"landingpaddle/internal/daemon"
	"landingpaddle/internal/proto"
	"landingpaddle/scheduler"
)

// rewatchAfter is how long a failed watch of the endpoint list is left alone.
const rewatchAfter = time.Second

// Greedy sends everything at once to the node that the endpoint list names. It is the baseline with which a
// scenario's summary is compared and, with one of its faults set, the mutant for a rule: a scheduler that
// the invariant checker must catch. Like the scheduler it is owned by one goroutine.
type Greedy struct {
	settings  scheduler.Settings
	endpoints map[scheduler.Server]scheduler.Endpoint
	requests  map[uint32]*greedyRequest
	actions   []scheduler.Action
	turn      int
	watching  bool

	SendsToDraining    bool // sends to draining and gone nodes
	IgnoresRetryBudget bool // retries at once whatever the budget, as often as it may
	RetriesAnywhere    bool // retries requests with an idempotency key at any node
}

type greedyRequest struct {
	scheduler.Request
	sends      int
	sentTo     scheduler.Server
	mayHaveRun bool
}

// NewGreedy makes one for an instance with those settings.
func NewGreedy(settings scheduler.Settings) *Greedy {
	return &Greedy{
		settings:  settings,
		endpoints: map[scheduler.Server]scheduler.Endpoint{},
		requests:  map[uint32]*greedyRequest{},
	}
}

// Handle takes an event in.
func (g *Greedy) Handle(_ time.Duration, event scheduler.Event) {
	if g.settings.PollEndpoints && !g.watching {
		g.watching = true
		g.actions = append(g.actions, scheduler.WatchEndpoints{On: true})
	}
	switch event := event.(type) {
	case scheduler.TimerFired:
		g.watching = false // a watch failed a while ago: the next event opens it again
	case scheduler.EndpointUpdate:
		g.apply(event)
	case scheduler.Request:
		request := &greedyRequest{Request: event}
		g.requests[event.ID] = request
		g.send(request, g.pick(request, false))
	case scheduler.ClientGone:
		delete(g.requests, event.ID)
	case scheduler.AttemptResult:
		if request := g.requests[event.ID]; request != nil {
			g.handleResult(request, event)
		}
	}
}

// apply takes in an update of the endpoint list.
func (g *Greedy) apply(update scheduler.EndpointUpdate) {
	switch update.Kind {
	case scheduler.UpdateFailed:
		g.actions = append(g.actions, scheduler.SetTimer{After: rewatchAfter})
		return
	case scheduler.UpdateFull:
		for server, endpoint := range g.endpoints {
			endpoint.Status = scheduler.Gone
			g.endpoints[server] = endpoint
		}
	}
	for _, endpoint := range update.Endpoints {
		g.endpoints[endpoint.Server] = endpoint
	}
}

func (g *Greedy) handleResult(request *greedyRequest, result scheduler.AttemptResult) {
	if result.RequestDone {
		delete(g.requests, request.ID)
		return
	}
	hasNotRun := result.Code == scheduler.Overloaded || result.Code == scheduler.ConnectFailed ||
		result.Code == scheduler.NotApplicable
	request.mayHaveRun = request.mayHaveRun || !hasNotRun
	idempotency := g.settings.Classes[request.Class].Idempotency
	harmless := !request.mayHaveRun || idempotency == scheduler.Idempotent
	attemptsLeft := request.sends < g.settings.MaxAttempts
	switch {
	case g.IgnoresRetryBudget && attemptsLeft && harmless:
		g.send(request, g.pick(request, false))
	case g.RetriesAnywhere && attemptsLeft && idempotency == scheduler.IdempotentByKey:
		g.send(request, g.pick(request, true))
	case harmless:
		g.finish(request, scheduler.Reject{ID: request.ID})
	default:
		g.finish(request, scheduler.Fail{ID: request.ID})
	}
}

// finish gives a request its final answer.
func (g *Greedy) finish(request *greedyRequest, answer scheduler.Action) {
	g.actions = append(g.actions, answer)
	delete(g.requests, request.ID)
}

// send sends a request to an endpoint and rejects it if that is the zero one.
func (g *Greedy) send(request *greedyRequest, endpoint scheduler.Endpoint) {
	if endpoint.Server == (scheduler.Server{}) {
		g.finish(request, scheduler.Reject{ID: request.ID})
		return
	}
	request.sends++
	request.sentTo = endpoint.Server
	g.actions = append(g.actions, scheduler.Send{ID: request.ID, Server: endpoint.Server})
}

// pick is the node that holds the request's cell, or for a new object the next in turn, in another zone than
// before if so wanted; the zero one if there is none.
func (g *Greedy) pick(request *greedyRequest, otherZone bool) scheduler.Endpoint {
	var candidates []scheduler.Endpoint
	for _, endpoint := range g.endpoints {
		ready := endpoint.Status == scheduler.Ready || g.SendsToDraining
		holdsCell := request.Cell < 0 || int(endpoint.Cell) == request.Cell
		zoneFits := !otherZone || endpoint.Zone != g.endpoints[request.sentTo].Zone
		if ready && holdsCell && zoneFits {
			candidates = append(candidates, endpoint)
		}
	}
	if len(candidates) == 0 {
		return scheduler.Endpoint{}
	}
	slices.SortFunc(candidates, func(a, b scheduler.Endpoint) int { return cmp.Compare(a.Cell, b.Cell) })
	g.turn++
	return candidates[g.turn%len(candidates)]
}

// Decide returns what is to be done.
func (g *Greedy) Decide(time.Duration) []scheduler.Action {
	actions := g.actions
	g.actions = nil
	return actions
}

// Baseline returns the hooks that put the greedy baseline in the scheduler's place; change, where set, makes
// a mutant of it.
func Baseline(change func(*Greedy)) daemon.Hooks {
	return daemon.Hooks{Decider: func(settings scheduler.Settings, _ daemon.Decider) daemon.Decider {
		greedy := NewGreedy(settings)
		if change != nil {
			change(greedy)
		}
		return greedy
	}}
}

// AnswerTwice returns the hooks of a scheduler that gives every answer twice.
func AnswerTwice() daemon.Hooks {
	return daemon.Hooks{
		OnAnswer: func(conn *proto.Conn, stream uint64, answer proto.Answer, payload []byte) {
			_ = conn.Send(proto.TypeAnswer, stream, answer, payload) // a closed connection gets neither
		},
	}
}
