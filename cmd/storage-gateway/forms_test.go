package main

import (
	"bytes"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"

	"github.com/alecthomas/kong"
)

// Sub-commands, arguments, flags and their defaults are interfaces for users and scripts: the file makes each
// change of them visible.
func TestForms_CommandsAndFlagsMatchFile(t *testing.T) {
	parser, err := kong.New(&commands{})
	if err != nil {
		t.Fatal(err)
	}
	var lines []string
	for _, command := range parser.Model.Leaves(false) {
		for _, arg := range command.Positional {
			lines = append(lines, fmt.Sprintf("%s <%s> required=%t", command.Name, arg.Name, arg.Required))
		}
		for _, flag := range command.Flags {
			lines = append(lines, fmt.Sprintf("%s --%s default=%q required=%t", command.Name, flag.Name,
				flag.Default, flag.Required))
		}
		lines = append(lines, command.Name)
	}
	slices.Sort(lines)
	compareWithFile(t, "testdata/forms/commands.txt", strings.Join(lines, "\n")+"\n")
}

// The output of check for the shipped examples contains the forms of the settings with their defaults, except
// optional forms and faults that no example contains, such as (peer …) and (kill-node …).
func TestForms_SettingsMatchFile(t *testing.T) {
	examples, err := filepath.Abs("../../examples")
	if err != nil {
		t.Fatal(err)
	}
	files, err := filepath.Glob(filepath.Join(examples, "*.lisp"))
	if err != nil || len(files) == 0 {
		t.Fatalf("no examples found: %v", err)
	}
	var output bytes.Buffer
	for _, file := range files {
		var stdout, stderr bytes.Buffer
		code := run([]string{"check", file}, &stdout, &stderr)
		_, cause, _ := strings.Cut(stderr.String(), ": ")
		fmt.Fprintf(&output, "== %s exit %d\n%s%s", filepath.Base(file), code, stdout.String(),
			strings.ReplaceAll(cause, examples+"/", ""))
	}
	compareWithFile(t, "testdata/forms/settings.txt", output.String())
}

// The exit code is 0 for success, 1 for a failure and 2 for invalid usage.
func TestRun_ExitCodes(t *testing.T) {
	for _, c := range []struct {
		args []string
		want int
	}{
		{[]string{"--help"}, exitOK},
		{[]string{"check", "../../examples/list.lisp"}, exitOK},
		{[]string{"check", "../../examples/fleet.lisp"}, exitFailure},
		{[]string{"audit", "."}, exitFailure},
		{[]string{"fly"}, exitUsage},
		{[]string{"check", "missing.lisp"}, exitUsage},
		{nil, exitUsage},
	} {
		if got := run(c.args, &bytes.Buffer{}, &bytes.Buffer{}); got != c.want {
			t.Errorf("%q exits with %d, want %d", c.args, got, c.want)
		}
	}
}

// compareWithFile compares a text with the contents of a file.
func compareWithFile(t *testing.T, path, got string) {
	t.Helper()
	want, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	if got != string(want) {
		t.Errorf("%s: got\n%s\nwant\n%s", path, got, want)
	}
}
