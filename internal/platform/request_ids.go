package platform

import (
	"hash/maphash"
	"sync"
	"time"
)

// usedIDTime is how long an id is remembered of a request that may have run, or may run yet. It is longer
// than clients wait and than attempts last.
const usedIDTime = 10 * time.Second

// requestIDs holds the ids of requests in flight, and remembers for a while those of requests that may have
// run: a request that comes again under such an id must not run a second time. Its methods may be called from
// any goroutine.
type requestIDs struct {
	maxUsed int // number of used ids that are remembered at most, the latest
	seed    maphash.Seed

	mu     sync.Mutex
	open   map[string]struct{}
	used   map[uint64]time.Time // by the hash of the id, when it is forgotten
	oldest []usedID             // in the order in which they are forgotten
}

// usedID is the hash of an id of a request that may have run. The id may be long, its hash is not.
type usedID struct {
	hash  uint64
	until time.Time
}

func newRequestIDs(maxUsed int) *requestIDs {
	return &requestIDs{maxUsed: maxUsed, seed: maphash.MakeSeed(), open: map[string]struct{}{},
		used: map[uint64]time.Time{}}
}

// reserve reserves an id for a request in flight, and reports false if it is in use or remembered.
func (r *requestIDs) reserve(id string, now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.forget(now)
	if _, isOpen := r.open[id]; isOpen {
		return false
	}
	if _, isUsed := r.used[maphash.String(r.seed, id)]; isUsed {
		return false
	}
	r.open[id] = struct{}{}
	return true
}

// release ends the reservation of an id. If its request may have run, the id is remembered from now on.
func (r *requestIDs) release(id string, mayHaveRun bool, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.open, id)
	if !mayHaveRun || r.maxUsed == 0 {
		return
	}
	if len(r.oldest) >= r.maxUsed {
		r.forgetOldest()
	}
	entry := usedID{maphash.String(r.seed, id), now.Add(usedIDTime)}
	r.used[entry.hash] = entry.until
	r.oldest = append(r.oldest, entry)
}

// forget drops the ids whose time is over. The caller holds the lock.
func (r *requestIDs) forget(now time.Time) {
	for len(r.oldest) > 0 && !now.Before(r.oldest[0].until) {
		r.forgetOldest()
	}
}

// forgetOldest drops the id that is forgotten first. The caller holds the lock.
func (r *requestIDs) forgetOldest() {
	entry := r.oldest[0]
	r.oldest = r.oldest[1:]
	if r.used[entry.hash] == entry.until {
		delete(r.used, entry.hash)
	}
}
