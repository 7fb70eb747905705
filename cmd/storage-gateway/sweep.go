package main

import (
	"fmt"
	"io"
	"strconv"
	"time"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"

	"landingpaddle/internal/config"
	"landingpaddle/internal/daemon"
	"landingpaddle/internal/sexpr"
	"landingpaddle/internal/testbed"
)

type sweepCmd struct {
	File    string   `arg:"" type:"existingfile" help:"Day file whose site has (extents …)."`
	Bound   string   `enum:"members,largest,window" default:"members" help:"members, largest or window."`
	Values  []string `required:"" help:"Its values, as 1,4,16 or 64KiB,1MiB or 0s,5ms."`
	Seed    uint64   `default:"1" help:"Seed of traffic, nodes and instances, the same for each value."`
	SVG     string   `help:"Write a plot here."`
	Verbose bool     `help:"Show the instances' logs."`
}

// swept is what a day came to with one value of a bound.
type swept struct {
	value string
	testbed.Summary
}

// set puts a value of the bound into the settings.
func (c *sweepCmd) set(e *config.Extents, value string) (err error) {
	switch c.Bound {
	case "members":
		e.MaxMembers, err = strconv.Atoi(value)
		e.MergingDisabled = e.MaxMembers == 1
	case "largest":
		var size sexpr.Size
		err = size.UnmarshalText([]byte(value))
		e.MaxOperation = size
	case "window":
		e.Window, err = time.ParseDuration(value)
	}
	if err != nil {
		return fmt.Errorf("%s %q: %w", c.Bound, value, err)
	}
	return e.Check()
}

// Run plays the day once for each value of one bound on merging; a broken rule is an error.
func (c *sweepCmd) Run(out io.Writer) error {
	var all []swept
	name := ""
	fmt.Fprintf(out, "%-10s %8s %8s %8s %12s %8s %8s\n", c.Bound, "worth", "served", "ops", "ops/served",
		"p50 ms", "p99 ms")
	for _, value := range c.Values {
		day, err := testbed.ReadScenario(c.File)
		if err != nil {
			return err
		}
		if err := merges(&day); err != nil {
			return err
		}
		if err := c.set(day.Site.Extents, value); err != nil {
			return err
		}
		player := dayCmd{Seed: c.Seed, Verbose: c.Verbose}
		name = day.Name
		played, err := player.play(&day, daemon.Hooks{})
		if err != nil {
			return err
		}
		for _, v := range testbed.CheckInvariants(&day.Site, played.Events) {
			if !v.Holds {
				return errBroken{fmt.Sprintf("%s %s: %s broken: %s", c.Bound, value, v.Rule,
					v.FirstViolation)}
			}
		}
		w := testbed.Summarize(&day.Site, played)
		fmt.Fprintf(out, "%-10s %8.3f %8d %8d %12.2f %8.0f %8.0f\n", value, w.EarnedShare, w.Served(),
			w.Operations, w.OperationsPerServed(), w.P50, w.P99)
		all = append(all, swept{value, w})
	}
	if c.SVG == "" {
		return nil
	}
	return c.plot(name, all)
}

// plot draws worth served, and operations for each request served, by the bound's values.
func (c *sweepCmd) plot(name string, all []swept) error {
	p := plot.New()
	p.Title.Text = "What " + c.Bound + " of an operation may be: " + name
	p.X.Label.Text = c.Bound
	p.Y.Min, p.Y.Max = 0, 1.2
	p.Legend.Top = true
	var names []string
	worth, ops := make(plotter.XYs, len(all)), make(plotter.XYs, len(all))
	for i, s := range all {
		names = append(names, s.value)
		worth[i] = plotter.XY{X: float64(i), Y: s.EarnedShare}
		ops[i] = plotter.XY{X: float64(i), Y: s.OperationsPerServed()}
	}
	if err := plotutil.AddLinePoints(p, "worth served, of what was asked", worth,
		"operations for each request served", ops); err != nil {
		return fmt.Errorf("plot: %w", err)
	}
	p.NominalX(names...)
	if err := p.Save(16*vg.Centimeter, 9*vg.Centimeter, c.SVG); err != nil {
		return fmt.Errorf("plot: %w", err)
	}
	return nil
}
