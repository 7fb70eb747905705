package daemon

import "testing"

// Reason words reach clients and operators: they are part of the interface.
func TestReasons_KeepTheirWords(t *testing.T) {
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
			t.Errorf("reason %q, want %q", got, want)
		}
	}
}
