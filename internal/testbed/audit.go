package testbed

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"landingpaddle/internal/config"
	"landingpaddle/internal/proto"
	"landingpaddle/scheduler"
)

// Verdict is what the audit says of one rule.
type Verdict struct {
	Rule   string `json:"rule"`
	Kept   bool   `json:"kept"`
	Judged int    `json:"judged"`          // things that could have broken it
	Breaks int    `json:"breaks"`          // how many did
	First  string `json:"first,omitempty"` // the first: request, node, time
}

// The rules, in the order of the verdicts.
const (
	RuleAnswers = "answers" // exactly one final answer, in time, and nothing sent after it
	RuleEffects = "effects" // no effect twice
	RuleDrains  = "drains"  // nothing new to a node later than the grace after the instance was told
	RuleCold    = "cold"    // no cold node pushed over
	RuleOrder   = "order"   // requests of one key one at a time, in the order taken
	RuleBudget  = "budget"  // attempts beyond the first within the stated budget
	RuleLimits  = "limits"  // what all instances send for a volume within its plan's limit
	RuleBytes   = "bytes"   // each range read or written holds the bytes that it must
)

// transit is how long a frame may be on its way on loopback between two logs, beyond what the logs show of
// the machine standing still.
const transit = 60 * time.Millisecond

// audit judges the rules from what passed on the sockets: the clients' and nodes' logs, and the moments at
// which instances acknowledged news of nodes. It knows nothing of what a scheduler says of itself.
type audit struct {
	site   *config.Site
	events []Event
	start  int64
	out    map[string]*Verdict
	still  []span // the laboratory, and by instance, stood still
	stalls map[int][]span
	stuck  map[int][]span // by node: its connections were neither read nor written
	kills  map[int][]int64
	zones  map[int]int
	nodes  map[string]int // by address, where the list service knows no more of a node
	tries  map[tryID]*tryLog
	sent   []*tryLog // in order
}

// Numbers of no node and no instance.
const (
	noNode = -1
	noInst = -1
)

type span struct{ from, to int64 }

type tryID struct {
	token uint64
	try   int
}

// tryLog is one try of a client and all that came of it.
type tryLog struct {
	sent     Event
	ends     []Event // answers, and how else it ended
	attempts []*attemptLog
}

// attemptLog is one attempt as its node saw it.
type attemptLog struct {
	arrive  Event
	replied int64 // when the answer was written; 0: never
	called  int64 // when it was called off, its connection ended or its node died; 0: never
	code    proto.Code
	effect  bool
	ended   bool
	sum     uint64 // of the bytes, once ended
}

// mayHaveRun: it was neither turned away nor of another cell.
func (a *attemptLog) mayHaveRun() bool {
	return a.code != proto.Overloaded && a.code != proto.NotApplicable
}

// Audit judges all rules.
func CheckInvariants(site *config.Site, events []Event) []Verdict {
	a := &audit{site: site, events: slices.Clone(events), out: map[string]*Verdict{},
		stalls: map[int][]span{}, stuck: map[int][]span{}, kills: map[int][]int64{}, zones: map[int]int{},
		nodes: map[string]int{},
		tries: map[tryID]*tryLog{}}
	slices.SortStableFunc(a.events, func(x, y Event) int { return cmp.Compare(x.T, y.T) })
	rules := []string{RuleAnswers, RuleEffects, RuleDrains, RuleCold, RuleOrder, RuleBudget, RuleLimits,
		RuleBytes}
	for _, r := range rules {
		a.out[r] = &Verdict{Rule: r, Kept: true}
	}
	if len(a.events) > 0 {
		a.start = a.events[0].T
	}
	a.gather()
	a.answers()
	a.effects()
	a.drains()
	a.cold()
	a.order()
	a.budget()
	a.limits()
	a.bytes()
	var out []Verdict
	for _, r := range rules {
		out = append(out, *a.out[r])
	}
	return out
}

