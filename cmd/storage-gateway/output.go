package main

import (
	"encoding/json"
	"io"

	"landingpaddle/internal/testbed"
)

func printJSON(out io.Writer, value any) error {
	encoder := json.NewEncoder(out)
	encoder.SetIndent("", "  ")
	return encoder.Encode(value)
}

// printReport prints a report; a violated invariant is an error.
func printReport(out io.Writer, report *testbed.Report, asJSON bool) error {
	if asJSON {
		if err := printJSON(out, report); err != nil {
			return err
		}
	} else {
		report.Print(out)
	}
	return report.Err()
}

// writeLog writes a stand-in's log to path if err, the error with which the stand-in ended, is nil; otherwise
// it returns err. An empty path writes none.
func writeLog(err error, events *testbed.Log, path string) error {
	if err == nil && path != "" {
		return events.WriteFile(path)
	}
	return err
}
