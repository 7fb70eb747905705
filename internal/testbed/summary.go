package testbed

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"landingpaddle/internal/config"
	"landingpaddle/internal/proto"
)

// Summary is what a scenario's requests came to. A client's retries count as part of its first request.
type Summary struct {
	Asked       int     `json:"asked"`
	InTime      int     `json:"in_time"` // served within the class's latency objective
	Late        int     `json:"late"`    // served after it
	Rejected    int     `json:"refused"`
	Failed      int     `json:"failed"`
	Unanswered  int     `json:"none"`
	EarnedShare float64 `json:"share"`      // priority weight earned, of that asked
	Attempts    int     `json:"sends"`      // that reached a node
	Operations  int     `json:"operations"` // that they came as
	P50         float64 `json:"p50_ms"`     // from the first request to being served, in milliseconds
	P99         float64 `json:"p99_ms"`
	CPU         float64 `json:"cpu_us"` // of the whole process, in microseconds a request; 0: not known
	Wasted      int     `json:"wasted"` // attempts that served no answer
}

// Served is how many requests were served, in time or late.
func (s *Summary) Served() int { return s.InTime + s.Late }

// OperationsPerServed is how many operations the nodes did for each request that was served.
func (s *Summary) OperationsPerServed() float64 {
	return float64(s.Operations) / float64(max(1, s.Served()))
}

// requestOutcome is a client's request with its retries.
type requestOutcome struct {
	first Event
	last  Event // answer; the first that served it
	ended bool
}

func (o *requestOutcome) served() bool { return o.ended && o.last.Code == proto.OK }

// operationKey names an operation at a node.
type operationKey struct {
	node      int
	operation uint64
}

// Summarize adds up what was served, by the clients' logs: full priority weight within a class's latency
// objective from the first request on, its late fraction after that, in units and by plan.
func Summarize(site *config.Site, recording *Recording) Summary {
	var summary Summary
	outcomes := summary.countEvents(recording.Events)
	latencies := hdrhistogram.New(1, time.Minute.Microseconds(), 3)
	asked, earned := 0.0, 0.0
	for _, outcome := range outcomes {
		class, plan := site.Classes[outcome.first.Class], site.Plans[outcome.first.Plan]
		weight := class.PriorityWeight * plan.PriorityWeight * float64(outcome.first.Units) /
			max(site.MeanUnits, 1)
		asked += weight
		latency := time.Duration(outcome.last.Time - outcome.first.Time)
		if outcome.served() {
			_ = latencies.RecordValue(latency.Microseconds()) // what is out of its range took over a minute
		}
		earned += weight * summary.countOutcome(outcome, class, latency)
	}
	summary.P50 = float64(latencies.ValueAtQuantile(50)) / 1000
	summary.P99 = float64(latencies.ValueAtQuantile(99)) / 1000
	summary.CPU = float64(recording.CPU.Microseconds()) / float64(max(1, summary.Asked))
	if asked > 0 {
		summary.EarnedShare = earned / asked
	}
	return summary
}

// countEvents counts attempts and operations and returns the requests' outcomes by token.
func (s *Summary) countEvents(events []Event) map[uint64]*requestOutcome {
	outcomes, operations := map[uint64]*requestOutcome{}, map[operationKey]bool{}
	useful := 0
	for _, event := range events {
		switch event.Kind {
		case KindSent:
			if outcomes[event.Token] == nil {
				outcomes[event.Token] = &requestOutcome{first: event}
			}
		case KindAnswer:
			if outcome := outcomes[event.Token]; outcome != nil && !outcome.served() {
				outcome.last, outcome.ended = event, true
			}
		case KindArrive:
			s.Attempts++
			operations[operationKey{event.Node, event.Operation}] = true
		case KindReplied:
			if event.Code == proto.OK {
				useful++
			}
		}
	}
	s.Operations, s.Wasted = len(operations), s.Attempts-useful
	return outcomes
}

// countOutcome counts a request and returns the part of its priority weight that was earned.
func (s *Summary) countOutcome(outcome *requestOutcome, class config.Class, latency time.Duration) float64 {
	s.Asked++
	switch {
	case !outcome.ended:
		s.Unanswered++
	case outcome.served() && latency <= class.LatencyObjective:
		s.InTime++
		return 1
	case outcome.served():
		s.Late++
		return class.LateFraction
	case outcome.last.Code == proto.Rejected:
		s.Rejected++
	default:
		s.Failed++
	}
	return 0
}
