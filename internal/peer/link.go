package peer

import (
	"context"
	"errors"
	"net"
	"net/netip"
	"sync/atomic"

	"landingpaddle/scheduler"
)

// Link is an instance's UDP socket for messages to and from its peers. Run is called by one goroutine; the
// other methods may be called by any.
type Link struct {
	instance uint32
	conn     *net.UDPConn
	peers    map[uint32]netip.AddrPort // by instance number; read-only
	gate     func()                    // see Listen

	// Rejected counts datagrams that are malformed, or whose stated sender is unknown or this instance.
	Rejected atomic.Uint64
}

// Listen opens the socket of an instance. peers contains the addresses of all instances by number; it must
// not be changed while the link runs. gate, if not nil, is called before each received datagram is decoded
// and may block: the testbed uses it to suspend a process.
func Listen(addr string, instance uint32, peers map[uint32]netip.AddrPort, gate func()) (*Link, error) {
	udpAddr, err := net.ResolveUDPAddr("udp4", addr)
	if err != nil {
		return nil, err
	}
	conn, err := net.ListenUDP("udp4", udpAddr)
	if err != nil {
		return nil, err
	}
	return &Link{instance: instance, conn: conn, peers: peers, gate: gate}, nil
}

// Addr returns the address on which the link listens.
func (l *Link) Addr() netip.AddrPort { return l.conn.LocalAddr().(*net.UDPAddr).AddrPort() }

// Run passes received messages to handle, which must not block, until ctx ends. It then closes the socket and
// returns nil.
func (l *Link) Run(ctx context.Context, handle func(scheduler.PeerMessage)) error {
	stop := context.AfterFunc(ctx, func() { l.conn.Close() })
	defer stop()
	buffer := make([]byte, overhead+MaxBody+1) // one byte more, so that an oversized datagram is detected
	for {
		length, _, err := l.conn.ReadFromUDPAddrPort(buffer)
		if ctx.Err() != nil || errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil {
			continue // an ICMP error in response to a datagram sent earlier
		}
		if l.gate != nil {
			l.gate()
		}
		if message, ok := l.accept(buffer[:length]); ok {
			handle(message)
		}
	}
}

// accept decodes a datagram. It rejects and counts one that is malformed, or whose stated sender is unknown
// or this instance.
func (l *Link) accept(datagram []byte) (message scheduler.PeerMessage, ok bool) {
	sender, body, err := Decode(datagram)
	if _, known := l.peers[sender]; err != nil || !known || sender == l.instance {
		l.Rejected.Add(1)
		return scheduler.PeerMessage{}, false
	}
	copied := append([]byte(nil), body...) // the next datagram is read into the same buffer
	return scheduler.PeerMessage{From: sender, Body: copied}, true
}

// Send sends a message to one instance, or to all others if receiver is scheduler.AllPeers. A message that
// cannot be sent is not retried, as any datagram may be lost; the error is that of the last datagram.
func (l *Link) Send(receiver uint32, body []byte) error {
	datagram, err := Encode(l.instance, body)
	if err != nil {
		return err
	}
	for instance, addr := range l.peers {
		if instance != l.instance && (receiver == scheduler.AllPeers || receiver == instance) {
			_, err = l.conn.WriteToUDPAddrPort(datagram, addr)
		}
	}
	return err
}
