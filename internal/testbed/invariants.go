package testbed

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"landingpaddle/internal/config"
)

// Verdict is the invariant checker's result for one rule.
type Verdict struct {
	Rule           string `json:"rule"`
	Holds          bool   `json:"kept"`
	Judged         int    `json:"judged"`          // things that could have violated it
	Violations     int    `json:"breaks"`          // how many did
	FirstViolation string `json:"first,omitempty"` // request, node, time and what is wrong
}

// The rules, in the order of the verdicts.
const (
	RuleAnswers = "answers" // exactly one final answer, in time, and nothing sent after it
	RuleEffects = "effects" // no effect twice
	RuleDrains  = "drains"  // nothing new to a node later than the grace after the instance was notified
	RuleCold    = "cold"    // no cold node overloaded
	RuleOrder   = "order"   // requests of one key one at a time, in the order taken
	RuleBudget  = "budget"  // attempts beyond the first within the retry budget
	RuleLimits  = "limits"  // what all instances send for a volume within its plan's rate limit
	RuleBytes   = "bytes"   // each range read or written holds the bytes that it must
)

// transitTime is how long a frame may be on its way on loopback between two logs, beyond the stalls of the
// machine that the logs show.
const transitTime = 60 * time.Millisecond

// Numbers that stand for no node and no instance.
const (
	noNode     = -1
	noInstance = -1
)

// invariantChecker judges the rules from what passed on the sockets: the logs of clients and nodes, and the
// moments at which instances acknowledged updates of endpoints. It knows nothing of what a scheduler says of
// itself.
type invariantChecker struct {
	site     *config.Site
	events   []Event // by time
	verdicts map[string]*Verdict
	outages  outages
	nodes    nodeDirectory
	requests requestTraces
}

// ruleChecks has the check of each rule, in the order of the verdicts.
var ruleChecks = []struct {
	rule  string
	check func(*invariantChecker)
}{
	{RuleAnswers, (*invariantChecker).checkAnswers},
	{RuleEffects, (*invariantChecker).checkEffects},
	{RuleDrains, (*invariantChecker).checkDrains},
	{RuleCold, (*invariantChecker).checkCold},
	{RuleOrder, (*invariantChecker).checkOrder},
	{RuleBudget, (*invariantChecker).checkBudget},
	{RuleLimits, (*invariantChecker).checkLimits},
	{RuleBytes, (*invariantChecker).checkBytes},
}

// CheckInvariants judges all rules for the events of one run on a site; the events may be in any order.
func CheckInvariants(site *config.Site, events []Event) []Verdict {
	checker := newInvariantChecker(site, events)
	verdicts := make([]Verdict, 0, len(ruleChecks))
	for _, rule := range ruleChecks {
		rule.check(checker)
		verdicts = append(verdicts, *checker.verdicts[rule.rule])
	}
	return verdicts
}

// newInvariantChecker sorts events by time and gathers from them what all checks need.
func newInvariantChecker(site *config.Site, events []Event) *invariantChecker {
	c := &invariantChecker{
		site:     site,
		events:   slices.Clone(events),
		verdicts: map[string]*Verdict{},
		outages:  newOutages(),
		nodes:    newNodeDirectory(),
		requests: newRequestTraces(),
	}
	slices.SortStableFunc(c.events, compareTime)
	for _, rule := range ruleChecks {
		c.verdicts[rule.rule] = &Verdict{Rule: rule.rule, Holds: true}
	}
	for _, event := range c.events {
		c.outages.add(event)
		c.nodes.add(event)
		c.requests.add(event)
	}
	return c
}

func compareTime(a, b Event) int { return cmp.Compare(a.Time, b.Time) }

// violation counts a violation of a rule by an event; the first one is described.
func (c *invariantChecker) violation(rule string, event Event, format string, args ...any) {
	verdict := c.verdicts[rule]
	verdict.Holds = false
	verdict.Violations++
	if verdict.Violations > 1 {
		return
	}
	sinceStart := time.Duration(event.Time - c.events[0].Time).Seconds()
	verdict.FirstViolation = fmt.Sprintf("request %d try %d, instance %d, node %d, at %.3f s: %s",
		event.Token, event.Try, event.Instance, event.Node, sinceStart, fmt.Sprintf(format, args...))
}

// nodeDirectory knows the nodes from the events of their starts.
type nodeDirectory struct {
	zones     map[int]int
	byAddress map[string]int // as a registry that runs by itself knows no more of a node
}

func newNodeDirectory() nodeDirectory {
	return nodeDirectory{zones: map[int]int{}, byAddress: map[string]int{}}
}

func (d *nodeDirectory) add(event Event) {
	if event.Kind == KindNodeStarted {
		d.zones[event.Node] = event.Zone
		d.byAddress[event.Reason] = event.Node
	}
}
