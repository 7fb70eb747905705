package config

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"landingpaddle/internal/sexpr"
	"landingpaddle/scheduler"
)

const site = `(site (zones a b) (ask) (mean-units 3) (most-units 9) (load lat_ms)
  (class r (aim 100ms) (deadline 1s))
  (class w (aim 200ms) (deadline 2s) (repeat keyed) (group zone) (window 5s) (in-order) (writes)
    (worth 3) (late 0.2))
  (plan p (rate 5) (reserve 2) (weight 2) (limit 10) (burst 20) (slack 3) (worth 1.5))
  (share-worth 0.35) (spare-worth 0.1) (retries-known) (elsewhere)
  (limits (retry-after no) (second-copies) (probes) (peers no))
  (rules (cold-share 0.2) (cold-units 50) (ramp 10s) (fall-window 2s) (fall-multiple 2) (order-pause 50ms)
    (budget (floor 3) (ratio 0.1) (window 4s))))`

func load(t *testing.T, text string) (Instance, error) {
	t.Helper()
	path := filepath.Join(t.TempDir(), "i.lisp")
	if err := os.WriteFile(path, []byte(text), 0o644); err != nil {
		t.Fatal(err)
	}
	i := DefaultInstance()
	err := Load(path, "instance", &i)
	return i, err
}

// All that a site says reaches the module's settings.
func TestSettingsReachTheModule(t *testing.T) {
	i, err := load(t,
		"(instance (number 1) (of 4) (zone b) (listen 127.0.0.1:1) (list 127.0.0.1:2)\n"+site+")")
	if err != nil {
		t.Fatal(err)
	}
	s := i.Site.Scheduler(i.Number, i.Instances, uint8(i.Site.Zone(i.Zone)), true)
	w, p := s.Classes[1], s.Plans[0]
	if s.InstanceIndex != 1 || s.Instances != 4 || s.Zone != 1 || !s.PollEndpoints || !s.PeerMessages ||
		s.MeanUnits != 3 ||
		s.MaxUnits != 9 || len(s.LoadFields) != 1 || s.ColdFraction != 0.2 || s.ColdCapacity != 50 ||
		s.SlowStartPeriod != 10*time.Second ||
		s.OverloadWindow != 2*time.Second || s.OverloadFactor != 2 ||
		s.OrderingPause != 50*time.Millisecond ||
		!s.RetryBudget || s.RetryBudgetFloor != 3 || s.RetryBudgetRatio != 0.1 ||
		s.RetryBudgetWindow != 4*time.Second {
		t.Errorf("settings %+v", s)
	}
	if s.RetryAfter || !s.HedgedRequests || !s.HealthChecks || s.ShareWeight != 0.35 ||
		s.SpareWeight != 0.1 ||
		!s.RetriesMarked || !s.ReportsElsewhere ||
		p.PriorityWeight != 1.5 {
		t.Errorf("settings of the newer build %+v", s)
	}
	if w.Idempotency != scheduler.IdempotentByKey || w.DedupScope != scheduler.DedupZone ||
		w.DedupWindow != 5*time.Second ||
		!w.OrderedByKey ||
		!w.Writes || w.PriorityWeight != 3 ||
		w.LateFraction != 0.2 ||
		w.LatencyObjective != 200*time.Millisecond {
		t.Errorf("class %+v", w)
	}
	if p.Rate != 5 || p.Reserve != 2 || p.Weight != 2 || p.Limit != 10 || p.Burst != 20 || p.LimitSlack != 3 {
		t.Errorf("plan %+v", p)
	}
}

// Settings that say nothing of worths, advice and peers leave what the module did before it read them.
func TestDefaultsLeavePresentBehaviour(t *testing.T) {
	i, err := load(t, "(instance (listen 127.0.0.1:1) (list 127.0.0.1:2)\n"+
		"(site (class r (aim 1s) (deadline 2s)) (class w (aim 1s) (deadline 2s))\n"+
		"(plan p (rate 1)) (plan q (rate 2))))")
	if err != nil {
		t.Fatal(err)
	}
	s := i.Site.Scheduler(0, 1, 0, false)
	if s.ShareWeight != 1 || s.Classes[0].PriorityWeight != s.Classes[1].PriorityWeight ||
		s.Plans[0].PriorityWeight != s.Plans[1].PriorityWeight || !s.RetryAfter || s.RetryBudget ||
		!i.Site.Limits.PeerMessages {
		t.Errorf("settings %+v", s)
	}
}

