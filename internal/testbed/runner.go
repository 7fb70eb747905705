package testbed

import (
	"context"
	"log/slog"
	"net/netip"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sync/errgroup"

	"landingpaddle/internal/daemon"
	"landingpaddle/internal/registry"
)

const (
	// maxOpenRequests bounds the open requests of all clients; traffic beyond it is suppressed.
	maxOpenRequests = 20_000
	// startupTime is left for the fleet to start, in addition to twice the registry's delay.
	startupTime = 300 * time.Millisecond
	// The process is checked for stalls every stallCheckInterval; an interval of over minStall is a stall.
	stallCheckInterval = 10 * time.Millisecond
	minStall           = 30 * time.Millisecond
)

// Options configure a run of a scenario.
type Options struct {
	Seed  uint64
	Dir   string       // for the instances' snapshots of the endpoint list
	Log   *slog.Logger // of the instances and the runner; nil: nothing is logged
	Hooks daemon.Hooks // of the instances; Gate is set by the runner
}

// Recording is the result of a run of a scenario.
type Recording struct {
	Events     []Event       // in order of time
	Suppressed int64         // requests that were not sent because too many were open
	CPU        time.Duration // time used by this process while traffic and its requests lasted; 0: unknown
}

// scenarioRunner runs one scenario. Its fleet is set up before traffic starts; after that it is only read, by
// all goroutines.
type scenarioRunner struct {
	scenario     *Scenario
	options      Options
	log          *Log
	group        *errgroup.Group // of all goroutines except those of traffic
	registry     *registry.Server
	registryAddr string
	nodes        []*Node
	nodesByAddr  map[netip.AddrPort]int
	instances    []*instanceHost
	clients      []*Client
	changes      *trafficChanges
	objects      *createdObjects
	lastToken    atomic.Uint64
	openRequests atomic.Int64
	suppressed   atomic.Int64
}

// RunScenario runs a scenario on loopback sockets: instances, nodes, registry and clients in this process.
// It returns once traffic and all its requests have ended, or an instance has failed.
func RunScenario(ctx context.Context, scenario *Scenario, options Options) (*Recording, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	group, ctx := errgroup.WithContext(ctx)
	r := newScenarioRunner(scenario, options, group)
	if err := r.startFleet(ctx); err != nil {
		cancel()
		_ = group.Wait() // the first error is the one to report
		return nil, err
	}
	group.Go(func() error { return r.watchForStalls(ctx) })
	sleep(ctx, 2*scenario.Registry.Delay+startupTime)
	// Traffic and faults start together.
	start := time.Now()
	traffic, stopTraffic := context.WithDeadline(ctx, start.Add(scenario.Length))
	defer stopTraffic()
	recording := r.runTrafficAndFaults(ctx, traffic, start)
	cancel()
	err := group.Wait()
	if context.Cause(ctx) == context.Canceled { // no goroutine failed before cancel; later errors are ignored
		err = nil
	}
	recording.Events = r.log.Events()
	return recording, err
}

func newScenarioRunner(scenario *Scenario, options Options, group *errgroup.Group) *scenarioRunner {
	if options.Log == nil {
		options.Log = slog.New(slog.DiscardHandler)
	}
	return &scenarioRunner{
		scenario:    scenario,
		options:     options,
		log:         NewLog(),
		group:       group,
		nodesByAddr: map[netip.AddrPort]int{},
		changes:     newTrafficChanges(),
		objects:     newCreatedObjects(),
	}
}

// runTrafficAndFaults sends the traffic, injects the faults, and returns once all requests have ended.
func (r *scenarioRunner) runTrafficAndFaults(ctx, traffic context.Context, start time.Time) *Recording {
	cpuBefore := cpuTime()
	var streams sync.WaitGroup
	for number := range r.scenario.Traffic {
		streams.Go(func() { r.runStream(ctx, traffic, number) })
	}
	for i := range r.scenario.Faults {
		fault := &r.scenario.Faults[i]
		r.group.Go(func() error {
			if sleep(traffic, time.Until(start.Add(fault.At))) {
				r.injectFault(ctx, traffic, fault)
			}
			return nil
		})
	}
	streams.Wait()
	recording := &Recording{Suppressed: r.suppressed.Load(), CPU: cpuTime() - cpuBefore}
	for _, client := range r.clients {
		client.Close()
	}
	return recording
}

// injectFault injects a fault. It may block until the fault or the traffic ends.
func (r *scenarioRunner) injectFault(ctx, traffic context.Context, fault *Fault) {
	for _, form := range fault.forms() {
		form.inject(ctx, traffic, r)
	}
}

// watchForStalls logs stalls of the whole process: a machine short of CPU time is not a fault of the
// scheduler.
func (r *scenarioRunner) watchForStalls(ctx context.Context) error {
	for {
		before := time.Now()
		if !sleep(ctx, stallCheckInterval) {
			return nil
		}
		if took := time.Since(before); took > minStall {
			r.log.Add(Event{Kind: KindProcessStalled, Wait: int64(took)})
		}
	}
}

// cpuTime returns the CPU time that this process has used so far; 0: unknown.
func cpuTime() time.Duration {
	var usage syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &usage) != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}
