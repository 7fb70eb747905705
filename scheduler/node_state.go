package scheduler

import (
	"slices"
	"time"
)

// NodeState is the state that a scheduler keeps of a node, for logs and tests; no decision depends on it.
type NodeState struct {
	Server    Server
	Status    Status
	InFlight  int     // attempts
	SlotsUsed float64 // by the attempts in flight
	Depth     float64 // slots that may be used
	Latency   time.Duration
	Failures  int // consecutive
}

// NodeStates returns the states of all nodes that are listed or have attempts in flight, ordered by server.
func (s *Scheduler) NodeStates() []NodeState {
	var states []NodeState
	for server, n := range s.endpoints.nodes {
		if n.Status != Removed || len(n.inFlight) > 0 {
			states = append(states, NodeState{Server: server, Status: n.Status, InFlight: len(n.inFlight),
				SlotsUsed: n.slotsUsed, Depth: n.depth, Latency: n.latency, Failures: n.failures})
		}
	}
	slices.SortFunc(states, func(a, b NodeState) int { return a.Server.Compare(b.Server) })
	return states
}
