package expect

import (
	"fmt"
	"math"
	"strings"
	"testing"

	"pgregory.net/rapid"
)

// twoZones returns a fleet of two zones with two nodes each, of 100 units per second, and a standby for
// cell 0 in the second zone.
func twoZones() *Fleet {
	return &Fleet{Instances: 4, ColdCapacity: 60, MeanUnits: 2,
		Plans: []Plan{{Name: "standard", Reserve: 10, Weight: 1, Limit: 50},
			{Name: "operational", Reserve: 60, Weight: 3}},
		Nodes: []Node{{"a-1", 0, "a", 100}, {"a-2", 1, "a", 100}, {"b-1", 2, "b", 100}, {"b-2", 3, "b", 100},
			{"b-spare", 0, "b", 100}},
		Volumes: []Volume{
			{Name: "charts", Plan: 0, StatedInstances: 2, PossibleInstances: 2, Cells: []int{0}},
			{Name: "model", Plan: 1, StatedInstances: 1, PossibleInstances: 1},
			{Name: "archive", Plan: 0, StatedInstances: 1, PossibleInstances: 2, Cells: []int{1, 3}}}}
}

// Each finding has the verdict, the value and the missing nodes of its worst case, and the number of cases.
func TestCheck_ReportsTheWorstCase(t *testing.T) {
	missing := func(n int, k Kind, name string) *Missing { return &Missing{n, Selector{k, name}} }
	for _, c := range []struct {
		e    Expectation
		want string
	}{
		{Expectation{Measure: Reach, Of: Selector{Volumes, "*"}, Bound: 1}, "holds 1.00  of 1"},
		{Expectation{Measure: Reach, Of: Selector{Volumes, "charts"}, Bound: 1, Missing: missing(1, Nodes,
			"*")},
			"holds 1.00 node a-1 of 5"},
		{Expectation{Measure: Reach, Of: Selector{Volumes, "charts"}, Bound: 1, Missing: missing(2, Nodes,
			"*")},
			"broken 0.00 node a-1 and node b-spare of 10"},
		{Expectation{Measure: Reach, Of: Selector{Volumes, "*"}, Bound: 1, Missing: missing(1, Nodes, "*")},
			"broken 0.50 node a-2 of 5"},
		{Expectation{Measure: Reach, Of: Selector{Plans, "operational"}, Bound: 0.5,
			Missing: missing(1, Zones, "*")}, "holds 0.50 zone b of 2"},
		// Reserves in units per second: cell 0: charts 10, model 15; cells 1 and 3: archive 5, model 15;
		// cell 2: model 15.
		{Expectation{Measure: Reserve, Of: Selector{Nodes, "*"}, AtMost: true, Bound: 0.25},
			"holds 0.25  of 1"},
		{Expectation{Measure: Reserve, Of: Selector{Nodes, "*"}, AtMost: true, Bound: 0.24},
			"broken 0.25  of 1"},
		{Expectation{Measure: Reserve, Of: Selector{Zones, "b"}, AtMost: true, Bound: 0.2,
			Missing: missing(1, Nodes, "a-*")}, "holds 0.20 node a-1 of 2"},
		{Expectation{Measure: Reserve, Of: Selector{Zones, "b"}, AtMost: true, Bound: 0.19,
			Missing: missing(1, Zones, "a")}, "broken 0.20 zone a of 1"},
		{Expectation{Measure: Share, Of: Selector{Volumes, "charts"}, Bound: 0.25}, "holds 0.25  of 1"},
		{Expectation{Measure: Share, Of: Selector{Volumes, "model"}, AtMost: true, Bound: 0.75},
			"broken 1.00  of 1"},
		{Expectation{Measure: Limit, Of: Selector{Volumes, "charts"}, AtMost: true, Bound: 1},
			"holds 1.00  of 1"},
		{Expectation{Measure: Limit, Of: Selector{Plans, "standard"}, AtMost: true, Bound: 1},
			"broken 2.00  of 1"},
		{Expectation{Measure: Cold, Of: Selector{Nodes, "*"}, AtMost: true, Bound: 0.1}, "broken 0.13  of 1"},
		{Expectation{Measure: Send, Of: Selector{Volumes, "*"}, AtMost: true}, "undecided 0.00  of 0"},
		{Expectation{Measure: Limit, Of: Selector{Volumes, "model"}, AtMost: true, Bound: 1},
			"undecided 0.00  of 1"},
	} {
		finding := New(twoZones()).Check([]Expectation{c.e})[0]
		if got := fmt.Sprintf("%s %.2f %s of %d", finding.Verdict, finding.Value, finding.MissingNodes,
			finding.CasesChecked); got != c.want {
			t.Errorf("%s %v: got %s; want %s", c.e.Measure, c.e.Of, got, c.want)
		}
		if (finding.Verdict == Undecided) != (finding.Reason != "") {
			t.Errorf("%s: undecided without a reason, or decided with one: %+v", c.e.Measure, finding)
		}
	}
}

