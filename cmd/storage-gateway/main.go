// Command storage-gateway runs instances of the scheduler, the stand-ins to run them against, scripted
// scenarios, and the check of the invariants on what passed on the sockets.
package main

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"os"
	"os/signal"
	"syscall"

	"github.com/alecthomas/kong"
)

// programName stands before each error and in the usage text.
const programName = "storage-gateway"

type cli struct {
	Serve  serveCmd  `cmd:"" help:"Run one instance of the scheduler from a settings file (instance …)."`
	Node   nodeCmd   `cmd:"" help:"Run a stand-in storage node from a settings file (node …)."`
	List   listCmd   `cmd:"" help:"Run a stand-in list service from a settings file (list …)."`
	Call   callCmd   `cmd:"" help:"Send requests to an instance as a stand-in client."`
	Day    dayCmd    `cmd:"" aliases:"scenario" help:"Play a day of faults on loopback and judge the rules."`
	Sweep  sweepCmd  `cmd:"" help:"Play a day for several values of one bound on merging, and compare."`
	Expect expectCmd `cmd:"" help:"Check what is expected of a fleet (fleet …), without traffic."`
	Check  checkCmd  `cmd:"" help:"Check a settings file and print the settings in force."`
	Audit  auditCmd  `cmd:"" help:"Judge the rules from the logs in a folder."`

	Platform platformCmd `cmd:"" help:"Run one scheduler as the platform starts it (BALANCER_CONFIG)."`
}

// errBroken ends a command whose verdict has been printed already.
type errBroken struct{ what string }

func (e errBroken) Error() string { return e.what }

func main() { os.Exit(run(os.Args[1:], os.Stdout, os.Stderr)) }

// run is the program; it returns the exit code: 0 all well, 1 a rule broken or a failure, 2 bad use.
func run(args []string, out, errs io.Writer) int {
	var c cli
	code := -1
	parser, err := kong.New(&c, kong.Name(programName), kong.UsageOnError(),
		kong.Description("A storage gateway that schedules a host's reads and writes over storage nodes."),
		kong.Writers(out, errs), kong.Exit(func(n int) { code = n }))
	if err != nil {
		fmt.Fprintf(errs, "%s: %v\n", programName, err)
		return 2
	}
	k, err := parser.Parse(args)
	if code >= 0 {
		return code // help was asked for
	}
	if err != nil {
		fmt.Fprintf(errs, "%s: %v\n", programName, err)
		return 2
	}
	k.BindTo(out, (*io.Writer)(nil))
	if err := k.Run(); err != nil {
		fmt.Fprintf(errs, "%s: %v\n", programName, err)
		return 1
	}
	return 0
}

// signals returns a context that ends at the second SIGINT or SIGTERM; first is called at the first.
func signals(first func()) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(context.Background())
	got := make(chan os.Signal, 2)
	signal.Notify(got, syscall.SIGINT, syscall.SIGTERM)
	go func() {
		defer signal.Stop(got)
		select {
		case <-got:
			first()
		case <-ctx.Done():
			return
		}
		select {
		case <-got:
			cancel()
		case <-ctx.Done():
		}
	}()
	return ctx, cancel
}

// logger writes structured logs to standard error.
func logger(level string, asJSON bool) (*slog.Logger, error) {
	var l slog.Level
	if err := l.UnmarshalText([]byte(level)); err != nil {
		return nil, fmt.Errorf("log level %q: want debug, info, warn or error", level)
	}
	opt := &slog.HandlerOptions{Level: l}
	if asJSON {
		return slog.New(slog.NewJSONHandler(os.Stderr, opt)), nil
	}
	return slog.New(slog.NewTextHandler(os.Stderr, opt)), nil
}
