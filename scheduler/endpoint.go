package scheduler

import (
	"cmp"
	"slices"
	"time"
)

// Server identifies the process of a storage node by its IPv4 address and port. No other property of the node
// is derived from them.
type Server struct {
	Addr [4]byte `cbor:"Addr"`
	Port uint16  `cbor:"Port"`
}

// Compare orders servers by address, then port.
func (s Server) Compare(o Server) int {
	return cmp.Or(slices.Compare(s.Addr[:], o.Addr[:]), cmp.Compare(s.Port, o.Port))
}

// Status is a node's state in the endpoint list.
type Status uint8

// The states of a node.
const (
	Removed Status = iota
	Ready
	Draining
)

// String returns the name of a status in logs.
func (s Status) String() string { return [...]string{"gone", "ready", "draining"}[s] }

// Endpoint is one node in the endpoint list.
type Endpoint struct {
	Server          Server
	Status          Status
	Cell            uint16 // the shard of data that the node holds
	Zone            uint8
	MachineType     uint8
	StartedAt       time.Duration // clock value of its last start; 0: long ago, the node is warm
	NominalCapacity float64
}

// UpdateKind specifies the content of an EndpointUpdate.
type UpdateKind uint8

// The kinds of updates.
const (
	UpdateDelta  UpdateKind = iota // only the endpoints that changed
	UpdateCached                   // the full list of this instance's snapshot, possibly out of date
	UpdateFull                     // the full list
	UpdateFailed                   // a watch broke or a fetch failed; no endpoints
)
