// Package peer carries short messages between instances by UDP. They may be lost, doubled and come in any
// order. A datagram is: "LPP1", the sender's number (u32, little-endian), the body, a CRC-32C of all before
// it.
package peer

import (
	"context"
	"encoding/binary"
	"errors"
	"fmt"
	"hash/crc32"
	"net"
	"net/netip"
	"sync/atomic"

	"landingpaddle/scheduler"
)

const (
	magic = "LPP1"
	// MaxBody bounds a message, in bytes.
	MaxBody = 256
	fixed   = len(magic) + 4 + 4
)

// Errors of datagrams.
var (
	ErrBody     = fmt.Errorf("a message holds %d bytes at most", MaxBody)
	ErrDatagram = errors.New("no message of this protocol")
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// Encode makes a datagram.
func Encode(from uint32, body []byte) ([]byte, error) {
	if len(body) > MaxBody {
		return nil, ErrBody
	}
	b := append(make([]byte, 0, fixed+len(body)), magic...)
	b = binary.LittleEndian.AppendUint32(b, from)
	b = append(b, body...)
	return binary.LittleEndian.AppendUint32(b, crc32.Checksum(b, castagnoli)), nil
}

// Decode reads one.
func Decode(b []byte) (from uint32, body []byte, err error) {
	if len(b) < fixed || len(b) > fixed+MaxBody || string(b[:len(magic)]) != magic {
		return 0, nil, ErrDatagram
	}
	end := len(b) - 4
	if crc32.Checksum(b[:end], castagnoli) != binary.LittleEndian.Uint32(b[end:]) {
		return 0, nil, fmt.Errorf("%w: checksum does not match", ErrDatagram)
	}
	return binary.LittleEndian.Uint32(b[len(magic):]), b[len(magic)+4 : end], nil
}

// Link is one instance's end.
type Link struct {
	me    uint32
	conn  *net.UDPConn
	peers map[uint32]netip.AddrPort
	gate  func()

	// Bad counts datagrams that were not understood or came from nobody known.
	Rejected atomic.Uint64
}

// Listen opens the end. gate, where set, is passed before each message is handed on.
func Listen(addr string, me uint32, peers map[uint32]netip.AddrPort, gate func()) (*Link, error) {
	ua, err := net.ResolveUDPAddr("udp4", addr)
	if err != nil {
		return nil, err
	}
	conn, err := net.ListenUDP("udp4", ua)
	if err != nil {
		return nil, err
	}
	return &Link{me: me, conn: conn, peers: peers, gate: gate}, nil
}

// Addr is where the end listens.
func (l *Link) Addr() netip.AddrPort { return l.conn.LocalAddr().(*net.UDPAddr).AddrPort() }

// Run hands messages on until ctx ends; hear must not block.
func (l *Link) Run(ctx context.Context, hear func(scheduler.PeerMessage)) error {
	stop := context.AfterFunc(ctx, func() { l.conn.Close() })
	defer stop()
	buf := make([]byte, fixed+MaxBody+1)
	for {
		n, _, err := l.conn.ReadFromUDPAddrPort(buf)
		if ctx.Err() != nil {
			return nil
		}
		if err != nil {
			if errors.Is(err, net.ErrClosed) {
				return nil
			}
			continue // an ICMP answer to something sent earlier
		}
		if l.gate != nil {
			l.gate()
		}
		from, body, err := Decode(buf[:n])
		if _, known := l.peers[from]; err != nil || !known || from == l.me {
			l.Rejected.Add(1)
			continue
		}
		hear(scheduler.PeerMessage{From: from, Body: append([]byte(nil), body...)})
	}
}

// Send sends to one instance or to all; what cannot be sent is lost, as any message may be.
func (l *Link) Send(to uint32, body []byte) error {
	b, err := Encode(l.me, body)
	if err != nil {
		return err
	}
	for number, addr := range l.peers {
		if number != l.me && (to == scheduler.AllPeers || to == number) {
			_, err = l.conn.WriteToUDPAddrPort(b, addr)
		}
	}
	return err
}
