package config

import (
	"testing"
	"time"

	"landingpaddle/scheduler"
)

// siteForm is a site that sets most of its fields.
const siteForm = `(site (zones a b) (ask) (mean-units 3) (most-units 9) (load lat_ms)
  (class r (aim 100ms) (deadline 1s))
  (class w (aim 200ms) (deadline 2s) (repeat keyed) (group zone) (window 5s) (in-order) (writes)
    (worth 3) (late 0.2))
  (plan p (rate 5) (reserve 2) (weight 2) (limit 10) (burst 20) (slack 3) (worth 1.5))
  (share-worth 0.35) (spare-worth 0.1) (retries-known) (elsewhere)
  (limits (retry-after no) (second-copies) (probes) (peers no))
  (rules (cold-share 0.2) (cold-units 50) (ramp 10s) (fall-window 2s) (fall-multiple 2) (order-pause 50ms)
    (budget (floor 3) (ratio 0.1) (window 4s))))`

func TestSite_PassesAllSettingsToTheScheduler(t *testing.T) {
	instance, err := loadInstance(t,
		"(instance (number 1) (of 4) (zone b) (listen 127.0.0.1:1) (list 127.0.0.1:2)\n"+siteForm+")")
	if err != nil {
		t.Fatal(err)
	}
	zone := uint8(instance.Site.Zone(instance.Zone))
	settings := instance.Site.SchedulerSettings(instance.Number, instance.Instances, zone, true)
	if settings.InstanceIndex != 1 || settings.Instances != 4 || settings.Zone != 1 ||
		!settings.PollEndpoints || !settings.PeerMessages ||
		settings.MeanUnits != 3 || settings.MaxUnits != 9 || len(settings.LoadFields) != 1 ||
		settings.ColdFraction != 0.2 || settings.ColdCapacity != 50 ||
		settings.SlowStartPeriod != 10*time.Second ||
		settings.OverloadWindow != 2*time.Second || settings.OverloadFactor != 2 ||
		settings.OrderingPause != 50*time.Millisecond ||
		!settings.RetryBudget || settings.RetryBudgetFloor != 3 || settings.RetryBudgetRatio != 0.1 ||
		settings.RetryBudgetWindow != 4*time.Second {
		t.Errorf("got settings %+v, want the values of siteForm", settings)
	}
	plan := settings.Plans[0]
	if settings.RetryAfter || !settings.HedgedRequests || !settings.HealthChecks ||
		settings.ShareWeight != 0.35 || settings.SpareWeight != 0.1 ||
		!settings.RetriesMarked || !settings.ReportsElsewhere ||
		plan.PriorityWeight != 1.5 {
		t.Errorf("got settings %+v, want the limits and weights of siteForm", settings)
	}
	class := settings.Classes[1]
	if class.Idempotency != scheduler.IdempotentByKey || class.DedupScope != scheduler.DedupZone ||
		class.DedupWindow != 5*time.Second || !class.OrderedByKey || !class.Writes ||
		class.PriorityWeight != 3 || class.LateFraction != 0.2 ||
		class.LatencyObjective != 200*time.Millisecond {
		t.Errorf("got class %+v, want the values of class w", class)
	}
	if plan.Rate != 5 || plan.Reserve != 2 || plan.Weight != 2 || plan.Limit != 10 || plan.Burst != 20 ||
		plan.LimitSlack != 3 {
		t.Errorf("got plan %+v, want the values of plan p", plan)
	}
}

// A site that does not set weights, Retry-After, a retry budget and peer messages keeps the behaviour from
// before these settings existed: equal weights, Retry-After is sent, retries are not limited by a budget, and
// instances may send messages to one another.
func TestSite_DefaultWeightsRetriesAndPeerMessages(t *testing.T) {
	instance, err := loadInstance(t, "(instance (listen 127.0.0.1:1) (list 127.0.0.1:2)\n"+
		"(site (class r (aim 1s) (deadline 2s)) (class w (aim 1s) (deadline 2s))\n"+
		"(plan p (rate 1)) (plan q (rate 2))))")
	if err != nil {
		t.Fatal(err)
	}
	settings := instance.Site.SchedulerSettings(0, 1, 0, false)
	if settings.ShareWeight != 1 ||
		settings.Classes[0].PriorityWeight != settings.Classes[1].PriorityWeight ||
		settings.Plans[0].PriorityWeight != settings.Plans[1].PriorityWeight ||
		!settings.RetryAfter || settings.RetryBudget ||
		!instance.Site.Limits.PeerMessages {
		t.Errorf("got %+v, want equal weights, Retry-After, no retry budget and peer messages", settings)
	}
}
