package testbed

import (
	"sync"
	"time"

	"landingpaddle/scheduler"
)

// DedupGroup remembers operations with an idempotency key for the nodes that drop each other's repeats. Any
// goroutine may use it.
type DedupGroup struct {
	mu   sync.Mutex
	seen map[uint64]*effect
}

// effect is what a group remembers of an operation.
type effect struct {
	at      time.Time
	settled chan struct{} // closed once the operation has taken effect, or was forgotten as it never will
}

// NewDedupGroup returns a group that remembers nothing yet.
func NewDedupGroup() *DedupGroup { return &DedupGroup{seen: map[uint64]*effect{}} }

// admit registers operations as in progress and tells which of them the group remembers already. While one
// of them is in progress elsewhere nothing is registered: a repeat must not be answered as done before it
// is, so it has to wait for the channel returned and ask again.
func (g *DedupGroup) admit(tokens []uint64, window time.Duration) (repeats []bool, wait <-chan struct{}) {
	g.mu.Lock()
	defer g.mu.Unlock()
	repeats = make([]bool, len(tokens))
	for i, token := range tokens {
		known := g.seen[token]
		if known == nil || time.Since(known.at) >= window {
			continue
		}
		select {
		case <-known.settled:
			repeats[i] = true
		default:
			return nil, known.settled
		}
	}
	for i, token := range tokens {
		if !repeats[i] {
			g.seen[token] = &effect{at: time.Now(), settled: make(chan struct{})}
		}
	}
	return repeats, nil
}

// settle notes that an operation has taken effect.
func (g *DedupGroup) settle(token uint64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if known := g.seen[token]; known != nil {
		known.settle()
	}
}

// forget drops an operation that will never take effect: a repeat of it is to be carried out.
func (g *DedupGroup) forget(token uint64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if known := g.seen[token]; known != nil {
		delete(g.seen, token)
		known.settle()
	}
}

// settle wakes those who wait. The group's lock is held.
func (e *effect) settle() {
	select {
	case <-e.settled:
	default:
		close(e.settled)
	}
}

// dedupKey names a group: a deduplication scope, and the zone or cell that it covers.
type dedupKey struct {
	scope  scheduler.DedupScope
	number int
}

// dedupGroups are the groups of all nodes of a scenario.
type dedupGroups struct {
	mu    sync.Mutex
	byKey map[dedupKey]*DedupGroup
}

func newDedupGroups() *dedupGroups { return &dedupGroups{byKey: map[dedupKey]*DedupGroup{}} }

// forNode returns what gives a node's group for each scope.
func (g *dedupGroups) forNode(zone uint8, cell uint16) func(scheduler.DedupScope) *DedupGroup {
	return func(scope scheduler.DedupScope) *DedupGroup {
		key := dedupKey{scope: scope}
		switch scope {
		case scheduler.DedupZone:
			key.number = int(zone)
		case scheduler.DedupCell:
			key.number = int(cell)
		}
		g.mu.Lock()
		defer g.mu.Unlock()
		if g.byKey[key] == nil {
			g.byKey[key] = NewDedupGroup()
		}
		return g.byKey[key]
	}
}
