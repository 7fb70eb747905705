package testbed

import (
	"strings"
	"testing"
)

func TestScenario_ErrorsGiveThePosition(t *testing.T) {
	scenarioWith := func(more string) string {
		return "(day (length 1s) (site (class r (aim 1s) (deadline 2s)) (plan p (rate 1)))\n" + more + ")"
	}
	for _, c := range []struct{ more, want string }{
		{"(at 1s (slow (nodes 9) (times 2) (for 1s)))", "d:2:1: node 9: there are 0 to 3"},
		{"(at 1s (crash (instances 7)))", "d:2:1: instance 7"},
		{"(at 1s)", "d:2:1: (at …) names 0 faults; want one"},
		{"(at 1s (list-down (for 1s)) (reconnect (share 1)))", "d:2:1: (at …) names 2 faults"},
		{"(at 1s (mass-restart (zone x) (back 1s)))", "d:2:1: zone x"},
		{"(traffic (class x) (plan p) (rate 1))", "d:1:1: traffic of class x"},
		{"(traffic (class r) (plan p) (rate 1) (units 3 1))", "d:2:1: (units …) requires"},
		{"(at 1s (surge (plan q) (times 2) (for 1s)))", "d:2:1: plan q"},
	} {
		_, err := ParseScenario("d", []byte(scenarioWith(c.more)))
		if err == nil || !strings.HasPrefix(err.Error(), c.want) {
			t.Errorf("%s: got %v, want an error that begins with %s", c.more, err, c.want)
		}
	}
}
