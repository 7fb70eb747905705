package daemon

import (
	"sync"
	"time"

	"landingpaddle/scheduler"
)

// notifiedEndpoint is the state of an endpoint of which the scheduler was last notified.
type notifiedEndpoint struct {
	status    scheduler.Status
	startedAt time.Duration // start of its process
}

// notifiedEndpoints holds all endpoints of which the scheduler was notified. The loop writes it; drivers read
// it on their own goroutines.
type notifiedEndpoints struct {
	mu       sync.RWMutex
	byServer map[scheduler.Server]notifiedEndpoint
}

// get returns the state of an endpoint; the zero value if it is not listed.
func (n *notifiedEndpoints) get(server scheduler.Server) notifiedEndpoint {
	n.mu.RLock()
	defer n.mu.RUnlock()
	return n.byServer[server]
}

// apply records an update of which the scheduler is notified.
func (n *notifiedEndpoints) apply(update scheduler.EndpointUpdate) {
	if update.Kind == scheduler.UpdateFailed {
		return
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.byServer == nil || update.Kind != scheduler.UpdateDelta {
		n.byServer = make(map[scheduler.Server]notifiedEndpoint, len(update.Endpoints))
	}
	for _, endpoint := range update.Endpoints {
		if endpoint.Status == scheduler.Removed {
			delete(n.byServer, endpoint.Server)
			continue
		}
		n.byServer[endpoint.Server] = notifiedEndpoint{endpoint.Status, endpoint.StartedAt}
	}
}

// isReady reports whether an attempt's node is ready and still the process that the scheduler chose.
func (n *notifiedEndpoints) isReady(a *attempt) bool {
	return n.get(a.server) == notifiedEndpoint{scheduler.Ready, a.nodeStartedAt}
}

// CheckPreconditions returns OK if the conditions under which the scheduler decided to send an operation are
// still true. Drivers that do not send at once call it, on any goroutine, right before the first byte, as
// establishing a connection may take long. NotApplicable means that no member's client waits any more or that
// the deadline has passed. ConnectFailed, as nothing was sent, means that the node is no longer ready, that
// it is another process, which is cold, or that the window in which the node deduplicates a repeated request
// may have passed.
func (e *EventLoop) CheckPreconditions(operation *Operation) scheduler.ResultCode {
	hasWaitingClient, isTooLate, now := false, false, e.Now()
	for _, member := range operation.members {
		hasWaitingClient = hasWaitingClient || member.request.call.mayStartAttempt()
		isTooLate = isTooLate || member.startBefore > 0 && now > member.startBefore
	}
	switch {
	case !hasWaitingClient || operation.Deadline() <= now:
		return scheduler.NotApplicable
	case isTooLate || !e.notifiedEndpoints.isReady(operation.members[0]):
		return scheduler.ConnectFailed
	}
	return scheduler.OK
}
