package daemon

import (
	"slices"
	"time"
)

// collectInterval is the interval between checks of a collection that is not complete.
const collectInterval = 500 * time.Microsecond

// Clients are the connections of a frontend's clients. Its methods may be called from any goroutine.
type Clients interface {
	// HasPending reports whether established connections wait to be accepted.
	HasPending() bool
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
func (c *clientCollector) Collect(before, timeout time.Duration) (isComplete bool) {
	limit := c.loop.AtTime(before)
	// Connections that are accepted between the two checks are found by the second.
	if !c.clients.HasPending() && len(c.clients.Unsubmitted(limit)) == 0 {
		return true
	}
	c.loop.Stats.Collections.Add(1)
	go func() {
		c.await(limit, int(timeout/collectInterval))
		c.loop.ReportArrivalsCollected(before)
	}()
	return false
}

// await waits until all requests that arrived before a time are submitted, or until it has checked that
// often. A count of checks does not include the time of another hold-up of the process.
func (c *clientCollector) await(limit time.Time, checks int) {
	for ; checks > 0 && c.clients.HasPending(); checks-- {
		time.Sleep(collectInterval)
	}
	time.Sleep(collectInterval) // meanwhile the connection accepted last is registered
	// A client counts until it is seen once without such a request: what it sends later does not matter.
	for unsubmitted := c.clients.Unsubmitted(limit); checks > 0 && len(unsubmitted) > 0; checks-- {
		time.Sleep(collectInterval)
		unsubmitted = slices.DeleteFunc(unsubmitted, func(isUnsubmitted func() bool) bool {
			return !isUnsubmitted()
		})
	}
}