func (a *audit) broke(rule string, e Event, format string, args ...any) {
	v := a.out[rule]
	v.Kept = false
	v.Breaks++
	if v.Breaks == 1 {
		at, what := time.Duration(e.T-a.start).Seconds(), fmt.Sprintf(format, args...)
		v.First = fmt.Sprintf("request %d try %d, instance %d, node %d, at %.3f s: %s", e.Token, e.Try,
			e.Inst, e.Node, at, what)
	}
}

// excuse is how much longer something may take that began and ended so: what the logs show of stand-stills,
// with a moment for what had piled up by then.
func (a *audit) excuse(inst, node int, from, to int64) int64 {
	const after = int64(150 * time.Millisecond)
	total := int64(0)
	for _, spans := range [][]span{a.still, a.stalls[inst], a.stuck[node]} {
		for _, s := range spans {
			if s.to+after >= from && s.from <= to {
				total += s.to - s.from + after
			}
		}
	}
	return total
}

func (a *audit) killed(inst int, from, to int64) bool {
	return slices.ContainsFunc(a.kills[inst], func(t int64) bool { return t >= from && t <= to })
}

// gather puts events together by tries and attempts.
func (a *audit) gather() {
	type open struct {
		id    tryID
		piece int
		node  int
		n     int
	}
	live := map[open]*attemptLog{}
	for _, e := range a.events {
		id := tryID{e.Token, e.Try}
		key := open{id, e.Piece, e.Node, e.Attempt}
		switch e.Kind {
		case KindProcessStalled:
			a.still = append(a.still, span{e.T - e.Wait, e.T})
		case KindInstanceStalled:
			a.stalls[e.Inst] = append(a.stalls[e.Inst], span{e.T, e.T + e.Wait})
		case KindConnectionsStuck:
			a.stuck[e.Node] = append(a.stuck[e.Node], span{e.T, e.T + e.Wait})
		case KindInstanceKilled:
			a.kills[e.Inst] = append(a.kills[e.Inst], e.T)
		case KindNodeStarted:
			a.zones[e.Node] = e.Zone
			a.nodes[e.Reason] = e.Node
		case KindSent:
			t := &tryLog{sent: e}
			a.tries[id] = t
			a.sent = append(a.sent, t)
		case KindAnswer, KindBroken, KindClientLeft, KindTimedOut:
			if t := a.tries[id]; t != nil {
				t.ends = append(t.ends, e)
			}
		case KindArrive:
			at := &attemptLog{arrive: e}
			live[key] = at
			if t := a.tries[id]; t != nil {
				t.attempts = append(t.attempts, at)
			}
		case KindOverloaded, KindNotApplicable, KindRepeat, KindEnd, KindCancel:
			if at := live[key]; at != nil {
				at.code = e.Code
				at.effect = e.Kind == KindEnd && e.Write
				at.ended, at.sum = e.Kind == KindEnd, e.Sum
			}
		case KindReplied:
			if at := live[key]; at != nil && at.replied == 0 {
				at.replied = e.T
			}
		case KindCancelArrived:
			if at := live[key]; at != nil && at.called == 0 {
				at.called = e.T
			}
		case KindNodeStopped:
			for k, at := range live {
				if k.node == e.Node && at.replied == 0 && at.called == 0 {
					at.called = e.T
				}
			}
		}
	}
}

func (t *tryLog) answered() (Event, bool) {
	for _, e := range t.ends {
		if e.Kind == KindAnswer {
			return e, true
		}
	}
	return Event{}, false
}

