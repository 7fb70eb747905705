package main

import (
	"encoding/json"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"strings"

	"landingpaddle/internal/config"
	"landingpaddle/internal/daemon"
	"landingpaddle/internal/sexpr"
	"landingpaddle/internal/testbed"
)

type dayCmd struct {
	File     string `arg:"" optional:"" type:"existingfile" help:"Day file; without it the embedded bad day."`
	Seed     uint64 `default:"1" help:"Seed of traffic, nodes and instances."`
	LogDir   string `help:"Write the logs here, for audit."`
	JSON     bool   `help:"Print the verdicts as JSON."`
	Baseline bool   `help:"Play the day again with everything sent at once, and compare what was served."`
	Unmerged bool   `help:"Play the day again with nothing merged, and compare what was served."`
	Verbose  bool   `help:"Show the instances' logs."`
}

// siteFile is the site's settings beside the logs, which the audit needs.
const siteFile = "site.lisp"

type dayResult struct {
	Day      string            `json:"day"`
	Seed     uint64            `json:"seed"`
	Verdicts []testbed.Verdict `json:"rules"`
	Worth    testbed.Summary   `json:"worth"`
	Baseline *testbed.Summary  `json:"baseline,omitempty"`
	Unmerged *testbed.Summary  `json:"unmerged,omitempty"`
	NotAsked int64             `json:"not_asked,omitempty"`
}

// Run plays the day; a broken rule is an error.
func (c *dayCmd) Run(out io.Writer) error {
	day, err := testbed.FaultScenario()
	if c.File != "" {
		day, err = testbed.ReadScenario(c.File)
	}
	if err != nil {
		return err
	}
	if c.Unmerged {
		if err := merges(&day); err != nil {
			return err
		}
	}
	played, err := c.play(&day, daemon.Hooks{})
	if err != nil {
		return err
	}
	if c.LogDir != "" {
		if err := writeLogs(c.LogDir, &day.Site, played.Events); err != nil {
			return err
		}
	}
	r := dayResult{Day: day.Name, Seed: c.Seed, Verdicts: testbed.CheckInvariants(&day.Site, played.Events),
		Worth: testbed.Summarize(&day.Site, played), NotAsked: played.Suppressed}
	if c.Baseline {
		if r.Baseline, err = c.again(&day, testbed.Baseline(nil)); err != nil {
			return err
		}
	}
	if c.Unmerged {
		day.Site.Extents.MergingDisabled = true
		if r.Unmerged, err = c.again(&day, daemon.Hooks{}); err != nil {
			return err
		}
	}
	return r.print(out, c.JSON)
}

// again plays a day once more for what is compared with it.
func (c *dayCmd) again(day *testbed.Scenario, hooks daemon.Hooks) (*testbed.Summary, error) {
	played, err := c.play(day, hooks)
	if err != nil {
		return nil, err
	}
	worth := testbed.Summarize(&day.Site, played)
	return &worth, nil
}

// merges is an error where a day's site merges nothing, so that there is nothing to compare.
func merges(day *testbed.Scenario) error {
	if day.Site.Extents == nil {
		return fmt.Errorf("%s: the site has no (extents …), nothing is merged", day.Name)
	}
	return nil
}

func (c *dayCmd) play(day *testbed.Scenario, hooks daemon.Hooks) (*testbed.Recording, error) {
	dir, err := os.MkdirTemp("", "landingpaddle-day-*")
	if err != nil {
		return nil, err
	}
	defer os.RemoveAll(dir)
	opt := testbed.Options{Seed: c.Seed, Dir: dir, Hooks: hooks}
	if c.Verbose {
		if opt.Log, err = logger("info", false); err != nil {
			return nil, err
		}
	}
	ctx, cancel := signals(func() {})
	defer cancel()
	return testbed.RunScenario(ctx, day, opt)
}

func writeLogs(dir string, site *config.Site, events []testbed.Event) error {
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return err
	}
	text := []byte(sexpr.Print("site", site))
	if err := os.WriteFile(filepath.Join(dir, siteFile), text, 0o644); err != nil {
		return err
	}
	return testbed.WriteEvents(filepath.Join(dir, "day.jsonl"), events)
}

