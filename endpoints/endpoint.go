package endpoints

import (
	"time"

	"landingpaddle/scheduler"
)

// Clock is one moment in both clocks of this instance.
type Clock struct {
	Now  time.Duration // monotonic, as passed to the scheduler
	Wall int64         // Unix nanoseconds
}

// Endpoint is one node as the registry lists it.
type Endpoint struct {
	Server          scheduler.Server
	Status          scheduler.Status
	Cell            uint16 // the shard of data that the node holds
	Zone            uint8
	MachineType     uint8
	StartedAt       int64 // Unix nanoseconds of the node's clock at its last start; 0: long ago
	NominalCapacity float64
}

// ByServer compares endpoints by address and port.
func ByServer(a, b Endpoint) int { return a.Server.Compare(b.Server) }

// Update is a message of a registry: the full list, or what changed since an earlier version.
type Update struct {
	Epoch       uint64 // of the registry's incarnation
	Version     uint64 // of the list; it grows within an epoch
	BaseVersion uint64 // of a change: the version that it builds on
	Full        bool   // the full list, else only what changed
	Endpoints   []Endpoint
}

// Snapshot is the list as an instance saves it for its next incarnation.
type Snapshot struct {
	Epoch     uint64
	Version   uint64
	Endpoints []Endpoint
}
