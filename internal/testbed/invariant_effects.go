package testbed

import (
	"time"

	"landingpaddle/internal/config"
	"landingpaddle/internal/proto"
	"landingpaddle/scheduler"
)

// effectKey identifies an effect that must occur at most once: that of a piece of a request, including its
// retries.
type effectKey struct {
	token uint64
	piece int
}

// checkEffects verifies, for classes that are not idempotent, that no request takes effect twice and that
// none is rejected that may have run.
func (c *invariantChecker) checkEffects() {
	effects := map[effectKey]int{}
	for _, request := range c.requests.sent {
		class := c.site.Classes[request.sent.Class]
		if scheduler.Idempotency(class.Idempotency) == scheduler.Idempotent {
			continue
		}
		if len(request.attempts) > 0 {
			c.verdicts[RuleEffects].Checked++
		}
		c.checkAttempts(request, class, effects)
		c.checkRejection(request, class)
	}
}

// checkAttempts checks a request's attempts in their order and counts their effects by piece.
func (c *invariantChecker) checkAttempts(request *requestTrace, class config.Class,
	effects map[effectKey]int) {
	firstRun := map[int]*attemptTrace{} // first attempt that may have run, by piece
	for _, attempt := range request.attempts {
		piece := attempt.arrive.Piece
		if attempt.tookEffect {
			key := effectKey{request.sent.Token, piece}
			if effects[key]++; effects[key] > 1 {
				c.recordViolation(RuleEffects, attempt.arrive, "took effect a second time")
			}
		}
		switch {
		case firstRun[piece] != nil:
			c.checkRetry(class, firstRun[piece], attempt)
		case attempt.mayHaveRun():
			firstRun[piece] = attempt
		}
	}
}

// checkRetry checks an attempt that follows one that may have run.
func (c *invariantChecker) checkRetry(class config.Class, ran, retry *attemptTrace) {
	first, second := ran.arrive, retry.arrive
	if scheduler.Idempotency(class.Idempotency) == scheduler.NotIdempotent {
		c.recordViolation(RuleEffects, second, "retried although it may have run on node %d", first.Node)
		return
	}
	if !c.deduplicatedTogether(scheduler.DedupScope(class.DedupScope), first, second) {
		c.recordViolation(RuleEffects, second, "retried outside the deduplication scope of node %d",
			first.Node)
	}
	after := time.Duration(second.Time - first.Time)
	excess := after - class.DedupWindow - maxTransitTime
	if excess > 0 && excess > c.outages.allowance(second.Instance, second.Node, first.Time, second.Time) {
		c.recordViolation(RuleEffects, second, "retried %v after the first attempt", after)
	}
}

// deduplicatedTogether reports whether the nodes of two attempts are in one deduplication scope.
func (c *invariantChecker) deduplicatedTogether(scope scheduler.DedupScope, first, second Event) bool {
	switch scope {
	case scheduler.DedupZone:
		return c.nodes.zones[first.Node] == c.nodes.zones[second.Node]
	case scheduler.DedupCell:
		return first.Cell == second.Cell
	}
	return true
}

// checkRejection verifies that a rejected request has not run: a rejection promises that a retry is safe.
// Where all nodes deduplicate together a retry is safe in any case.
func (c *invariantChecker) checkRejection(request *requestTrace, class config.Class) {
	answer, answered := request.answer()
	retrySafe := scheduler.Idempotency(class.Idempotency) == scheduler.IdempotentByKey &&
		scheduler.DedupScope(class.DedupScope) == scheduler.DedupAll
	if !answered || answer.Code != proto.Rejected || retrySafe {
		return
	}
	for _, attempt := range request.attempts {
		if !attempt.mayHaveRun() {
			continue
		}
		if attempt.arrive.Time < answer.Time {
			c.recordViolation(RuleEffects, answer, "rejected although it may have run on node %d",
				attempt.arrive.Node)
		}
		return // later attempts arrived later
	}
}
