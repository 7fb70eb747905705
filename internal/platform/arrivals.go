package platform

import (
	"time"

	"landingpaddle/internal/daemon"
)

var _ daemon.Clients = (*frontend)(nil)

// Unaccepted implements daemon.Clients.
func (f *frontend) Unaccepted() (remaining func() int) { return f.accepting.remaining() }

// Unsubmitted implements daemon.Clients.
func (f *frontend) Unsubmitted(before time.Time) (unsubmitted []func() bool) {
	f.mu.Lock()
	clients := make([]*clientConn, 0, len(f.connections))
	for client := range f.connections {
		clients = append(clients, client)
	}
	f.mu.Unlock()
	for _, client := range clients {
		if f.isUnsubmitted(client, before) {
			unsubmitted = append(unsubmitted, func() bool { return f.isUnsubmitted(client, before) })
		}
	}
	return unsubmitted
}

// isUnsubmitted reports whether a client's next request may have arrived before a time and is not submitted
// yet. While a request is in flight, only that one counts, until Submit has returned. A request behind
// answers that the client does not read does not count.
func (f *frontend) isUnsubmitted(client *clientConn, before time.Time) bool {
	f.mu.Lock()
	_, isOpen := f.connections[client]
	state, isBuffered := client.state, client.hasPipelined
	f.mu.Unlock()
	switch {
	case !isOpen || client.arrivals == nil || state == stateUnread:
		return false
	case state == stateWorking:
		return client.arrivals.IsUnhandled(before)
	case state == stateIdle && isBuffered:
		return true // the session is about to take it from the read buffer
	}
	return client.arrivals.HasUnhandled(before)
}
