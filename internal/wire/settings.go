package wire

import (
	"fmt"
	"strings"

	"landingpaddle/scheduler"
)

// Names of enumerated values in the settings. The index of a name is its value.
var (
	discoveryNames   = []string{"push", "ask"}
	idempotencyNames = []string{"read_like", "idempotency_key", "non_idempotent"}
	dedupScopeNames  = []string{"all", "zone", "cell"}
)

// discoveryPolled is the index in discoveryNames of the mode in which the endpoint list is sent only on
// request.
const discoveryPolled = 1

// ParseSettings parses the path=value lines of an instance's start record. Unknown paths are ignored.
func ParseSettings(info string) (scheduler.Settings, error) {
	reader := &valueReader{values: map[string]string{}}
	for line := range strings.Lines(info) {
		line = strings.TrimRight(line, "\r\n")
		if line == "" {
			continue
		}
		path, value, ok := strings.Cut(line, "=")
		if !ok {
			return scheduler.Settings{}, fmt.Errorf("settings line %q has no '='", line)
		}
		reader.values[path] = value
	}
	settings := reader.settings()
	return settings, reader.err
}

// settings maps all values to the scheduler's settings. Of several invalid values it reports the first in the
// order of this mapping.
func (r *valueReader) settings() scheduler.Settings {
	settings := scheduler.Settings{
		InstanceIndex: r.integer("me"),
		Instances:     r.integer("peers_total"),
		PollEndpoints: r.enum("registry_mode", discoveryNames...) == discoveryPolled,
	}
	r.readLimits(&settings)
	r.readDomain(&settings)
	r.readRules(&settings)
	settings.LoadFields = r.list("report.fields")
	settings.Zone = uint8(r.integer("zone"))
	settings.RetriesMarked = r.bool("callers.marks_retry")
	settings.Classes = r.classes()
	settings.Plans = r.plans()
	return settings
}

func (r *valueReader) readLimits(settings *scheduler.Settings) {
	settings.MaxAttempts = r.integer("limits.attempts_cap")
	settings.HealthChecks = r.bool("limits.probes")
	settings.PeerMessages = r.bool("limits.peers")
	settings.Cancellation = r.bool("limits.cancel")
	settings.HedgedRequests = r.bool("limits.second_copies")
	settings.RetryAfter = r.bool("limits.retry_after")
	settings.MaxRetryAfter = r.duration("limits.max_retry_after_ns")
	settings.ConnectTimeout = r.duration("limits.dial_timeout_ns")
	settings.BatchInterval = r.duration("round_ns")
}

func (r *valueReader) readDomain(settings *scheduler.Settings) {
	settings.MeanUnits = r.number("domain.mean_units")
	settings.MaxUnits = r.number("domain.most_units")
	settings.ColdCapacity = r.number("domain.cold_bears")
	settings.MeterPeriod = r.duration("domain.metering_ns")
	settings.ShareWeight = r.number("domain.fair_worth")
	settings.SpareWeight = r.number("domain.beyond_share")
	settings.ReportsElsewhere = r.bool("domain.tells_elsewhere")
}

// readRules reads the values under rules. The retry budget is enabled if its window is given, whatever its
// value.
func (r *valueReader) readRules(settings *scheduler.Settings) {
	settings.PollTimeout = r.duration("rules.ask_within_ns")
	settings.ColdFraction = r.number("rules.cold_share")
	settings.SlowStartPeriod = r.duration("rules.ramp_time_ns")
	settings.OverloadWindow = r.duration("rules.tip_after_ns")
	settings.OverloadFactor = r.number("rules.fall_multiple")
	settings.DrainGrace = r.duration("rules.drain_grace_ns")
	settings.OrderingPause = r.duration("rules.order_pause_ns")
	_, settings.RetryBudget = r.values["rules.look_back_ns"]
	settings.RetryBudgetFloor = r.number("rules.extra_floor")
	settings.RetryBudgetRatio = r.number("rules.further_ratio")
	settings.RetryBudgetWindow = r.duration("rules.look_back_ns")
}

func (r *valueReader) classes() []scheduler.Class {
	var classes []scheduler.Class
	writes := r.list("domain.class_writes")
	for i := range r.count("classes.count") {
		class := r.class(fmt.Sprintf("classes.%d.", i))
		class.Writes = i < len(writes) && writes[i] == "true"
		classes = append(classes, class)
	}
	return classes
}

func (r *valueReader) plans() []scheduler.Plan {
	var plans []scheduler.Plan
	for i := range r.count("contracts.count") {
		plans = append(plans, r.plan(fmt.Sprintf("contracts.%d.", i)))
	}
	return plans
}

// class reads a class whose paths begin with a prefix.
func (r *valueReader) class(prefix string) scheduler.Class {
	return scheduler.Class{
		LatencyObjective: r.duration(prefix + "on_time_ns"),
		Deadline:         r.duration(prefix + "deadline_ns"),
		Idempotency:      scheduler.Idempotency(r.enum(prefix+"repeat", idempotencyNames...)),
		DedupScope:       scheduler.DedupScope(r.enum(prefix+"group", dedupScopeNames...)),
		DedupWindow:      r.duration(prefix + "window_ns"),
		OrderedByKey:     r.bool(prefix + "fifo_by_key"),
		PriorityWeight:   r.number(prefix + "worth"),
		LateFraction:     r.number(prefix + "late_worth"),
	}
}

// plan reads a plan whose paths begin with a prefix.
func (r *valueReader) plan(prefix string) scheduler.Plan {
	return scheduler.Plan{
		Rate:           r.number(prefix + "base_rate"),
		Reserve:        r.number(prefix + "reservation"),
		Weight:         r.number(prefix + "proportion"),
		Limit:          r.number(prefix + "never_over"),
		Burst:          r.number(prefix + "most_at_once"),
		LimitSlack:     r.number(prefix + "limit_slack"),
		PriorityWeight: r.number(prefix + "worth_factor"),
	}
}
