// Package expect checks what users expect of a fleet's routing, without traffic. It does no I/O, reads no
// clock and starts no goroutine. So far it reasons over settings, placements and weights (static); what only
// the module's own behaviour can tell is said to be undecided.
package expect

import (
	"cmp"
	"fmt"
	"math"
	"path"
	"slices"
	"strings"
)

// Plan is what the settings say of a plan; rates in units a second over all instances and nodes.
type Plan struct {
	Name                   string
	Reserve, Weight, Limit float64
}

// Node is a storage node as planned.
type Node struct {
	Name     string
	Cell     int
	Zone     string
	Capacity float64 // units a second
}

// Volume is a volume, or several alike.
type Volume struct {
	Name    string
	Plan    int
	Count   int   // volumes alike; at least 1
	Writers int   // instances that its requests are said to come through
	Paths   int   // instances that they may really come through
	Cells   []int // where its data lies; empty: all cells
}

// Fleet is what is checked.
type Fleet struct {
	Instances int
	Plans     []Plan
	Nodes     []Node // of two with one cell, the first that is up holds it
	Volumes   []Volume
	ColdUnits float64 // that a cold node bears in a window from all instances
	MeanUnits float64 // of the usual request
}

// Kind says what a selector picks.
type Kind string

// The kinds.
const (
	Volumes Kind = "volume"
	Plans   Kind = "plan" // the volumes of plans
	Nodes   Kind = "node"
	Zones   Kind = "zone"
)

// Selector picks things by a name, in which * stands for any text.
type Selector struct {
	Kind Kind   `json:"Kind"`
	Name string `json:"Name"`
}

func (s Selector) String() string { return fmt.Sprintf("(%s %s)", s.Kind, s.Name) }

// Measure is what a claim bounds.
type Measure string

// The measures. Each is a part: 1 is all there is.
const (
	Reach   Measure = "reachable" // part of a volume's cells that a node holds
	Reserve Measure = "reserve"   // reserves that lie on a node or in a zone, of its capacity
	Share   Measure = "share"     // of a node that a volume's weight gives it when all volumes there ask
	Limit   Measure = "limit"     // that instances grant a volume together, of its plan's limit
	Cold    Measure = "cold"      // part of a cold window's units that one instance's usual request takes
	Send    Measure = "send"      // sends to nodes in a state: only exploration can tell
)

// Takes lists the kinds of selectors that a measure is of.
var Takes = map[Measure][]Kind{Reach: {Volumes, Plans}, Reserve: {Nodes, Zones}, Share: {Volumes, Plans},
	Limit: {Volumes, Plans}, Cold: {Nodes}, Send: {Volumes, Plans}}

// Gone is a failure that the claim must outlast: any so many of what the selector picks, at once.
type Missing struct {
	Count int      `json:"Count"`
	Of    Selector `json:"Of"`
}

// Expectation is one claim over one measure of each thing that its selector picks.
type Expectation struct {
	Name    string   `json:"Name"`
	Place   string   `json:"Place"` // file:line:col
	Measure Measure  `json:"Measure"`
	Of      Selector `json:"Of"`
	AtMost  bool     `json:"AtMost"` // else at least
	Bound   float64  `json:"Bound"`
	Missing *Missing `json:"Gone"` // nil: with everything up
}

// Verdict is what a check says.
type Verdict string

// The verdicts.
const (
	Holds     Verdict = "holds"
	Broken    Verdict = "broken"
	Undecided Verdict = "undecided"
)

// Finding is what came of one expectation.
type Finding struct {
	Expectation  Expectation `json:"Expectation"`
	Verdict      Verdict     `json:"Verdict"`
	MissingNodes string      `json:"Case"`  // what is gone; "" for nothing
	Subject      string      `json:"Thing"` // whose measure it is
	Value        float64     `json:"Value"` // the worst found
	CasesChecked int         `json:"Cases"` // that were looked at
	Reason       string      `json:"Why"`   // undecided: why
}

// mostCases bounds how many combinations of what may be gone at once are looked at.
const mostCases = 100_000

// Check looks at all expectations, in their order.
func (m *Model) Check(all []Expectation) []Finding {
	out := make([]Finding, 0, len(all))
	for _, e := range all {
		out = append(out, m.check(e))
	}
	return out
}

// Empty tells whether a selector picks nothing: a name that matches nothing is a mistake.
func (m *Model) Empty(s Selector) bool {
	switch s.Kind {
	case Nodes:
		return len(m.nodes(s)) == 0
	case Zones:
		return len(m.zones(s)) == 0
	}
	return len(m.volumes(s)) == 0
}

// Model is a fleet prepared for many questions. It is not safe for use by several goroutines.
type Model struct {
	*Fleet
	cells   []int            // all, in order
	holders map[int][]int    // nodes by cell, in order
	reserve map[int]float64  // by cell
	weight  map[int]float64  // by cell, of all volumes there
	all     map[string][]int // volumes by what their selector is
	byZone  map[string][]int // nodes
	zoned   []string         // zones, in order
}

