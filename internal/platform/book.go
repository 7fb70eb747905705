package platform

import (
	"fmt"
	"hash/fnv"
	"math"
	"sync"
	"time"

	"landingpaddle/endpoints"
	"landingpaddle/internal/wire"
	"landingpaddle/scheduler"
)

// List is a list of disk servers in discovery's form: the whole of it, or what changed.
type List struct {
	Generation uint64         `json:"generation"`
	Reset      bool           `json:"reset"`
	Instances  []ListedServer `json:"instances"`
}

// Listed is one disk server.
type ListedServer struct {
	ID          string  `json:"instanceId"`
	HostPort    string  `json:"hostPort"`
	Zone        string  `json:"zone"`
	MachineType string  `json:"machineType"`
	Cell        int     `json:"cell"`
	Lifecycle   string  `json:"lifecycle"`
	Weight      float64 `json:"weight"`
	StartedAtMS float64 `json:"startedAtMs"`
}

// bookKeep is how long a disk server that is gone can still be dialled: attempts decided on before the news
// may be on their way to it.
const goneRetention = time.Minute

// book knows under which address each disk server is reached from here. A disk server is its instanceId,
// alike at every scheduler; its address may differ from one to the next.
type addressTable struct {
	mu      sync.Mutex
	entries map[scheduler.Server]addressEntry
}

type addressEntry struct {
	id, address string
	cell        uint16
	goneAt      time.Time // zero: it is listed
}

func newAddressTable() *addressTable {
	return &addressTable{entries: map[scheduler.Server]addressEntry{}}
}

// serverOf is the module's name for a disk server: its id's hash, the same wherever it is worked out.
func serverOf(id string) (s scheduler.Server) {
	h := fnv.New64a()
	h.Write([]byte(id))
	sum := h.Sum64()
	sum ^= sum >> 48 << 16 // the upper bits take part in what is kept
	for i := range s.Addr {
		s.Addr[i] = byte(sum >> (8 * i))
	}
	s.Port = uint16(sum >> 32)
	return s
}

func (b *addressTable) find(s scheduler.Server) (addressEntry, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	p, ok := b.entries[s]
	return p, ok
}

// name is how logs call a disk server.
func (b *addressTable) nodeName(s scheduler.Server) string {
	if p, ok := b.find(s); ok {
		return p.id
	}
	return fmt.Sprint(s)
}

// news turns a list into the roster's form and notes the addresses. An entry that cannot be understood is an
// error for the whole list: half a list would look like servers that are gone.
func (b *addressTable) applyList(l List, since uint64, site *wire.Site) (endpoints.Update, error) {
	n := endpoints.Update{Version: l.Generation, BaseVersion: since, Full: l.Reset}
	b.mu.Lock()
	defer b.mu.Unlock()
	for i := range l.Instances {
		e, err := parseEndpoint(&l.Instances[i], site)
		if err != nil {
			return n, fmt.Errorf("instances, item %d: %w", i, err)
		}
		if p, ok := b.entries[e.Server]; ok && p.id != l.Instances[i].ID {
			return n, fmt.Errorf("instances %q and %q have one hash", p.id, l.Instances[i].ID)
		}
		n.Endpoints = append(n.Endpoints, e)
	}
	now, listed := time.Now(), map[scheduler.Server]bool{}
	for i, e := range n.Endpoints {
		p := addressEntry{id: l.Instances[i].ID, address: l.Instances[i].HostPort, cell: e.Cell}
		if e.Status == scheduler.Gone {
			if was, ok := b.entries[e.Server]; ok {
				p = was
			}
			p.goneAt = now
		}
		b.entries[e.Server] = p
		listed[e.Server] = true
	}
	for s, p := range b.entries {
		switch {
		case l.Reset && !listed[s] && p.goneAt.IsZero():
			p.goneAt = now
			b.entries[s] = p
		case !p.goneAt.IsZero() && now.Sub(p.goneAt) > goneRetention:
			delete(b.entries, s)
		}
	}
	return n, nil
}

func parseEndpoint(l *ListedServer, site *wire.Site) (endpoints.Endpoint, error) {
	e := endpoints.Endpoint{Server: serverOf(l.ID), Cell: uint16(l.Cell), Zone: site.Zone(l.Zone),
		MachineType: site.MachineType(l.MachineType), NominalCapacity: l.Weight}
	switch l.Lifecycle {
	case "ready":
		e.Status = scheduler.Ready
	case "draining":
		e.Status = scheduler.Draining
	case "gone":
		e.Status = scheduler.Gone
	default:
		return e, fmt.Errorf("lifecycle %q is not known", l.Lifecycle)
	}
	switch {
	case l.ID == "":
		return e, fmt.Errorf("instanceId is missing")
	case l.HostPort == "" && e.Status != scheduler.Gone:
		return e, fmt.Errorf("%s: hostPort is missing", l.ID)
	case l.Cell < 0 || l.Cell > math.MaxUint16:
		return e, fmt.Errorf("%s: cell %d is out of range", l.ID, l.Cell)
	case !(l.StartedAtMS >= 0 && l.StartedAtMS < 1<<53):
		return e, fmt.Errorf("%s: startedAtMs %v is out of range", l.ID, l.StartedAtMS)
	}
	e.StartedAt = int64(l.StartedAtMS) * int64(time.Millisecond)
	return e, nil
}
