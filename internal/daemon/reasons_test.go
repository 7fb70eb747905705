package daemon

import "testing"

// Clients and operators match reasons by their text, so the texts must not change.
func TestReasons_KeepTheirTexts(t *testing.T) {
	for got, want := range map[string]string{
		ReasonBadRequest:      "bad-request",
		ReasonBadRange:        "bad-range",
		ReasonOverload:        "overload",
		ReasonStopping:        "stopping",
		ReasonNotInTime:       "not-in-time",
		ReasonNodeOverloaded:  "node-full",
		ReasonNodeTimeout:     "node-timeout",
		ReasonNodeUnreachable: "node-unreachable",
		ReasonNodeReset:       "node-reset",
		ReasonNodeError:       "node-error",
		ReasonCancelled:       "cancelled",
		ReasonNotApplicable:   "not-there",
		ReasonClientGone:      "client-gone",
		ReasonOverdue:         "overdue",
		ReasonTooLarge:        "answer-too-large",
	} {
		if got != want {
			t.Errorf("got reason %q, want %q", got, want)
		}
	}
}
