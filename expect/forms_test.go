package expect

import (
	"encoding/json"
	"testing"
)

// Findings are printed as JSON for other programs: their keys and words stay.
func TestFindingsAsJSON(t *testing.T) {
	const want = `[{"Expectation":{"Name":"a","Place":"f:1:2","Measure":"reserve","Of":{"Kind":"node","Name":"n"},"AtMost":true,"Bound":1.5,"Gone":{"Count":2,"Of":{"Kind":"zone","Name":"z"}}},"Verdict":"broken","Case":"c","Thing":"t","Value":2.5,"Cases":7,"Why":"w"},{"Expectation":{"Name":"","Place":"","Measure":"reachable","Of":{"Kind":"","Name":""},"AtMost":false,"Bound":0,"Gone":null},"Verdict":"holds","Case":"","Thing":"","Value":0,"Cases":0,"Why":""},{"Expectation":{"Name":"","Place":"","Measure":"share","Of":{"Kind":"","Name":""},"AtMost":false,"Bound":0,"Gone":null},"Verdict":"undecided","Case":"","Thing":"","Value":0,"Cases":0,"Why":""}]`
	got, err := json.Marshal([]Finding{
		{Expectation: Expectation{Name: "a", Place: "f:1:2", Measure: Reserve, Of: Selector{Nodes, "n"}, AtMost: true,
			Bound: 1.5, Gone: &Gone{Count: 2, Of: Selector{Zones, "z"}}}, Verdict: Broken, Case: "c", Thing: "t",
			Value: 2.5, Cases: 7, Why: "w"},
		{Expectation: Expectation{Measure: Reach}, Verdict: Holds},
		{Expectation: Expectation{Measure: Share}, Verdict: Undecided}})
	if err != nil {
		t.Fatal(err)
	}
	if string(got) != want {
		t.Errorf("got\n%s\nwant\n%s", got, want)
	}
}
