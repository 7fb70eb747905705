package daemon

import (
	"sync"
	"time"

	"landingpaddle/scheduler"
)

// notifiedEndpoint is a node as the module was last told of it.
type notifiedEndpoint struct {
	status scheduler.Status
	boot   time.Duration // of its process
}

// notifiedEndpoints hold what the module was last told of each node, for edges on goroutines of their own to look at.
type notifiedEndpoints struct {
	mu   sync.RWMutex
	rows map[scheduler.Server]notifiedEndpoint
}

func (s *notifiedEndpoints) of(server scheduler.Server) notifiedEndpoint {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.rows[server]
}

// told takes over what the module is told.
func (s *notifiedEndpoints) told(m scheduler.EndpointUpdate) {
	if m.Kind == scheduler.UpdateFailed {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.rows == nil || m.Kind != scheduler.UpdateDelta {
		s.rows = make(map[scheduler.Server]notifiedEndpoint, len(m.Endpoints))
	}
	for _, e := range m.Endpoints {
		if e.Status == scheduler.Gone {
			delete(s.rows, e.Server)
			continue
		}
		s.rows[e.Server] = notifiedEndpoint{e.Status, e.StartedAt}
	}
}

// ready tells whether an attempt's node may still be sent to, and is the process that was meant.
func (s *notifiedEndpoints) ready(a *attempt) bool {
	return s.of(a.server) == notifiedEndpoint{scheduler.Ready, a.boot}
}

// Stands tells whether what the decision to send an operation rested on still holds. Edges ask right before
// the first byte, as a connection may take long to come up: by then the client may be gone or its time over
// (Moot), or the node may drain or be another process, which is cold, or the window in which the node drops a
// repeat may be over (ConnectFailed: nothing was sent).
func (c *EventLoop) CheckPreconditions(op *Operation) scheduler.ResultCode {
	awaited, late, now := false, false, c.Now()
	for _, a := range op.members {
		awaited = awaited || !a.req.call.unwanted.Load()
		late = late || a.before > 0 && now > a.before
	}
	switch {
	case !awaited || op.Deadline() <= now:
		return scheduler.NotApplicable
	case late || !c.notifiedEndpoints.ready(op.members[0]):
		return scheduler.ConnectFailed
	}
	return scheduler.OK
}
