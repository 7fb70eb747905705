package expect

import (
	"fmt"
	"math"
	"strings"
)

const (
	// maxCases is the largest number of combinations of missing nodes or zones checked for one expectation.
	maxCases = 100_000
	// tolerance is the rounding error by which a value may miss its bound.
	tolerance = 1e-9
)

// Check checks all expectations and returns one finding for each, in the same order.
func (m *Model) Check(all []Expectation) []Finding {
	findings := make([]Finding, 0, len(all))
	for _, expectation := range all {
		findings = append(findings, m.check(expectation))
	}
	return findings
}

// check measures every case of one expectation and returns the worst as its finding. The finding is undecided
// if the measure depends on the scheduler, if there are too many cases, or if there is nothing to measure.
func (m *Model) check(e Expectation) Finding {
	if e.Measure == Send {
		return undecided(e, "the send order depends on the scheduler's behaviour, which is not explored yet")
	}
	groups := m.failureGroups(e.Missing)
	count := 0
	if e.Missing != nil {
		count = min(e.Missing.Count, len(groups))
	}
	if cases := binomial(len(groups), count); cases > maxCases {
		return undecided(e, fmt.Sprintf("%d of %d missing at once are %.3g cases; the limit is %d",
			count, len(groups), cases, maxCases))
	}
	finding := m.worstCase(e, groups, count)
	if math.IsInf(finding.Value, 0) {
		result := undecided(e, "there is nothing to measure in any case")
		result.CasesChecked = finding.CasesChecked
		return result
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

// worstCase measures each choice of count missing groups and returns the worst. Its value is infinite if
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

// failureGroup is a set of nodes that fail together: one node, or all nodes of a zone.
type failureGroup struct {
	name  string
	nodes []int
}

// failureGroups returns the selected zones or nodes as groups; none if no nodes are missing.
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

// binomial returns the binomial coefficient n over k, rounded to an integer; large results are approximate.
func binomial(n, k int) float64 {
	count := 1.0
	for i := range k {
		count *= float64(n-i) / float64(i+1)
	}
	return math.Round(count)
}

// eachCombination calls f with each choice of k numbers from 0 to n-1, in lexicographic order. The slice is
// valid only during the call.
func eachCombination(n, k int, f func(chosen []int)) {
	chosen := make([]int, k)
	var choose func(position, lowest int)
	choose = func(position, lowest int) {
		if position == k {
			f(chosen)
			return
		}
		for x := lowest; x <= n-(k-position); x++ {
			chosen[position] = x
			choose(position+1, x+1)
		}
	}
	choose(0, 0)
}
