package testbed

import (
	"context"
	"fmt"
	"time"

	"landingpaddle/internal/config"
)

// allPlans represents the traffic of all plans. Site.PlanNumber returns it for the plan name "".
const allPlans = -1

// Surge multiplies the traffic of one plan, or of its first volumes.
type Surge struct {
	Plan     string        `s:"plan"`                         // "": all
	Volumes  int           `s:"volumes" min:"0" max:"100000"` // 0: all
	Factor   float64       `s:"times,required" min:"0" max:"1000"`
	Duration time.Duration `s:"for,required" min:"1ms" max:"10m"`
}

func (f *Surge) check(scenario *Scenario) error { return checkPlan(&scenario.Site, f.Plan) }

func (f *Surge) inject(_, _ context.Context, runner *scenarioRunner) {
	runner.changes.addSurge(f, runner.scenario.Site.PlanNumber(f.Plan))
}

// Burst multiplies the traffic of all plans, or of the first volumes of each. Its plan is ignored.
type Burst Surge

func (f *Burst) check(scenario *Scenario) error { return checkPlan(&scenario.Site, f.Plan) }

func (f *Burst) inject(_, _ context.Context, runner *scenarioRunner) {
	runner.changes.addSurge((*Surge)(f), allPlans)
}

func checkPlan(site *config.Site, plan string) error {
	if plan != "" && site.PlanNumber(plan) < 0 {
		return fmt.Errorf("plan %s is not in the site", plan)
	}
	return nil
}

// HeavyRequests multiplies the work of a share of requests by a factor.
type HeavyRequests struct {
	Share    float64       `s:"share,required" min:"0" max:"1"`
	Factor   int           `s:"times,required" min:"1" max:"1000"`
	Duration time.Duration `s:"for,required" min:"1ms" max:"10m"`
}

func (f *HeavyRequests) check(*Scenario) error { return nil }

func (f *HeavyRequests) inject(_, _ context.Context, runner *scenarioRunner) {
	runner.changes.addHeavy(f)
}

// ImpatientClients limits the time for which clients wait for the answers to a share of requests.
type ImpatientClients struct {
	Share    float64       `s:"share,required" min:"0" max:"1"`
	Wait     time.Duration `s:"wait,required" min:"1ms" max:"10m"`
	Duration time.Duration `s:"for,required" min:"1ms" max:"10m"`
}

func (f *ImpatientClients) check(*Scenario) error { return nil }

func (f *ImpatientClients) inject(_, _ context.Context, runner *scenarioRunner) {
	runner.changes.addImpatient(f)
}

// Reconnect changes the busiest instance of a share of volumes, and simultaneously makes the same share of
// clients reconnect.
type Reconnect struct {
	Share float64 `s:"share,required" min:"0" max:"1"`
}

func (f *Reconnect) check(*Scenario) error { return nil }

func (f *Reconnect) inject(_, _ context.Context, runner *scenarioRunner) {
	runner.changes.rotateInstances(runner.scenario, f.Share)
	for _, client := range runner.clients[:int(f.Share*float64(len(runner.clients)))] {
		client.Reconnect()
	}
}
