package scheduler

import (
	"fmt"
	"math"
	"slices"
	"testing"
	"time"
)

// settings are those of a small site: one safe class, one plan without reserve or limit.
func settings() Settings {
	return Settings{Instances: 1, MaxAttempts: 3, RetryAfter: true, MaxRetryAfter: time.Second, MeanUnits: 2,
		MaxUnits: 8,
		Classes:  []Class{{LatencyObjective: time.Second, Deadline: 4 * time.Second, PriorityWeight: 1}},
		Plans:    []Plan{{Rate: 10, Weight: 1}}}
}

func server(i int) Server { return Server{Addr: [4]byte{10, 0, 0, byte(i)}, Port: 1} }

func entry(i int, st Status) Endpoint {
	return Endpoint{Server: server(i), Status: st, Cell: uint16(i)}
}

// rig drives one host and keeps what it asked for.
type rig struct {
	t    *testing.T
	h    *Scheduler
	now  time.Duration
	id   uint32
	acts []Action
}

// start makes a host with ready nodes for cells 0 to n-1.
func start(t *testing.T, set Settings, n int) *rig {
	r := &rig{t: t, h: New(1, set), now: time.Hour}
	m := EndpointUpdate{Kind: UpdateCached}
	for i := range n {
		m.Endpoints = append(m.Endpoints, entry(i, Ready))
	}
	r.do(m)
	return r
}

// do hands events in and decides.
func (r *rig) do(evs ...Event) []Action {
	for _, e := range evs {
		r.h.Handle(r.now, e)
	}
	acts := r.h.Decide(r.now)
	r.acts = append(r.acts, acts...)
	return acts
}

func (r *rig) pass(d time.Duration) []Action { r.now += d; return r.do(TimerFired{Token: tokenReview}) }

// ask makes a request with sensible defaults.
func (r *rig) ask(change func(*Request)) Request {
	r.id++
	q := Request{ID: r.id, VolumeInstances: 1, Volume: 1, Units: 1, ExpiresAt: r.now + 4*time.Second}
	if change != nil {
		change(&q)
	}
	return q
}

func (r *rig) done(id uint32, attempt, node int, code ResultCode, took time.Duration) []Action {
	r.h.review.pending = false // the rig hands in no reviews that lead up to this moment
	return r.do(AttemptResult{ID: id, Attempt: attempt, Server: server(node), Code: code, Latency: took,
		RequestDone: code == OK})
}

func sends(acts []Action) (ids []uint32) {
	for _, a := range acts {
		if s, ok := a.(Send); ok {
			ids = append(ids, s.ID)
		}
	}
	return ids
}

// ends lists final answers as "refuse 3" or "fail 3".
func ends(acts []Action) (out []string) {
	for _, a := range acts {
		switch a := a.(type) {
		case Reject:
			out = append(out, fmt.Sprint("refuse ", a.ID))
		case Fail:
			out = append(out, fmt.Sprint("fail ", a.ID))
		}
	}
	return out
}

func want[T comparable](t *testing.T, what string, got []T, want ...T) {
	t.Helper()
	if !slices.Equal(got, want) {
		t.Errorf("%s: got %v, want %v", what, got, want)
	}
}

// fix pins the depth of node 0, so that a test speaks of the queue alone.
func (r *rig) fix(depth float64) *node {
	n := r.h.endpoints.nodes[server(0)]
	n.depth, n.latency, n.deviation, n.depthAdaptedAt = depth, r.h.objectives.shortest/2, time.Hour,
		math.MaxInt64
	return n
}

// scaleSettings are those of a fleet with everything in force that keeps records over time.
func scaleSettings() Settings {
	set := settings()
	set.SlowStartPeriod, set.OverloadWindow, set.OverloadFactor, set.ColdCapacity = 10*time.Second,
		3*time.Second, 2, 50
	set.RetryBudget, set.RetryBudgetFloor, set.RetryBudgetRatio, set.RetryBudgetWindow = true, 5, 0.1,
		10*time.Second
	return set
}

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
