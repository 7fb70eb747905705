package sched

import (
	"sync"
	"time"

	"landingpaddle/control"
)

// standing is a node as the module was last told of it.
type standing struct {
	status control.Status
	boot   time.Duration // of its process
}

// standings hold what the module was last told of each node, for edges on goroutines of their own to look at.
type standings struct {
	mu   sync.RWMutex
	rows map[control.Server]standing
}

func (s *standings) of(server control.Server) standing {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.rows[server]
}

// told takes over what the module is told.
func (s *standings) told(m control.Members) {
	if m.Form == control.ListFailed {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.rows == nil || m.Form != control.ListDelta {
		s.rows = make(map[control.Server]standing, len(m.Entries))
	}
	for _, e := range m.Entries {
		if e.Status == control.Gone {
			delete(s.rows, e.Server)
			continue
		}
		s.rows[e.Server] = standing{e.Status, e.Boot}
	}
}

// ready tells whether an attempt's node may still be sent to, and is the process that was meant.
func (s *standings) ready(a *attempt) bool {
	return s.of(a.server) == standing{control.Ready, a.boot}
}

// Stands tells whether what the decision to send an operation rested on still holds. Edges ask right before
// the first byte, as a connection may take long to come up: by then the client may be gone or its time over
// (Moot), or the node may drain or be another process, which is cold, or the window in which the node drops a
// repeat may be over (ConnectFailed: nothing was sent).
func (c *Core) Stands(op *Operation) control.Code {
	awaited, late, now := false, false, c.Now()
	for _, a := range op.members {
		awaited = awaited || !a.req.call.over.Load()
		late = late || a.before > 0 && now > a.before
	}
	switch {
	case !awaited || op.Deadline() <= now:
		return control.Moot
	case late || !c.standings.ready(op.members[0]):
		return control.ConnectFailed
	}
	return control.OK
}
