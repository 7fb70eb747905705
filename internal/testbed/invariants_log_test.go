package testbed

import (
	"testing"
	"time"
)

// Numbers of the classes in the hand-written logs.
const (
	safeClass = iota
	keyedClass
	unsafeClass
)

func milliseconds(n int64) int64 { return n * int64(time.Millisecond) }

// logTime returns the time that is ms milliseconds after the start of a hand-written log, in nanoseconds.
func logTime(ms int64) int64 { return milliseconds(1000 + ms) }

// sentEvent returns the event of a client's request on connection 0. All requests have the same key.
func sentEvent(ms int64, token uint64, class int, seq uint64) Event {
	return Event{Time: logTime(ms), Kind: KindSent, Token: token, Class: class, Seq: seq, Key: 9,
		Wait: milliseconds(500)}
}

func arriveEvent(ms int64, token uint64, class, attempt int) Event {
	return Event{Time: logTime(ms), Kind: KindArrive, Token: token, Class: class, Attempt: attempt, Key: 9,
		Units: 1}
}

// otherEvent returns an event of another kind, of a write at node 0, with the code for success.
func otherEvent(ms int64, kind Kind, token uint64, attempt int) Event {
	return Event{Time: logTime(ms), Kind: kind, Token: token, Attempt: attempt, Write: true, Code: 100}
}

