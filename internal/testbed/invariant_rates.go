package testbed

import (
	"slices"
	"time"

	"landingpaddle/internal/config"
	"landingpaddle/internal/proto"
)

// retryBudgetTimes lists the times (Unix nanoseconds) of the requests that one incarnation of an instance
// received and of the retries that it sent.
type retryBudgetTimes struct {
	requests []int64
	retries  []int64
}

// checkBudget verifies that instances stay within their retry budget.
func (c *invariantChecker) checkBudget() {
	budget := c.site.Rules.RetryBudget
	if budget == nil {
		return
	}
	byInstance := map[int]*retryBudgetTimes{}
	for _, event := range c.events {
		if byInstance[event.Instance] == nil || event.Kind == KindInstanceStarted {
			byInstance[event.Instance] = &retryBudgetTimes{}
		}
		times := byInstance[event.Instance]
		switch {
		case event.Kind == KindSent:
			times.requests = append(times.requests, event.Time)
		case event.Kind == KindArrive && event.Attempt > 0:
			c.verdicts[RuleBudget].Checked++
			times.retries = append(times.retries, event.Time)
			windowStart := event.Time - int64(budget.Window)
			// Logged times may be late by the allowance: it shortens the window for retries and extends that
			// for requests.
			allowance := int64(maxTransitTime +
				c.outages.allowance(event.Instance, event.Node, windowStart, event.Time))
			retries := countSince(times.retries, windowStart+allowance)
			requests := countSince(times.requests, windowStart-allowance)
			if allowed := budget.Floor + budget.Ratio*float64(requests); float64(retries) > allowed {
				c.recordViolation(RuleBudget, event, "%d retries in %v, %.1f allowed", retries,
					budget.Window, allowed)
			}
		}
	}
}

// countSince returns how many of the sorted times are not before since.
func countSince(times []int64, since int64) int {
	first, _ := slices.BinarySearch(times, since)
	return len(times) - first
}

// rateLimitBucket is the token bucket of one volume's rate limit.
type rateLimitBucket struct {
	level      float64 // units; negative by the units that were sent over the limit
	refilledAt int64   // Unix nanoseconds
}

// take refills the bucket up to a time and removes units from it.
func (b *rateLimitBucket) take(plan config.Plan, at int64, units float64) {
	b.level = min(plan.Burst, b.level+plan.Limit*time.Duration(at-b.refilledAt).Seconds())
	b.refilledAt = at
	b.level -= units
}

// pieceKey identifies one piece of a request.
type pieceKey struct {
	request requestKey
	piece   int
}

// checkLimits verifies that the sends of all instances for a volume are within its plan's rate limit. Retries
// of a piece are not counted, because a scheduler charges its quota once for all attempts; nor are requests
// whose first attempt was not applicable.
func (c *invariantChecker) checkLimits() {
	buckets, counted := map[uint64]*rateLimitBucket{}, map[pieceKey]bool{}
	for _, event := range c.events {
		key := pieceKey{keyOf(event), event.Piece}
		if event.Kind != KindArrive || c.site.Plans[event.Plan].Limit <= 0 || counted[key] {
			continue
		}
		request := c.requests.byKey[key.request]
		if request != nil && request.attempts[0].code == proto.NotApplicable {
			continue
		}
		counted[key] = true
		c.verdicts[RuleLimits].Checked++
		plan := c.site.Plans[event.Plan]
		bucket := buckets[event.Volume]
		if bucket == nil {
			bucket = &rateLimitBucket{plan.Burst, event.Time}
			buckets[event.Volume] = bucket
		}
		bucket.take(plan, event.Time, float64(event.Units))
		allowance := maxTransitTime + c.outages.allowance(event.Instance, event.Node, event.Time, event.Time)
		if bucket.level < -plan.LimitSlack-plan.Limit*allowance.Seconds() {
			c.recordViolation(RuleLimits, event,
				"volume %d is %.1f units over its rate limit, %.1f are allowed",
				event.Volume, -bucket.level, plan.LimitSlack)
		}
	}
}
