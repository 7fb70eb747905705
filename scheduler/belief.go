package scheduler

import (
	"slices"
	"time"
)

// Belief is what a host believes of a node, for logs and tests: nothing is decided by it.
type NodeState struct {
	Server           Server
	Status           Status
	InFlight         int     // attempts out there
	SlotsUsed, Depth float64 // slots
	Latency          time.Duration
	Failures         int // in a row
}

// Beliefs tells of all nodes that are listed or have attempts out, by server.
func (h *Scheduler) NodeStates() []NodeState {
	var all []NodeState
	for id, n := range h.nodes {
		if n.Status != Gone || len(n.inFlight) > 0 {
			all = append(
				all,
				NodeState{id, n.Status, len(n.inFlight), n.slotsUsed, n.depth, n.latency, n.failures},
			)
		}
	}
	slices.SortFunc(all, func(a, b NodeState) int { return a.Server.Compare(b.Server) })
	return all
}
