package testbed

import (
	"time"

	"landingpaddle/internal/config"
	"landingpaddle/internal/proto"
	"landingpaddle/scheduler"
)

// effectKey names what must take effect at most once: a piece of a request, its retries included.
type effectKey struct {
	token uint64
	piece int
}

// checkEffects judges that nothing takes effect twice, and that nothing is rejected that may have run.
func (c *invariantChecker) checkEffects() {
	effects := map[effectKey]int{}
	for _, request := range c.requests.sent {
		class := c.site.Classes[request.sent.Class]
		if scheduler.Idempotency(class.Idempotency) == scheduler.Idempotent {
			continue
		}
		if len(request.attempts) > 0 {
			c.verdicts[RuleEffects].Judged++
		}
		c.checkAttempts(request, class, effects)
		c.checkRejection(request, class)
	}
}

// checkAttempts judges a request's attempts in their order and counts what took effect.
func (c *invariantChecker) checkAttempts(request *requestTrace, class config.Class,
	effects map[effectKey]int) {
	firstRun := map[int]*attemptTrace{} // first attempt that may have run, by piece
	for _, attempt := range request.attempts {
		piece := attempt.arrive.Piece
		if attempt.tookEffect {
			key := effectKey{request.sent.Token, piece}
			if effects[key]++; effects[key] > 1 {
				c.violation(RuleEffects, attempt.arrive, "took effect a second time")
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

// checkRetry judges an attempt after one that may have run.
func (c *invariantChecker) checkRetry(class config.Class, ran, retry *attemptTrace) {
	first, again := ran.arrive, retry.arrive
	if scheduler.Idempotency(class.Idempotency) == scheduler.NotIdempotent {
		c.violation(RuleEffects, again, "sent again while it may have run on node %d", first.Node)
		return
	}
	if !c.deduplicatedTogether(scheduler.DedupScope(class.DedupScope), first, again) {
		c.violation(RuleEffects, again, "sent again outside the group of node %d", first.Node)
	}
	after := time.Duration(again.Time - first.Time)
	over := after - class.DedupWindow - transitTime
	if over > 0 && over > c.outages.allowance(again.Instance, again.Node, first.Time, again.Time) {
		c.violation(RuleEffects, again, "sent again %v after the first send", after)
	}
}

// deduplicatedTogether tells whether the nodes of two attempts drop each other's repeats.
func (c *invariantChecker) deduplicatedTogether(scope scheduler.DedupScope, first, again Event) bool {
	switch scope {
	case scheduler.DedupZone:
		return c.nodes.zones[first.Node] == c.nodes.zones[again.Node]
	case scheduler.DedupCell:
		return first.Cell == again.Cell
	}
	return true
}

// checkRejection judges that a rejected request has not run: a rejection promises that a retry does no harm.
// Where all nodes drop a repeat it does none in any case.
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
			c.violation(RuleEffects, answer, "refused while it may have run on node %d", attempt.arrive.Node)
		}
		return // later attempts arrived later
	}
}
