package platform

import (
	"sync/atomic"
	"time"
)

const (
	// maxSpread bounds the spread that is learned, so that one slow response does not delay many others.
	maxSpread = 3 * time.Millisecond
	// initialSpread is the spread that is assumed before the first responses.
	initialSpread = time.Millisecond
	// minSpread is the spread below which what belongs to a response arrives with it.
	minSpread = 200 * time.Microsecond
	// maxSpreadBody is the size in bytes of a body that arrives in one packet, unless it was sent in pieces.
	maxSpreadBody = 1 << 10
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

// newResponseSpread returns a spread of initialSpread, as nothing is known of the disk servers.
func newResponseSpread() *responseSpread {
	s := &responseSpread{}
	s.learned.Store(int64(initialSpread))
	return s
}

// observe records the time between the first and the last read of a response. That of a response with a large
// body counts as 0: it arrives in several packets however it was sent. A concurrent call may be lost.
func (s *responseSpread) observe(spread time.Duration, bodyBytes int) {
	if bodyBytes > maxSpreadBody {
		spread = 0
	}
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