// A reserve that is within its bound with all nodes up exceeds it with one node missing.
func TestCheck_FindsAReserveThatBreaksWithANodeMissing(t *testing.T) {
	f := twoZones()
	e := Expectation{Measure: Reserve, Of: Selector{Nodes, "b-spare"}, AtMost: true, Bound: 0.2,
		Missing: &Missing{1, Selector{Nodes, "*"}}}
	if got := New(f).Check([]Expectation{e})[0]; got.Verdict != Broken || got.MissingNodes != "node a-1" {
		t.Errorf("got %+v, want broken without node a-1", got)
	}
	e.Missing = nil
	if got := New(f).Check([]Expectation{e})[0]; got.Verdict != Holds {
		t.Errorf("with all nodes up: got %+v, want holds", got)
	}
}

// If there are too many cases, none is checked, and the finding states their number.
func TestCheck_LeavesTooManyCasesUndecided(t *testing.T) {
	f := &Fleet{Plans: []Plan{{Name: "p", Weight: 1}}, Volumes: []Volume{{Name: "v"}}}
	for i := range 200 {
		f.Nodes = append(f.Nodes, Node{Name: fmt.Sprintf("n-%d", i), Cell: i, Capacity: 1})
	}
	e := Expectation{Measure: Reach, Of: Selector{Volumes, "*"}, Missing: &Missing{4, Selector{Nodes, "*"}}}
	got := New(f).Check([]Expectation{e})[0]
	if got.Verdict != Undecided || got.CasesChecked != 0 || !strings.Contains(got.Reason, "6.47e+07 cases") {
		t.Errorf("got %+v, want undecided, no case checked, and the number of cases in the reason", got)
	}
}

// A lower bound above an upper bound is a contradiction only for the same failure; equal bounds are none.
func TestContradictions_FindsPairsThatCannotBothBeTrue(t *testing.T) {
	a := Expectation{Name: "a", Measure: Share, Of: Selector{Volumes, "x"}, Bound: 0.5}
	b := Expectation{Name: "b", Measure: Share, Of: Selector{Volumes, "x"}, AtMost: true, Bound: 0.4}
	c := b
	c.Missing = &Missing{1, Selector{Nodes, "*"}}
	if got := Contradictions([]Expectation{a, b, c}); len(got) != 1 || got[0][0].Name != "a" ||
		got[0][1].Name != "b" {
		t.Errorf("got %+v, want the pair of a and b alone", got)
	}
	b.Bound = 0.5
	if got := Contradictions([]Expectation{a, b, c}); len(got) != 0 {
		t.Errorf("got %+v, want no pair for equal bounds", got)
	}
}

