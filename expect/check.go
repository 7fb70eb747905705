package expect

import (
	"fmt"
	"math"
	"strings"
)

const (
	// maxCases bounds how many combinations of missing nodes are checked.
	maxCases = 100_000
	// tolerance is how far a value may miss its bound by rounding.
	tolerance = 1e-9
)

// Check checks all expectations and returns the findings in their order.
func (m *Model) Check(all []Expectation) []Finding {
	findings := make([]Finding, 0, len(all))
	for _, expectation := range all {
		findings = append(findings, m.check(expectation))
	}
	return findings
}

// check measures every case of one expectation and keeps the worst.
func (m *Model) check(e Expectation) Finding {
	if e.Measure == Send {
		return undecided(e, "what is sent when is the module's to tell: not explored yet")
	}
	groups := m.failureGroups(e.Missing)
	count := 0
	if e.Missing != nil {
		count = min(e.Missing.Count, len(groups))
	}
	if cases := combinations(len(groups), count); cases > maxCases {
		return undecided(e, fmt.Sprintf("%d of %d gone at once are %.3g cases, over %d",
			count, len(groups), cases, maxCases))
	}
	finding := m.worstCase(e, groups, count)
	if math.IsInf(finding.Value, 0) {
		undecided := undecided(e, "nothing is left to measure in any case")
		undecided.CasesChecked = finding.CasesChecked
		return undecided
	}
	bound := e.Bound - tolerance
	if e.AtMost {
		bound = e.Bound + tolerance
	}
	if e.worse(finding.Value, bound) {
		finding.Verdict = Broken
	}
	return finding
}

func undecided(e Expectation, reason string) Finding {
	return Finding{Expectation: e, Verdict: Undecided, Reason: reason}
}

// worstCase measures each choice of so many missing groups and returns the worst. Its value is infinite if
// there was nothing to measure.
func (m *Model) worstCase(e Expectation, groups []failureGroup, count int) Finding {
	worst := Finding{Expectation: e, Verdict: Holds, Value: math.Inf(1)}
	if e.AtMost {
		worst.Value = math.Inf(-1)
	}
	down := make([]bool, len(m.Nodes))
	eachCombination(len(groups), count, func(chosen []int) {
		clear(down)
		for _, group := range chosen {
			for _, node := range groups[group].nodes {
				down[node] = true
			}
		}
		worst.CasesChecked++
		m.measure(e, down, func(kind Kind, name string, value float64) {
			if e.worse(value, worst.Value) {
				worst.Value, worst.Subject = value, string(kind)+" "+name
				worst.MissingNodes = namesOf(groups, chosen)
			}
		})
	})
	return worst
}

// failureGroup is what fails together: one node, or the nodes of a zone.
type failureGroup struct {
	name  string
	nodes []int
}

func (m *Model) failureGroups(missing *Missing) (groups []failureGroup) {
	if missing == nil {
		return nil
	}
	if missing.Of.Kind == Zones {
		for _, zone := range m.selectZones(missing.Of) {
			groups = append(groups, failureGroup{"zone " + zone, m.nodesByZone[zone]})
		}
		return groups
	}
	for _, node := range m.selectNodes(missing.Of) {
		groups = append(groups, failureGroup{"node " + m.Nodes[node].Name, []int{node}})
	}
	return groups
}

func namesOf(groups []failureGroup, chosen []int) string {
	names := make([]string, len(chosen))
	for i, group := range chosen {
		names[i] = groups[group].name
	}
	return strings.Join(names, " and ")
}

// combinations is n over k, as exactly as a float can hold it.
func combinations(n, k int) float64 {
	count := 1.0
	for i := range k {
		count *= float64(n-i) / float64(i+1)
	}
	return math.Round(count)
}

// eachCombination calls f with each choice of k of n, in order. The slice is reused.
func eachCombination(n, k int, f func(chosen []int)) {
	chosen := make([]int, k)
	var choose func(position, least int)
	choose = func(position, least int) {
		if position == k {
			f(chosen)
			return
		}
		for x := least; x <= n-(k-position); x++ {
			chosen[position] = x
			choose(position+1, x+1)
		}
	}
	choose(0, 0)
}
