// Package peer carries short messages (gossip) between instances over UDP. Messages may be lost, duplicated
// and reordered. docs/protocol.md describes the datagrams.
package peer
