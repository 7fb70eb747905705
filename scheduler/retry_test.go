package scheduler

import (
	"fmt"
	"testing"
	"time"
)

// Whether a request is retried, fails or is rejected after an attempt depends on the idempotency of its class
// and on whether the attempt may have run.
func TestRetry_FollowsIdempotency(t *testing.T) {
	idempotent := smallSiteSettings().Classes[0]
	notIdempotent := Class{LatencyObjective: time.Second, Deadline: 4 * time.Second,
		Idempotency: NotIdempotent}
	byKeyInCell := Class{LatencyObjective: time.Second, Deadline: 4 * time.Second,
		Idempotency: IdempotentByKey, DedupScope: DedupCell, DedupWindow: 500 * ms}
	byKeyInAll := byKeyInCell
	byKeyInAll.DedupScope = DedupAll
	for _, test := range []struct {
		name    string
		class   Class
		code    ResultCode
		elapsed time.Duration // from the send to the result
		retries int
		answer  string // "": none yet
	}{
		{"idempotent, reset", idempotent, Reset, 100 * ms, 1, ""},
		{"not idempotent, may have run", notIdempotent, Reset, 100 * ms, 0, "fail 1"},
		{"not idempotent, never ran", notIdempotent, Overloaded, 100 * ms, 1, ""},
		{"by key, within its window", byKeyInCell, Error, 100 * ms, 1, ""},
		{"by key, past its window", byKeyInCell, Error, 600 * ms, 0, "fail 1"},
		{"by key at all nodes, past its window", byKeyInAll, Error, 600 * ms, 0, "reject 1"},
		{"by key, never ran", byKeyInCell, Overloaded, 600 * ms, 1, ""},
	} {
		t.Run(test.name, func(t *testing.T) {
			settings := smallSiteSettings()
			settings.Classes[0] = test.class
			driver := startDriver(t, settings, 1)
			driver.handle(driver.newRequest(nil))
			driver.now += test.elapsed
			actions := driver.finishAttempt(1, 0, 0, test.code, ms)
			actions = append(actions, driver.advance(2*initialBackoff)...)
			answer := append(finalAnswers(actions), "")[0]
			if retries := len(sentIDs(actions)); retries != test.retries || answer != test.answer {
				t.Errorf("got %d retries and answer %q, want %d and %q", retries, answer, test.retries,
					test.answer)
			}
		})
	}
}

func TestRetry_StaysWithinDeduplicationScope(t *testing.T) {
	settings := smallSiteSettings()
	settings.Classes[0].Idempotency, settings.Classes[0].DedupScope = IdempotentByKey, DedupZone
	settings.Classes[0].DedupWindow = time.Minute
	driver := startDriver(t, settings, 2)
	driver.scheduler.now = driver.now
	r := &request{class: driver.scheduler.classes[0], attempts: 1, mayHaveRunSince: driver.now,
		mayHaveRunOn: &node{Endpoint: Endpoint{Zone: 1}}}
	n := driver.node(0)
	if driver.scheduler.mayRetry(r, n) {
		t.Error("retry outside its zone: got allowed, want not allowed")
	}
	n.Zone = 1
	if !driver.scheduler.mayRetry(r, n) {
		t.Error("retry inside its zone: got not allowed, want allowed")
	}
}

// A retry of a request that is idempotent by key and may have run carries the time by which it must begin, as
// its connection may take long to be established. A first attempt, and any attempt of an idempotent request,
// may begin at any time.
func TestRetry_CarriesStartDeadline(t *testing.T) {
	for _, byKey := range []bool{true, false} {
		t.Run(fmt.Sprint("byKey=", byKey), func(t *testing.T) {
			settings := smallSiteSettings()
			if byKey {
				settings.Classes[0].Idempotency, settings.Classes[0].DedupScope = IdempotentByKey, DedupCell
				settings.Classes[0].DedupWindow = 700 * ms
			}
			driver := startDriver(t, settings, 1)
			r := driver.newRequest(nil)
			firstSentAt, events := driver.now, []Event{r}
			for attempt, want := range []time.Duration{0, firstSentAt + 700*ms - timingMargin} {
				var startBefore time.Duration
				for _, action := range driver.handle(events...) {
					if send, ok := action.(Send); ok {
						startBefore = send.StartBefore
					}
				}
				if !byKey {
					want = 0
				}
				if startBefore != want {
					t.Errorf("attempt %d: got a start deadline of %v, want %v", attempt, startBefore, want)
				}
				driver.scheduler.Handle(driver.now, AttemptResult{ID: r.ID, Attempt: attempt,
					Server: testServer(0), Code: Reset, Latency: ms})
				events = nil
				driver.now += 20 * ms
			}
		})
	}
}

