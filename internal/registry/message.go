package registry

import (
	"encoding/binary"
	"errors"
	"fmt"
	"net/netip"

	"landingpaddle/endpoints"
	"landingpaddle/internal/proto"
	"landingpaddle/scheduler"
)

// MaxEndpoints is the maximum length of a list that is received or loaded from a file.
const MaxEndpoints = 20_000

// Limits are the frame limits of the registry protocol, in which a whole list is one header.
var Limits = proto.Limits{MaxHeader: 4 << 20, MaxPayload: 0, MaxStreams: 16, MaxBacklog: 64 << 20}

// Errors of endpoint lists and addresses that are received from outside the process.
var (
	ErrTooManyEndpoints = fmt.Errorf("list exceeds %d endpoints", MaxEndpoints)
	ErrUnknownStatus    = errors.New("unknown status")
	ErrNoPort           = errors.New("port 0")
	ErrNotIPv4          = errors.New("not an IPv4 address")
)

// EndpointRecord is the encoding of an endpoint in frames and snapshot files. The keys must not change.
type EndpointRecord struct {
	Addr            uint32  `cbor:"1,keyasint"` // IPv4, most significant byte first
	Port            uint16  `cbor:"2,keyasint"`
	Status          uint8   `cbor:"3,keyasint"` // a scheduler.Status
	Cell            uint16  `cbor:"4,keyasint"`
	Zone            uint8   `cbor:"5,keyasint"`
	MachineType     uint8   `cbor:"6,keyasint,omitempty"`
	StartedAt       int64   `cbor:"7,keyasint,omitempty"` // Unix nanoseconds of the node's clock
	NominalCapacity float64 `cbor:"8,keyasint,omitempty"`
}

// Message is the header of an update or register frame and the body of a snapshot file. Its fields are those
// of endpoints.Update. The keys must not change.
type Message struct {
	Epoch       uint64           `cbor:"1,keyasint"`
	Version     uint64           `cbor:"2,keyasint"`
	BaseVersion uint64           `cbor:"3,keyasint,omitempty"`
	Full        bool             `cbor:"4,keyasint,omitempty"`
	Endpoints   []EndpointRecord `cbor:"5,keyasint"`
}

// ServerFromAddrPort converts an address such as 127.0.0.1:7100. The error of an address that is not IPv4
// wraps ErrNotIPv4.
func ServerFromAddrPort(addr netip.AddrPort) (scheduler.Server, error) {
	ip := addr.Addr().Unmap()
	if !ip.Is4() {
		return scheduler.Server{}, fmt.Errorf("%w: %v", ErrNotIPv4, addr)
	}
	return scheduler.Server{Addr: ip.As4(), Port: addr.Port()}, nil
}

// AddrPortOf returns the address of a server.
func AddrPortOf(s scheduler.Server) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4(s.Addr), s.Port)
}

// DecodeUpdate decodes the header of an update or register frame.
func DecodeUpdate(frame proto.Frame) (endpoints.Update, error) {
	var message Message
	if err := frame.Decode(&message); err != nil {
		return endpoints.Update{}, err
	}
	listed, err := message.endpoints()
	if err != nil {
		return endpoints.Update{}, fmt.Errorf("update: %w", err)
	}
	return endpoints.Update{
		Epoch:       message.Epoch,
		Version:     message.Version,
		BaseVersion: message.BaseVersion,
		Full:        message.Full,
		Endpoints:   listed,
	}, nil
}

func messageOf(update endpoints.Update) Message {
	return Message{
		Epoch:       update.Epoch,
		Version:     update.Version,
		BaseVersion: update.BaseVersion,
		Full:        update.Full,
		Endpoints:   recordsOf(update.Endpoints),
	}
}

func (m Message) endpoints() ([]endpoints.Endpoint, error) {
	if len(m.Endpoints) > MaxEndpoints {
		return nil, fmt.Errorf("%w: %d", ErrTooManyEndpoints, len(m.Endpoints))
	}
	listed := make([]endpoints.Endpoint, len(m.Endpoints))
	for i, record := range m.Endpoints {
		endpoint, err := record.endpoint()
		if err != nil {
			return nil, fmt.Errorf("endpoint %d: %w", i, err)
		}
		listed[i] = endpoint
	}
	return listed, nil
}

func (r EndpointRecord) endpoint() (endpoints.Endpoint, error) {
	if r.Status > uint8(scheduler.Draining) {
		return endpoints.Endpoint{}, fmt.Errorf("%w: %d", ErrUnknownStatus, r.Status)
	}
	if r.Port == 0 {
		return endpoints.Endpoint{}, ErrNoPort
	}
	server := scheduler.Server{Port: r.Port}
	binary.BigEndian.PutUint32(server.Addr[:], r.Addr)
	return endpoints.Endpoint{
		Server:          server,
		Status:          scheduler.Status(r.Status),
		Cell:            r.Cell,
		Zone:            r.Zone,
		MachineType:     r.MachineType,
		StartedAt:       r.StartedAt,
		NominalCapacity: r.NominalCapacity,
	}, nil
}

func recordOf(endpoint endpoints.Endpoint) EndpointRecord {
	return EndpointRecord{
		Addr:            binary.BigEndian.Uint32(endpoint.Server.Addr[:]),
		Port:            endpoint.Server.Port,
		Status:          uint8(endpoint.Status),
		Cell:            endpoint.Cell,
		Zone:            endpoint.Zone,
		MachineType:     endpoint.MachineType,
		StartedAt:       endpoint.StartedAt,
		NominalCapacity: endpoint.NominalCapacity,
	}
}

func recordsOf(listed []endpoints.Endpoint) []EndpointRecord {
	records := make([]EndpointRecord, len(listed))
	for i, endpoint := range listed {
		records[i] = recordOf(endpoint)
	}
	return records
}
