package platform

import (
	"cmp"
	"context"
	"slices"
	"time"
)

const (
	// clientSweepInterval is how often idle connections are looked at.
	clientSweepInterval = 100 * time.Millisecond
	// maxIdleTime is how long a connection may idle. Some clients keep a connection for good, and a client
	// holds only so many.
	maxIdleTime = 2 * time.Second

	// A connection may be closed for want of room after so long in its state.
	evictIdleAfter    = 200 * time.Millisecond
	evictSilentAfter  = 5 * time.Millisecond
	evictReadingAfter = 700 * time.Millisecond

	// noneKept makes closeIdle close every connection that has idled for long enough.
	noneKept = -1
)

// Eviction ranks; a lower one is closed first.
const (
	rankSilent = iota
	rankReading
	rankIdle
)

// Ranks among idle connections; a lower one is closed first. One that has sent no request yet counts as used
// once.
const (
	rankUsedOnce = iota
	rankUsedRepeatedly
)

// evictionRank is which connection goes first where room is wanted, and after how long in its state it may
// go. It does not hold for one with a request in flight, which is never evicted.
func (c *clientConn) evictionRank() (rank int, after time.Duration) {
	switch {
	case c.state == stateIdle && c.requests == 0:
		return rankSilent, evictSilentAfter
	case c.state == stateReading:
		return rankReading, evictReadingAfter
	}
	return rankIdle, evictIdleAfter
}

// evictionCandidate is a connection that might be closed, as it stood when it was looked at.
type evictionCandidate struct {
	client     *clientConn
	rank       int
	stateSince time.Time
}

// rankForEviction returns the connections that pick ranks: by rank, and within a rank the longest in its
// state first. It calls pick with the frontend's lock held.
func (f *frontend) rankForEviction(pick func(*clientConn) (rank int, ok bool)) []evictionCandidate {
	var candidates []evictionCandidate
	f.mu.Lock()
	for client := range f.connections {
		if rank, ok := pick(client); ok {
			candidates = append(candidates, evictionCandidate{client, rank, client.stateSince})
		}
	}
	f.mu.Unlock()
	slices.SortFunc(candidates, func(a, b evictionCandidate) int {
		return cmp.Or(cmp.Compare(a.rank, b.rank), a.stateSince.Compare(b.stateSince))
	})
	return candidates
}

// makeRoom closes the connection of the lowest rank: one that has sent nothing since it was made, else one
// that is slow to send its request, else the one that has idled for the longest. An idle connection with a
// request waiting to be read stays. With force, neither the time in a state nor lingering connections
// matter.
func (f *frontend) makeRoom(force bool) bool {
	if f.isLingeringFull() && !force {
		return false // they end within moments
	}
	candidates := f.rankForEviction(func(client *clientConn) (int, bool) {
		rank, after := client.evictionRank()
		return rank, client.state != stateWorking && (force || time.Since(client.stateSince) >= after)
	})
	for _, candidate := range candidates {
		if f.evict(candidate.client, true) {
			f.counters.evicted.Add(1)
			return true
		}
	}
	return false
}

// evict asks a connection's session to end it, and reports whether it will. A connection with a request in
// flight, or with one that waits to be read, goes on. With makeRoom it counts as lingering from now on, so
// that its place is free at once.
func (f *frontend) evict(client *clientConn, makeRoom bool) bool {
	if !isOpenAndEmpty(client.conn) {
		return false
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if client.state == stateWorking || client.closeRequested {
		return false
	}
	client.closeRequested = true
	if makeRoom {
		f.moveToLingering(client)
	}
	client.conn.SetReadDeadline(wakeDeadline)
	return true
}

// sweepIdle closes connections that have idled for long, until ctx ends.
func (f *frontend) sweepIdle(ctx context.Context) {
	runPeriodically(ctx, clientSweepInterval, func() {
		if !f.keepIdle.Load() {
			f.closeIdle(maxIdleTime, noneKept)
			f.closeIdle(evictIdleAfter, f.limits.keptIdle)
		}
	})
}

// closeIdle closes connections that have idled for at least a time, while more than keep connections have
// sent a request. Those that sent one request go first, then the longest idle.
func (f *frontend) closeIdle(idleFor time.Duration, keep int) {
	used := 0
	candidates := f.rankForEviction(func(client *clientConn) (rank int, ok bool) {
		if client.requests > 0 {
			used++
		}
		rank = rankUsedOnce
		if client.requests > 1 {
			rank = rankUsedRepeatedly
		}
		return rank, client.state == stateIdle && time.Since(client.stateSince) >= idleFor
	})
	for _, candidate := range candidates {
		if used <= keep {
			return
		}
		if f.evict(candidate.client, false) {
			used--
		}
	}
}
