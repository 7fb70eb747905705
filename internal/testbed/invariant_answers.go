package testbed

import "time"

// killMargin is how long before it was killed an instance may have stopped reading.
const killMargin = 50 * time.Millisecond

// checkAnswers judges that each request gets exactly one final answer, in time, and that nothing is sent
// after it.
func (c *invariantChecker) checkAnswers() {
	if len(c.events) == 0 {
		return
	}
	logEnd := c.events[len(c.events)-1].Time
	for _, request := range c.requests.sent {
		due := request.sent.Time + request.sent.Wait + int64(c.site.Rules.AnswerSlack)
		if due >= logEnd {
			continue // the logs end before its timeout
		}
		c.verdicts[RuleAnswers].Judged++
		c.checkAnswerCount(request, min(due+int64(lateMargin), logEnd))
		if answer, answered := request.answer(); answered {
			c.checkAnsweredInTime(request, answer, due)
			c.checkNothingSentAfter(request, answer)
		}
	}
}

// checkAnswerCount judges that a request has exactly one final answer by a time. None is owed by an instance
// that was killed, or to a client that left.
func (c *invariantChecker) checkAnswerCount(request *requestTrace, end int64) {
	sent := request.sent
	answers := request.countEnds(KindAnswer)
	allowance := c.outages.allowance(sent.Instance, noNode, sent.Time, end)
	killed := c.outages.killed(sent.Instance, sent.Time-int64(killMargin), end+int64(allowance))
	left := request.countEnds(KindClientLeft) > 0
	broken := request.countEnds(KindBroken) > 0
	switch {
	case answers > 1:
		c.violation(RuleAnswers, sent, "%d final answers", answers)
	case answers == 0 && !left && !killed && (broken || allowance == 0):
		c.violation(RuleAnswers, sent, "no answer within %v", time.Duration(sent.Wait))
	}
}

func (c *invariantChecker) checkAnsweredInTime(request *requestTrace, answer Event, due int64) {
	sent := request.sent
	over := time.Duration(answer.Time - due)
	if over > 0 && over > c.outages.allowance(sent.Instance, noNode, sent.Time, answer.Time) {
		c.violation(RuleAnswers, sent, "answered %v after its time was up",
			time.Duration(answer.Time-sent.Time-sent.Wait))
	}
}

func (c *invariantChecker) checkNothingSentAfter(request *requestTrace, answer Event) {
	for _, attempt := range request.attempts {
		arrive := attempt.arrive
		after := time.Duration(arrive.Time - answer.Time)
		over := after - transitTime
		if over > 0 &&
			over > c.outages.allowance(request.sent.Instance, arrive.Node, answer.Time, arrive.Time) {
			c.violation(RuleAnswers, arrive, "sent %v after its answer", after)
		}
	}
}
