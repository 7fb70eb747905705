package expect

import (
	"encoding/json"
	"os"
	"testing"
)

// Other programs read findings as JSON: the keys, kinds, measures and verdicts must not change.
func TestFinding_KeepsItsJSONEncoding(t *testing.T) {
	const path = "testdata/findings.json"
	got, err := json.Marshal([]Finding{
		{
			Expectation: Expectation{
				Name:    "a",
				Place:   "f:1:2",
				Measure: Reserve,
				Of:      Selector{Nodes, "n"},
				AtMost:  true,
				Bound:   1.5,
				Missing: &Missing{Count: 2, Of: Selector{Zones, "z"}},
			},
			Verdict:      Broken,
			MissingNodes: "c",
			Subject:      "t",
			Value:        2.5,
			CasesChecked: 7,
			Reason:       "w",
		},
		{Expectation: Expectation{Measure: Reach}, Verdict: Holds},
		{Expectation: Expectation{Measure: Share}, Verdict: Undecided}})
	if err != nil {
		t.Fatal(err)
	}
	want, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	if string(got)+"\n" != string(want) {
		t.Errorf("%s: got\n%s\nwant\n%s", path, got, want)
	}
}
