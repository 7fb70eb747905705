package testbed

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"landingpaddle/internal/config"
	"landingpaddle/internal/proto"
)

// Summary counts the outcomes of a scenario's requests. A client's retries are part of the first request.
type Summary struct {
	Requests    int     `json:"asked"`   // requests that clients sent
	InTime      int     `json:"in_time"` // served within the class's latency objective
	Late        int     `json:"late"`    // served after the latency objective
	Rejected    int     `json:"refused"`
	Failed      int     `json:"failed"`
	Unanswered  int     `json:"none"`
	EarnedShare float64 `json:"share"`      // fraction of the requested priority weight that was earned
	Attempts    int     `json:"sends"`      // attempts that reached a node
	Operations  int     `json:"operations"` // operations that contained the attempts
	P50         float64 `json:"p50_ms"`     // from the first send to the serving answer, in milliseconds
	P99         float64 `json:"p99_ms"`
	CPU         float64 `json:"cpu_us"` // of the whole process, in microseconds per request; 0: unknown
	Wasted      int     `json:"wasted"` // attempts without a successful reply
}

// Served returns the number of requests served, in time or late.
func (s *Summary) Served() int { return s.InTime + s.Late }

// OperationsPerServed returns the number of operations at the nodes for each served request.
func (s *Summary) OperationsPerServed() float64 {
	return float64(s.Operations) / float64(max(1, s.Served()))
}

// requestOutcome is the outcome of a client's request, including its retries.
type requestOutcome struct {
	first    Event
	answer   Event // the first successful answer, or else the last answer
	answered bool
}

func (o *requestOutcome) served() bool { return o.answered && o.answer.Code == proto.OK }

// operationKey identifies an operation at a node.
type operationKey struct {
	node      int
	operation uint64
}

// Summarize summarizes a recording of a run on a site. A served request earns its full priority weight within
// the class's latency objective, measured from the first send, and the class's late fraction after it. The
// weight is that of class times plan, scaled by the request's units relative to the site's mean.
func Summarize(site *config.Site, recording *Recording) Summary {
	var summary Summary
	outcomes := summary.countEvents(recording.Events)
	latencies := hdrhistogram.New(1, time.Minute.Microseconds(), 3)
	requestedWeight, earnedWeight := 0.0, 0.0
	for _, outcome := range outcomes {
		class, plan := site.Classes[outcome.first.Class], site.Plans[outcome.first.Plan]
		weight := class.PriorityWeight * plan.PriorityWeight * float64(outcome.first.Units) /
			max(site.MeanUnits, 1)
		requestedWeight += weight
		latency := time.Duration(outcome.answer.Time - outcome.first.Time)
		if outcome.served() {
			_ = latencies.RecordValue(latency.Microseconds()) // fails only for latencies over a minute
		}
		earnedWeight += weight * summary.countOutcome(outcome, class, latency)
	}
	summary.P50 = float64(latencies.ValueAtQuantile(50)) / 1000
	summary.P99 = float64(latencies.ValueAtQuantile(99)) / 1000
	summary.CPU = float64(recording.CPU.Microseconds()) / float64(max(1, summary.Requests))
	if requestedWeight > 0 {
		summary.EarnedShare = earnedWeight / requestedWeight
	}
	return summary
}

// countEvents counts attempts and operations and returns the requests' outcomes by token.
func (s *Summary) countEvents(events []Event) map[uint64]*requestOutcome {
	outcomes, operations := map[uint64]*requestOutcome{}, map[operationKey]bool{}
	successful := 0
	for _, event := range events {
		switch event.Kind {
		case KindSent:
			if outcomes[event.Token] == nil {
				outcomes[event.Token] = &requestOutcome{first: event}
			}
		case KindAnswer:
			if outcome := outcomes[event.Token]; outcome != nil && !outcome.served() {
				outcome.answer, outcome.answered = event, true
			}
		case KindArrive:
			s.Attempts++
			operations[operationKey{event.Node, event.Operation}] = true
		case KindReplied:
			if event.Code == proto.OK {
				successful++
			}
		}
	}
	s.Operations, s.Wasted = len(operations), s.Attempts-successful
	return outcomes
}

// countOutcome counts a request and returns the fraction of its priority weight that was earned.
func (s *Summary) countOutcome(outcome *requestOutcome, class config.Class, latency time.Duration) float64 {
	s.Requests++
	switch {
	case !outcome.answered:
		s.Unanswered++
	case outcome.served() && latency <= class.LatencyObjective:
		s.InTime++
		return 1
	case outcome.served():
		s.Late++
		return class.LateFraction
	case outcome.answer.Code == proto.Rejected:
		s.Rejected++
	default:
		s.Failed++
	}
	return 0
}
