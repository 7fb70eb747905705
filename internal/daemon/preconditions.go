package daemon

import (
	"sync"
	"time"

	"landingpaddle/scheduler"
)

// notifiedEndpoint is an endpoint as the scheduler was last notified of it.
type notifiedEndpoint struct {
	status    scheduler.Status
	startedAt time.Duration // start of its process
}

// notifiedEndpoints are all endpoints that the scheduler was notified of. The loop writes them; drivers read
// them on goroutines of their own.
type notifiedEndpoints struct {
	mu       sync.RWMutex
	byServer map[scheduler.Server]notifiedEndpoint
}

// get returns an endpoint; the zero value if the scheduler does not know it.
func (n *notifiedEndpoints) get(server scheduler.Server) notifiedEndpoint {
	n.mu.RLock()
	defer n.mu.RUnlock()
	return n.byServer[server]
}

// apply follows an update that the scheduler is notified of.
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
		if endpoint.Status == scheduler.Gone {
			delete(n.byServer, endpoint.Server)
			continue
		}
		n.byServer[endpoint.Server] = notifiedEndpoint{endpoint.Status, endpoint.StartedAt}
	}
}

// isReady reports whether an attempt's node may still be sent to and is the process that the decision meant.
func (n *notifiedEndpoints) isReady(a *attempt) bool {
	return n.get(a.server) == notifiedEndpoint{scheduler.Ready, a.nodeStartedAt}
}

// CheckPreconditions reports whether what the decision to send an operation rested on still holds: OK if so.
// Drivers call it, on any goroutine, right before the first byte, as a connection may take long to come up.
// By then the client may be gone or its time over, which gives NotApplicable; or the node may drain or be
// another process, which is cold, or the window in which the node drops a repeated request may have passed,
// which give ConnectFailed, as nothing was sent.
func (e *EventLoop) CheckPreconditions(operation *Operation) scheduler.ResultCode {
	awaited, late, now := false, false, e.Now()
	for _, member := range operation.members {
		awaited = awaited || !member.request.call.unwanted.Load()
		late = late || member.startBefore > 0 && now > member.startBefore
	}
	switch {
	case !awaited || operation.Deadline() <= now:
		return scheduler.NotApplicable
	case late || !e.notifiedEndpoints.isReady(operation.members[0]):
		return scheduler.ConnectFailed
	}
	return scheduler.OK
}