func (r *dayResult) print(out io.Writer, asJSON bool) error {
	broken := 0
	for _, v := range r.Verdicts {
		if !v.Holds {
			broken++
		}
	}
	if asJSON {
		if err := printJSON(out, r); err != nil {
			return err
		}
	} else {
		fmt.Fprintf(out, "%s, seed %d\n", r.Day, r.Seed)
		printVerdicts(out, r.Verdicts)
		printWorth(out, "served", r.Worth)
		if r.Baseline != nil {
			printWorth(out, "sent at once", *r.Baseline)
		}
		if r.Unmerged != nil {
			printWorth(out, "unmerged", *r.Unmerged)
		}
	}
	if broken > 0 {
		return errBroken{fmt.Sprintf("%d of %d rules broken", broken, len(r.Verdicts))}
	}
	return nil
}

func printJSON(out io.Writer, v any) error {
	enc := json.NewEncoder(out)
	enc.SetIndent("", "  ")
	return enc.Encode(v)
}

func printVerdicts(out io.Writer, verdicts []testbed.Verdict) {
	for _, v := range verdicts {
		word := "kept"
		if !v.Holds {
			word = fmt.Sprintf("BROKEN %d times, first: %s", v.Violations, v.FirstViolation)
		}
		fmt.Fprintf(out, "  %-8s judged %6d  %s\n", v.Rule, v.Judged, word)
	}
}

func printWorth(out io.Writer, what string, w testbed.Summary) {
	fmt.Fprintf(out,
		"  %s: worth %.3f of what was asked; %d asked, %d in time, %d late, %d refused, %d failed, "+
			"%d without answer; %d sends, %d of them for nothing\n"+
			"  %s  %d operations at the nodes; served within %.0f ms (median), %.0f ms (p99); "+
			"%.0f us CPU a request, clients and nodes included\n",
		what, w.EarnedShare, w.Asked, w.InTime, w.Late,
		w.Rejected, w.Failed, w.Unanswered, w.Attempts, w.Wasted,
		strings.Repeat(" ", len(what)), w.Operations, w.P50, w.P99, w.CPU)
}

type auditCmd struct {
	Dir  string `arg:"" type:"existingdir" help:"Folder with logs (*.jsonl) and the settings (site.lisp)."`
	JSON bool   `help:"Print the verdicts as JSON."`
}

// Run judges logs; a broken rule is an error.
func (c *auditCmd) Run(out io.Writer) error {
	site := config.DefaultSite()
	if err := config.Load(filepath.Join(c.Dir, siteFile), "site", &site); err != nil {
		return err
	}
	events, err := testbed.ReadDir(c.Dir)
	if err != nil {
		return err
	}
	r := dayResult{Day: c.Dir, Verdicts: testbed.CheckInvariants(&site, events)}
	r.Worth = testbed.Summarize(&site, &testbed.Recording{Events: events})
	return r.print(out, c.JSON)
}

type checkCmd struct {
	File string `arg:"" type:"existingfile" help:"Settings file: an instance, node, list or day."`
}

// Run prints the settings in force, defaults included.
func (c *checkCmd) Run(out io.Writer) error {
	nodes, err := sexpr.ReadTree(c.File)
	if err != nil {
		return err
	}
	if len(nodes) == 0 {
		return sexpr.Errorf(sexpr.Pos{File: c.File, Line: 1, Col: 1}, "nothing here")
	}
	head := nodes[0].Head()
	inst, node := config.DefaultInstance(), config.DefaultNode()
	list, day, site := config.DefaultRegistry(), testbed.DefaultScenario(), config.DefaultSite()
	into := map[string]any{"instance": &inst, "node": &node, "list": &list, "day": &day, "site": &site}[head]
	if into == nil {
		return sexpr.Errorf(nodes[0].Pos, "found %q; want instance, node, list, day or site", head)
	}
	if err := sexpr.DecodeOne(nodes, c.File, head, into); err != nil {
		return err
	}
	_, err = io.WriteString(out, sexpr.Print(head, into))
	return err
}
