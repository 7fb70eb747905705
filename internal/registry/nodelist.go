// Package nodelist is the list service's protocol: how instances hear of the nodes. It holds the instance's
// client, the file in which the last list is kept, and a stand-in service to run against. The frames are
// those of package proto; docs/protocol.md describes them.
package registry

import (
	"fmt"
	"net/netip"

	"landingpaddle/endpoints"
	"landingpaddle/internal/proto"
	"landingpaddle/scheduler"
)

// MostEntries bounds a list read from outside.
const MostEntries = 20_000

// Limits of the list protocol's frames: a list is one header.
var Limits = proto.Limits{Header: 4 << 20, Payload: 0, Streams: 16, Backlog: 64 << 20}

// Item is an entry on the wire.
type Item struct {
	Addr    uint32  `cbor:"1,keyasint"` // IPv4, most significant byte first
	Port    uint16  `cbor:"2,keyasint"`
	Status  uint8   `cbor:"3,keyasint"`
	Cell    uint16  `cbor:"4,keyasint"`
	Zone    uint8   `cbor:"5,keyasint"`
	Kind    uint8   `cbor:"6,keyasint,omitempty"`
	Boot    int64   `cbor:"7,keyasint,omitempty"`
	Nominal float64 `cbor:"8,keyasint,omitempty"`
}

// Message is the header of a News frame and the body of a kept list.
type Message struct {
	Epoch   uint64 `cbor:"1,keyasint"`
	Version uint64 `cbor:"2,keyasint"`
	Since   uint64 `cbor:"3,keyasint,omitempty"`
	Whole   bool   `cbor:"4,keyasint,omitempty"`
	Items   []Item `cbor:"5,keyasint"`
}

// ServerOf turns an address such as 127.0.0.1:7100 into the module's form.
func ServerOf(addr netip.AddrPort) (scheduler.Server, error) {
	if !addr.Addr().Unmap().Is4() {
		return scheduler.Server{}, fmt.Errorf("%v is no IPv4 address", addr)
	}
	return scheduler.Server{Addr: addr.Addr().Unmap().As4(), Port: addr.Port()}, nil
}

// AddrOf turns it back.
func AddrOf(s scheduler.Server) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4(s.Addr), s.Port)
}

func itemOf(e endpoints.Endpoint) Item {
	a := e.Server.Addr
	return Item{uint32(a[0])<<24 | uint32(a[1])<<16 | uint32(a[2])<<8 | uint32(a[3]), e.Server.Port,
		uint8(e.Status), e.Cell, e.Zone, e.MachineType, e.StartedAt, e.NominalCapacity}
}

func (i Item) entry() (endpoints.Endpoint, error) {
	if i.Status > uint8(scheduler.Draining) {
		return endpoints.Endpoint{}, fmt.Errorf("status %d is not known", i.Status)
	}
	if i.Port == 0 {
		return endpoints.Endpoint{}, fmt.Errorf("port 0")
	}
	addr := [4]byte{byte(i.Addr >> 24), byte(i.Addr >> 16), byte(i.Addr >> 8), byte(i.Addr)}
	return endpoints.Endpoint{
		Server:          scheduler.Server{Addr: addr, Port: i.Port},
		Status:          scheduler.Status(i.Status),
		Cell:            i.Cell,
		Zone:            i.Zone,
		MachineType:     i.Kind,
		StartedAt:       i.Boot,
		NominalCapacity: i.Nominal,
	}, nil
}

func itemsOf(entries []endpoints.Endpoint) []Item {
	out := make([]Item, len(entries))
	for i, e := range entries {
		out[i] = itemOf(e)
	}
	return out
}

func (m Message) entries() ([]endpoints.Endpoint, error) {
	if len(m.Items) > MostEntries {
		return nil, fmt.Errorf("%d entries; %d at most", len(m.Items), MostEntries)
	}
	out := make([]endpoints.Endpoint, len(m.Items))
	for n, i := range m.Items {
		e, err := i.entry()
		if err != nil {
			return nil, fmt.Errorf("entry %d: %w", n, err)
		}
		out[n] = e
	}
	return out, nil
}

// NewsOf reads a News frame.
func NewsOf(f proto.Frame) (endpoints.Update, error) {
	var m Message
	if err := f.Decode(&m); err != nil {
		return endpoints.Update{}, err
	}
	entries, err := m.entries()
	if err != nil {
		return endpoints.Update{}, fmt.Errorf("news: %w", err)
	}
	return endpoints.Update{Epoch: m.Epoch, Version: m.Version, BaseVersion: m.Since, Full: m.Whole,
		Endpoints: entries}, nil
}
