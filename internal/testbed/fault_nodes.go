package testbed

import (
	"context"
	"fmt"
	"time"
)

// SlowNodes multiplies the time that nodes take for work by a factor.
type SlowNodes struct {
	Nodes    []int         `s:"nodes,required"`
	Factor   float64       `s:"times,required" min:"1" max:"1000"`
	Duration time.Duration `s:"for,required" min:"1ms" max:"10m"`
}

func (f *SlowNodes) check(scenario *Scenario) error { return checkNodes(scenario, f.Nodes) }

func (f *SlowNodes) inject(_, traffic context.Context, runner *scenarioRunner) {
	runner.eachNode(f.Nodes, func(n *Node) { n.Faults.SetSlow(f.Factor) })
	sleep(traffic, f.Duration)
	runner.eachNode(f.Nodes, func(n *Node) { n.Faults.SetSlow(1) })
}

// Neighbour simulates another program that intermittently uses a share of the nodes' machines.
type Neighbour struct {
	Nodes    []int         `s:"nodes,required"`
	Share    float64       `s:"share,required" min:"0" max:"0.95"`
	On       time.Duration `s:"on,required" min:"1ms" max:"10m"`
	Off      time.Duration `s:"off" min:"0s" max:"10m"`
	Duration time.Duration `s:"for,required" min:"1ms" max:"10m"`
}

func (f *Neighbour) check(scenario *Scenario) error { return checkNodes(scenario, f.Nodes) }

func (f *Neighbour) inject(_, traffic context.Context, runner *scenarioRunner) {
	runner.eachNode(f.Nodes, func(n *Node) { n.Faults.SetNeighbour(f.Share, f.On, f.Off) })
	sleep(traffic, f.Duration)
	runner.eachNode(f.Nodes, func(n *Node) { n.Faults.SetNeighbour(0, 0, 0) })
}

// MassRestart restarts all nodes of a zone; they restart cold.
type MassRestart struct {
	Zone         string        `s:"zone,required"`
	RestartAfter time.Duration `s:"back,required" min:"1ms" max:"10m"`
}

func (f *MassRestart) check(scenario *Scenario) error {
	if scenario.Site.Zone(f.Zone) < 0 {
		return fmt.Errorf("zone %s is not one of %v", f.Zone, scenario.Site.Zones)
	}
	return nil
}

func (f *MassRestart) inject(ctx, traffic context.Context, runner *scenarioRunner) {
	var numbers []int
	for number, node := range runner.nodes {
		if int(node.cfg.Zone) == runner.scenario.Site.Zone(f.Zone) {
			numbers = append(numbers, number)
		}
	}
	runner.restartNodes(ctx, traffic, numbers, f.RestartAfter)
}

// KillNodes kills nodes; they restart cold.
type KillNodes struct {
	Nodes        []int         `s:"nodes,required"`
	RestartAfter time.Duration `s:"back" min:"1ms" max:"10m"` // 0: never
}

func (f *KillNodes) check(scenario *Scenario) error { return checkNodes(scenario, f.Nodes) }

func (f *KillNodes) inject(ctx, traffic context.Context, runner *scenarioRunner) {
	runner.restartNodes(ctx, traffic, f.Nodes, f.RestartAfter)
}

// Drain drains nodes. They exit after ExitAfter and restart cold after RestartAfter.
type Drain struct {
	Nodes        []int         `s:"nodes,required"`
	ExitAfter    time.Duration `s:"ends" min:"1ms" max:"10m"` // 0: never
	RestartAfter time.Duration `s:"back" min:"1ms" max:"10m"` // 0: never
}

func (f *Drain) check(scenario *Scenario) error { return checkNodes(scenario, f.Nodes) }

func (f *Drain) inject(ctx, traffic context.Context, runner *scenarioRunner) {
	runner.eachNode(f.Nodes, (*Node).Drain)
	sleep(traffic, f.ExitAfter)
	if f.ExitAfter > 0 {
		runner.restartNodes(ctx, traffic, f.Nodes, f.RestartAfter)
	}
}

// LoseAnswers drops a share of nodes' answers.
type LoseAnswers struct {
	Nodes    []int         `s:"nodes,required"`
	Share    float64       `s:"share,required" min:"0" max:"1"`
	Duration time.Duration `s:"for,required" min:"1ms" max:"10m"`
}

func (f *LoseAnswers) check(scenario *Scenario) error { return checkNodes(scenario, f.Nodes) }

func (f *LoseAnswers) inject(_, traffic context.Context, runner *scenarioRunner) {
	runner.eachNode(f.Nodes, func(n *Node) { n.Faults.SetLoseAnswers(f.Share) })
	sleep(traffic, f.Duration)
	runner.eachNode(f.Nodes, func(n *Node) { n.Faults.SetLoseAnswers(0) })
}

// nodesFault has the fields of faults that need only nodes and a duration.
type nodesFault struct {
	Nodes    []int         `s:"nodes,required"`
	Duration time.Duration `s:"for" min:"1ms" max:"10m"` // 0: the fault ends at once
}

// Hang makes nodes accept requests without answering them.
type Hang nodesFault

func (f *Hang) check(scenario *Scenario) error { return checkNodes(scenario, f.Nodes) }

func (f *Hang) inject(_, traffic context.Context, runner *scenarioRunner) {
	runner.eachNode(f.Nodes, func(n *Node) { n.Faults.SetHang(true) })
	sleep(traffic, f.Duration)
	runner.eachNode(f.Nodes, func(n *Node) { n.Faults.SetHang(false) })
}

// ResetConnections closes all connections of nodes. Its duration is ignored.
type ResetConnections nodesFault

func (f *ResetConnections) check(scenario *Scenario) error { return checkNodes(scenario, f.Nodes) }

func (f *ResetConnections) inject(_, _ context.Context, runner *scenarioRunner) {
	runner.eachNode(f.Nodes, (*Node).ResetConns)
}

// CorruptAnswers corrupts the next answer of each node. Its duration is ignored.
type CorruptAnswers nodesFault

func (f *CorruptAnswers) check(scenario *Scenario) error { return checkNodes(scenario, f.Nodes) }

func (f *CorruptAnswers) inject(_, _ context.Context, runner *scenarioRunner) {
	runner.eachNode(f.Nodes, func(n *Node) { n.Faults.CorruptAnswers(1) })
}

// PauseNodes stops nodes from starting work for a duration; they keep their queues and connections.
type PauseNodes nodesFault

func (f *PauseNodes) check(scenario *Scenario) error { return checkNodes(scenario, f.Nodes) }

func (f *PauseNodes) inject(_, _ context.Context, runner *scenarioRunner) {
	runner.eachNode(f.Nodes, func(n *Node) { n.Faults.Pause(f.Duration) })
}

// StuckConnections blocks reads and writes on nodes' connections for a duration, but each of them for at most
// maxStuckWait; the connections stay open.
type StuckConnections nodesFault

func (f *StuckConnections) check(scenario *Scenario) error { return checkNodes(scenario, f.Nodes) }

func (f *StuckConnections) inject(_, _ context.Context, runner *scenarioRunner) {
	runner.eachNode(f.Nodes, func(n *Node) {
		runner.log.Add(Event{Kind: KindConnectionsStuck, Node: n.cfg.Number, Wait: int64(f.Duration)})
		n.Faults.BlockConnections(f.Duration)
	})
}
