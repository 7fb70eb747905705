package main

import (
	"encoding/json"
	"fmt"
	"io"

	"landingpaddle/expect"
	"landingpaddle/internal/config"
)

type expectCmd struct {
	File           string `arg:"" type:"existingfile" help:"Fleet file with its (expect …) forms."`
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
	findings := expect.Check(plan, all)
	count := map[expect.Verdict]int{}
	for _, f := range findings {
		count[f.Verdict]++
	}
	if c.JSON {
		enc := json.NewEncoder(out)
		enc.SetIndent("", "  ")
		if err := enc.Encode(findings); err != nil {
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
	if blocked > 0 {
		return errBroken{fmt.Sprintf("%d broken, %d undecided of %d expectations", count[expect.Broken],
			count[expect.Undecided], len(findings))}
	}
	return nil
}

func printFinding(out io.Writer, f expect.Finding) {
	e := f.Expectation
	if f.Verdict == expect.Undecided {
		fmt.Fprintf(out, "  %-9s  %s: %s  %s\n", f.Verdict, e.Name, f.Why, e.Place)
		return
	}
	word := "at least"
	if e.AtMost {
		word = "at most"
	}
	gone := ""
	if f.Case != "" {
		gone = " with " + f.Case + " gone"
	}
	fmt.Fprintf(out, "  %-9s  %s: %s of %s is %.3g%s, %s %.3g is expected; %d cases  %s\n", f.Verdict, e.Name,
		e.Measure, f.Thing, f.Value, gone, word, e.Bound, f.Cases, e.Place)
}
