package endpoints

import (
	"time"

	"landingpaddle/scheduler"
)

// Clock is one reading of both clocks of this instance.
type Clock struct {
	Now  time.Duration // monotonic, as passed to the scheduler
	Wall int64         // Unix nanoseconds
}

// Endpoint is one node as the registry lists it.
type Endpoint struct {
	Server          scheduler.Server
	Status          scheduler.Status
	Cell            uint16 // the shard of data that the node serves
	Zone            uint8
	MachineType     uint8
	StartedAt       int64 // Unix nanoseconds of the node's clock at its last start; 0: long ago
	NominalCapacity float64
}

// ByServer compares endpoints by address and port.
func ByServer(a, b Endpoint) int { return a.Server.Compare(b.Server) }

// Update is a message from a registry: the full list, or the endpoints that changed since an earlier version.
type Update struct {
	Epoch       uint64 // of the registry's incarnation
	Version     uint64 // of the list; increases within an epoch
	BaseVersion uint64 // of a change: the version on which it builds
	Full        bool   // Endpoints is the full list; false: only those that changed
	Endpoints   []Endpoint
}

// Snapshot is the endpoint list that an instance saves for its next incarnation.
type Snapshot struct {
	Epoch     uint64
	Version   uint64
	Endpoints []Endpoint
}
