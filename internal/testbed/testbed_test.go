package testbed

import (
	"context"
	"fmt"
	"testing"

	"go.uber.org/goleak"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// Forms for scenarios.
const (
	readClass  = `(class read (aim 400ms) (deadline 1s) (repeat safe))`
	writeClass = `(class write (aim 400ms) (deadline 1s) (repeat keyed) (group cell) (window 5s) (in-order)
		(writes))`
	connectionResets = `(at 500ms (reset (nodes 0 1 2))) (at 800ms (reset (nodes 0 1 2)))
		(at 1100ms (reset (nodes 0 1 2))) (at 1400ms (reset (nodes 0 1 2)))`
	readTraffic = `(traffic (class read) (plan free) (rate 150) (volumes 4) (units 1 4) (writers 2))`
)

// smallScenario returns a short scenario with the given forms: classes are added to the site, rules to the
// site's rules, and more to the scenario.
func smallScenario(t *testing.T, classes, rules, more string) *Scenario {
	t.Helper()
	scenario, err := ParseScenario("small.lisp", fmt.Appendf(nil, `(day (length 3s) (instances 2)
  (nodes 3 (kind (cores 2) (queue 64) (per-unit 2ms) (cancel-drops) (cancel-stops) (drain-notices)))
  (list (delay 50ms)) (clients 6 (retries 0))
  (site (zones a b c) (mean-units 2) (most-units 4) %s
    (plan free (rate 50)) (plan tight (rate 20) (limit 40) (burst 40) (slack 8))
    (rules (drain-grace 300ms) %s) (limits (attempts 3) (connect-timeout 250ms)))
  %s)`, classes, rules, more))
	if err != nil {
		t.Fatal(err)
	}
	return &scenario
}

// runKeepingRules runs a scenario, checks that every rule is kept and returns the events.
func runKeepingRules(t *testing.T, scenario *Scenario) []Event {
	t.Helper()
	recording, err := RunScenario(context.Background(), scenario, Options{Seed: 3, Dir: t.TempDir()})
	if err != nil {
		t.Fatal(err)
	}
	for _, verdict := range CheckInvariants(&scenario.Site, recording.Events) {
		if !verdict.Holds {
			t.Errorf("%s: %s", verdict.Rule, verdict.FirstViolation)
		}
	}
	return recording.Events
}
