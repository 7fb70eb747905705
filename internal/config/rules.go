package config

import (
	"errors"
	"fmt"
	"time"

	"landingpaddle/scheduler"
)

// RetryBudget limits an instance's retries to floor + ratio × requests within a window: (budget …).
type RetryBudget struct {
	Floor  float64       `s:"floor" min:"0"`
	Ratio  float64       `s:"ratio" min:"0"`
	Window time.Duration `s:"window,required" min:"1ms" max:"10m"`
}

// Rules are the parameters of the rules that a fleet must keep: (rules …). The invariant checker of package
// testbed verifies these rules.
//
// AnswerSlack is the time by which an answer may exceed the client's timeout, DrainGrace the time in which
// attempts may still be sent to a node after the notification of its drain or removal. The other fields have
// the meanings of those of scheduler.Settings.
type Rules struct {
	AnswerSlack     time.Duration `s:"answer-slack" min:"0s" max:"10s"`
	DrainGrace      time.Duration `s:"drain-grace" min:"0s" max:"1m"`
	ColdFraction    float64       `s:"cold-share" min:"0" max:"1"`
	ColdCapacity    float64       `s:"cold-units" min:"0"`
	SlowStartPeriod time.Duration `s:"ramp" min:"0s" max:"1h"`
	OverloadWindow  time.Duration `s:"fall-window" min:"0s" max:"10m"`
	OverloadFactor  float64       `s:"fall-multiple" min:"0"`
	OrderingPause   time.Duration `s:"order-pause" min:"0s" max:"1m"`
	PollTimeout     time.Duration `s:"ask-within" min:"0s" max:"1h"`
	RetryBudget     *RetryBudget  `s:"budget"` // nil: retries are not limited
}

func defaultRules() Rules {
	return Rules{
		AnswerSlack: 50 * time.Millisecond,
		DrainGrace:  time.Second,
	}
}

// checkRetryBudget reports a budget that allows no retry although the site allows several attempts.
func (r *Rules) checkRetryBudget(maxAttempts int) error {
	if r.RetryBudget == nil || maxAttempts <= 1 {
		return nil
	}
	if r.RetryBudget.Floor+r.RetryBudget.Ratio == 0 {
		return errors.New("a retry budget of 0 allows no retry; it requires (attempts 1)")
	}
	return nil
}

// checkSlowStart reports a slow start whose parameters are missing or out of range.
func (r *Rules) checkSlowStart() error {
	if r.SlowStartPeriod <= 0 {
		return nil
	}
	if r.ColdCapacity <= 0 || r.OverloadWindow <= 0 || r.OverloadFactor <= 1 {
		return fmt.Errorf("slow start (ramp %v) requires cold-units, fall-window and fall-multiple above 1",
			r.SlowStartPeriod)
	}
	return nil
}

// applyTo copies the rules that are also settings of the scheduler.
func (r *Rules) applyTo(settings *scheduler.Settings) {
	settings.ColdCapacity = r.ColdCapacity
	settings.ColdFraction = r.ColdFraction
	settings.SlowStartPeriod = r.SlowStartPeriod
	settings.OverloadWindow = r.OverloadWindow
	settings.OverloadFactor = r.OverloadFactor
	settings.DrainGrace = r.DrainGrace
	settings.OrderingPause = r.OrderingPause
	settings.PollTimeout = r.PollTimeout
	if budget := r.RetryBudget; budget != nil {
		settings.RetryBudget = true
		settings.RetryBudgetFloor = budget.Floor
		settings.RetryBudgetRatio = budget.Ratio
		settings.RetryBudgetWindow = budget.Window
	}
}