// What is printed as in force reads back to the same.
func TestSettingsInForceReadBack(t *testing.T) {
	i, err := load(t, "(instance (listen 127.0.0.1:1) (list 127.0.0.1:2) (learnt \"x\")\n"+site+")")
	if err != nil {
		t.Fatal(err)
	}
	text := sexpr.Print("instance", i)
	again, err := load(t, text)
	if err != nil || sexpr.Print("instance", again) != sexpr.Print("instance", i) {
		t.Errorf("%v\n%s", err, text)
	}
}

func TestBadSettings(t *testing.T) {
	in := func(more string) string {
		return "(instance (listen 127.0.0.1:1) (list 127.0.0.1:2)" + more + ")"
	}
	ok := "\n(site (class r (aim 1s) (deadline 2s)) (plan p (rate 1)))"
	for _, c := range []struct{ text, want string }{
		{"(instance)", "i.lisp:1:1: (instance …) lacks its (listen …)"},
		{in(ok + "(number 3)"), "i.lisp:1:1: instance number 3 of 1"},
		{in(ok + "(zone x)"), "i.lisp:1:1: zone x is none of [a]"},
		{in(ok + "(peer 1 127.0.0.1:1) (peer 1 127.0.0.1:2)"), "i.lisp:1:1: peer 1 stands twice"},
		{in(ok + "\n(peer 1 localhost)"), "i.lisp:3:9: \"localhost\" is no IPv4 address"},
		{in("\n(site (plan p (rate 1)))"), "i.lisp:2:1: a site has at least one (class …)"},
		{in("\n(site (class r (aim 2s) (deadline 1s)) (plan p (rate 1)))"),
			"i.lisp:2:7: class r: aim 2s is after"},
		{in("\n(site (class r (aim 1s) (deadline 1s) (repeat keyed)) (plan p (rate 1)))"),
			"i.lisp:2:7: class r is keyed"},
		{in("\n(site (class r (aim 1s) (deadline 1s) (repeat odd)) (plan p (rate 1)))"),
			"i.lisp:2:47: found \"odd\""},
		{in("\n(site (class r (aim 1s) (deadline 1s)) (plan p (rate 1) (limit 2)))"),
			"i.lisp:2:40: plan p has a limit"},
		{in("\n(site (class r (aim 1s) (deadline 1s)) (class r (aim 1s) (deadline 1s)) (plan p (rate 1)))"),
			"i.lisp:2:1: class r stands twice"},
		{in("\n(site (class r (aim 1s) (deadline 1s)) (plan p (rate 1)) (rules (ramp 5s)))"),
			"i.lisp:2:1: nodes that start cold"},
		{in("\n(site (class r (aim 1s) (deadline 1s) (repeat unsafe) (window 1s)) (plan p (rate 1)))"),
			"i.lisp:2:7: class r is unsafe; only a keyed class has a (window …)"},
		{in("\n(site (class r (aim 1s) (deadline 1s)) (plan p (rate 1))\n" +
			"(share-worth 0.3) (spare-worth 0.4))"),
			"i.lisp:2:1: spare-worth 0.4 is over share-worth 0.3"},
		{in("\n(site (share-worth 2) (class r (aim 1s) (deadline 1s)) (plan p (rate 1)))"), "i.lisp:2:"},
		{in("\n(site (class r (aim 1s) (deadline 1s)) (plan p (rate 1)) (rules (budget (window 5s))))"),
			"i.lisp:2:1: a budget of nothing"},
		{in(" (peer-listen 127.0.0.1:3)\n" +
			"(site (class r (aim 1s) (deadline 1s)) (plan p (rate 1)) (limits (peers no)))"),
			"i.lisp:1:1: the site has (peers no)"},
		{in(ok + "(learnt /x) (kept-list /x)"),
			"i.lisp:1:1: (learnt …) and (kept-list …) name the same file /x"},
	} {
		_, err := load(t, c.text)
		if err == nil || !strings.Contains(err.Error(), c.want) {
			t.Errorf("%s\n got %v\nwant %s", c.text, err, c.want)
		}
	}
}

func FuzzSettings(f *testing.F) {
	f.Add([]byte("(instance (listen 127.0.0.1:1) (list 127.0.0.1:2)\n" + site + ")"))
	f.Fuzz(func(t *testing.T, data []byte) {
		nodes, err := sexpr.Parse("f", data)
		if err != nil {
			return
		}
		i := DefaultInstance()
		if err := sexpr.DecodeOne(nodes, "f", "instance", &i); err != nil {
			if !strings.HasPrefix(err.Error(), "f:") {
				t.Fatalf("no place in %v", err)
			}
			return
		}
		i.Site.Scheduler(i.Number, i.Instances, uint8(i.Site.Zone(i.Zone)), false)
	})
}