func (a *audit) answers() {
	if len(a.events) == 0 {
		return
	}
	last := a.events[len(a.events)-1].T
	slack := int64(a.site.Rules.AnswerSlack)
	for _, t := range a.sent {
		s := t.sent
		due := s.T + s.Wait + slack
		end := min(due+int64(lateMargin), last)
		if due >= last {
			continue // the logs end before its time was up
		}
		a.out[RuleAnswers].Judged++
		answers, left, broken := 0, false, false
		for _, e := range t.ends {
			switch e.Kind {
			case KindAnswer:
				answers++
			case KindClientLeft:
				left = true
			case KindBroken:
				broken = true
			}
		}
		dead := a.killed(s.Inst, s.T-int64(50*time.Millisecond), end+a.excuse(s.Inst, noNode, s.T, end))
		switch {
		case answers > 1:
			a.broke(RuleAnswers, s, "%d final answers", answers)
		case answers == 0 && !left && !dead && (broken || a.excuse(s.Inst, noNode, s.T, end) == 0):
			a.broke(RuleAnswers, s, "no answer within %v", time.Duration(s.Wait))
		}
		e, ok := t.answered()
		if !ok {
			continue
		}
		if over := e.T - due; over > 0 && over > a.excuse(s.Inst, noNode, s.T, e.T) {
			a.broke(RuleAnswers, s, "answered %v after its time was up", time.Duration(e.T-s.T-s.Wait))
		}
		for _, at := range t.attempts {
			over := at.arrive.T - e.T - int64(transit)
			if over > 0 && over > a.excuse(s.Inst, at.arrive.Node, e.T, at.arrive.T) {
				a.broke(RuleAnswers, at.arrive, "sent %v after its answer", time.Duration(at.arrive.T-e.T))
			}
		}
	}
}

func (a *audit) effects() {
	type piece struct {
		token uint64
		nth   int
	}
	done := map[piece]int{}
	for _, t := range a.sent {
		class := a.site.Classes[t.sent.Class]
		repeat := scheduler.Idempotency(class.Idempotency)
		if repeat == scheduler.Idempotent {
			continue
		}
		if len(t.attempts) > 0 {
			a.out[RuleEffects].Judged++
		}
		var ran *attemptLog
		first := map[int]*attemptLog{} // that may have run, by piece
		for _, at := range t.attempts {
			nth := at.arrive.Piece
			if at.effect {
				id := piece{t.sent.Token, nth}
				if done[id]++; done[id] > 1 {
					a.broke(RuleEffects, at.arrive, "took effect a second time")
				}
			}
			if first[nth] != nil {
				a.repeat(class, first[nth], at)
			}
			if first[nth] == nil && at.mayHaveRun() {
				first[nth] = at
			}
			if ran == nil && at.mayHaveRun() {
				ran = at
			}
		}
		e, ok := t.answered()
		truthful := repeat == scheduler.IdempotentByKey &&
			scheduler.DedupScope(class.DedupScope) == scheduler.DedupAll
		if ok && e.Code == proto.Rejected && ran != nil && ran.arrive.T < e.T && !truthful {
			a.broke(RuleEffects, e, "refused while it may have run on node %d", ran.arrive.Node)
		}
	}
}

// repeat judges an attempt after one that may have run.
func (a *audit) repeat(class config.Class, ran, at *attemptLog) {
	if scheduler.Idempotency(class.Idempotency) == scheduler.NotIdempotent {
		a.broke(RuleEffects, at.arrive, "sent again while it may have run on node %d", ran.arrive.Node)
		return
	}
	same := true
	switch scheduler.DedupScope(class.DedupScope) {
	case scheduler.DedupZone:
		same = a.zones[ran.arrive.Node] == a.zones[at.arrive.Node]
	case scheduler.DedupCell:
		same = ran.arrive.Cell == at.arrive.Cell
	}
	if !same {
		a.broke(RuleEffects, at.arrive, "sent again outside the group of node %d", ran.arrive.Node)
	}
	over := at.arrive.T - ran.arrive.T - int64(class.DedupWindow) - int64(transit)
	if over > 0 && over > a.excuse(at.arrive.Inst, at.arrive.Node, ran.arrive.T, at.arrive.T) {
		a.broke(RuleEffects, at.arrive, "sent again %v after the first send",
			time.Duration(at.arrive.T-ran.arrive.T))
	}
}

