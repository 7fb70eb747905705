package platform

import (
	"cmp"
	"context"
	"slices"
	"time"
)

const (
	// clientSweepInterval is how often idle connections are checked.
	clientSweepInterval = 100 * time.Millisecond
	// maxIdleTime is how long a connection may idle. Some clients never close a connection, and the number of
	// connections that a client may have open is limited.
	maxIdleTime = 2 * time.Second

	// Time in a state after which a connection may be closed because the limit of connections is reached.
	// evictIdleAfter also applies while more than resourceLimits.keptIdle connections have sent a request.
	evictIdleAfter    = 200 * time.Millisecond
	evictSilentAfter  = 5 * time.Millisecond
	evictReadingAfter = 700 * time.Millisecond
	evictUnreadAfter  = 200 * time.Millisecond

	// keepNone makes closeIdle close every connection that has idled for the given time.
	keepNone = -1
)

// Eviction ranks; connections of a lower rank are closed first.
const (
	rankNone = iota
	rankSilent
	rankReading
	rankIdle
)

// Ranks of idle connections in closeIdle; a lower rank is closed first. A connection that has sent no request
// yet counts as used once.
const (
	rankUsedOnce = iota
	rankUsedRepeatedly
)

// evictionRank returns a connection's rank and the time in its state after which it may be evicted. It does
// not apply to a connection with a request in flight, which is never evicted.
func (c *clientConn) evictionRank() (rank int, after time.Duration) {
	switch {
	case c.isSilent():
		return rankSilent, evictSilentAfter
	case c.state == stateReading:
		return rankReading, evictReadingAfter
	case c.state == stateUnread:
		return rankReading, evictUnreadAfter
	}
	return rankIdle, evictIdleAfter
}

// evictionCandidate is a connection that may be closed, with its rank and state when it was checked.
type evictionCandidate struct {
	client     *clientConn
	rank       int
	stateSince time.Time
}

// rankForEviction returns the connections for which rankOf returns ok: by rank, and within a rank the longest
// in its state first. It calls rankOf with the frontend's lock held.
func (f *frontend) rankForEviction(rankOf func(*clientConn) (rank int, ok bool)) []evictionCandidate {
	var candidates []evictionCandidate
	f.mu.Lock()
	for client := range f.connections {
		if rank, ok := rankOf(client); ok {
			candidates = append(candidates, evictionCandidate{client, rank, client.stateSince})
		}
	}
	f.mu.Unlock()
	slices.SortFunc(candidates, func(a, b evictionCandidate) int {
		return cmp.Or(cmp.Compare(a.rank, b.rank), a.stateSince.Compare(b.stateSince))
	})
	return candidates
}

// evictionScope states which connections may be evicted: those up to one rank after the time of their rank,
// and those up to another rank also before. rankNone stands for no connection.
type evictionScope struct{ upTo, early int }

// anyConnection is the scope when the process is out of descriptors.
var anyConnection = evictionScope{upTo: rankIdle, early: rankIdle}

// makeRoom evicts the connection of the lowest rank: one that has sent nothing since it was accepted, else
// one that is slow to send its request, else the one that has idled for the longest. It reports whether it
// evicted one. A connection with unread data stays open. While the limit of lingering connections is reached,
// it evicts none, unless any connection may be evicted, and ends the oldest lingering one instead.
func (f *frontend) makeRoom(scope evictionScope) bool {
	if f.isLingerLimitReached() && scope != anyConnection {
		f.endOldestLinger()
		return false
	}
	candidates := f.rankForEviction(func(client *clientConn) (int, bool) {
		rank, after := client.evictionRank()
		isInScope := rank <= scope.early || rank <= scope.upTo && time.Since(client.stateSince) >= after
		return rank, client.state != stateWorking && isInScope
	})
	for _, candidate := range candidates {
		if f.evict(candidate.client, true) {
			f.counters.evicted.Add(1)
			return true
		}
	}
	return false
}

// hasSilent reports whether a connection is open that has sent nothing since it was accepted.
func (f *frontend) hasSilent() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	for client := range f.connections {
		if client.isSilent() {
			return true
		}
	}
	return false
}

// evict requests that a connection's session end it, and reports whether it did. It does nothing to a
// connection with a request in flight, nor to one whose close is already requested, nor, unless its client
// reads no answers, to one with unread data. With countAsLingering the connection counts as lingering from
// now on, so that a new one can be accepted at once.
func (f *frontend) evict(client *clientConn, countAsLingering bool) bool {
	isEmpty := isOpenAndEmpty(client.conn)
	f.mu.Lock()
	defer f.mu.Unlock()
	if client.state == stateWorking || client.closeRequested || !isEmpty && client.state != stateUnread {
		return false
	}
	client.closeRequested = true
	if countAsLingering {
		f.moveToLingering(client)
	}
	client.conn.SetReadDeadline(wakeDeadline)
	return true
}

// sweepIdle closes connections that have idled for too long, until ctx ends.
func (f *frontend) sweepIdle(ctx context.Context) {
	runPeriodically(ctx, clientSweepInterval, func() {
		if !f.keepIdle.Load() {
			f.closeIdle(maxIdleTime, keepNone)
			f.closeIdle(evictIdleAfter, f.limits.keptIdle)
		}
	})
}

// closeIdle closes connections that have idled for at least idleFor, while more than keep connections have
// sent a request. Those that sent at most one request are closed first, and within a rank the longest idle.
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
