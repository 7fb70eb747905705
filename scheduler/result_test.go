package scheduler

import (
	"testing"
	"time"
)

// A request whose attempt times out at the client's deadline must still be answered.
func TestResult_RejectsRequestTimedOutAtDeadline(t *testing.T) {
	driver := startDriver(t, smallSiteSettings(), 1)
	driver.handle(driver.newRequest(nil))
	driver.now += 4 * time.Second
	answers := finalAnswers(driver.finishAttempt(1, 0, 0, TimedOut, 4*time.Second))
	wantEqual(t, "answers", answers, "reject 1")
}
