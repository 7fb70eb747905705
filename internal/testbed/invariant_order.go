package testbed

import (
	"cmp"
	"slices"
	"time"
)

const (
	// logSkew is how far apart in the logs two events may be that happened at the same time.
	logSkew = 10 * time.Millisecond
	// comparedRequests is how many earlier requests of its key a request is compared with.
	comparedRequests = 32
)

// orderKey names requests that must be carried out in the order in which they were taken: those of one key
// that came on one connection.
type orderKey struct {
	instance, client int
	conn, key        uint64
}

// checkOrder judges that requests of one key run one at a time, in the order in which they were taken.
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
			c.verdicts[RuleOrder].Judged++
			for _, earlier := range requests[max(0, i-comparedRequests):i] {
				c.checkPairOrder(earlier, later)
			}
		}
	}
}

// checkPairOrder judges that all attempts of one request were over before the first one of another. What
// shared an operation was carried out in order in it; what came after that is judged.
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
		if arrive.Node != first.Node { // pieces of one key lie on several nodes
			slack += c.outages.allowance(noInstance, arrive.Node, arrive.Time, first.Time)
		}
		latest := first.Time + int64(slack)
		switch {
		case arrive.Time > latest:
			c.violation(RuleOrder, first, "sent before request %d of the same key, taken earlier",
				earlier.sent.Token)
		case arrive.Time > first.Time:
		case attempt.repliedAt != 0 && attempt.repliedAt <= latest:
		case attempt.cancelledAt != 0 && attempt.cancelledAt+orderingPause <= latest:
		default:
			c.violation(RuleOrder, first, "sent while request %d of the same key was not over",
				earlier.sent.Token)
		}
	}
}

// afterSharedOperation returns the attempts of two requests that come after the last operation which both
// took part in; all, if there is none.
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
