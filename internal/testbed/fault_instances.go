package testbed

import (
	"context"
	"time"
)

// Crash kills instances. They restart with only their snapshots of the endpoint list.
type Crash struct {
	Instances    []int         `s:"instances,required"`
	RestartAfter time.Duration `s:"back" min:"1ms" max:"10m"` // 0: never
}

func (f *Crash) check(scenario *Scenario) error { return checkInstances(scenario, f.Instances) }

func (f *Crash) inject(ctx, traffic context.Context, runner *scenarioRunner) {
	for _, number := range f.Instances {
		runner.group.Go(func() error {
			runner.crashInstance(ctx, traffic, number, f.RestartAfter)
			return nil
		})
	}
}

// RollingRestart restarts all instances, one after the other.
type RollingRestart struct {
	Every        time.Duration `s:"every,required" min:"1ms" max:"10m"` // from one restart to the next kill
	RestartAfter time.Duration `s:"back,required" min:"1ms" max:"10m"`
}

func (f *RollingRestart) check(*Scenario) error { return nil }

func (f *RollingRestart) inject(ctx, traffic context.Context, runner *scenarioRunner) {
	for number := range runner.instances {
		runner.crashInstance(ctx, traffic, number, f.RestartAfter)
		if !sleep(traffic, f.Every) {
			return
		}
	}
}

// Stall suspends instances for a duration; they keep their state.
type Stall struct {
	Instances []int         `s:"instances,required"`
	Duration  time.Duration `s:"for,required" min:"1ms" max:"1m"`
}

func (f *Stall) check(scenario *Scenario) error { return checkInstances(scenario, f.Instances) }

func (f *Stall) inject(_, _ context.Context, runner *scenarioRunner) {
	for _, number := range f.Instances {
		runner.log.Add(Event{Kind: KindInstanceStalled, Instance: number, Wait: int64(f.Duration)})
		runner.instances[number].stall.start(f.Duration)
	}
}
