package scheduler

import (
	"testing"
	"time"
)

func TestResult_RejectsRequestTimedOutAtDeadline(t *testing.T) {
	r := start(t, settings(), 1)
	r.do(r.ask(nil))
	r.now += 4 * time.Second
	want(t, "answer", ends(r.done(1, 0, 0, TimedOut, 4*time.Second)), "refuse 1")
}