// New prepares a fleet, which must not change afterwards.
func New(f *Fleet) *Model {
	m := &Model{Fleet: f, holders: map[int][]int{}, reserve: map[int]float64{}, weight: map[int]float64{},
		all: map[string][]int{}, byZone: map[string][]int{}}
	for i, n := range f.Nodes {
		m.holders[n.Cell] = append(m.holders[n.Cell], i)
		if m.byZone[n.Zone] == nil {
			m.zoned = append(m.zoned, n.Zone)
		}
		m.byZone[n.Zone] = append(m.byZone[n.Zone], i)
	}
	for c := range m.holders {
		m.cells = append(m.cells, c)
	}
	slices.Sort(m.cells)
	for i := range f.Volumes {
		v, cells := &f.Volumes[i], m.cellsOf(&f.Volumes[i])
		p, count := f.Plans[v.Plan], float64(max(1, v.Count))
		for _, c := range cells {
			m.reserve[c] += count * p.Reserve / float64(len(cells))
			m.weight[c] += count * p.Weight
		}
	}
	return m
}

func (m *Model) cellsOf(v *Volume) []int {
	if len(v.Cells) == 0 {
		return m.cells
	}
	return v.Cells
}

func matches(pattern, name string) bool {
	ok, err := path.Match(pattern, name)
	return err == nil && ok
}

func (m *Model) nodes(s Selector) (out []int) {
	for i, n := range m.Nodes {
		if matches(s.Name, n.Name) {
			out = append(out, i)
		}
	}
	return out
}

func (m *Model) zones(s Selector) (out []string) {
	for _, z := range m.zoned {
		if matches(s.Name, z) {
			out = append(out, z)
		}
	}
	return out
}

// volumes are those that a selector picks, by their own names or by their plans', one for all that differ in
// nothing but their names: thousands of volumes are mostly of few kinds.
func (m *Model) volumes(s Selector) []int {
	key := s.String()
	if out, ok := m.all[key]; ok {
		return out
	}
	var out []int
	seen := map[string]bool{}
	for i, v := range m.Volumes {
		name := v.Name
		if s.Kind == Plans {
			name = m.Plans[v.Plan].Name
		}
		if !matches(s.Name, name) {
			continue
		}
		if kind := fmt.Sprint(v.Plan, v.Writers, v.Paths, v.Cells); !seen[kind] {
			seen[kind] = true
			out = append(out, i)
		}
	}
	m.all[key] = out
	return out
}

// check looks at every case of one expectation and keeps the worst.
func (m *Model) check(e Expectation) Finding {
	out := Finding{Expectation: e, Verdict: Holds, Value: math.Inf(1)}
	if e.AtMost {
		out.Value = math.Inf(-1)
	}
	if e.Measure == Send {
		out.Verdict, out.Value = Undecided, 0
		out.Reason = "what is sent when is the module's to tell: not explored yet"
		return out
	}
	groups, names := m.groups(e.Missing)
	count := 0
	if e.Missing != nil {
		count = min(e.Missing.Count, len(groups))
	}
	if n := choose(len(groups), count); n > mostCases {
		out.Verdict, out.Value = Undecided, 0
		out.Reason = fmt.Sprintf("%d of %d gone at once are %.3g cases, over %d", count, len(groups), n,
			mostCases)
		return out
	}
	down := make([]bool, len(m.Nodes))
	eachChoice(len(groups), count, func(chosen []int) {
		clear(down)
		for _, g := range chosen {
			for _, n := range groups[g] {
				down[n] = true
			}
		}
		out.CasesChecked++
		m.measure(e, down, func(kind Kind, name string, value float64) {
			worse := value < out.Value
			if e.AtMost {
				worse = value > out.Value
			}
			if worse {
				out.Value, out.Subject = value, string(kind)+" "+name
				var gone []string
				for _, g := range chosen {
					gone = append(gone, names[g])
				}
				out.MissingNodes = strings.Join(gone, " and ")
			}
		})
	})
	if math.IsInf(out.Value, 0) {
		out.Verdict, out.Value, out.Reason = Undecided, 0, "nothing is left to measure in any case"
		return out
	}
	const rounding = 1e-9
	if e.AtMost && out.Value > e.Bound+rounding || !e.AtMost && out.Value < e.Bound-rounding {
		out.Verdict = Broken
	}
	return out
}

// groups are what may be gone: nodes one by one, or the nodes of a zone together.
func (m *Model) groups(g *Missing) (groups [][]int, names []string) {
	if g == nil {
		return nil, nil
	}
	if g.Of.Kind == Zones {
		for _, z := range m.zones(g.Of) {
			groups, names = append(groups, m.byZone[z]), append(names, "zone "+z)
		}
		return groups, names
	}
	for _, n := range m.nodes(g.Of) {
		groups, names = append(groups, []int{n}), append(names, "node "+m.Nodes[n].Name)
	}
	return groups, names
}

