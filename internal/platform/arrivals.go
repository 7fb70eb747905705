package platform

import (
	"slices"
	"time"

	"landingpaddle/internal/arrival"
	"landingpaddle/internal/daemon"
)

// collectInterval is the interval between checks of a collection that is not complete.
const collectInterval = 500 * time.Microsecond

// arrivalCollector is the loop's driver that makes sure that the requests of clients are submitted.
type arrivalCollector struct {
	frontend *frontend
	listener *arrival.Listener
}

var _ daemon.ArrivalCollector = (*arrivalCollector)(nil)

// Collect checks the connections of all clients, including those that are not accepted yet.
func (c *arrivalCollector) Collect(before, timeout time.Duration) (isComplete bool) {
	limit := c.frontend.loop.AtTime(before)
	if !c.listener.HasPending() && len(c.frontend.unsubmitted(limit)) == 0 {
		return true
	}
	c.frontend.counters.collections.Add(1)
	go func() {
		c.await(limit, int(timeout/collectInterval))
		c.frontend.loop.ReportArrivalsCollected(before)
	}()
	return false
}

// await waits until all requests that arrived before a time are submitted, or until it has checked that
// often. A count of checks does not include the time of another hold-up of the process.
func (c *arrivalCollector) await(limit time.Time, checks int) {
	for ; checks > 0 && c.listener.HasPending(); checks-- {
		time.Sleep(collectInterval)
	}
	time.Sleep(collectInterval) // meanwhile the connection accepted last is registered
	// A client counts until it is seen once without such a request: what it sends later does not matter.
	for clients := c.frontend.unsubmitted(limit); checks > 0 && len(clients) > 0; checks-- {
		time.Sleep(collectInterval)
		clients = slices.DeleteFunc(clients, func(client *clientConn) bool {
			return !c.frontend.isUnsubmitted(client, limit)
		})
	}
}

// unsubmitted returns the clients of which a request may have arrived before a time that is not submitted
// yet.
func (f *frontend) unsubmitted(before time.Time) []*clientConn {
	f.mu.Lock()
	clients := make([]*clientConn, 0, len(f.connections))
	for client := range f.connections {
		clients = append(clients, client)
	}
	f.mu.Unlock()
	return slices.DeleteFunc(clients, func(client *clientConn) bool {
		return !f.isUnsubmitted(client, before)
	})
}

// isUnsubmitted reports whether a client's next request may have arrived before a time and is not submitted
// yet. While a request is in flight, only that one counts, until Submit has returned.
func (f *frontend) isUnsubmitted(client *clientConn, before time.Time) bool {
	f.mu.Lock()
	_, isOpen := f.connections[client]
	state, isBuffered := client.state, client.hasPipelined
	f.mu.Unlock()
	switch {
	case !isOpen || client.arrivals == nil:
		return false
	case state == stateWorking:
		return client.arrivals.IsUnhandled(before)
	case state == stateIdle && isBuffered:
		return true // the session is about to take it from the read buffer
	}
	return client.arrivals.HasUnread(before) || client.arrivals.IsUnhandled(before)
}
