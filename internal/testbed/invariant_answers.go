package testbed

import "time"

// killMargin is how long after the logged kill of an instance a client may still send requests to it, because
// the client has not yet detected the end of the connection.
const killMargin = 50 * time.Millisecond

// checkAnswers verifies that each request gets exactly one final answer, in time, and that no attempt is sent
// after it.
func (c *invariantChecker) checkAnswers() {
	if len(c.events) == 0 {
		return
	}
	logEnd := c.events[len(c.events)-1].Time
	for _, request := range c.requests.sent {
		due := request.sent.Time + request.sent.Wait + int64(c.site.Rules.AnswerSlack)
		if due >= logEnd {
			continue // the logs end before the answer is due
		}
		c.verdicts[RuleAnswers].Checked++
		c.checkAnswerCount(request, min(due+int64(lateMargin), logEnd))
		if answer, answered := request.answer(); answered {
			c.checkAnsweredInTime(request, answer, due)
			c.checkNothingSentAfter(request, answer)
		}
	}
}

// checkAnswerCount verifies that a request has exactly one final answer by a time. No answer is expected from
// an instance that was killed, for a client that disconnected or, unless the connection broke, where a stall
// overlaps the interval.
func (c *invariantChecker) checkAnswerCount(request *requestTrace, end int64) {
	sent := request.sent
	answers := request.countEndEvents(KindAnswer)
	allowance := c.outages.allowance(sent.Instance, noNode, sent.Time, end)
	killed := c.outages.killed(sent.Instance, sent.Time-int64(killMargin), end+int64(allowance))
	clientLeft := request.countEndEvents(KindClientLeft) > 0
	broken := request.countEndEvents(KindBroken) > 0
	switch {
	case answers > 1:
		c.recordViolation(RuleAnswers, sent, "%d final answers", answers)
	case answers == 0 && !clientLeft && !killed && (broken || allowance == 0):
		c.recordViolation(RuleAnswers, sent, "no answer within %v", time.Duration(sent.Wait))
	}
}

func (c *invariantChecker) checkAnsweredInTime(request *requestTrace, answer Event, due int64) {
	sent := request.sent
	excess := time.Duration(answer.Time - due)
	if excess > 0 && excess > c.outages.allowance(sent.Instance, noNode, sent.Time, answer.Time) {
		c.recordViolation(RuleAnswers, sent, "answered %v after its timeout",
			time.Duration(answer.Time-sent.Time-sent.Wait))
	}
}

func (c *invariantChecker) checkNothingSentAfter(request *requestTrace, answer Event) {
	for _, attempt := range request.attempts {
		arrive := attempt.arrive
		after := time.Duration(arrive.Time - answer.Time)
		excess := after - maxTransitTime
		if excess > 0 &&
			excess > c.outages.allowance(request.sent.Instance, arrive.Node, answer.Time, arrive.Time) {
			c.recordViolation(RuleAnswers, arrive, "sent %v after its answer", after)
		}
	}
}