// drains follows what each instance was told of each node, by the list or by the node itself.
func (a *audit) drains() {
	type pair struct{ inst, node int }
	type state struct {
		since  int64 // 0: not told that it drains or is gone
		notice int64 // start of the node that told of its draining itself
	}
	told := map[pair]*state{}
	at := func(inst, node int) *state {
		p := pair{inst, node}
		if told[p] == nil {
			told[p] = &state{notice: -1}
		}
		return told[p]
	}
	for _, e := range a.events {
		switch e.Kind {
		case KindInstanceStarted:
			for p := range told {
				if p.inst == e.Inst {
					delete(told, p)
				}
			}
		case KindNotice:
			s := at(e.Inst, e.Node)
			s.notice = e.Boot
			if s.since == 0 {
				s.since = e.T
			}
		case KindAcknowledged:
			if e.Reason != "" {
				node, ok := a.nodes[e.Reason]
				if !ok {
					continue
				}
				e.Node = node
			}
			s := at(e.Inst, e.Node)
			switch {
			case e.Status != "ready" && s.since == 0:
				s.since = e.T
			case e.Status == "ready" && (s.notice < 0 || e.Boot > s.notice):
				s.since, s.notice = 0, -1
			}
		case KindArrive:
			a.out[RuleDrains].Judged++
			s := told[pair{e.Inst, e.Node}]
			if s == nil || s.since == 0 || e.Boot > s.notice && s.notice >= 0 {
				continue
			}
			over := e.T - s.since - int64(a.site.Rules.DrainGrace) - int64(transit)
			if over > 0 && over > a.excuse(e.Inst, e.Node, s.since, e.T) {
				a.broke(RuleDrains, e, "sent %v after it was told that the node drains or is gone",
					time.Duration(e.T-s.since))
			}
		}
	}
}

func (a *audit) cold() {
	for _, e := range a.events {
		switch e.Kind {
		case KindArrive:
			if e.Boot != 0 && e.T-e.Boot < int64(a.site.Rules.SlowStartPeriod) {
				a.out[RuleCold].Judged++
			}
		case KindCollapsed:
			a.broke(RuleCold, e, "the node fell over")
		}
	}
}

// order judges requests of one key that came on one connection: that is the order in which they were taken.
func (a *audit) order() {
	type chain struct {
		inst, client int
		conn, key    uint64
	}
	const near = int64(10 * time.Millisecond)
	chains := map[chain][]*tryLog{}
	for _, t := range a.sent {
		if s := t.sent; a.site.Classes[s.Class].OrderedByKey && s.Key != 0 {
			c := chain{s.Inst, s.Client, s.Conn, s.Key}
			chains[c] = append(chains[c], t)
		}
	}
	pause := int64(a.site.Rules.OrderingPause)
	for _, list := range chains {
		slices.SortFunc(list, func(x, y *tryLog) int { return cmp.Compare(x.sent.Seq, y.sent.Seq) })
		for i, later := range list {
			if len(later.attempts) == 0 {
				continue
			}
			a.out[RuleOrder].Judged++
			for _, earlier := range list[max(0, i-32):i] {
				// What shared an operation was carried out in order in it; what came after that is judged.
				before, after := apart(earlier, later)
				if len(after) == 0 {
					continue
				}
				first := after[0].arrive
				for _, at := range before {
					slack := near + a.excuse(first.Inst, first.Node, at.arrive.T, first.T)
					// Pieces of one key lie on several nodes.
					if other := at.arrive.Node; other != first.Node {
						slack += a.excuse(noInst, other, at.arrive.T, first.T)
					}
					switch {
					case at.arrive.T > first.T+slack:
						a.broke(RuleOrder, first, "sent before request %d of the same key, taken earlier",
							earlier.sent.Token)
					case at.arrive.T > first.T:
					case at.replied != 0 && at.replied <= first.T+slack:
					case at.called != 0 && at.called+pause <= first.T+slack:
					default:
						a.broke(RuleOrder, first, "sent while request %d of the same key was not over",
							earlier.sent.Token)
					}
				}
			}
		}
	}
}

// apart are the attempts of two tries that come after the last operation which they shared; all, if none.
func apart(earlier, later *tryLog) (before, after []*attemptLog) {
	before, after = earlier.attempts, later.attempts
	for i, x := range earlier.attempts {
		for j, y := range later.attempts {
			if e, f := x.arrive, y.arrive; e.Op != 0 && e.Op == f.Op && e.Node == f.Node && e.Boot == f.Boot {
				before, after = earlier.attempts[i+1:], later.attempts[j+1:]
			}
		}
	}
	return before, after
}

