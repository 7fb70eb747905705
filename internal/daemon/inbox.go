package daemon

import (
	"sync"

	"landingpaddle/scheduler"
)

// maxPeerMessages bounds the messages of other instances that wait for the loop. More are lost, as datagrams
// may be.
const maxPeerMessages = 1024

// inbox is the queue of messages to the loop. Any goroutine may put into it, only the loop's takes. It needs
// no bound of its own but that of peer messages: calls are bounded by Admit, results by the attempts in
// flight, endpoint updates by the one connection that brings them.
type inbox struct {
	mu           sync.Mutex
	messages     []message
	peerMessages int           // among messages
	wake         chan struct{} // holds one value while there may be messages
}

func newInbox() *inbox { return &inbox{wake: make(chan struct{}, 1)} }

func (b *inbox) put(m message) {
	b.mu.Lock()
	b.messages = append(b.messages, m)
	b.mu.Unlock()
	b.signal()
}

func (b *inbox) putPeerMessage(m scheduler.PeerMessage) {
	b.mu.Lock()
	if b.peerMessages < maxPeerMessages {
		b.peerMessages++
		b.messages = append(b.messages, peerMessageReceived{m})
	}
	b.mu.Unlock()
	b.signal()
}

// signal wakes the loop, or makes its next wait end at once.
func (b *inbox) signal() {
	select {
	case b.wake <- struct{}{}:
	default:
	}
}

// takeAll empties the inbox. It goes on with the slice spare, which the caller must not use any more.
func (b *inbox) takeAll(spare []message) []message {
	clear(spare)
	b.mu.Lock()
	defer b.mu.Unlock()
	taken := b.messages
	b.messages, b.peerMessages = spare[:0], 0
	return taken
}
