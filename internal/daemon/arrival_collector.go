package daemon

import (
	"slices"
	"time"

	"landingpaddle/scheduler"
)

// collectInterval is the interval between checks of a collection that is not complete.
const collectInterval = 500 * time.Microsecond

// Clients are the connections of a frontend's clients. Its methods may be called from any goroutine.
type Clients interface {
	// Unaccepted returns nil if every established connection is accepted and known to Unsubmitted. Otherwise
	// it returns a function that tells how many of those that are established now remain.
	Unaccepted() (remaining func() int)
	// Unsubmitted returns the connections on which a request may have arrived before a time that was not
	// passed to Submit or rejected yet, and does not wait for the answer to an earlier one. Each is returned
	// as a function that checks it again.
	Unsubmitted(before time.Time) []func() bool
}

// clientCollector is the ArrivalCollector of a frontend.
type clientCollector struct {
	loop    *EventLoop
	clients Clients
}

// NewArrivalCollector returns the collector for the clients of a frontend that submits its calls to loop.
func NewArrivalCollector(loop *EventLoop, clients Clients) ArrivalCollector {
	return &clientCollector{loop: loop, clients: clients}
}

// Collect implements ArrivalCollector.
func (c *clientCollector) Collect(action scheduler.CollectArrivals) (isComplete bool) {
	limit := c.loop.AtTime(action.Before)
	// Connections that are accepted between the two checks are found by the second.
	if c.clients.Unaccepted() == nil && len(c.clients.Unsubmitted(limit)) == 0 {
		return true
	}
	c.loop.Stats.Collections.Add(1)
	go func() {
		if !c.await(limit, newCheckBudget(action)) {
			c.loop.Stats.CollectionsGivenUp.Add(1)
		}
		c.loop.ReportArrivalsCollected(action.Before)
	}()
	return false
}

// await waits until all requests that arrived before a time are submitted. It reports false if the budget is
// exhausted before.
func (c *clientCollector) await(limit time.Time, budget *checkBudget) bool {
	if remaining := c.clients.Unaccepted(); remaining != nil && !budget.awaitNone(remaining) {
		return false
	}
	// A client counts until it is seen once without such a request: what it sends later does not matter.
	unsubmitted := c.clients.Unsubmitted(limit)
	return budget.awaitNone(func() int {
		unsubmitted = slices.DeleteFunc(unsubmitted, func(isUnsubmitted func() bool) bool {
			return !isUnsubmitted()
		})
		return len(unsubmitted)
	})
}

// checkBudget bounds the checks of a collection. It counts checks instead of time, so that another hold-up of
// the process does not end the collection.
type checkBudget struct {
	total int // checks that remain
	stall int // successive checks without progress after which the collection is given up
}

func newCheckBudget(action scheduler.CollectArrivals) *checkBudget {
	return &checkBudget{
		total: int(action.Timeout / collectInterval),
		stall: int(action.StallTimeout / collectInterval),
	}
}

// awaitNone checks a count in intervals until it is 0, and reports false if the budget is exhausted before.
func (b *checkBudget) awaitNone(count func() int) bool {
	least, stalled := count(), 0
	for least > 0 && stalled < b.stall && b.total > 0 {
		time.Sleep(collectInterval)
		b.total--
		stalled++
		if now := count(); now < least {
			least, stalled = now, 0
		}
	}
	return least == 0
}
