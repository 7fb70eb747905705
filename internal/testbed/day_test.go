package testbed

import (
	"context"
	"testing"
)

func TestBadDayKeepsTheRules(t *testing.T) {
	day, err := BadDay()
	if err != nil {
		t.Fatal(err)
	}
	p, err := Play(context.Background(), &day, Options{Seed: 1, Dir: t.TempDir()})
	if err != nil {
		t.Fatal(err)
	}
	for _, v := range Audit(&day.Site, p.Events) {
		t.Logf("%+v", v)
		if !v.Kept || v.Judged == 0 && v.Rule != RuleBudget {
			t.Errorf("%s: %s", v.Rule, v.First)
		}
	}
	t.Logf("%+v", WorthOf(&day.Site, p))
}