// handWrittenLogs contains logs that break one clause of a rule, and similar logs that break none. Code 302
// is proto.Overloaded, code 400 proto.Rejected.
var handWrittenLogs = []struct {
	name   string
	rule   string // the broken one; "": all are kept
	events []Event
}{
	{"answered", "", []Event{
		sentEvent(0, 1, safeClass, 1),
		otherEvent(100, KindAnswer, 1, 0)}},
	{"never answered", RuleAnswers, []Event{
		sentEvent(0, 1, safeClass, 1),
		otherEvent(700, KindTimedOut, 1, 0)}},
	{"never answered by an instance that was killed", "", []Event{
		sentEvent(0, 1, safeClass, 1),
		{Time: logTime(50), Kind: KindInstanceKilled},
		otherEvent(60, KindBroken, 1, 0)}},
	{"its connection broke without a kill", RuleAnswers, []Event{
		sentEvent(0, 1, safeClass, 1),
		otherEvent(60, KindBroken, 1, 0)}},
	{"answered late", RuleAnswers, []Event{
		sentEvent(0, 1, safeClass, 1),
		otherEvent(600, KindAnswer, 1, 0)}},
	{"answered late while the instance was stalled", "", []Event{
		sentEvent(0, 1, safeClass, 1),
		{Time: logTime(300), Kind: KindInstanceStalled, Wait: milliseconds(300)},
		otherEvent(620, KindAnswer, 1, 0)}},
	{"sent after its answer", RuleAnswers, []Event{
		sentEvent(0, 1, safeClass, 1),
		otherEvent(100, KindAnswer, 1, 0),
		arriveEvent(300, 1, safeClass, 0)}},
	{"a non-idempotent request retried", RuleEffects, []Event{
		sentEvent(0, 1, unsafeClass, 1),
		arriveEvent(10, 1, unsafeClass, 0),
		arriveEvent(20, 1, unsafeClass, 1),
		otherEvent(100, KindAnswer, 1, 0)}},
	{"a non-idempotent request retried after a rejection", "", []Event{
		sentEvent(0, 1, unsafeClass, 1),
		arriveEvent(10, 1, unsafeClass, 0),
		{Time: logTime(11), Kind: KindOverloaded, Token: 1, Code: 302},
		arriveEvent(20, 1, unsafeClass, 1),
		otherEvent(100, KindAnswer, 1, 0)}},
	{"a keyed request took effect twice", RuleEffects, []Event{
		sentEvent(0, 1, keyedClass, 1),
		arriveEvent(10, 1, keyedClass, 0),
		otherEvent(20, KindEnd, 1, 0),
		otherEvent(21, KindReplied, 1, 0),
		arriveEvent(30, 1, keyedClass, 1),
		otherEvent(40, KindEnd, 1, 1),
		otherEvent(41, KindReplied, 1, 1),
		otherEvent(100, KindAnswer, 1, 0)}},
	{"rejected although it may have run", RuleEffects, []Event{
		sentEvent(0, 1, keyedClass, 1),
		arriveEvent(10, 1, keyedClass, 0),
		otherEvent(12, KindReplied, 1, 0),
		{Time: logTime(100), Kind: KindAnswer, Token: 1, Code: 400}}},
	{"sent within the drain grace", "", []Event{
		{Time: logTime(0), Kind: KindAcknowledged, Status: "draining"},
		sentEvent(0, 1, safeClass, 1),
		arriveEvent(200, 1, safeClass, 0),
		otherEvent(300, KindAnswer, 1, 0)}},
	{"sent after the drain grace", RuleDrains, []Event{
		{Time: logTime(0), Kind: KindAcknowledged, Status: "draining"},
		sentEvent(0, 1, safeClass, 1),
		arriveEvent(450, 1, safeClass, 0),
		otherEvent(460, KindAnswer, 1, 0)}},
	{"a late update after the node's drain notice", RuleDrains, []Event{
		{Time: logTime(0), Kind: KindNotice, StartedAt: 5},
		{Time: logTime(1), Kind: KindAcknowledged, Status: "ready", StartedAt: 5},
		sentEvent(0, 1, safeClass, 1),
		{Time: logTime(450), Kind: KindArrive, Token: 1, StartedAt: 5},
		otherEvent(460, KindAnswer, 1, 0)}},
	{"a cold node collapsed", RuleCold, []Event{
		{Time: logTime(1), Kind: KindCollapsed, Token: 1}}},
	{"requests of one key in order", "", []Event{
		sentEvent(0, 1, keyedClass, 1),
		sentEvent(1, 2, keyedClass, 2),
		arriveEvent(10, 1, keyedClass, 0),
		otherEvent(20, KindReplied, 1, 0),
		arriveEvent(30, 2, keyedClass, 0),
		otherEvent(40, KindReplied, 2, 0),
		otherEvent(50, KindAnswer, 1, 0),
		otherEvent(50, KindAnswer, 2, 0)}},
	{"two requests of one key at once", RuleOrder, []Event{
		sentEvent(0, 1, keyedClass, 1),
		sentEvent(1, 2, keyedClass, 2),
		arriveEvent(10, 1, keyedClass, 0),
		arriveEvent(30, 2, keyedClass, 0),
		otherEvent(60, KindReplied, 1, 0),
		otherEvent(70, KindReplied, 2, 0),
		otherEvent(80, KindAnswer, 1, 0),
		otherEvent(80, KindAnswer, 2, 0)}},
	{"requests of one key out of order", RuleOrder, []Event{
		sentEvent(0, 1, keyedClass, 1),
		sentEvent(1, 2, keyedClass, 2),
		arriveEvent(10, 2, keyedClass, 0),
		otherEvent(20, KindReplied, 2, 0),
		arriveEvent(60, 1, keyedClass, 0),
		otherEvent(70, KindReplied, 1, 0),
		otherEvent(80, KindAnswer, 1, 0),
		otherEvent(80, KindAnswer, 2, 0)}},
	{"no pause after a cancellation", RuleOrder, []Event{
		sentEvent(0, 1, keyedClass, 1),
		sentEvent(1, 2, keyedClass, 2),
		arriveEvent(10, 1, keyedClass, 0),
		otherEvent(50, KindCancelArrived, 1, 0),
		arriveEvent(60, 2, keyedClass, 0),
		otherEvent(70, KindReplied, 2, 0),
		otherEvent(80, KindAnswer, 1, 0),
		otherEvent(80, KindAnswer, 2, 0)}},
	{"one retry", "", []Event{
		sentEvent(0, 1, safeClass, 1),
		arriveEvent(1, 1, safeClass, 0),
		arriveEvent(9, 1, safeClass, 1),
		otherEvent(80, KindAnswer, 1, 0)}},
	{"two retries", RuleBudget, []Event{
		sentEvent(0, 1, safeClass, 1),
		arriveEvent(1, 1, safeClass, 0),
		arriveEvent(90, 1, safeClass, 1),
		arriveEvent(180, 1, safeClass, 2),
		otherEvent(190, KindAnswer, 1, 0)}},
}

// For each log the checker must report the rule that it breaks, and no other.
func TestInvariants_CheckHandWrittenLogs(t *testing.T) {
	scenario := smallScenario(t, readClass+writeClass+
		`(class once (aim 400ms) (deadline 1s) (repeat unsafe))`,
		`(order-pause 100ms) (budget (floor 1) (ratio 0) (window 1s))`, readTraffic)
	// An answer is checked only if it is due before the end of the log.
	logEnd := Event{Time: logTime(9000), Kind: KindInstanceStarted, Instance: 99}
	for _, c := range handWrittenLogs {
		t.Run(c.name, func(t *testing.T) {
			for _, verdict := range CheckInvariants(&scenario.Site, append(c.events, logEnd)) {
				if verdict.Holds == (verdict.Rule == c.rule) {
					t.Errorf("rule %s: got kept %v, want the opposite; first violation: %s", verdict.Rule,
						verdict.Holds, verdict.FirstViolation)
				}
			}
		})
	}
}