// With more nodes missing, reachability never increases, and with all missing it is 0; the volumes' shares at
// each cell add up to 1; the number of checked cases is the number of combinations.
func TestModel_Properties(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := &Fleet{Instances: 3, Plans: []Plan{{Name: "p", Weight: 1, Reserve: 1}, {Name: "q", Weight: 3}}}
		for i := range rapid.IntRange(2, 6).Draw(t, "nodes") {
			f.Nodes = append(f.Nodes, Node{Name: fmt.Sprint("n", i), Zone: "z", Capacity: 10,
				Cell: rapid.IntRange(0, 3).Draw(t, "cell")})
		}
		for i := range rapid.IntRange(1, 5).Draw(t, "volumes") {
			v := Volume{Name: fmt.Sprint("v", i), Plan: rapid.IntRange(0, 1).Draw(t, "plan"),
				Count: rapid.IntRange(1, 3).Draw(t, "count")}
			if rapid.Bool().Draw(t, "one cell") {
				v.Cells = []int{f.Nodes[0].Cell}
			}
			f.Volumes = append(f.Volumes, v)
		}
		last := math.Inf(1)
		for n := range len(f.Nodes) + 1 {
			e := Expectation{
				Measure: Reach,
				Of:      Selector{Volumes, "*"},
				Missing: &Missing{n, Selector{Nodes, "*"}},
			}
			got := New(f).Check([]Expectation{e})[0]
			if got.Value > last || float64(got.CasesChecked) != binomial(len(f.Nodes), n) {
				t.Fatalf("%d nodes missing: got %v, want up to %v; %d cases",
					n, got.Value, last, got.CasesChecked)
			}
			last = got.Value
		}
		if last != 0 {
			t.Fatalf("with all nodes missing, the reachable fraction is %v, want 0", last)
		}
		m := New(f)
		for c := range m.nodesByCell {
			sum := 0.0
			for i := range f.Volumes {
				for _, x := range m.cellsOf(&f.Volumes[i]) {
					if v := f.Volumes[i]; x == c {
						sum += float64(v.Count) * f.Plans[v.Plan].Weight / m.weightByCell[c]
					}
				}
			}
			if m.weightByCell[c] > 0 && math.Abs(sum-1) > 1e-9 {
				t.Fatalf("shares at cell %d add up to %v, want 1", c, sum)
			}
		}
	})
}

// BenchmarkLargeFleet checks 50 expectations of a fleet of 200 nodes, 190 instances and 5,000 volumes.
func BenchmarkLargeFleet(b *testing.B) {
	f := &Fleet{Instances: 190, ColdCapacity: 400, MeanUnits: 2}
	for i := range 5 {
		f.Plans = append(f.Plans, Plan{Name: fmt.Sprint("plan-", i), Reserve: 1, Weight: float64(1 + i),
			Limit: 9})
	}
	for i := range 200 {
		f.Nodes = append(f.Nodes, Node{fmt.Sprint("box-", i), i, fmt.Sprint("hall-", i%5), 500})
	}
	for i := range 5000 {
		f.Volumes = append(f.Volumes, Volume{Name: fmt.Sprint("volume-", i), Plan: i % 5,
			StatedInstances: 1 + i%3, PossibleInstances: 1 + i%3,
			Cells: []int{i % 200, (i * 7) % 200, (i * 13) % 200}})
	}
	var all []Expectation
	one := &Missing{1, Selector{Nodes, "*"}}
	for range 10 {
		all = append(all, Expectation{Measure: Reach, Of: Selector{Volumes, "*"}, Missing: one},
			Expectation{Measure: Reserve, Of: Selector{Nodes, "*"}, AtMost: true, Bound: 1, Missing: one},
			Expectation{Measure: Share, Of: Selector{Volumes, "*"}, Missing: one},
			Expectation{Measure: Limit, Of: Selector{Volumes, "*"}, AtMost: true, Bound: 1},
			Expectation{Measure: Reserve, Of: Selector{Zones, "*"}, AtMost: true, Bound: 1,
				Missing: &Missing{2, Selector{Zones, "*"}}})
	}
	b.ReportAllocs()
	for b.Loop() {
		New(f).Check(all)
	}
}
