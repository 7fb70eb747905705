package config

import (
	"fmt"

	"landingpaddle/scheduler"
)

// Plan is a service plan: (plan …). Its fields have the meanings of those of scheduler.Plan; a Weight or
// PriorityWeight of 0 is replaced with 1 when the site is checked. Rates are in units per second over all
// instances and nodes.
type Plan struct {
	Name           string  `s:",arg"`
	Rate           float64 `s:"rate,required" min:"0"`
	Reserve        float64 `s:"reserve" min:"0"`
	Weight         float64 `s:"weight" min:"0"`
	Limit          float64 `s:"limit" min:"0"`
	Burst          float64 `s:"burst" min:"0"` // units
	LimitSlack     float64 `s:"slack" min:"0"`
	PriorityWeight float64 `s:"worth" min:"0"`
}

// Check reports fields that contradict one another.
func (p *Plan) Check() error {
	if p.Limit > 0 && p.Burst <= 0 {
		return fmt.Errorf("plan %s has a limit; it requires (burst …), the units that its bucket holds",
			p.Name)
	}
	return nil
}

// schedulerPlan converts the plan into a scheduler.Plan.
func (p *Plan) schedulerPlan() scheduler.Plan {
	return scheduler.Plan{
		Rate:           p.Rate,
		Reserve:        p.Reserve,
		Weight:         p.Weight,
		Limit:          p.Limit,
		Burst:          p.Burst,
		LimitSlack:     p.LimitSlack,
		PriorityWeight: p.PriorityWeight,
	}
}
