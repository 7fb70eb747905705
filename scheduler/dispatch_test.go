package scheduler

import (
	"testing"
	"time"
)

// Small requests may pass a head that does not fit the slot limit, until the slot cost of those that passed
// it has reached its own.
func TestDispatch_BackfillsUpToCostOfHead(t *testing.T) {
	settings := smallSiteSettings()
	settings.Classes[0].LatencyObjective = 100 * time.Second
	driver := startDriver(t, settings, 1)
	driver.fixDepth(4)
	// With a mean size of 1 that does not move, a request costs as many slots as it has units.
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
	wantEqual(t, "3 of 4 slots are used: the small request passes the head", sent, 1, 3)
	wantEqual(t, "no slot is free", sentIDs(driver.handle(newRequest(4, 1), newRequest(5, 1))))
	wantEqual(t, "a second small request passes the head", finish(3), 4)
	wantEqual(t, "a third passes it, which reaches the cost of the head", finish(4), 5)
	driver.handle(newRequest(6, 1))
	wantEqual(t, "a fourth may not pass it", finish(5))
	wantEqual(t, "the head is sent once it fits, and then the fourth", finish(1), 2, 6)
}

func TestDispatch_SendsNothingAfterClientIsGone(t *testing.T) {
	driver := startDriver(t, smallSiteSettings(), 1)
	driver.fixDepth(1)
	driver.handle(driver.newRequest(nil), driver.newRequest(func(r *Request) { r.Units = 8 }))
	driver.handle(ClientGone{ID: 2}, ClientGone{ID: 99}) // 99 was never known
	wantEqual(t, "sent", sentIDs(driver.finishAttempt(1, 0, 0, OK, ms)))
	driver.finishAttempt(1, 0, 0, OK, ms) // a second result of a request that is over is ignored
	driver.handle(ClientGone{ID: 1})      // as is a client that goes when its request is over
}

func TestDispatch_ShedsRequestThatCannotBeInTime(t *testing.T) {
	driver := startDriver(t, smallSiteSettings(), 1)
	driver.fixDepth(8).latency = 100 * ms
	impatient := driver.newRequest(func(r *Request) { r.ExpiresAt = driver.now + 50*ms })
	wantEqual(t, "answered at once", finalAnswers(driver.handle(impatient)), "reject 1")
}

// An attempt ends with the latency objective, as a later answer is worth little, but only where that leaves
// no uncertain outcome.
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
			driver.handle(driver.newRequest(nil)) // shows the wait that clients usually grant
			actions := driver.handle(driver.newRequest(test.change))
			wantEqual(t, "sent", sentIDs(actions), test.sent...)
			for _, action := range actions {
				if send, ok := action.(Send); ok && send.Timeout != test.timeout {
					t.Errorf("timeout of the attempt is %v, want %v", send.Timeout, test.timeout)
				}
			}
		})
	}
}
