package wire

import (
	"fmt"
	"math"
	"strconv"
	"strings"
	"time"

	"landingpaddle/scheduler"
)

// maxList bounds a list in the settings: a class's or a plan's number must fit in a byte or so on the wire.
const maxList = 4096

// ParseSettings reads the path=value lines of a first message. Keys that it does not know are skipped.
func ParseSettings(info string) (scheduler.Settings, error) {
	p := &parser{vals: map[string]string{}}
	for line := range strings.Lines(info) {
		line = strings.TrimRight(line, "\r\n")
		if line == "" {
			continue
		}
		key, val, ok := strings.Cut(line, "=")
		if !ok {
			return scheduler.Settings{}, fmt.Errorf("settings line %q has no '='", line)
		}
		p.vals[key] = val
	}
	s := p.settings()
	return s, p.err
}

// parser looks keys up and converts them; the first failure sticks, a missing key is zero.
type parser struct {
	vals map[string]string
	err  error
}

func (p *parser) fail(key string) {
	if p.err == nil {
		p.err = fmt.Errorf("bad settings value %s=%q", key, p.vals[key])
	}
}

func (p *parser) num(key string) float64 {
	text, ok := p.vals[key]
	if !ok {
		return 0
	}
	v, err := strconv.ParseFloat(text, 64)
	if err != nil || math.IsNaN(v) || math.IsInf(v, 0) {
		p.fail(key)
		return 0
	}
	return v
}

func (p *parser) whole(key string) int {
	v := p.num(key)
	if v != math.Trunc(v) || math.Abs(v) > math.MaxInt32 {
		p.fail(key)
		return 0
	}
	return int(v)
}

func (p *parser) count(key string) int {
	n := p.whole(key)
	if n < 0 || n > maxList {
		p.fail(key)
		return 0
	}
	return n
}

func (p *parser) span(key string) time.Duration {
	v := p.num(key)
	if v < 0 || v >= math.MaxInt64 {
		p.fail(key)
		return 0
	}
	return time.Duration(v)
}

func (p *parser) flag(key string) bool {
	switch p.vals[key] {
	case "true":
		return true
	case "false", "":
		return false
	}
	p.fail(key)
	return false
}

// word turns one of the named values into its place among them; a missing key is the first.
func (p *parser) word(key string, names ...string) int {
	text, ok := p.vals[key]
	if !ok {
		return 0
	}
	for i, n := range names {
		if n == text {
			return i
		}
	}
	p.fail(key)
	return 0
}

func (p *parser) list(key string) []string {
	if p.vals[key] == "" {
		return nil
	}
	return strings.Split(p.vals[key], ",")
}

func (p *parser) settings() scheduler.Settings {
	_, budget := p.vals["rules.look_back_ns"]
	s := scheduler.Settings{
		InstanceIndex:     p.whole("me"),
		Instances:         p.whole("peers_total"),
		PollEndpoints:     p.word("registry_mode", "push", "ask") == 1,
		MaxAttempts:       p.whole("limits.attempts_cap"),
		HealthChecks:      p.flag("limits.probes"),
		PeerMessages:      p.flag("limits.peers"),
		Cancellation:      p.flag("limits.cancel"),
		HedgedRequests:    p.flag("limits.second_copies"),
		RetryAfter:        p.flag("limits.retry_after"),
		MaxRetryAfter:     p.span("limits.max_retry_after_ns"),
		ConnectTimeout:    p.span("limits.dial_timeout_ns"),
		BatchInterval:     p.span("round_ns"),
		MeanUnits:         p.num("domain.mean_units"),
		MaxUnits:          p.num("domain.most_units"),
		ColdCapacity:      p.num("domain.cold_bears"),
		MeterPeriod:       p.span("domain.metering_ns"),
		ShareWeight:       p.num("domain.fair_worth"),
		SpareWeight:       p.num("domain.beyond_share"),
		ReportsElsewhere:  p.flag("domain.tells_elsewhere"),
		PollTimeout:       p.span("rules.ask_within_ns"),
		ColdFraction:      p.num("rules.cold_share"),
		SlowStartPeriod:   p.span("rules.ramp_time_ns"),
		OverloadWindow:    p.span("rules.tip_after_ns"),
		OverloadFactor:    p.num("rules.fall_multiple"),
		DrainGrace:        p.span("rules.drain_grace_ns"),
		OrderingPause:     p.span("rules.order_pause_ns"),
		RetryBudget:       budget,
		RetryBudgetFloor:  p.num("rules.extra_floor"),
		RetryBudgetRatio:  p.num("rules.further_ratio"),
		RetryBudgetWindow: p.span("rules.look_back_ns"),
		LoadFields:        p.list("report.fields"),
		Zone:              uint8(p.whole("zone")),
		RetriesMarked:     p.flag("callers.marks_retry"),
	}
	writes := p.list("domain.class_writes")
	for i := range p.count("classes.count") {
		c := p.class(fmt.Sprintf("classes.%d.", i))
		c.Writes = i < len(writes) && writes[i] == "true"
		s.Classes = append(s.Classes, c)
	}
	for i := range p.count("contracts.count") {
		s.Plans = append(s.Plans, p.plan(fmt.Sprintf("contracts.%d.", i)))
	}
	return s
}

func (p *parser) class(at string) scheduler.Class {
	return scheduler.Class{
		LatencyObjective: p.span(at + "on_time_ns"),
		Deadline:         p.span(at + "deadline_ns"),
		Idempotency: scheduler.Idempotency(
			p.word(at+"repeat", "read_like", "idempotency_key", "non_idempotent"),
		),
		DedupScope:     scheduler.DedupScope(p.word(at+"group", "all", "zone", "cell")),
		DedupWindow:    p.span(at + "window_ns"),
		OrderedByKey:   p.flag(at + "fifo_by_key"),
		PriorityWeight: p.num(at + "worth"),
		LateFraction:   p.num(at + "late_worth"),
	}
}

func (p *parser) plan(at string) scheduler.Plan {
	return scheduler.Plan{
		Rate:           p.num(at + "base_rate"),
		Reserve:        p.num(at + "reservation"),
		Weight:         p.num(at + "proportion"),
		Limit:          p.num(at + "never_over"),
		Burst:          p.num(at + "most_at_once"),
		LimitSlack:     p.num(at + "limit_slack"),
		PriorityWeight: p.num(at + "worth_factor"),
	}
}
