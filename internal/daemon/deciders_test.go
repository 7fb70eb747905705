package daemon

import (
	"sync/atomic"
	"time"

	"landingpaddle/scheduler"
)

// immediateDecider sends each request immediately to the node of its cell and rejects it if the attempt
// fails. It counts the attempts that end with code.
type immediateDecider struct {
	nodes   map[uint16]scheduler.Server
	actions []scheduler.Action
	count   *atomic.Int64
	code    scheduler.ResultCode
}

// countResults returns a Hooks.Decider that counts the attempts that end with code.
func countResults(count *atomic.Int64, code scheduler.ResultCode) func(scheduler.Settings, Decider) Decider {
	return func(scheduler.Settings, Decider) Decider {
		return &immediateDecider{nodes: map[uint16]scheduler.Server{}, count: count, code: code}
	}
}

func (d *immediateDecider) Handle(_ time.Duration, event scheduler.Event) {
	switch event := event.(type) {
	case scheduler.EndpointUpdate:
		for _, endpoint := range event.Endpoints {
			d.nodes[endpoint.Cell] = endpoint.Server
		}
	case scheduler.Request:
		d.actions = append(d.actions, scheduler.Send{ID: event.ID, Server: d.nodes[uint16(event.Cell)]})
	case scheduler.AttemptResult:
		if event.Code == d.code {
			d.count.Add(1)
		}
		if !event.RequestDone {
			d.actions = append(d.actions, scheduler.Reject{ID: event.ID})
		}
	}
}

func (d *immediateDecider) Decide(time.Duration) []scheduler.Action {
	actions := d.actions
	d.actions = nil
	return actions
}

// silentDecider ignores all events and never returns an action.
type silentDecider struct{}

func (silentDecider) Handle(time.Duration, scheduler.Event) {}

func (silentDecider) Decide(time.Duration) []scheduler.Action { return nil }

// peerCountingDecider counts the messages from other instances and passes all events on.
type peerCountingDecider struct {
	Decider
	count *atomic.Int64
}

func (p peerCountingDecider) Handle(now time.Duration, event scheduler.Event) {
	if _, ok := event.(scheduler.PeerMessage); ok {
		p.count.Add(1)
	}
	p.Decider.Handle(now, event)
}

// scriptedDecider returns one action each of several kinds for a request, cancels its attempt when the timer
// fires, and fails the request when the attempt ends.
type scriptedDecider struct {
	server  scheduler.Server
	events  chan scheduler.Event // all events, up to the buffer's capacity
	actions []scheduler.Action
}

func (d *scriptedDecider) Handle(_ time.Duration, event scheduler.Event) {
	select {
	case d.events <- event:
	default:
	}
	switch event := event.(type) {
	case scheduler.Request:
		d.actions = append(d.actions,
			scheduler.Send{ID: event.ID, Server: d.server},
			scheduler.CheckHealth{Server: d.server},
			scheduler.WriteLog{Text: "hello operators"},
			scheduler.FetchEndpoints{},
			scheduler.SetTimer{Token: 5, After: 100 * time.Millisecond},
			scheduler.CloseIdle{Server: d.server},
		)
	case scheduler.TimerFired:
		d.actions = append(d.actions, scheduler.Cancel{ID: 1, Attempt: 0})
	case scheduler.AttemptResult:
		d.actions = append(d.actions, scheduler.Fail{ID: event.ID})
	}
}

func (d *scriptedDecider) Decide(time.Duration) []scheduler.Action {
	actions := d.actions
	d.actions = nil
	return actions
}
