package testbed

import (
	"sync"
	"time"

	"landingpaddle/scheduler"
)

// DedupGroup records operations with an idempotency key for a group of nodes that deduplicate each other's
// operations. Any goroutine may use it.
type DedupGroup struct {
	mu   sync.Mutex
	seen map[uint64]*effect // by member.effectToken
}

// effect is a group's record of an operation.
type effect struct {
	at      time.Time     // when it was registered
	settled chan struct{} // closed once the operation has taken effect, or was removed because it never will
}

// NewDedupGroup returns an empty group.
func NewDedupGroup() *DedupGroup { return &DedupGroup{seen: map[uint64]*effect{}} }

// admit registers operations as in progress and reports which of them are duplicates of operations registered
// within the window. While an earlier attempt of one of them is in progress, it registers nothing and returns
// a channel: a duplicate must not be answered as done before the operation is, so the caller waits until the
// channel is closed and calls admit again.
func (g *DedupGroup) admit(tokens []uint64, window time.Duration) (duplicates []bool, wait <-chan struct{}) {
	g.mu.Lock()
	defer g.mu.Unlock()
	duplicates = make([]bool, len(tokens))
	for i, token := range tokens {
		registered := g.seen[token]
		if registered == nil || time.Since(registered.at) >= window {
			continue
		}
		select {
		case <-registered.settled:
			duplicates[i] = true
		default:
			return nil, registered.settled
		}
	}
	for i, token := range tokens {
		if !duplicates[i] {
			g.seen[token] = &effect{at: time.Now(), settled: make(chan struct{})}
		}
	}
	return duplicates, nil
}

// settle records that an operation has taken effect.
func (g *DedupGroup) settle(token uint64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if registered := g.seen[token]; registered != nil {
		registered.settle()
	}
}

// forget removes an operation that will never take effect, so that a duplicate of it is executed.
func (g *DedupGroup) forget(token uint64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if registered := g.seen[token]; registered != nil {
		delete(g.seen, token)
		registered.settle()
	}
}

// settle wakes the duplicates that wait for the operation. The caller holds the group's lock.
func (e *effect) settle() {
	select {
	case <-e.settled:
	default:
		close(e.settled)
	}
}

// dedupKey identifies a group by its deduplication scope and the zone or cell that it covers.
type dedupKey struct {
	scope  scheduler.DedupScope
	number int // of the zone or cell; 0 for all nodes
}

// dedupGroups contains the groups of all nodes of a scenario.
type dedupGroups struct {
	mu    sync.Mutex
	byKey map[dedupKey]*DedupGroup
}

func newDedupGroups() *dedupGroups { return &dedupGroups{byKey: map[dedupKey]*DedupGroup{}} }

// forNode returns a function that returns a node's group for a scope, creating it on first use.
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
