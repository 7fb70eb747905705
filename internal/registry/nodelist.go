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
const MaxEndpoints = 20_000

// Limits of the list protocol's frames: a list is one header.
var Limits = proto.Limits{Header: 4 << 20, Payload: 0, Streams: 16, Backlog: 64 << 20}

// Item is an entry on the wire.
type EndpointRecord struct {
	Addr            uint32  `cbor:"1,keyasint"` // IPv4, most significant byte first
	Port            uint16  `cbor:"2,keyasint"`
	Status          uint8   `cbor:"3,keyasint"`
	Cell            uint16  `cbor:"4,keyasint"`
	Zone            uint8   `cbor:"5,keyasint"`
	MachineType     uint8   `cbor:"6,keyasint,omitempty"`
	StartedAt       int64   `cbor:"7,keyasint,omitempty"`
	NominalCapacity float64 `cbor:"8,keyasint,omitempty"`
}

// Message is the header of a News frame and the body of a kept list.
type Message struct {
	Epoch       uint64           `cbor:"1,keyasint"`
	Version     uint64           `cbor:"2,keyasint"`
	BaseVersion uint64           `cbor:"3,keyasint,omitempty"`
	Full        bool             `cbor:"4,keyasint,omitempty"`
	Endpoints   []EndpointRecord `cbor:"5,keyasint"`
}

// ServerOf turns an address such as 127.0.0.1:7100 into the module's form.
func ServerFromAddrPort(addr netip.AddrPort) (scheduler.Server, error) {
	if !addr.Addr().Unmap().Is4() {
		return scheduler.Server{}, fmt.Errorf("%v is no IPv4 address", addr)
	}
	return scheduler.Server{Addr: addr.Addr().Unmap().As4(), Port: addr.Port()}, nil
}

// AddrOf turns it back.
func AddrPortOf(s scheduler.Server) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4(s.Addr), s.Port)
}

func recordOf(e endpoints.Endpoint) EndpointRecord {
	a := e.Server.Addr
	return EndpointRecord{uint32(a[0])<<24 | uint32(a[1])<<16 | uint32(a[2])<<8 | uint32(a[3]), e.Server.Port,
		uint8(e.Status), e.Cell, e.Zone, e.MachineType, e.StartedAt, e.NominalCapacity}
}

func (i EndpointRecord) endpoint() (endpoints.Endpoint, error) {
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
		MachineType:     i.MachineType,
		StartedAt:       i.StartedAt,
		NominalCapacity: i.NominalCapacity,
	}, nil
}

func recordsOf(entries []endpoints.Endpoint) []EndpointRecord {
	out := make([]EndpointRecord, len(entries))
	for i, e := range entries {
		out[i] = recordOf(e)
	}
	return out
}

func (m Message) endpoints() ([]endpoints.Endpoint, error) {
	if len(m.Endpoints) > MaxEndpoints {
		return nil, fmt.Errorf("%d entries; %d at most", len(m.Endpoints), MaxEndpoints)
	}
	out := make([]endpoints.Endpoint, len(m.Endpoints))
	for n, i := range m.Endpoints {
		e, err := i.endpoint()
		if err != nil {
			return nil, fmt.Errorf("entry %d: %w", n, err)
		}
		out[n] = e
	}
	return out, nil
}

// NewsOf reads a News frame.
func DecodeUpdate(f proto.Frame) (endpoints.Update, error) {
	var m Message
	if err := f.Decode(&m); err != nil {
		return endpoints.Update{}, err
	}
	entries, err := m.endpoints()
	if err != nil {
		return endpoints.Update{}, fmt.Errorf("news: %w", err)
	}
	return endpoints.Update{Epoch: m.Epoch, Version: m.Version, BaseVersion: m.BaseVersion, Full: m.Full,
		Endpoints: entries}, nil
}
