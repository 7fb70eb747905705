package main

import (
	"fmt"
	"io"
	"os"

	"landingpaddle/internal/daemon"
	"landingpaddle/internal/testbed"
)

// scenarioCommand is the sub-command day, with the alias scenario.
type scenarioCommand struct {
	File     string `arg:"" optional:"" type:"existingfile" help:"Scenario file; default: the embedded one."`
	Seed     uint64 `default:"1" help:"Seed of traffic, nodes and instances."`
	LogDir   string `help:"Write the logs to this folder, for audit."`
	JSON     bool   `help:"Print the verdicts as JSON."`
	Baseline bool   `help:"Run it again with each request sent at once (greedy), and compare the results."`
	Unmerged bool   `help:"Run it again without merging, and compare the results."`
	Verbose  bool   `help:"Show the instances' logs."`
}

// Run runs the scenario and the runs for comparison; an invariant violated in the scenario is an error.
func (c *scenarioCommand) Run(out io.Writer) error {
	scenario, err := c.loadScenario()
	if err != nil {
		return err
	}
	run := scenarioRun{seed: c.Seed, verbose: c.Verbose}
	recording, err := run.record(&scenario, daemon.Hooks{})
	if err != nil {
		return err
	}
	if c.LogDir != "" {
		if err := testbed.WriteLogFolder(c.LogDir, &scenario.Site, recording.Events); err != nil {
			return err
		}
	}
	report := testbed.NewReport(scenario.Name, c.Seed, &scenario.Site, recording)
	if c.Baseline {
		if report.Baseline, err = run.summarize(&scenario, testbed.Baseline(nil)); err != nil {
			return err
		}
	}
	if c.Unmerged {
		scenario.Site.Extents.MergingDisabled = true
		if report.Unmerged, err = run.summarize(&scenario, daemon.Hooks{}); err != nil {
			return err
		}
	}
	return printReport(out, report, c.JSON)
}

// loadScenario returns the scenario of the file, or the embedded one if no file is given.
func (c *scenarioCommand) loadScenario() (testbed.Scenario, error) {
	scenario, err := testbed.FaultScenario()
	if c.File != "" {
		scenario, err = testbed.ReadScenario(c.File)
	}
	if err == nil && c.Unmerged {
		err = checkMergingEnabled(&scenario)
	}
	return scenario, err
}

// checkMergingEnabled returns an error if a scenario's site has no extents: its requests are never merged, so
// that there is nothing to compare.
func checkMergingEnabled(scenario *testbed.Scenario) error {
	if scenario.Site.Extents == nil {
		return fmt.Errorf("%s: the site has no (extents …) form: requests are not merged", scenario.Name)
	}
	return nil
}

// scenarioRun contains the options with which a command runs scenarios.
type scenarioRun struct {
	seed    uint64
	verbose bool // show the instances' logs
}

// record runs a scenario until it ends or a second signal is received; the first signal is ignored.
func (r scenarioRun) record(scenario *testbed.Scenario, hooks daemon.Hooks) (*testbed.Recording, error) {
	dir, err := os.MkdirTemp("", "landingpaddle-day-*")
	if err != nil {
		return nil, err
	}
	defer os.RemoveAll(dir)
	options := testbed.Options{Seed: r.seed, Dir: dir, Hooks: hooks}
	if r.verbose {
		if options.Log, err = newLogger("info", false); err != nil {
			return nil, err
		}
	}
	ctx, cancel := handleSignals(func() {})
	defer cancel()
	return testbed.RunScenario(ctx, scenario, options)
}

// summarize runs a scenario and returns its summary, for a comparison.
func (r scenarioRun) summarize(scenario *testbed.Scenario, hooks daemon.Hooks) (*testbed.Summary, error) {
	recording, err := r.record(scenario, hooks)
	if err != nil {
		return nil, err
	}
	summary := testbed.Summarize(&scenario.Site, recording)
	return &summary, nil
}
