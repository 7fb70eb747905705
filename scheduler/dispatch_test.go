package scheduler

import (
	"testing"
	"time"
)

// Small requests may be backfilled past a queue head that does not fit the slot limit, until their total slot
// cost reaches the head's.
func TestDispatch_BackfillsUpToCostOfHead(t *testing.T) {
	settings := smallSiteSettings()
	settings.Classes[0].LatencyObjective = 100 * time.Second
	driver := startDriver(t, settings, 1)
	driver.fixDepth(4)
	// With a constant mean size of 1, a request costs as many slots as it has units.
	driver.scheduler.classes[0].meanUnits, driver.scheduler.classes[0].count = 1, 1e9
	newRequest := func(volume uint64, units float64) Event {
		return driver.newRequest(func(r *Request) {
			r.Volume, r.Units, r.ExpiresAt = volume, units, driver.now+200*time.Second
		})
	}
	finish := func(id uint32) []uint32 {
		return sentIDs(driver.finishAttempt(id, 0, 0, OK, driver.scheduler.objectives.shortest/2))
	}
	driver.queue(0).virtualTime = 1

	sent := sentIDs(driver.handle(newRequest(1, 3), newRequest(2, 3), newRequest(3, 1)))
	wantEqual(t, "sent with 4 slots, the small request past the head", sent, 1, 3)
	wantEqual(t, "sent with no slot free", sentIDs(driver.handle(newRequest(4, 1), newRequest(5, 1))))
	wantEqual(t, "sent, a second small request past the head", finish(3), 4)
	wantEqual(t, "sent, a third that reaches the cost of the head", finish(4), 5)
	driver.handle(newRequest(6, 1))
	wantEqual(t, "sent, no fourth past the head", finish(5))
	wantEqual(t, "sent once the head fits, the head and then the fourth", finish(1), 2, 6)
}

// The queued request of a client that disconnects is not sent; a result or a disconnect after the end of its
// request is ignored.
func TestDispatch_SendsNothingAfterClientDisconnects(t *testing.T) {
	driver := startDriver(t, smallSiteSettings(), 1)
	driver.fixDepth(1)
	driver.handle(driver.newRequest(nil), driver.newRequest(func(r *Request) { r.Units = 8 }))
	driver.handle(RequestWithdrawn{ID: 2}, RequestWithdrawn{ID: 99}) // there is no request 99
	wantEqual(t, "sent", sentIDs(driver.finishAttempt(1, 0, 0, OK, ms)))
	driver.finishAttempt(1, 0, 0, OK, ms)  // a second result of a finished request is ignored
	driver.handle(RequestWithdrawn{ID: 1}) // as is a disconnect after the request is finished
}

func TestDispatch_ShedsRequestThatCannotMeetItsDeadline(t *testing.T) {
	driver := startDriver(t, smallSiteSettings(), 1)
	driver.fixDepth(8).latency = 100 * ms
	shortDeadline := driver.newRequest(func(r *Request) { r.ExpiresAt = driver.now + 50*ms })
	wantEqual(t, "answers at once", finalAnswers(driver.handle(shortDeadline)), "reject 1")
}

// An attempt times out at the latency objective, as a later answer has little value, but only where that
// leaves no uncertain outcome.
func TestDispatch_AttemptTimeoutEndsAtLatencyObjective(t *testing.T) {
	settings := smallSiteSettings()
	settings.Classes = append(settings.Classes,
		Class{LatencyObjective: time.Second, Deadline: 4 * time.Second, Idempotency: NotIdempotent})
	for _, test := range []struct {
		name    string
		change  func(*Request)
		sent    []uint32
		timeout time.Duration
	}{
		{"idempotent, in time", nil, []uint32{2}, time.Second},
		{"retry past its objective", func(r *Request) { r.ExpiresAt -= 2 * time.Second }, nil, 0},
		{"not idempotent", func(r *Request) { r.Class = 1 }, []uint32{2}, 0},
		{"new object", asNewObject, []uint32{2}, time.Second},
	} {
		t.Run(test.name, func(t *testing.T) {
			driver := startDriver(t, settings, 1)
			driver.handle(driver.newRequest(nil)) // sets the class's longest wait
			actions := driver.handle(driver.newRequest(test.change))
			wantEqual(t, "sent", sentIDs(actions), test.sent...)
			for _, action := range actions {
				if send, ok := action.(Send); ok && send.Timeout != test.timeout {
					t.Errorf("timeout of the attempt: got %v, want %v", send.Timeout, test.timeout)
				}
			}
		})
	}
}
