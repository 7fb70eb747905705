package scheduler

import (
	"slices"
	"time"
)

// Belief is what a host believes of a node, for logs and tests: nothing is decided by it.
type Belief struct {
	Server      Server
	Status      Status
	Out         int     // attempts out there
	Used, Depth float64 // slots
	Latency     time.Duration
	Fails       int // in a row
}

// Beliefs tells of all nodes that are listed or have attempts out, by server.
func (h *Host) Beliefs() []Belief {
	var all []Belief
	for id, n := range h.nodes {
		if n.Status != Gone || len(n.out) > 0 {
			all = append(all, Belief{id, n.Status, len(n.out), n.used, n.depth, n.latency, n.fails})
		}
	}
	slices.SortFunc(all, func(a, b Belief) int { return a.Server.Compare(b.Server) })
	return all
}
