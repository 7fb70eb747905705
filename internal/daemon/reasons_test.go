package daemon

import "testing"

// Reason words reach clients and operators: they are part of the interface.
func TestReasonWords(t *testing.T) {
	for got, want := range map[string]string{
		ReasonBad:         "bad-request",
		ReasonRange:       "bad-range",
		ReasonOverload:    "overload",
		ReasonStopping:    "stopping",
		ReasonHeld:        "not-in-time",
		ReasonFull:        "node-full",
		ReasonTimeout:     "node-timeout",
		ReasonUnreachable: "node-unreachable",
		ReasonReset:       "node-reset",
		ReasonError:       "node-error",
		ReasonCancelled:   "cancelled",
		ReasonMoot:        "not-there",
		ReasonClientGone:  "client-gone",
		ReasonOverdue:     "overdue",
		ReasonTooLarge:    "answer-too-large",
	} {
		if got != want {
			t.Errorf("reason %q, want %q", got, want)
		}
	}
}
