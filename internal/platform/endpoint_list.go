package platform

import (
	"errors"
	"fmt"
	"hash/fnv"
	"math"
	"time"

	"landingpaddle/endpoints"
	"landingpaddle/internal/wire"
	"landingpaddle/scheduler"
)

// List is a list of disk servers as the discovery service sends it: the full list, or the changes to it.
type List struct {
	Generation uint64         `json:"generation"` // grows with each change
	Reset      bool           `json:"reset"`      // the list is full
	Instances  []ListedServer `json:"instances"`
}

// ListedServer is one disk server in a [List].
type ListedServer struct {
	ID          string  `json:"instanceId"`
	HostPort    string  `json:"hostPort"`
	Zone        string  `json:"zone"`
	MachineType string  `json:"machineType"`
	Cell        int     `json:"cell"`        // the shard of data that it serves
	Lifecycle   string  `json:"lifecycle"`   // ready, draining or gone
	Weight      float64 `json:"weight"`      // its nominal capacity
	StartedAtMS float64 `json:"startedAtMs"` // milliseconds since the Unix epoch
}

// maxStartedAtMS bounds the start times in lists to integers that a float64 represents exactly.
const maxStartedAtMS = 1 << 53

var statusByLifecycle = map[string]scheduler.Status{
	"ready":    scheduler.Ready,
	"draining": scheduler.Draining,
	"gone":     scheduler.Removed,
}

var (
	errIDMissing       = errors.New("instanceId is missing")
	errHostPortMissing = errors.New("hostPort is missing")
)

// serverOf returns the value that identifies a disk server to the scheduler: a hash of its id, the same at
// every scheduler.
func serverOf(id string) (server scheduler.Server) {
	hash := fnv.New64a()
	hash.Write([]byte(id))
	sum := hash.Sum64()
	sum ^= sum >> 48 << 16 // the 48 bits that are kept depend on the upper ones too
	for i := range server.Addr {
		server.Addr[i] = byte(sum >> (8 * i))
	}
	server.Port = uint16(sum >> 32)
	return server
}

// parseEndpoint validates a disk server of a list and converts it into an endpoint.
func parseEndpoint(listed *ListedServer, site *wire.Site) (endpoints.Endpoint, error) {
	status, known := statusByLifecycle[listed.Lifecycle]
	if !known {
		return endpoints.Endpoint{}, fmt.Errorf("unknown lifecycle %q", listed.Lifecycle)
	}
	if err := listed.validate(status); err != nil {
		return endpoints.Endpoint{}, err
	}
	return endpoints.Endpoint{
		Server:          serverOf(listed.ID),
		Status:          status,
		Cell:            uint16(listed.Cell),
		Zone:            site.Zone(listed.Zone),
		MachineType:     site.MachineType(listed.MachineType),
		NominalCapacity: listed.Weight,
		StartedAt:       int64(listed.StartedAtMS) * int64(time.Millisecond),
	}, nil
}

func (l *ListedServer) validate(status scheduler.Status) error {
	switch {
	case l.ID == "":
		return errIDMissing
	case l.HostPort == "" && status != scheduler.Removed:
		return fmt.Errorf("%s: %w", l.ID, errHostPortMissing)
	case l.Cell < 0 || l.Cell > math.MaxUint16:
		return fmt.Errorf("%s: cell %d is out of range", l.ID, l.Cell)
	case !(l.StartedAtMS >= 0 && l.StartedAtMS < maxStartedAtMS):
		return fmt.Errorf("%s: startedAtMs %v is out of range", l.ID, l.StartedAtMS)
	}
	return nil
}