// choose is n over k, as far as a float tells.
func choose(n, k int) float64 {
	out := 1.0
	for i := range k {
		out *= float64(n-i) / float64(i+1)
	}
	return math.Round(out)
}

// eachChoice calls f with each choice of k of n, in order.
func eachChoice(n, k int, f func([]int)) {
	chosen := make([]int, k)
	var from func(at, least int)
	from = func(at, least int) {
		if at == k {
			f(chosen)
			return
		}
		for x := least; x <= n-(k-at); x++ {
			chosen[at] = x
			from(at+1, x+1)
		}
	}
	from(0, 0)
}

// holder is the node that holds a cell while some are down; -1: none.
func (m *Model) holder(cell int, down []bool) int {
	for _, n := range m.holders[cell] {
		if !down[n] {
			return n
		}
	}
	return -1
}

// measure tells the value of an expectation's measure for each thing that it is about, in one case.
func (m *Model) measure(e Expectation, down []bool, tell func(kind Kind, name string, value float64)) {
	switch e.Measure {
	case Reserve:
		m.reserves(e.Of, down, tell)
	case Reach:
		up := map[int]bool{}
		for _, c := range m.cells {
			up[c] = m.holder(c, down) >= 0
		}
		for _, v := range m.volumes(e.Of) {
			cells, n := m.cellsOf(&m.Volumes[v]), 0
			for _, c := range cells {
				if up[c] {
					n++
				}
			}
			tell(Volumes, m.Volumes[v].Name, part(float64(n), float64(len(cells))))
		}
	case Share:
		for _, v := range m.volumes(e.Of) {
			vol := &m.Volumes[v]
			least, most := math.Inf(1), 0.0
			for _, c := range m.cellsOf(vol) {
				if m.holder(c, down) >= 0 {
					s := part(m.Plans[vol.Plan].Weight, m.weight[c])
					least, most = min(least, s), max(most, s)
				}
			}
			switch {
			case e.AtMost:
				tell(Volumes, vol.Name, most)
			case !math.IsInf(least, 1):
				tell(Volumes, vol.Name, least)
			default:
				tell(Volumes, vol.Name, 0) // no node holds anything of it
			}
		}
	case Limit:
		for _, v := range m.volumes(e.Of) {
			vol := &m.Volumes[v]
			if m.Plans[vol.Plan].Limit > 0 {
				// Each instance grants the limit's even part of the writers that requests tell of.
				tell(Volumes, vol.Name, float64(max(1, vol.Paths))/float64(max(1, vol.Writers)))
			}
		}
	case Cold:
		for _, n := range m.nodes(e.Of) {
			if !down[n] {
				tell(Nodes, m.Nodes[n].Name, part(m.MeanUnits*float64(max(1, m.Instances)), m.ColdUnits))
			}
		}
	}
}

// reserves adds up what lies on each node, or in each zone, that is up.
func (m *Model) reserves(of Selector, down []bool, tell func(Kind, string, float64)) {
	load := make([]float64, len(m.Nodes))
	for _, c := range m.cells {
		if n := m.holder(c, down); n >= 0 {
			load[n] += m.reserve[c]
		}
	}
	if of.Kind == Nodes {
		for _, n := range m.nodes(of) {
			if !down[n] {
				tell(Nodes, m.Nodes[n].Name, part(load[n], m.Nodes[n].Capacity))
			}
		}
		return
	}
	for _, z := range m.zones(of) {
		sum, capacity := 0.0, 0.0
		for _, n := range m.byZone[z] {
			if !down[n] {
				sum, capacity = sum+load[n], capacity+m.Nodes[n].Capacity
			}
		}
		if capacity > 0 {
			tell(Zones, z, part(sum, capacity))
		}
	}
}

// part is a of b; of nothing, something is more than any bound and nothing is none.
func part(a, b float64) float64 {
	switch {
	case b > 0:
		return a / b
	case a > 0:
		return math.MaxFloat64
	}
	return 0
}

// Contradictions are pairs of expectations of one measure, selector and failure that cannot both hold.
func Contradictions(all []Expectation) (out [][2]Expectation) {
	same := func(a, b Expectation) bool {
		gone := a.Missing == nil && b.Missing == nil ||
			a.Missing != nil && b.Missing != nil && *a.Missing == *b.Missing
		return a.Measure == b.Measure && a.Of == b.Of && gone
	}
	for i, a := range all {
		for _, b := range all[:i] {
			if same(a, b) && a.AtMost != b.AtMost {
				least, most := a, b
				if a.AtMost {
					least, most = b, a
				}
				if least.Bound > most.Bound {
					out = append(out, [2]Expectation{b, a})
				}
			}
		}
	}
	slices.SortStableFunc(out, func(x, y [2]Expectation) int { return cmp.Compare(x[0].Place, y[0].Place) })
	return out
}
