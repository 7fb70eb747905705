package daemon

import (
	"log/slog"
	"sync/atomic"

	"landingpaddle/internal/proto"
	"landingpaddle/scheduler"
)

// Stats counts what an instance did since its start. All counters may be read at any time.
type Stats struct {
	// Calls admitted; answers by kind, where Rejected includes the native protocol's requests that were not
	// admitted; calls whose client disconnected or cancelled; calls that the loop failed because the
	// scheduler did not answer them.
	Admitted, Served, Rejected, Failed, ClientGone, Overdue atomic.Uint64

	// Attempts dispatched; results that arrived after their attempt had ended, which are ignored; attempts
	// not sent because their request had ended or their time was up; batches; collections of arrivals that
	// had to wait for unread requests, and those of them given up; endpoint snapshots that could not be
	// saved.
	Attempts, LateResults, Withheld, Batches, Collections, CollectionsGivenUp, SnapshotFailures atomic.Uint64

	// Attempts that ended, by result code.
	OK, Error, Overloaded, TimedOut, ConnectFailed, Reset, Cancelled, NotApplicable atomic.Uint64

	// Ranged calls: calls split; pieces of all calls; operations sent to nodes, including retries; operations
	// merged from two or more pieces; pieces in merged operations; operations saved by merging; pieces
	// withdrawn that no node can have executed; writes that failed with some of their pieces done; payload
	// bytes copied.
	Split, Pieces, Operations, Merged, Members, Saved, Withdrawn, Partial, Copied atomic.Uint64
}

// countAnswer counts the final answer of a call.
func (s *Stats) countAnswer(code proto.Code) {
	switch code {
	case proto.OK:
		s.Served.Add(1)
	case proto.Rejected:
		s.Rejected.Add(1)
	default:
		s.Failed.Add(1)
	}
}

// countAttempt counts the end of an attempt.
func (s *Stats) countAttempt(code scheduler.ResultCode) {
	switch code {
	case scheduler.OK:
		s.OK.Add(1)
	case scheduler.Error:
		s.Error.Add(1)
	case scheduler.Overloaded:
		s.Overloaded.Add(1)
	case scheduler.TimedOut:
		s.TimedOut.Add(1)
	case scheduler.ConnectFailed:
		s.ConnectFailed.Add(1)
	case scheduler.Reset:
		s.Reset.Add(1)
	case scheduler.Cancelled:
		s.Cancelled.Add(1)
	case scheduler.NotApplicable:
		s.NotApplicable.Add(1)
	}
}

// publishPlannerStats copies the planner's counters to Stats, where other goroutines may read them.
func (l *loop) publishPlannerStats() {
	if l.planner == nil {
		return
	}
	from, to := l.planner.Stats, &l.shared.Stats
	to.Split.Store(from.Split)
	to.Pieces.Store(from.Pieces)
	to.Operations.Store(from.Operations)
	to.Merged.Store(from.Merged)
	to.Members.Store(from.Members)
	to.Saved.Store(from.Saved)
	to.Withdrawn.Store(from.Withdrawn)
	to.Partial.Store(from.Partial)
}

// namedCounter is a counter with its attribute key in the log.
type namedCounter struct {
	name    string
	counter *atomic.Uint64
}

// LogValue returns the counters for the log, those of ranged calls only if there were any.
func (s *Stats) LogValue() slog.Value {
	counters := []namedCounter{
		{"admitted", &s.Admitted},
		{"served", &s.Served},
		{"rejected", &s.Rejected},
		{"failed", &s.Failed},
		{"client_gone", &s.ClientGone},
		{"attempts", &s.Attempts},
		{"late", &s.LateResults},
		{"overdue", &s.Overdue},
		{"arrival_collections", &s.Collections},
		{"arrival_collections_given_up", &s.CollectionsGivenUp},
		{"ok", &s.OK},
		{"error", &s.Error},
		{"overloaded", &s.Overloaded},
		{"timed_out", &s.TimedOut},
		{"connect_failed", &s.ConnectFailed},
		{"reset", &s.Reset},
		{"cancelled", &s.Cancelled},
		{"not_applicable", &s.NotApplicable},
	}
	if s.Pieces.Load() > 0 {
		counters = append(counters, s.rangedCounters()...)
	}
	attributes := make([]slog.Attr, len(counters))
	for i, c := range counters {
		attributes[i] = slog.Uint64(c.name, c.counter.Load())
	}
	return slog.GroupValue(attributes...)
}

func (s *Stats) rangedCounters() []namedCounter {
	return []namedCounter{
		{"split", &s.Split},
		{"pieces", &s.Pieces},
		{"operations", &s.Operations},
		{"merged", &s.Merged},
		{"members", &s.Members},
		{"saved", &s.Saved},
		{"withdrawn", &s.Withdrawn},
		{"partial", &s.Partial},
		{"copied", &s.Copied},
	}
}
