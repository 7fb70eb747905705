package testbed

import (
	"context"
	"time"
)

// StaleRegistry delays the registry's publication of changes.
type StaleRegistry struct {
	Delay    time.Duration `s:"delay,required" min:"0s" max:"1m"`
	Duration time.Duration `s:"for,required" min:"1ms" max:"10m"`
}

func (f *StaleRegistry) check(*Scenario) error { return nil }

func (f *StaleRegistry) inject(_, traffic context.Context, runner *scenarioRunner) {
	runner.registry.SetDelay(f.Delay)
	sleep(traffic, f.Duration)
	runner.registry.SetDelay(runner.scenario.Registry.Delay)
}

// RegistryDown makes the registry unavailable.
type RegistryDown struct {
	Duration time.Duration `s:"for,required" min:"1ms" max:"10m"`
}

func (f *RegistryDown) check(*Scenario) error { return nil }

func (f *RegistryDown) inject(_, traffic context.Context, runner *scenarioRunner) {
	runner.registry.SetDown(true)
	sleep(traffic, f.Duration)
	runner.registry.SetDown(false)
}
