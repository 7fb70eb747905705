package expect

import (
	"cmp"
	"fmt"
	"slices"
)

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

// String returns the selector's form in settings.
func (s Selector) String() string { return fmt.Sprintf("(%s %s)", s.Kind, s.Name) }

// Measure is what an expectation bounds.
type Measure string

// The measures. Each is a fraction: 1 is all there is.
const (
	Reach   Measure = "reachable" // of a volume's cells that a node holds
	Reserve Measure = "reserve"   // reserves that lie on a node or in a zone, of its capacity
	Share   Measure = "share"     // of a node that a volume's weight gives it when all volumes there ask
	Limit   Measure = "limit"     // that instances grant a volume together, of its plan's limit
	Cold    Measure = "cold"      // of a warming node's window that one instance's usual request takes
	Send    Measure = "send"      // sends to nodes in a state: only exploration can tell
)

// Takes lists the kinds of selectors to which a measure applies.
var Takes = map[Measure][]Kind{Reach: {Volumes, Plans}, Reserve: {Nodes, Zones}, Share: {Volumes, Plans},
	Limit: {Volumes, Plans}, Cold: {Nodes}, Send: {Volumes, Plans}}

// Missing is a failure under which an expectation must hold: any so many of what the selector picks, at once.
type Missing struct {
	Count int      `json:"Count"`
	Of    Selector `json:"Of"`
}

// Expectation is one bound on one measure of each thing that its selector picks.
type Expectation struct {
	Name    string   `json:"Name"`
	Place   string   `json:"Place"` // file:line:col
	Measure Measure  `json:"Measure"`
	Of      Selector `json:"Of"`
	AtMost  bool     `json:"AtMost"` // else at least
	Bound   float64  `json:"Bound"`
	Missing *Missing `json:"Gone"` // nil: with everything up
}

// worse reports whether a value is worse than another.
func (e *Expectation) worse(value, than float64) bool {
	if e.AtMost {
		return value > than
	}
	return value < than
}

// Verdict is what a check says.
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
	MissingNodes string      `json:"Case"`  // of the worst case; "" for none
	Subject      string      `json:"Thing"` // whose measure is the worst
	Value        float64     `json:"Value"` // the worst
	CasesChecked int         `json:"Cases"`
	Reason       string      `json:"Why"` // why it is undecided
}

// Contradictions returns pairs of expectations of one measure, selector and failure that cannot both hold.
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
