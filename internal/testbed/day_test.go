package testbed

import (
	"context"
	"testing"
)

func TestBadDayKeepsTheRules(t *testing.T) {
	day, err := FaultScenario()
	if err != nil {
		t.Fatal(err)
	}
	p, err := RunScenario(context.Background(), &day, Options{Seed: 1, Dir: t.TempDir()})
	if err != nil {
		t.Fatal(err)
	}
	for _, v := range CheckInvariants(&day.Site, p.Events) {
		t.Logf("%+v", v)
		if !v.Holds || v.Judged == 0 && v.Rule != RuleBudget {
			t.Errorf("%s: %s", v.Rule, v.FirstViolation)
		}
	}
	t.Logf("%+v", Summarize(&day.Site, p))
}
