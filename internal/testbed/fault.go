package testbed

import (
	"context"
	"fmt"
	"time"

	"landingpaddle/internal/sexpr"
)

// Fault is one fault, injected at a time measured from the start of the traffic. Exactly one of its forms is
// set.
type Fault struct {
	At               time.Duration     `s:",arg"`
	Pos              sexpr.Pos         `s:",pos"`
	Crash            *Crash            `s:"crash"`
	RollingRestart   *RollingRestart   `s:"roll"`
	Stall            *Stall            `s:"stall"`
	Burst            *Burst            `s:"burst"`
	Surge            *Surge            `s:"surge"`
	HeavyRequests    *HeavyRequests    `s:"heavy"`
	SlowNodes        *SlowNodes        `s:"slow"`
	Neighbour        *Neighbour        `s:"neighbour"`
	StaleRegistry    *StaleRegistry    `s:"stale-list"`
	RegistryDown     *RegistryDown     `s:"list-down"`
	Reconnect        *Reconnect        `s:"reconnect"`
	ImpatientClients *ImpatientClients `s:"impatient"`
	MassRestart      *MassRestart      `s:"mass-restart"`
	KillNodes        *KillNodes        `s:"kill-node"`
	Drain            *Drain            `s:"drain"`
	LoseAnswers      *LoseAnswers      `s:"lose-answers"`
	Hang             *Hang             `s:"hang"`
	ResetConnections *ResetConnections `s:"reset"`
	CorruptAnswers   *CorruptAnswers   `s:"corrupt"`
	PauseNodes       *PauseNodes       `s:"stand-still"`
	StuckConnections *StuckConnections `s:"stuck-connections"`
}

// faultForm is one form of a fault.
type faultForm interface {
	// check reports parameters that are not valid in the scenario.
	check(scenario *Scenario) error
	// inject injects the fault. It may block until the fault or the traffic ends: traffic is the context that
	// ends with the traffic, ctx the one that ends with the run.
	inject(ctx, traffic context.Context, runner *scenarioRunner)
}

// forms returns the forms that are set.
func (f *Fault) forms() []faultForm {
	var forms []faultForm
	forms = appendIfSet(forms, f.Crash)
	forms = appendIfSet(forms, f.RollingRestart)
	forms = appendIfSet(forms, f.Stall)
	forms = appendIfSet(forms, f.Burst)
	forms = appendIfSet(forms, f.Surge)
	forms = appendIfSet(forms, f.HeavyRequests)
	forms = appendIfSet(forms, f.SlowNodes)
	forms = appendIfSet(forms, f.Neighbour)
	forms = appendIfSet(forms, f.StaleRegistry)
	forms = appendIfSet(forms, f.RegistryDown)
	forms = appendIfSet(forms, f.Reconnect)
	forms = appendIfSet(forms, f.ImpatientClients)
	forms = appendIfSet(forms, f.MassRestart)
	forms = appendIfSet(forms, f.KillNodes)
	forms = appendIfSet(forms, f.Drain)
	forms = appendIfSet(forms, f.LoseAnswers)
	forms = appendIfSet(forms, f.Hang)
	forms = appendIfSet(forms, f.ResetConnections)
	forms = appendIfSet(forms, f.CorruptAnswers)
	forms = appendIfSet(forms, f.PauseNodes)
	return appendIfSet(forms, f.StuckConnections)
}

func appendIfSet[T any, P interface {
	*T
	faultForm
}](forms []faultForm, form P) []faultForm {
	if form == nil {
		return forms
	}
	return append(forms, form)
}

// check reports a fault without exactly one form, or with invalid parameters. The error gives its position.
func (f *Fault) check(scenario *Scenario) error {
	forms := f.forms()
	if len(forms) != 1 {
		return sexpr.Errorf(f.Pos, "(at …) names %d faults; want one", len(forms))
	}
	return sexpr.WithPos(f.Pos, forms[0].check(scenario))
}

func checkNodes(scenario *Scenario, nodes []int) error {
	return checkNumbers("node", nodes, scenario.Nodes.Count)
}

func checkInstances(scenario *Scenario, instances []int) error {
	return checkNumbers("instance", instances, scenario.Instances)
}

func checkNumbers(kind string, numbers []int, count int) error {
	for _, number := range numbers {
		if number < 0 || number >= count {
			return fmt.Errorf("%s %d: there are 0 to %d", kind, number, count-1)
		}
	}
	return nil
}
