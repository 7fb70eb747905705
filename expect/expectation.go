package expect

import (
	"cmp"
	"fmt"
	"slices"
)

// Kind is the kind of objects that a selector selects.
type Kind string

// The kinds.
const (
	Volumes Kind = "volume"
	Plans   Kind = "plan" // the volumes of plans
	Nodes   Kind = "node"
	Zones   Kind = "zone"
)

// Selector selects objects of a kind by name. Name is a pattern of path.Match: * matches any text without a
// slash.
type Selector struct {
	Kind Kind   `json:"Kind"`
	Name string `json:"Name"`
}

// String returns the selector as it is written in settings.
func (s Selector) String() string { return fmt.Sprintf("(%s %s)", s.Kind, s.Name) }

// Measure is the quantity that an expectation bounds.
type Measure string

// The measures. Each is a fraction: 1 is the whole.
const (
	Reach   Measure = "reachable" // part of a volume's cells that nodes serve
	Reserve Measure = "reserve"   // reserves on a node or in a zone, relative to its capacity
	Share   Measure = "share"     // a volume's share of a node on which all volumes are active, by weight
	Limit   Measure = "limit"     // rate that all instances together grant a volume, relative to its limit
	Cold    Measure = "cold"      // one mean-sized request per instance, relative to a cold node's capacity
	Send    Measure = "send"      // attempts sent; always undecided: the send order depends on the scheduler
)

// SelectorKinds lists the kinds of selectors that each measure accepts.
var SelectorKinds = map[Measure][]Kind{
	Reach: {Volumes, Plans}, Reserve: {Nodes, Zones}, Share: {Volumes, Plans},
	Limit: {Volumes, Plans}, Cold: {Nodes}, Send: {Volumes, Plans},
}

// Missing is a failure under which an expectation must be true: any Count of the selected nodes or zones are
// missing at the same time.
type Missing struct {
	Count int      `json:"Count"`
	Of    Selector `json:"Of"`
}

// Expectation is a bound on one measure of every selected object.
type Expectation struct {
	Name    string   `json:"Name"`
	Place   string   `json:"Place"` // file:line:col
	Measure Measure  `json:"Measure"`
	Of      Selector `json:"Of"`
	AtMost  bool     `json:"AtMost"` // Bound is an upper bound; false: a lower bound
	Bound   float64  `json:"Bound"`
	Missing *Missing `json:"Gone"` // nil: no nodes are missing
}

// worse reports whether a value is worse than another for this expectation.
func (e *Expectation) worse(value, than float64) bool {
	if e.AtMost {
		return value > than
	}
	return value < than
}

// Verdict is the result of a check.
type Verdict string

// The verdicts.
const (
	Holds     Verdict = "holds"
	Broken    Verdict = "broken"
	Undecided Verdict = "undecided"
)

// Finding is the result of checking one expectation. The JSON keys are read by other programs and must not
// change.
type Finding struct {
	Expectation  Expectation `json:"Expectation"`
	Verdict      Verdict     `json:"Verdict"`
	MissingNodes string      `json:"Case"`  // in the worst case; "": none
	Subject      string      `json:"Thing"` // the object with the worst value
	Value        float64     `json:"Value"` // the worst value
	CasesChecked int         `json:"Cases"`
	Reason       string      `json:"Why"` // why the verdict is Undecided; "" otherwise
}

// Contradictions returns the pairs of expectations of the same measure, selector and failure that cannot both
// be true, ordered by the place of the first.
func Contradictions(all []Expectation) (pairs [][2]Expectation) {
	for i, later := range all {
		for _, earlier := range all[:i] {
			if contradict(earlier, later) {
				pairs = append(pairs, [2]Expectation{earlier, later})
			}
		}
	}
	slices.SortStableFunc(pairs, func(a, b [2]Expectation) int { return cmp.Compare(a[0].Place, b[0].Place) })
	return pairs
}

func contradict(a, b Expectation) bool {
	if a.Measure != b.Measure || a.Of != b.Of || !sameFailure(a.Missing, b.Missing) || a.AtMost == b.AtMost {
		return false
	}
	if a.AtMost {
		a, b = b, a
	}
	return a.Bound > b.Bound
}

func sameFailure(a, b *Missing) bool {
	if a == nil || b == nil {
		return a == b
	}
	return *a == *b
}
