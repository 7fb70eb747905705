package main

import (
	"io"

	"landingpaddle/internal/testbed"
)

type auditCommand struct {
	Dir  string `arg:"" type:"existingdir" help:"Folder with logs (*.jsonl) and the settings (site.lisp)."`
	JSON bool   `help:"Print the verdicts as JSON."`
}

// Run checks the invariants against recorded logs; a violated invariant is an error.
func (c *auditCommand) Run(out io.Writer) error {
	site, events, err := testbed.ReadLogFolder(c.Dir)
	if err != nil {
		return err
	}
	report := testbed.NewReport(c.Dir, 0, site, &testbed.Recording{Events: events})
	return printReport(out, report, c.JSON)
}
