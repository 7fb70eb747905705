package testbed

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"go.uber.org/goleak"

	"landingpaddle/internal/daemon"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// smallDay is a short day for one rule; the forms given are added to it.
func smallDay(t *testing.T, classes, rules, more string) *Scenario {
	t.Helper()
	d, err := ParseScenario("small.lisp", fmt.Appendf(nil, `(day (length 3s) (instances 2)
  (nodes 3 (kind (cores 2) (queue 64) (per-unit 2ms) (cancel-drops) (cancel-stops) (drain-notices)))
  (list (delay 50ms)) (clients 6 (retries 0))
  (site (zones a b c) (mean-units 2) (most-units 4) %s
    (plan free (rate 50)) (plan tight (rate 20) (limit 40) (burst 40) (slack 8))
    (rules (drain-grace 300ms) %s) (limits (attempts 3) (connect-timeout 250ms)))
  %s)`, classes, rules, more))
	if err != nil {
		t.Fatal(err)
	}
	return &d
}

const (
	readClass  = `(class read (aim 400ms) (deadline 1s) (repeat safe))`
	writeClass = `(class write (aim 400ms) (deadline 1s) (repeat keyed) (group cell) (window 5s) (in-order)
		(writes))`
	resets = `(at 500ms (reset (nodes 0 1 2))) (at 800ms (reset (nodes 0 1 2)))
		(at 1100ms (reset (nodes 0 1 2))) (at 1400ms (reset (nodes 0 1 2)))`
	reads = `(traffic (class read) (plan free) (rate 150) (volumes 4) (units 1 4) (writers 2))`
)

// Each rule has a day that provokes it, on which the module keeps it, and a mutant that breaks it: a
// scheduler with one bad habit, which the audit must catch, and catch for that rule.
func TestTheAuditCatchesAMutantOfEachRule(t *testing.T) {
	for _, c := range []struct {
		rule   string
		day    *Scenario
		mutant daemon.Hooks
	}{
		{RuleAnswers, smallDay(t, readClass, "", reads), AnswerTwice()},
		{RuleEffects, smallDay(t, strings.Replace(writeClass, "(in-order)", "", 1), "",
			`(traffic (class write) (plan free) (rate 400) (volumes 4) (units 1 4) (new-objects))`+resets),
			Baseline(func(g *Greedy) { g.RetriesAnywhere = true })},
		{RuleDrains, smallDay(t, readClass, "", reads+`(at 500ms (drain (nodes 1)))`),
			Baseline(func(g *Greedy) { g.SendsToDraining = true })},
		{RuleCold, smallDay(t, readClass, `(cold-share 0.05) (cold-units 20) (ramp 4s) (fall-window 500ms)
			(fall-multiple 2)`, reads+`(at 500ms (kill-node (nodes 0) (back 300ms)))
			(at 600ms (burst (times 4) (for 2s)))`), Baseline(nil)},
		{RuleOrder, smallDay(t, writeClass, `(order-pause 50ms)`,
			`(traffic (class write) (plan free) (rate 200) (volumes 2) (units 1 4) (keys 3))`),
			Baseline(nil)},
		{RuleBudget, smallDay(t, readClass, `(budget (floor 2) (ratio 0.001) (window 2s))`,
			strings.Replace(reads, "150", "500", 1)+resets),
			Baseline(func(g *Greedy) { g.IgnoresRetryBudget = true })},
		{RuleLimits, smallDay(t, readClass, "",
			`(traffic (class read) (plan tight) (rate 150) (volumes 2) (units 1 4) (writers 2))`),
			Baseline(nil)},
	} {
		t.Run(c.rule, func(t *testing.T) {
			t.Parallel()
			for _, mutant := range []bool{false, true} {
				opt := Options{Seed: 5, Dir: t.TempDir()}
				if mutant {
					opt.Hooks = c.mutant
				}
				p, err := RunScenario(context.Background(), c.day, opt)
				if err != nil {
					t.Fatal(err)
				}
				for _, v := range CheckInvariants(&c.day.Site, p.Events) {
					switch {
					case v.Rule == c.rule && v.Judged == 0:
						t.Errorf("mutant %v: nothing judged", mutant)
					case !mutant && !v.Holds:
						t.Errorf("the module breaks %s: %s", v.Rule, v.FirstViolation)
					case mutant && v.Rule == c.rule && v.Holds:
						t.Errorf("the mutant is not caught; judged %d", v.Judged)
					case mutant && v.Rule == c.rule && !strings.Contains(v.FirstViolation, "request"):
						t.Errorf("the first break names no request: %s", v.FirstViolation)
					}
				}
			}
		})
	}
}