func (a *audit) budget() {
	b := a.site.Rules.RetryBudget
	if b == nil {
		return
	}
	taken, extras, up := map[int][]int64{}, map[int][]int64{}, map[int]int64{}
	for _, e := range a.events {
		switch {
		case e.Kind == KindInstanceStarted:
			taken[e.Inst], extras[e.Inst], up[e.Inst] = nil, nil, e.T
		case e.Kind == KindSent:
			taken[e.Inst] = append(taken[e.Inst], e.T)
		case e.Kind == KindArrive && e.Attempt > 0:
			a.out[RuleBudget].Judged++
			extras[e.Inst] = append(extras[e.Inst], e.T)
			excuse := int64(transit) + a.excuse(e.Inst, e.Node, e.T-int64(b.Window), e.T)
			count := func(times []int64, slack int64) int {
				i, _ := slices.BinarySearch(times, e.T-int64(b.Window)-slack)
				return len(times) - i
			}
			n, of := count(extras[e.Inst], -excuse), count(taken[e.Inst], excuse)
			if most := b.Floor + b.Ratio*float64(of); float64(n) > most {
				a.broke(RuleBudget, e, "%d attempts beyond the first in %v, %.1f allowed", n, b.Window, most)
			}
		}
	}
}

func (a *audit) limits() {
	type store struct {
		level float64
		at    int64
	}
	type piece struct {
		tryID
		nth int
	}
	stores, seen := map[uint64]*store{}, map[piece]bool{}
	for _, e := range a.events {
		id := piece{tryID{e.Token, e.Try}, e.Piece}
		if e.Kind != KindArrive || a.site.Plans[e.Plan].Limit <= 0 || seen[id] {
			continue
		}
		if t := a.tries[tryID{e.Token, e.Try}]; t != nil && t.attempts[0].code == proto.NotApplicable {
			continue
		}
		seen[id] = true
		a.out[RuleLimits].Judged++
		p := a.site.Plans[e.Plan]
		s := stores[e.Volume]
		if s == nil {
			s = &store{p.Burst, e.T}
			stores[e.Volume] = s
		}
		s.level = min(p.Burst, s.level+p.Limit*time.Duration(e.T-s.at).Seconds())
		s.at = e.T
		s.level -= float64(e.Units)
		excuse := p.Limit * time.Duration(int64(transit)+a.excuse(e.Inst, e.Node, e.T, e.T)).Seconds()
		if s.level < -p.LimitSlack-excuse {
			a.broke(RuleLimits, e, "volume %d is %.1f units over its limit, %.1f are allowed",
				e.Volume, -s.level, p.LimitSlack)
		}
	}
}

// bytes compares what clients got and gave with what nodes read and wrote. Sums of a range's pieces add up.
// What was never written must read as the pattern.
func (a *audit) bytes() {
	written := map[uint64]bool{}
	wrote := map[uint64]map[int]uint64{} // sums of what took effect, by token and piece
	for _, t := range a.sent {
		for _, at := range t.attempts {
			if e := at.arrive; e.Data != 0 && e.Write {
				written[e.Data] = true
				if at.effect {
					if wrote[e.Token] == nil {
						wrote[e.Token] = map[int]uint64{}
					}
					wrote[e.Token][e.Piece] = at.sum
				}
			}
		}
	}
	for _, t := range a.sent {
		e, ok := t.answered()
		s := t.sent
		if !ok || e.Code != proto.OK || s.Data == 0 {
			continue
		}
		a.out[RuleBytes].Judged++
		if s.Write {
			sum := uint64(0)
			for _, part := range wrote[s.Token] {
				sum += part
			}
			if sum != s.Sum {
				a.broke(RuleBytes, e, "the nodes hold other bytes than were written")
			}
			continue
		}
		sums := map[int][]uint64{} // by piece, of all that were read
		for _, at := range t.attempts {
			if at.ended {
				sums[at.arrive.Piece] = append(sums[at.arrive.Piece], at.sum)
			}
		}
		could := map[uint64]bool{0: true}
		for _, list := range sums {
			next := map[uint64]bool{}
			for have := range could {
				for _, x := range list {
					next[have+x] = true
				}
			}
			could = next
		}
		switch {
		case e.Length != s.Length:
			a.broke(RuleBytes, e, "%d bytes of %d", e.Length, s.Length)
		case !could[e.Sum]:
			a.broke(RuleBytes, e, "other bytes than the nodes read")
		case !written[s.Data] && e.Sum != patternSum(s.Data, s.Offset, s.Length):
			a.broke(RuleBytes, e, "bytes that were never there")
		}
	}
}

