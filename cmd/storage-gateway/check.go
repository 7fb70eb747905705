package main

import (
	"io"

	"landingpaddle/internal/config"
	"landingpaddle/internal/sexpr"
	"landingpaddle/internal/testbed"
)

type checkCommand struct {
	File string `arg:"" type:"existingfile" help:"Settings file of an instance, node, list, day or site."`
}

// Run checks a settings file and prints the effective settings, including defaults.
func (c *checkCommand) Run(out io.Writer) error {
	forms, err := sexpr.ReadTree(c.File)
	if err != nil {
		return err
	}
	if len(forms) == 0 {
		return sexpr.Errorf(sexpr.Pos{File: c.File, Line: 1, Col: 1}, "file contains no settings")
	}
	head := forms[0].Head()
	settings := defaultSettings(head)
	if settings == nil {
		return sexpr.Errorf(forms[0].Pos, "found %q; want instance, node, list, day or site", head)
	}
	if err := sexpr.DecodeOne(forms, c.File, head, settings); err != nil {
		return err
	}
	_, err = io.WriteString(out, sexpr.Print(head, settings))
	return err
}

// defaultSettings returns a pointer to the default settings of the form with the given head, or nil if the
// head is unknown.
func defaultSettings(head string) any {
	switch head {
	case "instance":
		return pointerTo(config.DefaultInstance())
	case "node":
		return pointerTo(config.DefaultNode())
	case "list":
		return pointerTo(config.DefaultRegistry())
	case "day":
		return pointerTo(testbed.DefaultScenario())
	case "site":
		return pointerTo(config.DefaultSite())
	}
	return nil
}

func pointerTo[T any](value T) *T { return &value }