// An audit of logs by hand: each line of a rule has a case that breaks it and one beside it that does not.
func TestAuditByHand(t *testing.T) {
	d := smallDay(t, readClass+writeClass+`(class once (aim 400ms) (deadline 1s) (repeat unsafe))`,
		`(order-pause 100ms) (budget (floor 1) (ratio 0) (window 1s))`, reads)
	ms := func(n int64) int64 { return n * int64(time.Millisecond) }
	at := func(n int64) int64 { return ms(1000 + n) }
	sent := func(t int64, token uint64, class int, seq uint64) Event {
		return Event{Time: at(t), Kind: KindSent, Token: token, Class: class, Seq: seq, Key: 9, Wait: ms(500)}
	}
	arrive := func(t int64, token uint64, class, node, attempt int) Event {
		return Event{Time: at(t), Kind: KindArrive, Token: token, Class: class, Node: node, Attempt: attempt,
			Cell: node,
			Key:  9, Units: 1}
	}
	note := func(t int64, k Kind, token uint64, node, attempt int) Event {
		return Event{Time: at(t), Kind: k, Token: token, Node: node, Attempt: attempt, Write: true, Code: 100}
	}
	end := Event{Time: at(9000), Kind: KindInstanceStarted, Instance: 99}
	for _, c := range []struct {
		name   string
		rule   string // "": all are kept
		events []Event
	}{
		{"answered", "", []Event{sent(0, 1, 0, 1), note(100, KindAnswer, 1, 0, 0)}},
		{"never answered", RuleAnswers, []Event{sent(0, 1, 0, 1), note(700, KindTimedOut, 1, 0, 0)}},
		{"never answered by an instance that was killed", "", []Event{sent(0, 1, 0, 1),
			{Time: at(50), Kind: KindInstanceKilled}, note(60, KindBroken, 1, 0, 0)}},
		{"its connection broke by itself", RuleAnswers, []Event{sent(0, 1, 0, 1), note(60, KindBroken, 1, 0,
			0)}},
		{"late", RuleAnswers, []Event{sent(0, 1, 0, 1), note(600, KindAnswer, 1, 0, 0)}},
		{"late while it stood still", "", []Event{sent(0, 1, 0, 1), {Time: at(300), Kind: KindInstanceStalled,
			Wait: ms(300)},
			note(620, KindAnswer, 1, 0, 0)}},
		{"sent after its answer", RuleAnswers, []Event{sent(0, 1, 0, 1), note(100, KindAnswer, 1, 0, 0),
			arrive(300, 1, 0, 0, 0)}},
		{"an unsafe one sent again", RuleEffects, []Event{sent(0, 1, 2, 1), arrive(10, 1, 2, 0, 0),
			arrive(20, 1, 2, 0, 1), note(100, KindAnswer, 1, 0, 0)}},
		{"an unsafe one sent again after it was turned away", "", []Event{sent(0, 1, 2, 1),
			arrive(10, 1, 2, 0, 0), {Time: at(11), Kind: KindOverloaded, Token: 1, Code: 302}, arrive(20, 1,
				2, 0, 1),
			note(100, KindAnswer, 1, 0, 0)}},
		{"a keyed one took effect twice", RuleEffects, []Event{sent(0, 1, 1, 1), arrive(10, 1, 1, 0, 0),
			note(20, KindEnd, 1, 0, 0), note(21, KindReplied, 1, 0, 0), arrive(30, 1, 1, 0, 1),
			note(40, KindEnd, 1, 0, 1), note(41, KindReplied, 1, 0, 1), note(100, KindAnswer, 1, 0, 0)}},
		{"refused while it may have run", RuleEffects, []Event{sent(0, 1, 1, 1), arrive(10, 1, 1, 0, 0),
			note(12, KindReplied, 1, 0, 0), {Time: at(100), Kind: KindAnswer, Token: 1, Code: 400}}},
		{"drained, within the grace", "", []Event{{Time: at(0), Kind: KindAcknowledged, Status: "draining"},
			sent(0, 1,
				0,
				1),
			arrive(200, 1, 0, 0, 0), note(300, KindAnswer, 1, 0, 0)}},
		{"drained, after the grace", RuleDrains, []Event{{Time: at(0), Kind: KindAcknowledged,
			Status: "draining"},
			sent(0, 1, 0, 1), arrive(450, 1, 0, 0, 0), note(460, KindAnswer, 1, 0, 0)}},
		{"a late list after the node's own notice", RuleDrains, []Event{
			{Time: at(0), Kind: KindNotice, StartedAt: 5},
			{Time: at(1), Kind: KindAcknowledged, Status: "ready", StartedAt: 5}, sent(0, 1, 0, 1),
			{Time: at(450), Kind: KindArrive, Token: 1, StartedAt: 5}, note(460, KindAnswer, 1, 0, 0)}},
		{"fell over", RuleCold, []Event{{Time: at(1), Kind: KindCollapsed, Token: 1}}},
		{"keys in order", "", []Event{sent(0, 1, 1, 1), sent(1, 2, 1, 2), arrive(10, 1, 1, 0, 0),
			note(20, KindReplied, 1, 0, 0), arrive(30, 2, 1, 0, 0), note(40, KindReplied, 2, 0, 0),
			note(50, KindAnswer, 1, 0, 0), note(50, KindAnswer, 2, 0, 0)}},
		{"two at once", RuleOrder, []Event{sent(0, 1, 1, 1), sent(1, 2, 1, 2), arrive(10, 1, 1, 0, 0),
			arrive(30, 2, 1, 0, 0), note(60, KindReplied, 1, 0, 0), note(70, KindReplied, 2, 0, 0),
			note(80, KindAnswer, 1, 0, 0), note(80, KindAnswer, 2, 0, 0)}},
		{"out of turn", RuleOrder, []Event{sent(0, 1, 1, 1), sent(1, 2, 1, 2), arrive(10, 2, 1, 0, 0),
			note(20, KindReplied, 2, 0, 0), arrive(60, 1, 1, 0, 0), note(70, KindReplied, 1, 0, 0),
			note(80, KindAnswer, 1, 0, 0), note(80, KindAnswer, 2, 0, 0)}},
		{"no rest after a time-out", RuleOrder, []Event{sent(0, 1, 1, 1), sent(1, 2, 1, 2),
			arrive(10, 1, 1, 0, 0), note(50, KindCancelArrived, 1, 0, 0), arrive(60, 2, 1, 0, 0),
			note(70, KindReplied, 2, 0, 0), note(80, KindAnswer, 1, 0, 0), note(80, KindAnswer, 2, 0, 0)}},
		{"one further attempt", "", []Event{sent(0, 1, 0, 1), arrive(1, 1, 0, 0, 0), arrive(9, 1, 0, 0, 1),
			note(80, KindAnswer, 1, 0, 0)}},
		{"two further attempts", RuleBudget, []Event{sent(0, 1, 0, 1), arrive(1, 1, 0, 0, 0),
			arrive(90, 1, 0, 0, 1), arrive(180, 1, 0, 0, 2), note(190, KindAnswer, 1, 0, 0)}},
	} {
		for _, v := range CheckInvariants(&d.Site, append(c.events, end)) {
			if v.Holds == (v.Rule == c.rule) {
				t.Errorf("%s: %s kept is %v (%s)", c.name, v.Rule, v.Holds, v.FirstViolation)
			}
		}
	}
}

