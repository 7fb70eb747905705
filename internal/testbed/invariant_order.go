package testbed

import (
	"cmp"
	"slices"
	"time"
)

const (
	// logSkew is the largest difference between the logged times of two simultaneous events.
	logSkew = 10 * time.Millisecond
	// comparedRequests is the number of preceding requests of its key with which a request is compared. A
	// comparison with all of them would take quadratic time.
	comparedRequests = 32
)

// orderKey identifies requests that must run in the order in which they were sent: those of one key on one
// connection.
type orderKey struct {
	instance, client int
	conn, key        uint64
}

// checkOrder verifies that requests of one key run one at a time, in the order in which they were sent.
func (c *invariantChecker) checkOrder() {
	byKey := map[orderKey][]*requestTrace{}
	for _, request := range c.requests.sent {
		if sent := request.sent; c.site.Classes[sent.Class].OrderedByKey && sent.Key != 0 {
			key := orderKey{sent.Instance, sent.Client, sent.Conn, sent.Key}
			byKey[key] = append(byKey[key], request)
		}
	}
	for _, requests := range byKey {
		slices.SortFunc(requests, func(a, b *requestTrace) int { return cmp.Compare(a.sent.Seq, b.sent.Seq) })
		for i, later := range requests {
			if len(later.attempts) == 0 {
				continue
			}
			c.verdicts[RuleOrder].Checked++
			for _, earlier := range requests[max(0, i-comparedRequests):i] {
				c.checkPairOrder(earlier, later)
			}
		}
	}
}

// checkPairOrder verifies that all attempts of one request ended before the first attempt of a later one.
// Members of one operation run in order within it; only the attempts after a shared operation are checked.
func (c *invariantChecker) checkPairOrder(earlier, later *requestTrace) {
	before, after := afterSharedOperation(earlier.attempts, later.attempts)
	if len(after) == 0 {
		return
	}
	first := after[0].arrive
	orderingPause := int64(c.site.Rules.OrderingPause)
	for _, attempt := range before {
		arrive := attempt.arrive
		slack := logSkew + c.outages.allowance(first.Instance, first.Node, arrive.Time, first.Time)
		if arrive.Node != first.Node { // pieces of one key are stored on several nodes
			slack += c.outages.allowance(noInstance, arrive.Node, arrive.Time, first.Time)
		}
		latest := first.Time + int64(slack)
		switch {
		case arrive.Time > latest:
			c.recordViolation(RuleOrder, first, "sent before the earlier request %d of the same key",
				earlier.sent.Token)
		case arrive.Time > first.Time: // within the slack
		case attempt.repliedAt != 0 && attempt.repliedAt <= latest:
		case attempt.cancelledAt != 0 && attempt.cancelledAt+orderingPause <= latest:
		default:
			c.recordViolation(RuleOrder, first, "sent while request %d of the same key was in progress",
				earlier.sent.Token)
		}
	}
}

// afterSharedOperation returns the attempts of two requests that follow the last operation of which both were
// members; all attempts if there is none.
func afterSharedOperation(earlier, later []*attemptTrace) (before, after []*attemptTrace) {
	before, after = earlier, later
	for i, x := range earlier {
		for j, y := range later {
			if sameOperation(x.arrive, y.arrive) {
				before, after = earlier[i+1:], later[j+1:]
			}
		}
	}
	return before, after
}

func sameOperation(a, b Event) bool {
	return a.Operation != 0 && a.Operation == b.Operation && a.Node == b.Node && a.StartedAt == b.StartedAt
}
