package main

import (
	"errors"
	"fmt"
	"io"

	"landingpaddle/expect"
	"landingpaddle/internal/config"
)

// errNoExpectations is returned for a fleet without expectations.
var errNoExpectations = errors.New("nothing is expected: there is no (expect …)")

type expectCommand struct {
	File           string `arg:"" type:"existingfile" help:"Fleet file with (expect …) forms."`
	Against        string `type:"existingfile" help:"Previous fleet file: also print which verdicts changed."`
	JSON           bool   `help:"Print the findings as JSON."`
	AllowUndecided bool   `help:"Undecided expectations are not an error."`
}

// Run checks a fleet's expectations; one that is broken, or undecided unless that is allowed, is an error.
func (c *expectCommand) Run(out io.Writer) error {
	fleet, model, expectations, err := config.LoadFleet(c.File)
	if err != nil {
		return err
	}
	if len(expectations) == 0 {
		return fmt.Errorf("%s: %w", c.File, errNoExpectations)
	}
	if pairs := expect.Contradictions(expectations); len(pairs) > 0 {
		first, second := pairs[0][0], pairs[0][1]
		return fmt.Errorf("%s: %q and %q at %s can't both hold", second.Place, second.Name, first.Name,
			first.Place)
	}
	findings := model.Check(expectations)
	if c.JSON {
		if err := printJSON(out, findings); err != nil {
			return err
		}
		return c.verdictError(findings)
	}
	fmt.Fprintf(out, "%s: %d nodes, %d instances, %d kinds of volumes\n", fleet.Name, len(model.Nodes),
		model.Instances, len(model.Volumes))
	for _, finding := range findings {
		printFinding(out, finding)
	}
	if c.Against != "" {
		if err := c.printChanges(out, findings); err != nil {
			return err
		}
	}
	return c.verdictError(findings)
}

// verdictError returns an error if an expectation is broken, or undecided unless that is allowed.
func (c *expectCommand) verdictError(findings []expect.Finding) error {
	count := map[expect.Verdict]int{}
	for _, finding := range findings {
		count[finding.Verdict]++
	}
	broken, undecided := count[expect.Broken], count[expect.Undecided]
	if broken > 0 || undecided > 0 && !c.AllowUndecided {
		return fmt.Errorf("%d broken, %d undecided of %d expectations", broken, undecided, len(findings))
	}
	return nil
}

// printChanges prints the expectations that are new or dropped, or whose verdict differs from that of the
// previous fleet file.
func (c *expectCommand) printChanges(out io.Writer, findings []expect.Finding) error {
	_, model, expectations, err := config.LoadFleet(c.Against)
	if err != nil {
		return err
	}
	before := model.Check(expectations)
	unmatched := map[string]expect.Finding{}
	for _, finding := range before {
		unmatched[finding.Expectation.Name] = finding
	}
	for _, finding := range findings {
		name := finding.Expectation.Name
		previous, found := unmatched[name]
		delete(unmatched, name)
		switch {
		case !found:
			fmt.Fprintf(out, "  new        %s: %s\n", name, finding.Verdict)
		case previous.Verdict != finding.Verdict:
			fmt.Fprintf(out, "  changed    %s: %s (%.3g) before, %s (%.3g) now\n", name, previous.Verdict,
				previous.Value, finding.Verdict, finding.Value)
		}
	}
	for _, finding := range before {
		if _, dropped := unmatched[finding.Expectation.Name]; dropped {
			fmt.Fprintf(out, "  dropped    %s: %s before\n", finding.Expectation.Name, finding.Verdict)
		}
	}
	return nil
}

func printFinding(out io.Writer, finding expect.Finding) {
	expectation := finding.Expectation
	if finding.Verdict == expect.Undecided {
		fmt.Fprintf(out, "  %-9s  %s: %s  %s\n", finding.Verdict, expectation.Name, finding.Reason,
			expectation.Place)
		return
	}
	comparison := "at least"
	if expectation.AtMost {
		comparison = "at most"
	}
	missing := ""
	if finding.MissingNodes != "" {
		missing = " with " + finding.MissingNodes + " gone"
	}
	fmt.Fprintf(out, "  %-9s  %s: %s of %s is %.3g%s, %s %.3g is expected; %d cases  %s\n", finding.Verdict,
		expectation.Name, expectation.Measure, finding.Subject, finding.Value, missing, comparison,
		expectation.Bound, finding.CasesChecked, expectation.Place)
}