func TestLogsReadBackAndSayWhereTheyAreBad(t *testing.T) {
	dir := t.TempDir()
	l := NewLog()
	l.Add(Event{Kind: KindSent, Token: 7, Wait: 5})
	l.Add(Event{Kind: KindAnswer, Token: 7, Code: 100})
	path := filepath.Join(dir, "a.jsonl")
	if err := l.WriteFile(path); err != nil {
		t.Fatal(err)
	}
	got, err := ReadDir(dir)
	if err != nil || len(got) != 2 || got[0].Token != 7 || got[1].Code != 100 {
		t.Fatalf("%+v, %v", got, err)
	}
	data, _ := os.ReadFile(path)
	for _, bad := range []string{string(data[:len(data)-5]), string(data) + "{}\n", string(data) + "x\n"} {
		if err := os.WriteFile(path, []byte(bad), 0o644); err != nil {
			t.Fatal(err)
		}
		if _, err := ReadDir(dir); err == nil || !strings.Contains(err.Error(), "a.jsonl:") {
			t.Errorf("%q: %v", bad[len(bad)-10:], err)
		}
	}
}

func TestDaysThatAreWrongSayWhere(t *testing.T) {
	base := func(more string) string {
		return "(day (length 1s) (site (class r (aim 1s) (deadline 2s)) (plan p (rate 1)))\n" + more + ")"
	}
	for _, c := range []struct{ more, want string }{
		{"(at 1s (slow (nodes 9) (times 2) (for 1s)))", "d:2:1: node 9: there are 0 to 3"},
		{"(at 1s (crash (instances 7)))", "d:2:1: instance 7"},
		{"(at 1s)", "d:2:1: (at …) names 0 troubles; want one"},
		{"(at 1s (list-down (for 1s)) (reconnect (share 1)))", "d:2:1: (at …) names 2 troubles"},
		{"(at 1s (mass-restart (zone x) (back 1s)))", "d:2:1: zone x"},
		{"(traffic (class x) (plan p) (rate 1))", "d:1:1: traffic of class x"},
		{"(traffic (class r) (plan p) (rate 1) (units 3 1))", "d:2:1: (units …) wants"},
		{"(at 1s (surge (plan q) (times 2) (for 1s)))", "d:2:1: plan q"},
	} {
		_, err := ParseScenario("d", []byte(base(c.more)))
		if err == nil || !strings.HasPrefix(err.Error(), c.want) {
			t.Errorf("%s: got %v, want %s", c.more, err, c.want)
		}
	}
}