// Where writes are not idempotent and rejections state no Retry-After, a write that may have run fails as
// soon as its attempt ends: it is neither rejected nor retried. A write that never ran is finally rejected.
func TestRetry_NonIdempotentWriteThatMayHaveRunFails(t *testing.T) {
	settings := smallSiteSettings()
	settings.RetryAfter = false
	settings.RetryBudget, settings.RetryBudgetFloor, settings.RetryBudgetWindow = true, 3, 5*time.Second
	settings.Classes[0].Idempotency, settings.Classes[0].Writes = NotIdempotent, true
	for _, code := range []ResultCode{Error, TimedOut, Reset, Cancelled} {
		t.Run(fmt.Sprint("may have run/code=", code), func(t *testing.T) {
			driver := startDriver(t, settings, 2)
			driver.handle(driver.newRequest(asNewObject))
			n := driver.scheduler.requests[1].node
			actions := driver.finishAttempt(1, 0, int(n.Cell), code, 50*ms)
			wantEqual(t, "answers", finalAnswers(actions), "fail 1")
			wantEqual(t, "retries", sentIDs(actions))
		})
	}
	for _, code := range []ResultCode{Overloaded, ConnectFailed} {
		t.Run(fmt.Sprint("never ran/code=", code), func(t *testing.T) {
			driver := startDriver(t, settings, 1)
			driver.handle(driver.newRequest(nil))
			driver.node(0).latency = 3 * time.Second // would be the Retry-After if rejections stated one
			driver.finishAttempt(1, 0, 0, code, ms)
			driver.advance(time.Second)
			if answers := finalAnswers(driver.actions); len(answers) != 1 {
				t.Errorf("got answers %v, want one", answers)
			}
			for _, action := range driver.actions {
				if reject, ok := action.(Reject); ok && reject.RetryAfter != 0 {
					t.Errorf("Retry-After: got %v, want none", reject.RetryAfter)
				}
				if _, ok := action.(Fail); ok {
					t.Error("got a failure, want a rejection, as nothing ran")
				}
			}
		})
	}
}

func TestRetryBudget_IsFloorPlusRatio(t *testing.T) {
	settings := smallSiteSettings()
	settings.RetryBudget, settings.RetryBudgetWindow = true, time.Second
	settings.RetryBudgetFloor, settings.RetryBudgetRatio = 1, 0.5
	driver := startDriver(t, settings, 1)
	driver.handle(driver.newRequest(nil), driver.newRequest(nil), driver.newRequest(nil),
		driver.newRequest(nil))
	for id := uint32(1); id <= 4; id++ {
		driver.finishAttempt(id, 0, 0, Error, ms)
		driver.node(0).failures = 0
		driver.handle()
	}
	if got := len(sentIDs(driver.actions)) - 4; got != 3 {
		t.Errorf("got %d retries, want 1 + 0.5 x 4 = 3", got)
	}
}

// retryBudgetCheck counts admissions and retries of one scheduler and checks them against a retry budget.
type retryBudgetCheck struct {
	window     time.Duration
	floor      float64
	ratio      float64
	admissions []time.Duration
	retries    []time.Duration
}

// recordRetry records a retry and checks that the retries within the window stay within the budget.
func (c *retryBudgetCheck) recordRetry(t *testing.T, now time.Duration) {
	t.Helper()
	c.retries = append(c.retries, now)
	retries, allowed := c.countInWindow(c.retries, now), c.floor+c.ratio*c.countInWindow(c.admissions, now)
	if retries > allowed {
		t.Fatalf("got %v retries in %v, want %v at most", retries, c.window, allowed)
	}
}

func (c *retryBudgetCheck) countInWindow(times []time.Duration, now time.Duration) (count float64) {
	for _, at := range times {
		if at > now-c.window {
			count++
		}
	}
	return count
}

// Retries stay within the budget in any window that begins after the start of the instance. A restarted
// instance has no record of the retries that it sent before.
func TestRetryBudget_HoldsInAnyWindow(t *testing.T) {
	for _, name := range []string{"first start", "restart"} {
		t.Run(name, func(t *testing.T) {
			check := retryBudgetCheck{window: 5 * time.Second, floor: 3, ratio: 0.15}
			settings := smallSiteSettings()
			settings.RetryBudget, settings.RetryBudgetWindow = true, check.window
			settings.RetryBudgetFloor, settings.RetryBudgetRatio = check.floor, check.ratio
			driver := startDriver(t, settings, 1)
			for range 400 {
				driver.now += 50 * ms
				check.admissions = append(check.admissions, driver.now)
				actions := driver.handle(driver.newRequest(nil))
				for range 3 { // each attempt fails, up to MaxAttempts
					actions = failAttempts(t, driver, sentIDs(actions), &check)
				}
			}
			if len(check.retries) < 20 {
				t.Fatalf("got %d retries, want 20 at least, to reach the budget", len(check.retries))
			}
		})
	}
}

// failAttempts ends the attempts of the sent requests with an error, records those that are retries, and
// returns the resulting actions.
func failAttempts(t *testing.T, driver *testDriver, sent []uint32, check *retryBudgetCheck) (next []Action) {
	t.Helper()
	for _, id := range sent {
		attempts := driver.scheduler.requests[id].attempts
		if attempts > 1 {
			check.recordRetry(t, driver.now)
		}
		driver.node(0).failures = 0
		next = append(next, driver.finishAttempt(id, attempts-1, 0, Error, ms)...)
	}
	return next
}
