package platform

import (
	"sync/atomic"
	"time"
)

const (
	// maxSpread bounds the spread that is learned, so that one slow response does not delay many others.
	maxSpread = 3 * time.Millisecond
	// minSpread is the spread below which what belongs to a response arrives with it.
	minSpread = 200 * time.Microsecond
	// spreadDecay divides the learned spread; by the quotient it falls with each response.
	spreadDecay = 64
	// spreadWaitFactor times the spread, and minTrailingWait at least, is how long the rest of a response may
	// take to arrive.
	spreadWaitFactor = 2
	minTrailingWait  = 4 * time.Millisecond
)

// responseSpread learns over how long the pieces of one response arrive from the disk servers. Where they
// arrive apart, the rest of a body whose stated length is too short may arrive after the response seems to be
// complete. Its methods may be called from any goroutine.
type responseSpread struct{ learned atomic.Int64 } // nanoseconds

// newResponseSpread returns a spread of maxSpread, as nothing is known of the disk servers.
func newResponseSpread() *responseSpread {
	s := &responseSpread{}
	s.learned.Store(int64(maxSpread))
	return s
}

// observe records the time between the first and the last read of a response. A concurrent call may be lost.
func (s *responseSpread) observe(spread time.Duration) {
	learned := time.Duration(s.learned.Load())
	learned -= learned / spreadDecay
	s.learned.Store(int64(max(learned, min(spread, maxSpread))))
}

// trailingWait returns how long to wait for bytes behind a response before it is passed on.
func (s *responseSpread) trailingWait() time.Duration {
	learned := time.Duration(s.learned.Load())
	if learned < minSpread {
		return 0
	}
	return max(spreadWaitFactor*learned, minTrailingWait)
}
