package platform

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/netip"
	"slices"

	"landingpaddle/internal/daemon"
	"landingpaddle/scheduler"
)

// maxDatagram bounds a datagram between schedulers, by the protocol.
const maxDatagram = 256

// peers is this scheduler's end of the datagrams between schedulers. They carry the module's words as they
// are; the sender is told by its address.
type gossip struct {
	config *Config
	conn   *net.UDPConn
}

func newGossip(cfg *Config) (*gossip, error) {
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(cfg.PeerListen))
	if err != nil {
		return nil, fmt.Errorf("peer_listen: %w", err)
	}
	return &gossip{config: cfg, conn: conn}, nil
}

// run hands messages on until ctx ends. What comes from nobody known is dropped.
func (p *gossip) receive(ctx context.Context, core *daemon.EventLoop) {
	stop := context.AfterFunc(ctx, func() { p.conn.Close() })
	defer stop()
	buf := make([]byte, maxDatagram+1)
	for {
		n, from, err := p.conn.ReadFromUDPAddrPort(buf)
		if ctx.Err() != nil || errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			continue // an ICMP answer to something sent earlier
		}
		from = netip.AddrPortFrom(from.Addr().Unmap(), from.Port())
		number := slices.Index(p.config.Peers, from)
		if number < 0 || number == p.config.Site.Settings.InstanceIndex || n > maxDatagram {
			continue
		}
		core.ReceivePeerMessage(scheduler.PeerMessage{From: uint32(number), Body: slices.Clone(buf[:n])})
	}
}

// Send sends to one scheduler or to all; what cannot be sent is lost, as any datagram may be.
func (p *gossip) Send(to uint32, body []byte) error {
	at := p.config.BroadcastAddr
	switch {
	case len(body) > maxDatagram:
		return fmt.Errorf("a message holds %d bytes at most", maxDatagram)
	case to != scheduler.AllPeers && int64(to) >= int64(len(p.config.Peers)):
		return fmt.Errorf("there is no scheduler %d", to)
	case to != scheduler.AllPeers:
		at = p.config.Peers[to]
	case !at.IsValid():
		return errors.New("no address for all schedulers is known")
	}
	_, err := p.conn.WriteToUDPAddrPort(body, at)
	return err
}