// Worth is what a day earned.
type Summary struct {
	Asked   int     `json:"asked"` // operations; a client's retries belong to them
	InTime  int     `json:"in_time"`
	Late    int     `json:"late"`
	Refused int     `json:"refused"` // ended with a refusal
	Failed  int     `json:"failed"`
	None    int     `json:"none"`       // no answer
	Share   float64 `json:"share"`      // worth earned of worth asked
	Sends   int     `json:"sends"`      // attempts that reached a node
	Ops     int     `json:"operations"` // that they came as
	P50     float64 `json:"p50_ms"`     // from the first try to being served
	P99     float64 `json:"p99_ms"`
	CPU     float64 `json:"cpu_us"` // of the whole process, a request; 0: not known
	Wasted  int     `json:"wasted"` // of them such that served no answer
}

// Served is how many operations were served, in time or late.
func (w *Summary) Served() int { return w.InTime + w.Late }

// OpsEach is how many operations the nodes did for each that was served.
func (w *Summary) OpsEach() float64 { return float64(w.Ops) / float64(max(1, w.Served())) }

// WorthOf adds up what was served, by the clients' logs: full worth within a class's aim from the first try
// on, its late share after that, in units and by plan.
func Summarize(site *config.Site, p *Recording) Summary {
	events := p.Events
	type asked struct {
		first Event
		last  Event
		ended bool
	}
	ops := map[uint64]*asked{}
	var w Summary
	replies := 0
	type operation struct {
		node int
		nth  uint64
	}
	seen := map[operation]bool{}
	for _, e := range events {
		switch e.Kind {
		case KindSent:
			if ops[e.Token] == nil {
				ops[e.Token] = &asked{first: e}
			}
		case KindAnswer:
			if o := ops[e.Token]; o != nil && !(o.ended && o.last.Code == proto.OK) {
				o.last, o.ended = e, true
			}
		case KindArrive:
			w.Sends++
			seen[operation{e.Node, e.Op}] = true
		case KindReplied:
			if e.Code == proto.OK {
				replies++
			}
		}
	}
	times := hdrhistogram.New(1, time.Minute.Microseconds(), 3)
	w.Ops = len(seen)
	total, earned := 0.0, 0.0
	for _, o := range ops {
		class, plan := site.Classes[o.first.Class], site.Plans[o.first.Plan]
		worth := class.PriorityWeight * plan.PriorityWeight * float64(o.first.Units) / max(site.MeanUnits, 1)
		w.Asked++
		total += worth
		took := time.Duration(o.last.T - o.first.T)
		if o.ended && o.last.Code == proto.OK {
			_ = times.RecordValue(took.Microseconds()) // what is out of its range took over a minute
		}
		switch {
		case !o.ended:
			w.None++
		case o.last.Code == proto.OK && took <= class.LatencyObjective:
			w.InTime++
			earned += worth
		case o.last.Code == proto.OK:
			w.Late++
			earned += worth * class.LateFraction
		case o.last.Code == proto.Rejected:
			w.Refused++
		default:
			w.Failed++
		}
	}
	w.Wasted = w.Sends - replies
	w.P50 = float64(times.ValueAtQuantile(50)) / 1000
	w.P99 = float64(times.ValueAtQuantile(99)) / 1000
	w.CPU = float64(p.CPU.Microseconds()) / float64(max(1, w.Asked))
	if total > 0 {
		w.Share = earned / total
	}
	return w
}
