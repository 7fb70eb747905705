package testbed

import (
	"fmt"
	"io"
	"strings"

	"landingpaddle/internal/config"
)

// Report is the result of a run of a scenario: the verdicts on the rules and the summary, with the summaries
// of the runs with which it is compared.
type Report struct {
	Scenario   string    `json:"day"`
	Seed       uint64    `json:"seed"`
	Verdicts   []Verdict `json:"rules"`
	Summary    Summary   `json:"worth"`
	Baseline   *Summary  `json:"baseline,omitempty"`  // with everything sent at once; nil: not run
	Unmerged   *Summary  `json:"unmerged,omitempty"`  // with merging disabled; nil: not run
	Suppressed int64     `json:"not_asked,omitempty"` // requests not sent, as too many were open
}

// NewReport checks the rules against a recording and summarizes it.
func NewReport(name string, seed uint64, site *config.Site, recording *Recording) *Report {
	return &Report{
		Scenario:   name,
		Seed:       seed,
		Verdicts:   CheckInvariants(site, recording.Events),
		Summary:    Summarize(site, recording),
		Suppressed: recording.Suppressed,
	}
}

// Err returns an error if a rule is broken.
func (r *Report) Err() error {
	broken := 0
	for _, verdict := range r.Verdicts {
		if !verdict.Holds {
			broken++
		}
	}
	if broken > 0 {
		return fmt.Errorf("%d of %d rules broken", broken, len(r.Verdicts))
	}
	return nil
}

// Print writes the report as text.
func (r *Report) Print(out io.Writer) {
	fmt.Fprintf(out, "%s, seed %d\n", r.Scenario, r.Seed)
	for _, verdict := range r.Verdicts {
		verdict.print(out)
	}
	r.Summary.print(out, "served")
	if r.Baseline != nil {
		r.Baseline.print(out, "sent at once")
	}
	if r.Unmerged != nil {
		r.Unmerged.print(out, "unmerged")
	}
}

func (v *Verdict) print(out io.Writer) {
	result := "kept"
	if !v.Holds {
		result = fmt.Sprintf("BROKEN %d times, first: %s", v.Violations, v.FirstViolation)
	}
	fmt.Fprintf(out, "  %-8s judged %6d  %s\n", v.Rule, v.Checked, result)
}

func (s *Summary) print(out io.Writer, title string) {
	fmt.Fprintf(out,
		"  %s: worth %.3f of what was asked; %d asked, %d in time, %d late, %d refused, %d failed, "+
			"%d without answer; %d sends, %d of them for nothing\n"+
			"  %s  %d operations at the nodes; served within %.0f ms (median), %.0f ms (p99); "+
			"%.0f us CPU a request, clients and nodes included\n",
		title, s.EarnedShare, s.Requests, s.InTime, s.Late, s.Rejected, s.Failed, s.Unanswered, s.Attempts,
		s.Wasted, strings.Repeat(" ", len(title)), s.Operations, s.P50, s.P99, s.CPU)
}
