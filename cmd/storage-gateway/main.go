// Command storage-gateway runs instances of the scheduler, stand-ins for the systems around them and scripted
// scenarios, and checks invariants against the recorded traffic.
package main

import (
	"fmt"
	"io"
	"os"

	"github.com/alecthomas/kong"
)

// programName is the prefix of each error, and the program's name in the usage text.
const programName = "storage-gateway"

// Exit codes.
const (
	exitOK      = 0
	exitFailure = 1 // a violated invariant, a broken expectation or another failure
	exitUsage   = 2 // an invalid command line
)

// commands are the sub-commands.
type commands struct {
	Serve serveCommand    `cmd:"" help:"Run a scheduler instance from a settings file (instance …)."`
	Node  nodeCommand     `cmd:"" help:"Run a stand-in storage node from a settings file (node …)."`
	List  listCommand     `cmd:"" help:"Run a stand-in registry from a settings file (list …)."`
	Call  callCommand     `cmd:"" help:"Send requests to an instance as a stand-in client."`
	Day   scenarioCommand `cmd:"" aliases:"scenario" help:"Run a scenario with faults and check invariants."`

	Sweep  sweepCommand  `cmd:"" help:"Run a scenario for several values of a bound on merging, and compare."`
	Expect expectCommand `cmd:"" help:"Check the expectations of a fleet file (fleet …), without traffic."`
	Check  checkCommand  `cmd:"" help:"Check a settings file and print the effective settings."`
	Audit  auditCommand  `cmd:"" help:"Check the invariants against the logs in a folder."`

	Platform platformCommand `cmd:"" help:"Run one scheduler for the platform (settings: BALANCER_CONFIG)."`
}

func main() { os.Exit(run(os.Args[1:], os.Stdout, os.Stderr)) }

// run executes the command line and returns the exit code.
func run(args []string, stdout, stderr io.Writer) int {
	fail := func(err error, code int) int {
		fmt.Fprintf(stderr, "%s: %v\n", programName, err)
		return code
	}
	helpCode := -1
	parser, err := kong.New(&commands{}, kong.Name(programName), kong.UsageOnError(),
		kong.Description("A storage gateway that schedules a host's reads and writes over storage nodes."),
		kong.Writers(stdout, stderr), kong.Exit(func(code int) { helpCode = code }))
	if err != nil {
		return fail(err, exitUsage)
	}
	command, err := parser.Parse(args)
	if helpCode >= 0 {
		return helpCode // help was requested
	}
	if err != nil {
		return fail(err, exitUsage)
	}
	command.BindTo(stdout, (*io.Writer)(nil))
	if err := command.Run(); err != nil {
		return fail(err, exitFailure)
	}
	return exitOK
}
