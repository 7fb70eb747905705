package testbed

import (
	"context"
	"strings"
	"testing"

	"landingpaddle/internal/daemon"
)

// ruleScenario is a scenario that tests one rule: the scheduler must keep it, and the mutant must break it.
type ruleScenario struct {
	rule     string
	scenario *Scenario
	mutant   daemon.Hooks
}

// ruleScenarios returns a scenario for each rule except that of the bytes: no mutant changes bytes, so
// TestBytes_AreCorrectDespiteFaults changes logged events instead.
func ruleScenarios(t *testing.T) []ruleScenario {
	t.Helper()
	return []ruleScenario{
		{RuleAnswers, smallScenario(t, readClass, "", readTraffic), AnswerTwice()},
		{RuleEffects, smallScenario(t, strings.Replace(writeClass, "(in-order)", "", 1), "",
			`(traffic (class write) (plan free) (rate 400) (volumes 4) (units 1 4) (new-objects))`+
				connectionResets),
			Baseline(func(g *Greedy) { g.RetriesInOtherZone = true })},
		{RuleDrains, smallScenario(t, readClass, "", readTraffic+`(at 500ms (drain (nodes 1)))`),
			Baseline(func(g *Greedy) { g.SendsToDraining = true })},
		{RuleCold, smallScenario(t, readClass, `(cold-share 0.05) (cold-units 20) (ramp 4s)
			(fall-window 500ms) (fall-multiple 2)`, readTraffic+`(at 500ms (kill-node (nodes 0) (back 300ms)))
			(at 600ms (burst (times 4) (for 2s)))`), Baseline(nil)},
		{RuleOrder, smallScenario(t, writeClass, `(order-pause 50ms)`,
			`(traffic (class write) (plan free) (rate 200) (volumes 2) (units 1 4) (keys 3))`),
			Baseline(nil)},
		{RuleBudget, smallScenario(t, readClass, `(budget (floor 2) (ratio 0.001) (window 2s))`,
			strings.Replace(readTraffic, "150", "500", 1)+connectionResets),
			Baseline(func(g *Greedy) { g.IgnoresRetryBudget = true })},
		{RuleLimits, smallScenario(t, readClass, "",
			`(traffic (class read) (plan tight) (rate 150) (volumes 2) (units 1 4) (writers 2))`),
			Baseline(nil)},
	}
}

// In each rule's scenario the scheduler keeps all rules, and a mutant breaks the rule: the greedy baseline,
// with or without a fault, or an instance that answers twice. The checker must detect the mutant by that
// rule.
func TestInvariants_DetectAMutantOfEachRule(t *testing.T) {
	for _, c := range ruleScenarios(t) {
		t.Run(c.rule, func(t *testing.T) {
			t.Parallel()
			for _, isMutant := range []bool{false, true} {
				options := Options{Seed: 5, Dir: t.TempDir()}
				if isMutant {
					options.Hooks = c.mutant
				}
				recording, err := RunScenario(context.Background(), c.scenario, options)
				if err != nil {
					t.Fatal(err)
				}
				for _, verdict := range CheckInvariants(&c.scenario.Site, recording.Events) {
					checkRuleVerdict(t, verdict, c.rule, isMutant)
				}
			}
		})
	}
}

// checkRuleVerdict checks a verdict of a run of one rule's scenario.
func checkRuleVerdict(t *testing.T, verdict Verdict, rule string, isMutant bool) {
	t.Helper()
	isRule := verdict.Rule == rule
	switch {
	case isRule && verdict.Checked == 0:
		t.Errorf("mutant %v: the rule was not checked for any request or event", isMutant)
	case !isMutant && !verdict.Holds:
		t.Errorf("the scheduler breaks %s: %s", verdict.Rule, verdict.FirstViolation)
	case isMutant && isRule && verdict.Holds:
		t.Errorf("the mutant is not detected in %d checks of the rule", verdict.Checked)
	case isMutant && isRule && !strings.Contains(verdict.FirstViolation, "request"):
		t.Errorf("the first violation does not name a request: %s", verdict.FirstViolation)
	}
}
