package daemon

import (
	"sync"

	"landingpaddle/scheduler"
)

// mostPeers bounds messages from other instances that wait for the loop; more are lost, as datagrams may be.
const mostPeers = 1024

// inbox leads to the loop. Requests in it are bounded by the front, outcomes by the attempts that are out,
// news by the one connection that brings it, messages of peers here.
type inbox struct {
	mu    sync.Mutex
	items []any
	peers int
	wake  chan struct{}
}

func newInbox() *inbox { return &inbox{wake: make(chan struct{}, 1)} }

func (b *inbox) put(item any) {
	b.mu.Lock()
	b.items = append(b.items, item)
	b.mu.Unlock()
	b.ring()
}

func (b *inbox) putPeer(p scheduler.PeerMessage) {
	b.mu.Lock()
	if b.peers < mostPeers {
		b.peers++
		b.items = append(b.items, p)
	}
	b.mu.Unlock()
	b.ring()
}

func (b *inbox) ring() {
	select {
	case b.wake <- struct{}{}:
	default:
	}
}

// take empties the box into what the caller has done with.
func (b *inbox) take(spare []any) []any {
	clear(spare)
	b.mu.Lock()
	defer b.mu.Unlock()
	items := b.items
	b.items, b.peers = spare[:0], 0
	return items
}
