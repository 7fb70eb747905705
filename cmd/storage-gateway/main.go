// Command storage-gateway runs instances of the scheduler, the stand-ins to run them against, scripted
// scenarios, and the check of the invariants on what passed on the sockets.
package main

import (
	"fmt"
	"io"
	"os"

	"github.com/alecthomas/kong"
)

// programName stands before each error and in the usage text.
const programName = "storage-gateway"

// Exit codes.
const (
	exitOK      = 0
	exitFailure = 1 // a rule is broken, or something failed
	exitUsage   = 2
)

// commands are the sub-commands.
type commands struct {
	Serve  serveCommand  `cmd:"" help:"Run a scheduler instance from a settings file (instance …)."`
	Node   nodeCommand   `cmd:"" help:"Run a stand-in storage node from a settings file (node …)."`
	List   listCommand   `cmd:"" help:"Run a stand-in registry from a settings file (list …)."`
	Call   callCommand   `cmd:"" help:"Send requests to an instance as a stand-in client."`
	Day    dayCommand    `cmd:"" aliases:"scenario" help:"Run a scenario with faults and check its rules."`
	Sweep  sweepCommand  `cmd:"" help:"Run a scenario for several bounds on merging, and compare."`
	Expect expectCommand `cmd:"" help:"Check what is expected of a fleet (fleet …), without traffic."`
	Check  checkCommand  `cmd:"" help:"Check a settings file and print the settings in force."`
	Audit  auditCommand  `cmd:"" help:"Check the rules from the logs in a folder."`

	Platform platformCommand `cmd:"" help:"Run one scheduler as the platform starts it (BALANCER_CONFIG)."`
}

func main() { os.Exit(run(os.Args[1:], os.Stdout, os.Stderr)) }

// run is the program; it returns the exit code.
func run(args []string, out, errs io.Writer) int {
	fail := func(err error, code int) int {
		fmt.Fprintf(errs, "%s: %v\n", programName, err)
		return code
	}
	helpCode := -1
	parser, err := kong.New(&commands{}, kong.Name(programName), kong.UsageOnError(),
		kong.Description("A storage gateway that schedules a host's reads and writes over storage nodes."),
		kong.Writers(out, errs), kong.Exit(func(code int) { helpCode = code }))
	if err != nil {
		return fail(err, exitUsage)
	}
	command, err := parser.Parse(args)
	if helpCode >= 0 {
		return helpCode // help was asked for
	}
	if err != nil {
		return fail(err, exitUsage)
	}
	command.BindTo(out, (*io.Writer)(nil))
	if err := command.Run(); err != nil {
		return fail(err, exitFailure)
	}
	return exitOK
}
