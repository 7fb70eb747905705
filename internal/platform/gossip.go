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

// maxDatagram bounds a datagram between schedulers, in bytes, by the protocol.
const maxDatagram = 256

var (
	errNoBroadcastAddress = errors.New("no broadcast address is configured")
	errDatagramTooLong    = errors.New("message is too long for a datagram")
	errUnknownPeer        = errors.New("no scheduler has this index")
)

// gossip exchanges datagrams with the other schedulers. A datagram is the body of one of the scheduler's
// messages; its sender is identified by its address.
type gossip struct {
	config *Config
	conn   *net.UDPConn
}

var _ daemon.PeerSender = (*gossip)(nil)

// newGossip listens for datagrams. Its error is a *ConfigError for the listening address.
func newGossip(config *Config) (*gossip, error) {
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(config.PeerListen))
	if err != nil {
		return nil, keyError(configKeyPeerListen, err)
	}
	return &gossip{config: config, conn: conn}, nil
}

// receive passes datagrams to the loop until ctx ends, and then closes the socket. It ignores datagrams from
// unknown senders and datagrams longer than maxDatagram.
func (g *gossip) receive(ctx context.Context, loop *daemon.EventLoop) {
	stop := context.AfterFunc(ctx, func() { g.conn.Close() })
	defer stop()
	buffer := make([]byte, maxDatagram+1)
	for {
		length, sender, err := g.conn.ReadFromUDPAddrPort(buffer)
		if ctx.Err() != nil || errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			continue // an ICMP error for a datagram sent earlier
		}
		index, known := g.peerAt(sender)
		if !known || length > maxDatagram {
			continue
		}
		loop.ReceivePeerMessage(scheduler.PeerMessage{From: index, Body: slices.Clone(buffer[:length])})
	}
}

// peerAt returns the index of the scheduler with an address; this scheduler's own address counts as unknown.
func (g *gossip) peerAt(address netip.AddrPort) (index uint32, known bool) {
	address = netip.AddrPortFrom(address.Addr().Unmap(), address.Port())
	position := slices.Index(g.config.Peers, address)
	if position < 0 || position == g.config.Site.Settings.InstanceIndex {
		return 0, false
	}
	return uint32(position), true
}

// Send sends a message to one scheduler or to all. Like any datagram it may be lost without an error.
func (g *gossip) Send(to uint32, body []byte) error {
	if len(body) > maxDatagram {
		return fmt.Errorf("%w: %d bytes, at most %d are allowed", errDatagramTooLong, len(body), maxDatagram)
	}
	address, err := g.addressOf(to)
	if err != nil {
		return err
	}
	_, err = g.conn.WriteToUDPAddrPort(body, address)
	return err
}

func (g *gossip) addressOf(index uint32) (netip.AddrPort, error) {
	switch {
	case index == scheduler.AllPeers && !g.config.BroadcastAddr.IsValid():
		return netip.AddrPort{}, errNoBroadcastAddress
	case index == scheduler.AllPeers:
		return g.config.BroadcastAddr, nil
	case int64(index) >= int64(len(g.config.Peers)):
		return netip.AddrPort{}, fmt.Errorf("%w: %d", errUnknownPeer, index)
	}
	return g.config.Peers[index], nil
}
