package scheduler

import (
	"time"
)

// steady drives one host at a rate: each request is answered a little later by its node.
type steady struct {
	h     *Scheduler
	now   time.Duration
	gap   time.Duration
	nodes int
	next  uint32
	out   []Send // oldest first
}

func newSteady(set Settings, rate, nodes int, boot time.Duration) *steady {
	s := &steady{h: New(1, set), now: time.Hour, gap: time.Second / time.Duration(rate), nodes: nodes}
	m := EndpointUpdate{Kind: UpdateFull}
	for i := range nodes {
		at := Server{Addr: [4]byte{10, 0, byte(i >> 8), byte(i)}, Port: 1}
		m.Endpoints = append(
			m.Endpoints,
			Endpoint{Server: at, Status: Ready, Cell: uint16(i), StartedAt: boot},
		)
	}
	s.h.Handle(s.now, m)
	s.h.Decide(s.now)
	return s
}

// step takes one request of the volume in and, once a few are out, ends the oldest attempt.
func (s *steady) step(volume uint64) {
	s.now += s.gap
	s.h.Handle(s.now, Request{ID: s.next, Cell: int(s.next) % s.nodes, VolumeInstances: 1, Volume: volume,
		ExpiresAt: s.now + time.Second, Units: 1})
	s.next++
	s.decide()
	if len(s.out) > 4 {
		done := s.out[0]
		s.out = s.out[1:]
		s.h.Handle(
			s.now,
			AttemptResult{ID: done.ID, Server: done.Server, Code: OK, Latency: ms, RequestDone: true},
		)
		s.decide()
	}
}

func (s *steady) decide() {
	for _, a := range s.h.Decide(s.now) {
		if a, ok := a.(Send); ok {
			s.out = append(s.out, a)
		}
	}
}
