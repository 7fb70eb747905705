package endpoints

import "time"

// maxStartAge is the age from which on a start matters to nobody: nodes warm up within seconds or minutes.
const maxStartAge = 30 * time.Minute

// startTimes maps starts of one node, in Unix nanoseconds of its clock, to this instance's clock.
type startTimes map[int64]time.Duration

// keepOnly drops all starts but one.
func (s startTimes) keepOnly(startedAt int64) {
	for other := range s {
		if other != startedAt {
			delete(s, other)
		}
	}
}

// startTime converts a node's start into this instance's clock; 0 means long ago. Each start is converted
// once and the result kept, as the same start told again must not look like a new one when the clocks drift.
// A node whose clock is behind seems to have started earlier than it has and would be taken for warm too
// soon: so the skew is added, and a node counts as cold for a little longer rather than shorter. No start
// lies in the future.
func (v *View) startTime(clock Clock, endpoint Endpoint) time.Duration {
	if endpoint.StartedAt == 0 {
		return 0
	}
	starts := v.startTimes[endpoint.Server]
	if known, ok := starts[endpoint.StartedAt]; ok {
		return known
	}
	age := clock.Wall - endpoint.StartedAt
	if age > int64(maxStartAge+v.skew) {
		return 0
	}
	at := clock.Now - max(0, time.Duration(age)-v.skew)
	for _, other := range starts {
		at = max(at, other+1) // another start of the same node is an earlier one, whatever the clocks say
	}
	if at <= 0 {
		return 0
	}
	if starts == nil {
		starts = startTimes{}
		v.startTimes[endpoint.Server] = starts
	}
	starts[endpoint.StartedAt] = at
	return at
}
