package main

import (
	"fmt"
	"io"
	"strconv"
	"time"

	"landingpaddle/internal/config"
	"landingpaddle/internal/daemon"
	"landingpaddle/internal/testbed"
)

type sweepCommand struct {
	File    string   `arg:"" type:"existingfile" help:"Scenario file whose site has (extents …)."`
	Bound   string   `enum:"members,largest,window" default:"members" help:"members, largest or window."`
	Values  []string `required:"" help:"Values of the bound, such as 1,4,16 or 64KiB,1MiB or 0s,5ms."`
	Seed    uint64   `default:"1" help:"Seed of traffic, nodes and instances, the same for each value."`
	SVG     string   `help:"Write a plot to this file."`
	Verbose bool     `help:"Show the instances' logs."`
}

// The bounds on merging: the values of sweepCommand.Bound.
const (
	boundMembers = "members"
	boundLargest = "largest"
	boundWindow  = "window"
)

// sweepPoint is the result of a scenario with one value of a bound.
type sweepPoint struct {
	value   string
	summary testbed.Summary
}

// Run runs the scenario once for each value of one bound on merging and prints a line for each; a violated
// invariant is an error.
func (c *sweepCommand) Run(out io.Writer) error {
	var points []sweepPoint
	name := ""
	fmt.Fprintf(out, "%-10s %8s %8s %8s %12s %8s %8s\n", c.Bound, "worth", "served", "ops", "ops/served",
		"p50 ms", "p99 ms")
	for _, value := range c.Values {
		scenario, err := testbed.ReadScenario(c.File)
		if err != nil {
			return err
		}
		name = scenario.Name
		summary, err := c.runWithValue(&scenario, value)
		if err != nil {
			return err
		}
		fmt.Fprintf(out, "%-10s %8.3f %8d %8d %12.2f %8.0f %8.0f\n", value, summary.EarnedShare,
			summary.Served(), summary.Operations, summary.OperationsPerServed(), summary.P50, summary.P99)
		points = append(points, sweepPoint{value, summary})
	}
	if c.SVG == "" {
		return nil
	}
	return plotSweep(c.SVG, name, c.Bound, points)
}

// runWithValue runs a scenario with one value of the bound.
func (c *sweepCommand) runWithValue(scenario *testbed.Scenario, value string) (testbed.Summary, error) {
	if err := checkMergingEnabled(scenario); err != nil {
		return testbed.Summary{}, err
	}
	if err := setBound(scenario.Site.Extents, c.Bound, value); err != nil {
		return testbed.Summary{}, err
	}
	run := scenarioRun{seed: c.Seed, verbose: c.Verbose}
	recording, err := run.record(scenario, daemon.Hooks{})
	if err != nil {
		return testbed.Summary{}, err
	}
	for _, verdict := range testbed.CheckInvariants(&scenario.Site, recording.Events) {
		if !verdict.Holds {
			return testbed.Summary{}, fmt.Errorf("%s %s: invariant %s violated: %s", c.Bound, value,
				verdict.Rule, verdict.FirstViolation)
		}
	}
	return testbed.Summarize(&scenario.Site, recording), nil
}

// setBound sets a bound in the settings to a value and checks the settings.
func setBound(extents *config.Extents, bound, value string) (err error) {
	switch bound {
	case boundMembers:
		extents.MaxMembers, err = strconv.Atoi(value)
		extents.MergingDisabled = extents.MaxMembers == 1
	case boundLargest:
		err = extents.MaxOperation.UnmarshalText([]byte(value))
	case boundWindow:
		extents.Window, err = time.ParseDuration(value)
	}
	if err != nil {
		return fmt.Errorf("%s %q: %w", bound, value, err)
	}
	return extents.Check()
}
