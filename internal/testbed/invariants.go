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
	Checked        int    `json:"judged"`          // requests or events that were checked
	Violations     int    `json:"breaks"`          // violations found; a request may have several
	FirstViolation string `json:"first,omitempty"` // request, instance, node, time and description
}

// The rules, in the order of the verdicts.
const (
	RuleAnswers = "answers" // exactly one final answer, in time, and nothing sent after it
	RuleEffects = "effects" // no effect twice, and no rejection of a request that may have run
	RuleDrains  = "drains"  // nothing sent beyond the grace period after notification of a drain or removal
	RuleCold    = "cold"    // no cold node collapses from overload
	RuleOrder   = "order"   // requests of one key run one at a time, in the order sent
	RuleBudget  = "budget"  // each instance's retries are within the retry budget
	RuleLimits  = "limits"  // all instances' sends for a volume are within its plan's rate limit
	RuleBytes   = "bytes"   // each range read or written has the expected bytes
)

// maxTransitTime is the maximum time between the log entries of a frame's sender and its receiver on
// loopback, in addition to the logged stalls.
const maxTransitTime = 60 * time.Millisecond

// Numbers that represent no node and no instance.
const (
	noNode     = -1
	noInstance = -1
)

// invariantChecker checks the rules against the logged socket traffic: the logs of clients and nodes, and
// the times at which instances acknowledged updates of endpoints. It doesn't use a scheduler's own reports.
type invariantChecker struct {
	site     *config.Site
	events   []Event // by time
	verdicts map[string]*Verdict
	outages  outages
	nodes    nodeDirectory
	requests requestTraces
}

// ruleChecks lists the check of each rule, in the order of the verdicts.
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

// CheckInvariants checks all rules against the events of one run on a site; the events may be in any order.
func CheckInvariants(site *config.Site, events []Event) []Verdict {
	checker := newInvariantChecker(site, events)
	verdicts := make([]Verdict, 0, len(ruleChecks))
	for _, rule := range ruleChecks {
		rule.check(checker)
		verdicts = append(verdicts, *checker.verdicts[rule.rule])
	}
	return verdicts
}

// newInvariantChecker sorts events by time and collects the outages, nodes and requests for the checks.
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

// recordViolation records that an event violates a rule; the first violation of each rule is also described.
func (c *invariantChecker) recordViolation(rule string, event Event, format string, args ...any) {
	verdict := c.verdicts[rule]
	verdict.Holds = false
	verdict.Violations++
	if verdict.Violations > 1 {
		return
	}
	sinceStart := time.Duration(event.Time - c.events[0].Time).Seconds()
	verdict.FirstViolation = fmt.Sprintf("request %d try %d, instance %d, node %d, at %.3f s: %s",
		event.Token, event.ClientTry, event.Instance, event.Node, sinceStart, fmt.Sprintf(format, args...))
}

// nodeDirectory stores the zones and addresses of nodes, from the events of their starts.
type nodeDirectory struct {
	zones     map[int]int
	byAddress map[string]int // a registry in a separate process logs only a node's address
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
