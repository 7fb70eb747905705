package testbed

import (
	"cmp"
	"slices"
	"time"

	"landingpaddle/internal/daemon"
	"landingpaddle/internal/proto"
	"landingpaddle/scheduler"
)

// rewatchDelay is the delay before a failed watch of the endpoint list is opened again.
const rewatchDelay = time.Second

// Greedy is a scheduler without queues: it sends each request at once to the node that the endpoint list
// names for its cell. It is the baseline with which a scenario's summary is compared and, with one of its
// faults set, a mutant that breaks a rule, which the invariant checker must report. Like the scheduler it is
// owned by one goroutine.
type Greedy struct {
	settings  scheduler.Settings
	endpoints map[scheduler.Server]scheduler.Endpoint
	requests  map[uint32]*greedyRequest
	actions   []scheduler.Action
	turn      int // counts picks, to use nodes in turn
	watching  bool

	SendsToDraining    bool // sends to draining and removed nodes as well
	IgnoresRetryBudget bool // retries at once, up to MaxAttempts, whatever the retry budget
	RetriesInOtherZone bool // retries requests with an idempotency key in another zone
}

type greedyRequest struct {
	scheduler.Request
	sends      int
	sentTo     scheduler.Server // node of the last attempt
	mayHaveRun bool             // in one of the attempts so far
}

// NewGreedy returns a Greedy for an instance with the given settings.
func NewGreedy(settings scheduler.Settings) *Greedy {
	return &Greedy{
		settings:  settings,
		endpoints: map[scheduler.Server]scheduler.Endpoint{},
		requests:  map[uint32]*greedyRequest{},
	}
}

// Handle processes an event.
func (g *Greedy) Handle(_ time.Duration, event scheduler.Event) {
	if g.settings.PollEndpoints && !g.watching {
		g.watching = true
		g.actions = append(g.actions, scheduler.WatchEndpoints{On: true})
	}
	switch event := event.(type) {
	case scheduler.TimerFired:
		g.watching = false // rewatchDelay has passed since a failure: the next event opens a watch
	case scheduler.EndpointUpdate:
		g.apply(event)
	case scheduler.Request:
		request := &greedyRequest{Request: event}
		g.requests[event.ID] = request
		g.send(request, g.pick(request, false))
	case scheduler.RequestWithdrawn:
		delete(g.requests, event.ID)
	case scheduler.AttemptResult:
		if request := g.requests[event.ID]; request != nil {
			g.handleResult(request, event)
		}
	}
}

// apply applies an update of the endpoint list.
func (g *Greedy) apply(update scheduler.EndpointUpdate) {
	switch update.Kind {
	case scheduler.UpdateFailed:
		g.actions = append(g.actions, scheduler.SetTimer{After: rewatchDelay})
		return
	case scheduler.UpdateFull:
		for server, endpoint := range g.endpoints {
			endpoint.Status = scheduler.Removed
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
	retrySafe := !request.mayHaveRun || idempotency == scheduler.Idempotent
	attemptsLeft := request.sends < g.settings.MaxAttempts
	switch {
	case g.IgnoresRetryBudget && attemptsLeft && retrySafe:
		g.send(request, g.pick(request, false))
	case g.RetriesInOtherZone && attemptsLeft && idempotency == scheduler.IdempotentByKey:
		g.send(request, g.pick(request, true))
	case retrySafe:
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

// send sends a request to an endpoint, or rejects the request if the endpoint is the zero value.
func (g *Greedy) send(request *greedyRequest, endpoint scheduler.Endpoint) {
	if endpoint.Server == (scheduler.Server{}) {
		g.finish(request, scheduler.Reject{ID: request.ID})
		return
	}
	request.sends++
	request.sentTo = endpoint.Server
	g.actions = append(g.actions, scheduler.Send{ID: request.ID, Server: endpoint.Server})
}

// pick returns the node that serves the request's cell or, for a new object, the next node in turn. With
// otherZone, its zone differs from that of the last attempt's node. It returns the zero value if there is
// no such node.
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

// Decide returns the actions that have accumulated since its last call.
func (g *Greedy) Decide(time.Duration) []scheduler.Action {
	actions := g.actions
	g.actions = nil
	return actions
}

// Baseline returns hooks that replace the scheduler by the greedy baseline; change, if not nil, turns it into
// a mutant.
func Baseline(change func(*Greedy)) daemon.Hooks {
	return daemon.Hooks{Decider: func(settings scheduler.Settings, _ daemon.Decider) daemon.Decider {
		greedy := NewGreedy(settings)
		if change != nil {
			change(greedy)
		}
		return greedy
	}}
}

// AnswerTwice returns hooks that make an instance send every answer twice.
func AnswerTwice() daemon.Hooks {
	return daemon.Hooks{
		OnAnswer: func(conn *proto.Conn, stream uint64, answer proto.Answer, payload []byte) {
			// The error is ignored: on a closed connection neither answer arrives.
			_ = conn.Send(proto.TypeAnswer, stream, answer, payload)
		},
	}
}
