package scheduler

import (
	"cmp"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

const ms = time.Millisecond

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

// ---- SFQ(D)+ ----

func TestSharesFollowWeightsUnderBacklog(t *testing.T) {
	set := settings()
	set.Plans = append(set.Plans, Plan{Weight: 3})
	set.Classes[0].LatencyObjective = 100 * time.Second
	r := start(t, set, 1)
	r.fix(1)
	var evs []Event
	for range 40 {
		for v := range 2 {
			evs = append(evs, r.ask(func(q *Request) {
				q.Volume, q.Plan, q.ExpiresAt = uint64(v), v, r.now+200*time.Second
			}))
		}
	}
	r.do(evs...)
	count := map[uint64]int{}
	for range 40 {
		for id, q := range r.h.requests {
			if q.node != nil {
				count[q.Volume]++
				r.done(id, 0, 0, OK, r.h.objectives.shortest)
				break
			}
		}
	}
	if count[1] != 30 || count[0] != 10 {
		t.Errorf("of 40 served, weight 1 got %d and weight 3 got %d; want 10 and 30", count[0], count[1])
	}
}

func TestTagsByHand(t *testing.T) {
	r := start(t, settings(), 1)
	r.fix(1)
	r.do(r.ask(func(q *Request) { q.Units = 4 }), r.ask(func(q *Request) { q.Units = 2 }),
		r.ask(func(q *Request) { q.Volume = 2 }))
	s := r.h.endpoints.shards[0]
	var tags []float64
	for id := uint32(1); id <= 3; id++ {
		tags = append(tags, r.h.requests[id].startTag)
	}
	want(t, "start tags", tags, 0, 4, 0)
	want(
		t,
		"finish tags",
		[]float64{r.h.volumes.byID[1].finishTags[s], r.h.volumes.byID[2].finishTags[s]},
		6,
		1,
	)
	r.done(1, 0, 0, OK, ms)
	r.done(3, 0, 0, OK, ms)
	want(t, "virtual time is the start tag of the last one sent", []float64{s.virtualTime}, 4)
}

func TestIdleVolumeEarnsNoCredit(t *testing.T) {
	r := start(t, settings(), 1)
	s := r.h.endpoints.shards[0]
	s.virtualTime = 50
	r.do(r.ask(nil))
	want(t, "start and finish", []float64{r.h.requests[1].startTag, r.h.volumes.byID[1].finishTags[s]}, 50,
		51)
}

func TestSlotCost(t *testing.T) {
	c := &class{}
	var costs []float64
	for _, units := range []float64{2, 2, 6, 1, 40} { // running means before each: none, 2, 2, 10/3, 11/4
		costs = append(costs, c.slotCost(units))
		c.count++
		c.meanUnits += (units - c.meanUnits) / c.count
	}
	want(t, "slot costs", costs, 1, 1, 3, 1, 4)
}

func TestSlotBoundAndBackfill(t *testing.T) {
	set := settings()
	set.Classes[0].LatencyObjective = 100 * time.Second
	r := start(t, set, 1)
	r.fix(4)
	r.h.classes[0].meanUnits, r.h.classes[0].count = 1, 1e9
	add := func(vol uint64, units float64) Event {
		return r.ask(func(q *Request) { q.Volume, q.Units, q.ExpiresAt = vol, units, r.now+200*time.Second })
	}
	r.h.endpoints.shards[0].virtualTime = 1
	got := r.do(add(1, 3), add(2, 3), add(3, 1))
	want(t, "3 slots of 4 leave room for 1: the small one passes the head", sends(got), 1, 3)
	got = r.do(add(4, 1), add(5, 1))
	want(t, "nothing more fits", sends(got))
	want(t, "two more small ones pass, then the head's cost is reached", sends(r.done(3, 0, 0, OK,
		r.h.objectives.shortest/2)), 4)
	want(t, "second", sends(r.done(4, 0, 0, OK, r.h.objectives.shortest/2)), 5)
	r.do(add(6, 1))
	want(t, "third is not promoted", sends(r.done(5, 0, 0, OK, r.h.objectives.shortest/2)))
	want(t, "head and the next leave when it fits", sends(r.done(1, 0, 0, OK, r.h.objectives.shortest/2)),
		2, 6)
}

func TestReserveDoesNotMoveTheTag(t *testing.T) {
	set := settings()
	set.Plans[0].Reserve = 2
	r := start(t, set, 1)
	r.do(r.ask(func(q *Request) { q.Units = 8 }), r.ask(func(q *Request) { q.Units = 3 }))
	// The store holds a second of 2 units and one largest request of 8: 10 in all, so 1 of the 11 is beyond
	// it.
	want(t, "finish tag", []float64{r.h.volumes.byID[1].finishTags[r.h.endpoints.shards[0]]}, 1)
}

func TestElsewhereMovesTheTag(t *testing.T) {
	r := start(t, settings(), 1)
	r.do(r.ask(nil))
	r.do(AttemptResult{ID: 1, Server: server(0), Code: OK, Latency: ms, RequestDone: true, ElsewhereUnits: 5})
	want(
		t,
		"finish tag counts service through other hosts",
		[]float64{r.h.volumes.byID[1].finishTags[r.h.endpoints.shards[0]]},
		6,
	)
}

func TestHeadroomIsForVolumesNotAhead(t *testing.T) {
	r := start(t, settings(), 1)
	r.fix(1).latency = 0
	var evs []Event
	for range 4 {
		evs = append(evs, r.ask(nil))
	}
	evs = append(evs, r.ask(func(q *Request) { q.Volume = 2 }))
	want(t, "one of the surge, one of the other", sends(r.do(evs...)), 1, 5)
}

func TestDepthLearnsFromLatency(t *testing.T) {
	set := settings()
	set.Instances = 6
	r := start(t, set, 1)
	n := r.h.endpoints.nodes[server(0)]
	for range 30 {
		r.now += time.Second
		r.do(r.ask(nil))
		r.done(r.id, 0, 0, OK, 900*ms)
	}
	if n.depth > 1.01 {
		t.Errorf("depth is %v at a node far over the target", n.depth)
	}
}

// ---- Rules ----

func TestEveryRequestGetsOneAnswerInTime(t *testing.T) {
	r := start(t, settings(), 1)
	r.do(EndpointUpdate{Kind: UpdateFull}) // no node at all
	for range 20 {
		r.do(r.ask(nil))
		r.pass(100 * ms)
	}
	for range 400 {
		r.pass(10 * ms)
	}
	if got := ends(r.acts); len(got) != 20 || len(r.h.requests) != 0 {
		t.Errorf("%d answers for 20 requests, %d still known", len(got), len(r.h.requests))
	}
}

// A host just restarted may see only retries, whose wait is short; it must not hold them beyond that wait.
func TestHoldsNoRetryBeyondItsWait(t *testing.T) {
	r := start(t, settings(), 1)
	r.do(EndpointUpdate{Kind: UpdateFull})
	r.do(r.ask(func(q *Request) { q.ExpiresAt = r.now + 200*ms }))
	for range 19 {
		r.pass(10 * ms)
	}
	r.pass(5 * ms)
	want(t, "answered", ends(r.acts), "refuse 1")
}

func TestNoSendAfterTheClientLeft(t *testing.T) {
	r := start(t, settings(), 1)
	r.fix(1)
	r.do(r.ask(nil), r.ask(func(q *Request) { q.Units = 8 }))
	r.do(ClientGone{ID: 2}, ClientGone{ID: 99})
	want(t, "sent", sends(r.done(1, 0, 0, OK, ms)))
	r.done(1, 0, 0, OK, ms) // an outcome for an ended request
	r.do(ClientGone{ID: 1}) // a late one
}

func TestTimeOutAtTheDeadlineIsAnswered(t *testing.T) {
	r := start(t, settings(), 1)
	r.do(r.ask(nil))
	r.now += 4 * time.Second
	want(t, "answer", ends(r.done(1, 0, 0, TimedOut, 4*time.Second)), "refuse 1")
}

func TestEffects(t *testing.T) {
	keyed := Class{
		LatencyObjective: time.Second,
		Deadline:         4 * time.Second,
		Idempotency:      IdempotentByKey,
		DedupScope:       DedupCell,
		DedupWindow:      500 * ms,
	}
	all := keyed
	all.DedupScope = DedupAll
	unsafe := Class{LatencyObjective: time.Second, Deadline: 4 * time.Second, Idempotency: NotIdempotent}
	for _, c := range []struct {
		name  string
		class Class
		code  ResultCode
		after time.Duration
		again int
		end   string
	}{
		{"safe, reset", settings().Classes[0], Reset, 100 * ms, 1, ""},
		{"unsafe, may have run", unsafe, Reset, 100 * ms, 0, "fail 1"},
		{"unsafe, never ran", unsafe, Overloaded, 100 * ms, 1, ""},
		{"keyed in its window", keyed, Error, 100 * ms, 1, ""},
		{"keyed past its window", keyed, Error, 600 * ms, 0, "fail 1"},
		{"keyed by all past its window", all, Error, 600 * ms, 0, "refuse 1"},
		{"keyed, never ran", keyed, Overloaded, 600 * ms, 1, ""},
	} {
		set := settings()
		set.Classes[0] = c.class
		r := start(t, set, 1)
		r.do(r.ask(nil))
		r.now += c.after
		acts := r.done(1, 0, 0, c.code, ms)
		acts = append(acts, r.pass(2*initialBackoff)...)
		got := append(ends(acts), "")
		if len(sends(acts)) != c.again || got[0] != c.end {
			t.Errorf("%s: %d further attempts and %q; want %d and %q", c.name, len(sends(acts)), got[0],
				c.again, c.end)
		}
	}
}

func TestKeyedStaysInItsGroup(t *testing.T) {
	set := settings()
	set.Classes[0].Idempotency, set.Classes[0].DedupScope, set.Classes[0].DedupWindow = IdempotentByKey,
		DedupZone, time.Minute
	r := start(t, set, 2)
	q := &request{class: r.h.classes[0], attempts: 1, mayHaveRunOn: &node{Endpoint: Endpoint{Zone: 1}}}
	n := r.h.endpoints.nodes[server(0)]
	r.h.now = r.now
	q.mayHaveRunSince = r.now
	if r.h.mayRetry(q, n) {
		t.Error("sent again outside its zone")
	}
	n.Zone = 1
	if !r.h.mayRetry(q, n) {
		t.Error("not sent again inside its zone")
	}
}

func TestDrainingAndGoneNodesGetNothing(t *testing.T) {
	for _, st := range []Status{Draining, Gone} {
		r := start(t, settings(), 1)
		r.do(EndpointUpdate{Kind: UpdateDelta, Endpoints: []Endpoint{entry(0, st)}})
		want(t, "sent", sends(r.do(r.ask(nil))))
		r.do(
			EndpointUpdate{
				Kind:      UpdateDelta,
				Endpoints: []Endpoint{{Server: server(7), Status: Ready, Cell: 0}},
			},
		)
		want(t, "the node in its place serves the shard", sends(r.acts), 1)
	}
	r := start(t, settings(), 1)
	r.do(EndpointUpdate{Kind: UpdateFull})
	want(t, "left out of a full list", sends(r.do(r.ask(nil))))
}

func TestWatchIsOpenedAndReopened(t *testing.T) {
	set := settings()
	set.PollEndpoints = true
	r := start(t, set, 1)
	if !slices.Contains(r.acts, Action(WatchEndpoints{On: true})) {
		t.Fatalf("no watch at the start: %v", r.acts)
	}
	r.do(EndpointUpdate{Kind: UpdateFull})
	acts := r.do(EndpointUpdate{Kind: UpdateFailed}, EndpointUpdate{Kind: UpdateFailed})
	timers := 0
	for _, a := range acts {
		if s, ok := a.(SetTimer); ok && s.Token == tokenWatch {
			timers++
		}
	}
	if timers != 1 {
		t.Errorf("%d timers for a new watch, want 1", timers)
	}
	r.now += 2 * watchReopenDelay
	if acts := r.do(TimerFired{Token: tokenWatch}); !slices.Contains(acts, Action(WatchEndpoints{On: true})) {
		t.Errorf("not asked again: %v", acts)
	}
	r.do(EndpointUpdate{Kind: UpdateDelta})
	r.now += time.Minute
	if acts := r.do(TimerFired{Token: tokenWatch}); slices.Contains(acts, Action(WatchEndpoints{On: true})) {
		t.Error("asked again though the watch stands")
	}
}

// The answer to a watch may get lost: silence is no watch.
func TestWatchIsAskedForAgainAfterSilence(t *testing.T) {
	set := settings()
	set.PollEndpoints, set.PollTimeout = true, 10*time.Second
	r := start(t, set, 1)
	r.now += 5 * time.Second
	if acts := r.do(TimerFired{Token: tokenWatch}); !slices.Contains(acts, Action(WatchEndpoints{On: true})) {
		t.Errorf("not asked again: %v", acts)
	}
}

// A restarted host does not know what it sent to a cold node before.
func TestRestartedHostSpendsNothingOnAColdNodeAtFirst(t *testing.T) {
	r := start(t, coldSettings(), 0)
	r.do(EndpointUpdate{Kind: UpdateCached, Endpoints: []Endpoint{{Server: server(0), Status: Ready,
		StartedAt: r.now - time.Second}}})
	want(t, "not yet", sends(r.do(r.ask(nil))))
	r.now += 500 * ms
	want(t, "not yet", sends(r.do(TimerFired{Token: tokenReview})))
	r.do(r.ask(func(q *Request) { q.ExpiresAt += 4 * time.Second }))
	r.now += 500 * ms
	if got := len(sends(r.do(r.ask(nil)))); got == 0 {
		t.Error("nothing after the window")
	}
}

func coldSettings() Settings {
	set := settings()
	set.Instances, set.ColdCapacity, set.ColdFraction, set.SlowStartPeriod, set.OverloadWindow = 2, 20,
		0.25, 10*time.Second,
		time.Second
	return set
}

func TestColdNodeGetsThisHostsPart(t *testing.T) {
	r := start(t, coldSettings(), 0)
	r.do(
		EndpointUpdate{
			Kind:      UpdateFull,
			Endpoints: []Endpoint{{Server: server(0), Status: Ready, StartedAt: r.now}},
		},
	)
	r.fix(64).latency = 250 * ms
	var evs []Event
	for range 15 {
		evs = append(evs, r.ask(nil))
	}
	if got := len(sends(r.do(evs...))); got != 10 {
		t.Errorf("%d units in the first window, want 20 for 2 hosts = 10", got)
	}
	n := r.h.endpoints.nodes[server(0)]
	r.h.now += 6 * time.Second // the window then starts 5 s after the boot: a quarter and half of the rest
	if !r.h.slowStartAllows(n, 25) || r.h.slowStartAllows(n, 26) {
		t.Error("later it bears 10 x 0.625 / 0.25 = 25")
	}
	r.h.now += 6 * time.Second
	if !r.h.slowStartAllows(n, 1000) {
		t.Error("warm, it bears anything")
	}
}

// Where the part is less than a request, one may go in a window, up to the rule's multiple of the part.
func TestColdNodeIsServedByManyHosts(t *testing.T) {
	set := coldSettings()
	set.Instances, set.OverloadFactor = 40, 2
	r := start(t, set, 0)
	r.do(
		EndpointUpdate{
			Kind:      UpdateFull,
			Endpoints: []Endpoint{{Server: server(0), Status: Ready, StartedAt: r.now}},
		},
	)
	r.fix(64).latency = 250 * ms
	units := func(u float64) Event { return r.ask(func(q *Request) { q.Units, q.Volume = u, uint64(u) }) }
	want(t, "part of half a unit, in its turn: 2 units, not 3", sends(r.do(units(3), units(2), units(1))), 2)
}

// What a cold node serves counts less, what it does not answer counts in full.
func TestColdNodeThatKeepsUpGetsMore(t *testing.T) {
	set := coldSettings()
	set.OverloadFactor = 2
	for code, more := range map[ResultCode]int{OK: 5, Overloaded: 0} {
		r := start(t, set, 0)
		r.do(
			EndpointUpdate{
				Kind:      UpdateFull,
				Endpoints: []Endpoint{{Server: server(0), Status: Ready, StartedAt: r.now}},
			},
		)
		n := r.fix(64)
		n.latency = 250 * ms
		var evs []Event
		for range 30 {
			evs = append(evs, r.ask(nil))
		}
		ids := sends(r.do(evs...))
		for _, id := range ids {
			r.h.Handle(
				r.now,
				AttemptResult{ID: id, Server: server(0), Code: code, Latency: ms, RequestDone: code == OK},
			)
		}
		n.failures = 0
		if got := len(sends(r.do())); len(ids) != 10 || got != more {
			t.Errorf("after %d answers %d: %d more, want %d", len(ids), code, got, more)
		}
	}
}

func limitSettings() Settings {
	set := settings()
	set.Plans[0].Limit, set.Plans[0].Burst = 10, 40
	return set
}

func TestLimitIsSharedEvenlyAndStartsEmpty(t *testing.T) {
	r := start(t, limitSettings(), 1)
	q := func() Event { return r.ask(func(q *Request) { q.VolumeInstances, q.Units = 2, 4 }) }
	want(t, "nothing at the start: it may have been spent before", sends(r.do(q())))
	want(t, "10 a second for 2 hosts fill 4 units in 0.8 s", sends(r.pass(790*ms)))
	want(t, "then it leaves", sends(r.pass(10*ms)), 1)
	r.done(1, 0, 0, OK, 10*ms)
	r.now += time.Minute
	var evs []Event
	for range 8 {
		evs = append(evs, q())
	}
	if got := len(sends(r.do(evs...))); got != 5 {
		t.Errorf("%d of 4 units at once, want 5: 40 for 2 hosts", got)
	}
}

func TestFurtherAttemptTakesNoMoreFromTheLimit(t *testing.T) {
	r := start(t, limitSettings(), 1)
	r.now += time.Second
	r.do(r.ask(nil))
	r.done(1, 0, 0, Error, ms)
	if got := r.h.volumes.byID[1].limit.level; got != 9 {
		t.Errorf("the store holds %v after two attempts of one request, want 9", got)
	}
}

func TestOrderByKey(t *testing.T) {
	set := settings()
	set.Classes[0].OrderedByKey, set.OrderingPause = true, 100*ms
	r := start(t, set, 1)
	key := func(q *Request) { q.Key = 5 }
	want(t, "one at a time", sends(r.do(r.ask(key), r.ask(key), r.ask(key), r.ask(nil))), 1, 4)
	want(t, "the next after its end", sends(r.done(1, 0, 0, OK, ms)), 2)
	r.do(ClientGone{ID: 2})
	want(t, "not while an attempt has no outcome", sends(r.pass(10*ms)))
	r.do(AttemptResult{ID: 2, Server: server(0), Code: TimedOut, Latency: 20 * ms, RequestDone: true})
	want(t, "the key rests", sends(r.pass(95*ms)))
	want(t, "then goes on", sends(r.pass(5*ms)), 3)
}

func TestKeysAreForgottenAfterTheirRest(t *testing.T) {
	set := settings()
	set.Classes[0].OrderedByKey, set.OrderingPause = true, 100*ms
	r := start(t, set, 1)
	for key := range uint64(50) {
		r.do(r.ask(func(q *Request) { q.Key, q.Volume = key+1, key }))
		r.now += 10 * ms
		code := OK
		if key%2 == 0 {
			code = TimedOut
		}
		r.do(AttemptResult{ID: r.id, Server: server(0), Code: code, Latency: 10 * ms, RequestDone: true})
	}
	if got := len(r.h.keys.byKey); got > 12 {
		t.Errorf("%d keys are remembered, want those of the last 100 ms", got)
	}
}

func TestBudgetOfFurtherAttempts(t *testing.T) {
	set := settings()
	set.RetryBudget, set.RetryBudgetFloor, set.RetryBudgetRatio, set.RetryBudgetWindow = true, 1, 0.5,
		time.Second
	r := start(t, set, 1)
	r.do(r.ask(nil), r.ask(nil), r.ask(nil), r.ask(nil))
	for id := uint32(1); id <= 4; id++ {
		r.done(id, 0, 0, Error, ms)
		r.h.endpoints.nodes[server(0)].failures = 0
		r.do()
	}
	if got := len(sends(r.acts)) - 4; got != 3 {
		t.Errorf("%d further attempts, want 1 + 0.5 x 4 = 3", got)
	}
}

// ---- Defences ----

// Answers that never come must not hold slots until the client's wait is over.
func TestLostAnswersGiveTheirSlotsBack(t *testing.T) {
	r := start(t, settings(), 1)
	n := r.fix(1)
	n.latency, n.deviation = 600*ms, 10*ms
	r.do(r.ask(nil), r.ask(nil))
	want(t, "held while the first may still answer", sends(r.pass(300*ms)))
	want(t, "the next leaves once the first is taken for lost", sends(r.pass(390*ms)), 2)
}

// One lost answer among many is no sick node.
func TestOneTimeOutIsNoSickNode(t *testing.T) {
	r := start(t, settings(), 1)
	r.do(r.ask(nil), r.ask(nil))
	r.now += 10 * ms
	r.done(2, 0, 0, OK, 10*ms)
	r.now += 4 * time.Second
	r.done(1, 0, 0, TimedOut, 4*time.Second)
	if n := r.h.endpoints.nodes[server(0)]; n.failures != 0 || n.latency > time.Second {
		t.Errorf("fails %d, latency %v", n.failures, n.latency)
	}
}

func TestNodeThatCannotBeReachedIsTriedNowAndThen(t *testing.T) {
	r := start(t, settings(), 1)
	r.do(r.ask(nil), r.ask(nil))
	r.done(1, 0, 0, ConnectFailed, 250*ms)
	r.done(2, 0, 0, ConnectFailed, 250*ms)
	if got := len(sends(r.pass(8 * initialBackoff))); got != 1 {
		t.Errorf("%d at once to a node that fails, want 1", got)
	}
}

func TestNoSlotsForWhatTheClientWillNotWaitFor(t *testing.T) {
	r := start(t, settings(), 1)
	r.fix(8).latency = 100 * ms
	want(
		t,
		"refused at once",
		ends(r.do(r.ask(func(q *Request) { q.ExpiresAt = r.now + 50*ms }))),
		"refuse 1",
	)
}

func TestNewObjectGoesWhereTheLeastWorkIs(t *testing.T) {
	r := start(t, settings(), 3)
	r.h.endpoints.nodes[server(0)].latency = 300 * ms
	r.h.endpoints.nodes[server(2)].failures = 1
	acts := r.do(r.ask(func(q *Request) { q.Cell = NewObject }))
	for _, a := range acts {
		if s, ok := a.(Send); ok && s.Server != server(1) {
			t.Errorf("sent to %v", s.Server)
		}
	}
	want(t, "sent", sends(acts), 1)
}

// ---- Odd input ----

func TestOddSettingsAndRequests(t *testing.T) {
	for name, set := range map[string]Settings{
		"nothing":  {},
		"no plans": {Classes: settings().Classes, MaxAttempts: 1},
		"zero plan": {Classes: settings().Classes, MaxAttempts: 1, Plans: []Plan{{Reserve: 1, Limit: 1}},
			SlowStartPeriod: time.Second},
		"class without times": {Classes: []Class{{OrderedByKey: true}}, Plans: []Plan{{}}, MaxAttempts: 1},
	} {
		r := start(t, set, 1)
		var evs []Event
		for _, cell := range []int{0, 5, NewObject} {
			for _, units := range []float64{0, 1, 1000} {
				for _, left := range []time.Duration{-1, 0, ms, time.Second} {
					evs = append(evs, r.ask(func(q *Request) {
						q.Cell, q.Units, q.ExpiresAt, q.Key, q.VolumeInstances, q.Plan = cell, units,
							r.now+left, 1,
							0, cell+1
					}))
				}
			}
		}
		r.do(evs...)
		r.do(
			EndpointUpdate{Kind: UpdateFull},
			AttemptResult{ID: 77},
			HealthCheckResult{},
			PeerMessage{},
			ResponseStarted{},
			TimerFired{Token: 9},
		)
		for range 300 {
			r.pass(10 * ms)
		}
		if got, sent := len(ends(r.acts)), len(sends(r.acts)); got+sent < len(evs) {
			t.Errorf("%s: %d answers and %d sends for %d requests", name, got, sent, len(evs))
		}
	}
	r := start(t, settings(), 0)
	want(t, "a new object and no node", ends(r.do(r.ask(func(q *Request) { q.Cell = NewObject }))),
		"refuse 1")
	want(t, "an unknown class", ends(r.do(r.ask(func(q *Request) { q.Class = 9 }))), "refuse 2")
}

func TestSameEventsSameActions(t *testing.T) {
	run := func() string {
		r := start(t, settings(), 5)
		for i := range 200 {
			r.now += 3 * ms
			r.do(r.ask(func(q *Request) { q.Cell, q.Volume, q.Units = i%6-1, uint64(i%7), float64(1+i%4) }))
			if i%3 == 0 {
				for _, id := range []uint32{r.id, r.id / 2} {
					if q := r.h.requests[id]; q != nil && q.node != nil {
						r.done(id, 0, int(q.node.Cell), OK, time.Duration(i)*ms)
					}
				}
			}
		}
		return fmt.Sprint(r.acts)
	}
	if run() != run() {
		t.Error("two runs differ")
	}
}

// An attempt is given up once its answer would earn little, but only where that leaves nothing unsure.
func TestAttemptsAreGivenUpAtTheAim(t *testing.T) {
	set := settings()
	set.Classes = append(
		set.Classes,
		Class{LatencyObjective: time.Second, Deadline: 4 * time.Second, Idempotency: NotIdempotent},
	)
	r := start(t, set, 1)
	for _, c := range []struct {
		what   string
		change func(*Request)
		want   time.Duration
	}{
		{"safe, in time", nil, time.Second},
		{"a retry that is late already", func(q *Request) { q.ExpiresAt -= 2 * time.Second }, 0},
		{"unsafe", func(q *Request) { q.Class = 1 }, 0},
		{"a new object", func(q *Request) { q.Cell = NewObject }, time.Second},
	} {
		for _, a := range r.do(r.ask(c.change)) {
			if s, ok := a.(Send); ok && s.Timeout != c.want {
				t.Errorf("%s: may take %v, want %v", c.what, s.Timeout, c.want)
			}
		}
	}
}

// A node stuck with one heavy request shows it by the age of that attempt.
func TestNewObjectAvoidsAStuckNode(t *testing.T) {
	r := start(t, settings(), 2)
	r.do(r.ask(nil)) // at the node of cell 0
	r.h.endpoints.nodes[server(0)].deviation = time.Second
	r.h.endpoints.nodes[server(1)].latency *= 3
	r.now += 500 * ms
	r.do(r.ask(func(q *Request) { q.Cell = NewObject }))
	if got := r.h.requests[2].node.Cell; got != 1 {
		t.Errorf("put on the node of cell %d", got)
	}
}

// Nodes that turn work away at once answer fastest; without a guard they would attract the most.
func TestFastRefusalsDoNotAttract(t *testing.T) {
	r := start(t, settings(), 2)
	r.do(r.ask(func(q *Request) { q.Cell = NewObject }))
	first := r.h.requests[1].node
	acts := r.done(1, 0, int(first.Cell), Overloaded, 3*ms)
	for _, a := range acts {
		if s, ok := a.(Send); ok && s.Server == first.Server {
			t.Error("sent again to the node that turned it away")
		}
	}
	want(t, "sent elsewhere", sends(acts), 1)
}

// Where one request of each host is more than a node can serve in time, hosts pace what is past the virtual
// time.
func TestSlotsFallWithLatency(t *testing.T) {
	set := settings()
	set.Instances = 256
	r := start(t, set, 1)
	n, s := r.fix(8), r.h.endpoints.shards[0]
	s.virtualTime = 1
	for _, c := range []struct {
		latency time.Duration
		ahead   bool
		want    float64
	}{{200 * ms, true, 0.5}, {2 * congestionThreshold * 1000 * ms, true, 0.5 / 16}, {2 * time.Second, true,
		1. / 256},
		{0, false, 8.5}, {2 * congestionThreshold * 1000 * ms, false, 0.5 / 16}} {
		n.latency = c.latency
		q := &request{Request: Request{Units: 1}, class: r.h.classes[0], volume: &volume{}, reservedUnits: 1}
		if c.ahead {
			q.startTag = 2
		}
		if got := r.h.slotLimit(s, q); got != c.want {
			t.Errorf("latency %v, ahead %v: %v slots, want %v", c.latency, c.ahead, got, c.want)
		}
	}
}

// Hosts that lose a node at once must not try it again in step, nor leave it alone for long.
func TestTrialsOfAFailingNodeAreNotInStep(t *testing.T) {
	r := start(t, settings(), 1)
	n := r.h.endpoints.nodes[server(0)]
	n.failures = 20
	seen := map[time.Duration]bool{}
	for range 20 {
		d := r.h.backoff(n)
		if d < maxBackoff/2 || d > maxBackoff*3/2 {
			t.Errorf("pause %v", d)
		}
		seen[d] = true
	}
	if len(seen) < 10 {
		t.Error("pauses in step")
	}
}

func TestManyHostsPaceTheirSends(t *testing.T) {
	set := settings()
	set.Instances = 512
	r := start(t, set, 1)
	n := r.fix(r.h.minDepth())
	n.latency = 200 * ms
	want(t, "least depth is a quarter of a slot", []float64{n.depth}, 0.25)
	set.Instances = 2
	want(t, "and one slot where hosts are few", []float64{New(1, set).minDepth()}, 1)
	r.h.endpoints.shards[0].virtualTime = 1
	r.do(r.ask(nil), r.ask(nil))
	r.now += 200 * ms
	want(t, "the next of a volume ahead waits four latencies", sends(r.done(1, 0, 0, OK, 200*ms)))
	want(t, "one that is not ahead does not", sends(r.do(r.ask(func(q *Request) { q.Volume = 2 }))), 3)
}

// Clients that come with less time than the aim are of short patience, not late retries: they are served
// while they wait, unless their size says that they cannot be back in time.
func TestShortPatienceIsServedBySize(t *testing.T) {
	set := settings()
	set.Classes[0].LatencyObjective = 200 * ms
	r := start(t, set, 2)
	r.do(r.ask(nil)) // a first try shows the usual wait
	n := r.h.endpoints.nodes[server(1)]
	n.latency, n.depth = 10*ms, 8
	for i := range 40 {
		size := float64(1 + i%4)
		r.h.classes[0].latency.add(size, 0.010*size)
		r.h.latency.allClasses.add(size, 0.010*size)
	}
	short := func(q *Request) { q.Cell, q.ExpiresAt = 1, r.now+50*ms }
	a := r.ask(short)
	want(t, "a small one leaves", sends(r.do(a)), a.ID)
	b := r.ask(func(q *Request) { short(q); q.Units = 8 })
	want(t, "a large one is refused", ends(r.do(b)), fmt.Sprint("refuse ", b.ID))
}

// A retry that comes back past its aim must not take reserve and slots from what can still be in time.
func TestRetryPastItsAimIsRefusedAtOnce(t *testing.T) {
	r := start(t, settings(), 1)
	r.do(r.ask(nil))
	late := r.ask(func(q *Request) { q.ExpiresAt = r.now + 2*time.Second })
	want(t, "late retry", ends(r.do(late)), fmt.Sprint("refuse ", late.ID))
}

// With many hosts each hears of a node but now and then: what it knew of a jam must not hold for seconds.
func TestOldLatencyFadesToTheUsual(t *testing.T) {
	r := start(t, settings(), 1)
	n := r.h.endpoints.nodes[server(0)]
	for range 20 {
		r.h.latency.allClasses.add(1, 0.1)
	}
	n.latency, n.latencyUpdatedAt, r.h.latency.recentMean = 900*ms, r.now, 100*ms
	r.h.now = r.now + 3*latencyHalfLife
	if got := r.h.recentLatency(n); got != 200*ms {
		t.Errorf("got %v, want 200 ms", got)
	}
}

// All hosts at once, each sending whatever its guard lets go, must stay within the stated figure in any
// window, however many they are; and some of it must get through.
func TestAllHostsTogetherStayWithinTheColdFigure(t *testing.T) {
	for _, hosts := range []int{2, 10, 19, 30, 57, 170, 230, 300} {
		set := coldSettings()
		set.Instances, set.OverloadFactor = hosts, 2.5
		var sent []sendRecord
		var all []*rig
		for me := range hosts {
			set.InstanceIndex = me
			r := start(t, set, 0)
			r.do(
				EndpointUpdate{
					Kind:      UpdateFull,
					Endpoints: []Endpoint{{Server: server(0), Status: Ready, StartedAt: r.now}},
				},
			)
			all = append(all, r)
		}
		boot := all[0].now
		for now := boot; now < boot+set.SlowStartPeriod; now += 50 * ms {
			for i, r := range all {
				n := r.h.endpoints.nodes[server(0)]
				r.h.now = now
				for units := float64(1 + i%3); r.h.slowStartAllows(n, units); {
					n.sends.push(sendRecord{now, units})
					n.unitsSent += units
					sent = append(sent, sendRecord{at: now, units: units})
				}
			}
		}
		for i, first := range sent {
			sum := 0.0
			for _, m := range sent[i:] {
				if m.at > first.at+set.OverloadWindow {
					break
				}
				sum += m.units
			}
			most := set.ColdCapacity * (1 + 3*(first.at-boot).Seconds()/set.SlowStartPeriod.Seconds())
			if sum > most+1e-9 {
				t.Fatalf("%d hosts: %v units from %v on, %v at most", hosts, sum, first.at-boot, most)
			}
		}
		if len(sent) < 20 {
			t.Errorf("%d hosts: starved, %d sends", hosts, len(sent))
		}
	}
}

// The same for a limit: hosts that use their parts to the last unit never send more than the store holds.
func TestAllHostsTogetherStayWithinTheLimit(t *testing.T) {
	const hosts = 8
	set := settings()
	set.Plans[0].Limit, set.Plans[0].Burst = 20, 100
	total, level := 0.0, 100.0
	var all []*rig
	for range hosts {
		all = append(all, start(t, set, 1))
	}
	begin := all[0].now
	for now := begin; now < begin+30*time.Second; now += 20 * ms {
		level = min(100, level+20*0.02)
		for i, r := range all {
			if now == begin+10*time.Second && i%2 == 0 { // killed and back: its store starts empty
				all[i] = start(t, set, 1)
				r = all[i]
				r.h.startedAt, r.h.now = now, now
			}
			r.h.now = now
			v := r.h.volumeFor(Request{Volume: 1, VolumeInstances: hosts})
			for u := float64(1 + i); r.h.quotaRemaining(v) >= u; {
				v.limit.level -= u
				level -= u
				total += u
			}
		}
		if level < -1e-6 {
			t.Fatalf("the store is at %v after %v", level, now-begin)
		}
	}
	if total < 400 {
		t.Errorf("starved: %v units", total)
	}
}

// A host that had no turn for a while finds answers that seem to have taken as long: they say nothing of the
// nodes, which must not be taken for slow, hung or failing.
func TestOwnStallSaysNothingOfTheNodes(t *testing.T) {
	for _, code := range []ResultCode{OK, TimedOut} {
		r := start(t, settings(), 1)
		n := r.h.endpoints.nodes[server(0)]
		before := n.latency
		r.do(r.ask(nil))
		r.now += 900 * ms
		r.do(AttemptResult{ID: 1, Server: server(0), Code: code, Latency: 900 * ms, RequestDone: code == OK},
			TimerFired{Token: tokenReview})
		if n.latency != before || n.failures != 0 {
			t.Errorf("code %d: latency %v, was %v; fails %d", code, n.latency, before, n.failures)
		}
		r.now += 10 * ms
		r.do(TimerFired{Token: tokenReview})
		if r.h.review.stalled {
			t.Error("still held to have stalled")
		}
	}
}

// Odd input at full size: writers beyond the fleet, no shard for the data, an idle hour, a very long batch.
func TestOddTrafficAtFullSize(t *testing.T) {
	set := settings()
	set.Instances, set.InstanceIndex = 220, 219
	set.Plans[0].Limit, set.Plans[0].Burst = 10, 30
	r := start(t, set, 3)
	var evs []Event
	for i := range 5000 {
		evs = append(evs, r.ask(func(q *Request) {
			q.Cell, q.VolumeInstances, q.Volume, q.Units = i%9-1, (i%3)*500, uint64(i%50), float64(i%9)
			q.ExpiresAt = r.now + time.Duration(i%5)*ms
		}))
	}
	r.do(evs...)
	for range 100 {
		r.pass(10 * ms)
	}
	r.pass(time.Hour)
	if got := len(ends(r.acts)); got+r.h.inFlight != 5000 {
		t.Errorf("%d of 5000 answered, %d still out", got, r.h.inFlight)
	}
}

// A watch that stood and broke is mostly back at once, and until then the list is old: it is asked for soon.
// What it missed counts as told soon, so that a first call that fails is followed sooner too, and only then
// at leisure. One that never stood is asked for at leisure, as its service is down or has much to do.
func TestWatchThatBrokeIsReopenedSooner(t *testing.T) {
	set := settings()
	set.PollEndpoints, set.PollTimeout = true, 10*time.Second
	r := start(t, set, 1)
	after := func(acts []Action) time.Duration {
		for _, a := range acts {
			if s, ok := a.(SetTimer); ok && s.Token == tokenWatch {
				return s.After
			}
		}
		t.Fatalf("no new watch in %v", acts)
		return 0
	}
	for _, stood := range []bool{false, true, true} {
		parts := []time.Duration{1, 1}
		if stood {
			r.do(EndpointUpdate{Kind: UpdateDelta})
			parts = []time.Duration{8, 4, 2, 1, 1}
		}
		for n, part := range parts {
			d := after(r.do(EndpointUpdate{Kind: UpdateFailed}))
			if d < watchReopenDelay/part || d > 2*watchReopenDelay/part {
				t.Errorf("stood %v, failure %d: asked for after %v", stood, n, d)
			}
			r.now += 2 * watchReopenDelay
			r.do(TimerFired{Token: tokenWatch})
		}
	}
}

// What every cold disk server has to stand is the sum of all hosts, with unevenly spread traffic (some
// hosts ask all the time, most now and then) and sends that reach it later than they were decided on, by up
// to the time that a connection may take to come up. The operators allow N + 2 root of N + 2 requests of
// mean work in any window, N being what the settings allow then.
func TestSumOfUnevenAndLateSendsToAColdNode(t *testing.T) {
	const window, connect = 3 * time.Second, 250 * time.Millisecond
	for _, hosts := range []int{30, 300} {
		for seed := range uint64(4) {
			rng := rand.New(rand.NewPCG(seed, uint64(hosts)))
			set := coldSettings()
			set.Instances, set.OverloadFactor, set.OverloadWindow, set.ConnectTimeout = hosts, 2.5, window,
				connect
			set.ColdCapacity, set.MeanUnits, set.MaxUnits = 62, 2, 6
			var all []*rig
			for me := range hosts {
				set.InstanceIndex = me
				r := start(t, set, 0)
				r.do(EndpointUpdate{Kind: UpdateFull,
					Endpoints: []Endpoint{{Server: server(0), Status: Ready, StartedAt: r.now}}})
				all = append(all, r)
			}
			boot, busy := all[0].now, make([]float64, hosts)
			for i := range busy { // chance of a request in a step: a few ask for several times the mean
				busy[i] = min(1, 0.02/(0.02+rng.Float64()))
			}
			var sent []sendRecord
			for now := boot; now < boot+set.SlowStartPeriod; now += 20 * ms {
				for i, r := range all {
					n, units := r.h.endpoints.nodes[server(0)], float64(1+rng.IntN(3))
					r.h.now = now
					if rng.Float64() > busy[i] || !r.h.slowStartAllows(n, units) {
						continue
					}
					n.sends.push(sendRecord{now, units})
					n.unitsSent += units
					sent = append(sent, sendRecord{now + time.Duration(rng.Int64N(int64(connect))), units})
				}
			}
			slices.SortFunc(sent, func(a, b sendRecord) int { return cmp.Compare(a.at, b.at) })
			for i, first := range sent {
				sum := 0.0
				for _, m := range sent[i:] {
					if m.at > first.at+window {
						break
					}
					sum += m.units / set.MeanUnits
				}
				n := set.ColdCapacity / set.MeanUnits * (1 +
					3*(first.at-boot).Seconds()/set.SlowStartPeriod.Seconds())
				if most := n + 2*math.Sqrt(n) + 2; sum > most {
					t.Fatalf("%d hosts, seed %d: %.1f requests of mean work from %v on, %.1f at most", hosts,
						seed, sum, first.at-boot, most)
				}
			}
			if len(sent) < 20 {
				t.Errorf("%d hosts: starved, %d sends", hosts, len(sent))
			}
		}
	}
}

// A keyed request that may have run says until when a further attempt of it may begin, as its connection may
// take long to come up; a first attempt, and one that is safe, may begin any time.
func TestARepeatSaysUntilWhenItMayBegin(t *testing.T) {
	for _, keyed := range []bool{true, false} {
		set := settings()
		if keyed {
			set.Classes[0].Idempotency, set.Classes[0].DedupScope,
				set.Classes[0].DedupWindow = IdempotentByKey, DedupCell, 700*ms
		}
		r := start(t, set, 1)
		q := r.ask(nil)
		first, evs := r.now, []Event{q}
		for n, want := range []time.Duration{0, first + 700*ms - timingMargin} {
			var before time.Duration
			for _, a := range r.do(evs...) {
				if s, ok := a.(Send); ok {
					before = s.StartBefore
				}
			}
			if !keyed {
				want = 0
			}
			if before != want {
				t.Errorf("keyed %v, attempt %d: before %v, want %v", keyed, n, before, want)
			}
			r.h.Handle(
				r.now,
				AttemptResult{ID: q.ID, Attempt: n, Server: server(0), Code: Reset, Latency: ms},
			)
			evs = nil
			r.now += 20 * ms
		}
	}
}

// Where lists are pushed, what the machine's agent has counts at once: a watch that failed, or on which
// nothing came, is asked for again well within the drain's grace, again and again.
func TestPushedWatchIsBackWithinTheGrace(t *testing.T) {
	set := settings()
	set.PollEndpoints, set.DrainGrace, set.PushGrace = true, 700*ms, 700*ms
	r := start(t, set, 1)
	for n := range 5 {
		var after time.Duration
		for _, a := range r.do(EndpointUpdate{Kind: UpdateFailed}) {
			if s, ok := a.(SetTimer); ok && s.Token == tokenWatch {
				after = s.After
			}
		}
		r.now += max(after, set.PushGrace/2)
		watched := slices.ContainsFunc(r.do(TimerFired{Token: tokenWatch}), func(a Action) bool {
			w, ok := a.(WatchEndpoints)
			return ok && w.On
		})
		if after > set.PushGrace/2 || !watched {
			t.Errorf("failure %d: asked for after %v, %v", n, after, watched)
		}
	}
}
