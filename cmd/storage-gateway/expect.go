package main

import (
	"fmt"
	"io"

	"landingpaddle/expect"
	"landingpaddle/internal/config"
)

type expectCmd struct {
	File           string `arg:"" type:"existingfile" help:"Fleet file with its (expect …) forms."`
	Against        string `type:"existingfile" help:"The fleet as it was: tell what the change changes."`
	JSON           bool   `help:"Print the findings as JSON."`
	AllowUndecided bool   `help:"What can't be decided does not block."`
}

// Run checks a fleet's expectations; one that is broken, or not decided, is an error.
func (c *expectCmd) Run(out io.Writer) error {
	fleet, plan, all, err := config.LoadFleet(c.File)
	if err != nil {
		return err
	}
	if len(all) == 0 {
		return fmt.Errorf("%s: nothing is expected: there is no (expect …)", c.File)
	}
	for _, pair := range expect.Contradictions(all) {
		return errBroken{fmt.Sprintf("%s: %q and %q at %s can't both hold", pair[1].Place, pair[1].Name,
			pair[0].Name, pair[0].Place)}
	}
	findings := plan.Check(all)
	count := map[expect.Verdict]int{}
	for _, f := range findings {
		count[f.Verdict]++
	}
	if c.JSON {
		if err := printJSON(out, findings); err != nil {
			return err
		}
	} else {
		fmt.Fprintf(out, "%s: %d nodes, %d instances, %d kinds of volumes\n", fleet.Name, len(plan.Nodes),
			plan.Instances, len(plan.Volumes))
		for _, f := range findings {
			printFinding(out, f)
		}
	}
	blocked := count[expect.Broken]
	if !c.AllowUndecided {
		blocked += count[expect.Undecided]
	}
	if c.Against != "" && !c.JSON {
		if err := c.against(out, findings); err != nil {
			return err
		}
	}
	if blocked > 0 {
		return errBroken{fmt.Sprintf("%d broken, %d undecided of %d expectations", count[expect.Broken],
			count[expect.Undecided], len(findings))}
	}
	return nil
}

// against tells which of these expectations stood otherwise with the fleet as it was before.
func (c *expectCmd) against(out io.Writer, now []expect.Finding) error {
	_, plan, all, err := config.LoadFleet(c.Against)
	if err != nil {
		return err
	}
	then, before := plan.Check(all), map[string]expect.Finding{}
	for _, f := range then {
		before[f.Expectation.Name] = f
	}
	for _, f := range now {
		old, known := before[f.Expectation.Name]
		delete(before, f.Expectation.Name)
		switch {
		case !known:
			fmt.Fprintf(out, "  new        %s: %s\n", f.Expectation.Name, f.Verdict)
		case old.Verdict != f.Verdict:
			fmt.Fprintf(out, "  changed    %s: %s (%.3g) before, %s (%.3g) now\n", f.Expectation.Name,
				old.Verdict, old.Value, f.Verdict, f.Value)
		}
	}
	for _, f := range then {
		if _, left := before[f.Expectation.Name]; left {
			fmt.Fprintf(out, "  dropped    %s: %s before\n", f.Expectation.Name, f.Verdict)
		}
	}
	return nil
}

func printFinding(out io.Writer, f expect.Finding) {
	e := f.Expectation
	if f.Verdict == expect.Undecided {
		fmt.Fprintf(out, "  %-9s  %s: %s  %s\n", f.Verdict, e.Name, f.Reason, e.Place)
		return
	}
	word := "at least"
	if e.AtMost {
		word = "at most"
	}
	gone := ""
	if f.MissingNodes != "" {
		gone = " with " + f.MissingNodes + " gone"
	}
	fmt.Fprintf(out, "  %-9s  %s: %s of %s is %.3g%s, %s %.3g is expected; %d cases  %s\n", f.Verdict, e.Name,
		e.Measure, f.Subject, f.Value, gone, word, e.Bound, f.CasesChecked, e.Place)
}
