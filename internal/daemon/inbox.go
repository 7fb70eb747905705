package daemon

import (
	"sync"

	"landingpaddle/scheduler"
)

// maxPeerMessages bounds the queued messages from other instances. Messages beyond it are discarded, as
// datagrams may be lost in any case.
const maxPeerMessages = 1024

// inbox is the queue of messages to the loop. Any goroutine may add to it, only the loop's removes. Only peer
// messages need a bound here: calls are bounded by Admit, results by the attempts in flight, and endpoint
// updates by the single connection on which they arrive.
type inbox struct {
	mu           sync.Mutex
	messages     []message
	peerMessages int           // number among messages
	wake         chan struct{} // holds a value if messages or undecided events may be pending
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

// signal wakes the loop or, if it is not waiting, makes its next wait return at once.
func (b *inbox) signal() {
	select {
	case b.wake <- struct{}{}:
	default:
	}
}

// takeAll removes and returns all messages. The inbox reuses the slice spare, which the caller must not use
// any more.
func (b *inbox) takeAll(spare []message) []message {
	clear(spare)
	b.mu.Lock()
	defer b.mu.Unlock()
	taken := b.messages
	b.messages, b.peerMessages = spare[:0], 0
	return taken
}
