package daemon

import (
	"sync/atomic"
	"time"

	"landingpaddle/scheduler"
)

// immediateDecider sends every request at once to the node of its cell, and rejects it when that fails. It
// counts the attempts that end with one result code.
type immediateDecider struct {
	nodes map[uint16]scheduler.Server
	acts  []scheduler.Action
	count *atomic.Int64
	code  scheduler.ResultCode
	allow time.Duration
}

// countResults is a hook that counts the attempts that end with a code.
func countResults(n *atomic.Int64, code scheduler.ResultCode) func(scheduler.Settings, Decider) Decider {
	return func(scheduler.Settings, Decider) Decider {
		return &immediateDecider{nodes: map[uint16]scheduler.Server{}, count: n, code: code}
	}
}

func (s *immediateDecider) Handle(_ time.Duration, ev scheduler.Event) {
	switch x := ev.(type) {
	case scheduler.EndpointUpdate:
		for _, e := range x.Endpoints {
			s.nodes[e.Cell] = e.Server
		}
	case scheduler.Request:
		s.acts = append(s.acts, scheduler.Send{ID: x.ID, Server: s.nodes[uint16(x.Cell)], Timeout: s.allow})
	case scheduler.AttemptResult:
		if x.Code == s.code {
			s.count.Add(1)
		}
		if !x.RequestDone {
			s.acts = append(s.acts, scheduler.Reject{ID: x.ID})
		}
	}
}

func (s *immediateDecider) Decide(time.Duration) []scheduler.Action {
	acts := s.acts
	s.acts = nil
	return acts
}

// silentDecider decides nothing.
type silentDecider struct{}

func (silentDecider) Handle(time.Duration, scheduler.Event) {}

func (silentDecider) Decide(time.Duration) []scheduler.Action { return nil }

// peerCountingDecider counts the messages of other instances.
type peerCountingDecider struct {
	Decider
	n *atomic.Int64
}

func (p peerCountingDecider) Handle(now time.Duration, ev scheduler.Event) {
	if _, ok := ev.(scheduler.PeerMessage); ok {
		p.n.Add(1)
	}
	p.Decider.Handle(now, ev)
}

// scriptedDecider answers a request with one action of each kind, and cancels its attempt.
type scriptedDecider struct {
	server scheduler.Server
	seen   chan scheduler.Event
	acts   []scheduler.Action
}

func (s *scriptedDecider) Handle(_ time.Duration, ev scheduler.Event) {
	select {
	case s.seen <- ev:
	default:
	}
	switch x := ev.(type) {
	case scheduler.Request:
		s.acts = append(s.acts, scheduler.Send{ID: x.ID, Server: s.server},
			scheduler.CheckHealth{Server: s.server},
			scheduler.WriteLog{Text: "hello operators"}, scheduler.FetchEndpoints{},
			scheduler.SetTimer{Token: 5,
				After: 100 * time.Millisecond}, scheduler.CloseIdle{Server: s.server})
	case scheduler.TimerFired:
		s.acts = append(s.acts, scheduler.Cancel{ID: 1, Attempt: 0})
	case scheduler.AttemptResult:
		s.acts = append(s.acts, scheduler.Fail{ID: x.ID})
	}
}

func (s *scriptedDecider) Decide(time.Duration) []scheduler.Action {
	acts := s.acts
	s.acts = nil
	return acts
}
