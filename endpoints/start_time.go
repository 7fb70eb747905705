package endpoints

import "time"

// maxStartAge is the age beyond which a start is irrelevant: nodes warm up within seconds or minutes.
const maxStartAge = 30 * time.Minute

// startTimes maps start times of one node, in Unix nanoseconds of its clock, to this instance's clock.
type startTimes map[int64]time.Duration

// keepOnly deletes all starts except one.
func (s startTimes) keepOnly(startedAt int64) {
	for other := range s {
		if other != startedAt {
			delete(s, other)
		}
	}
}

// startTime converts a node's start time to this instance's clock; 0 means long ago. Each start is converted
// once and the result is kept: a repeated start must not look like a new one when the clocks drift. A node
// whose clock is behind appears to have started earlier than it did and would be treated as warm too soon, so
// the skew is added to its start: a node counts as cold for slightly too long rather than too short. The
// result is later than the current time only by nanoseconds, where starts of one node are kept in order.
func (v *View) startTime(clock Clock, endpoint Endpoint) time.Duration {
	if endpoint.StartedAt == 0 {
		return 0
	}
	starts := v.startTimes[endpoint.Server]
	if converted, ok := starts[endpoint.StartedAt]; ok {
		return converted
	}
	age := clock.Wall - endpoint.StartedAt
	if age > int64(maxStartAge+v.skew) {
		return 0
	}
	at := clock.Now - max(0, time.Duration(age)-v.skew)
	for _, other := range starts {
		at = max(at, other+1) // any other recorded start of this node is earlier, whatever the clocks show
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
