package testbed

import (
	"slices"
	"testing"

	"landingpaddle/internal/proto"
)

// fieldsScenario returns a scenario that reads and writes slices of fields across extent boundaries, with
// faults that interrupt operations.
func fieldsScenario(t *testing.T) *Scenario {
	t.Helper()
	site := "(extents (size 64KiB) (members 16) (cells 3))" + readClass + writeClass
	scenario := smallScenario(t, site, "(order-pause 50ms)",
		`(traffic (class read) (plan free) (rate 1) (volumes 3) (units 1 2)
			(fields (size 256KiB) (slice 12KiB) (run 500ms) (spread 5ms)))
		(traffic (class read) (plan tight) (rate 30) (volumes 3) (units 1 2)
			(fields (size 256KiB) (slice 40KiB) (shared)))
		(traffic (class write) (plan free) (rate 60) (volumes 2) (units 1 3) (keys 2)
			(fields (size 256KiB) (slice 24KiB)))
		(at 600ms (reset (nodes 0 1 2))) (at 1s (corrupt (nodes 0 1)))
		(at 1200ms (kill-node (nodes 2) (back 200ms)))
		(at 1500ms (lose-answers (nodes 1) (share 0.3) (for 500ms)))`)
	scenario.Nodes.Model.PerOperation = scenario.Nodes.Model.PerUnit
	return scenario
}

// isReadAnswer reports whether an event is an answer with bytes that were read.
func isReadAnswer(event *Event) bool {
	return event.Kind == KindAnswer && event.Code == proto.OK && event.DataVolume != 0 && !event.Write
}

// Slices of fields are read and written while connections break, nodes are killed and answers are lost. Every
// rule must be kept, including that of the bytes, and a log in which one byte, one length or one write
// differs must be detected.
func TestBytes_AreCorrectDespiteFaults(t *testing.T) {
	t.Parallel()
	scenario := fieldsScenario(t)
	events := runKeepingRules(t, scenario)
	if merged, split := countMergedAndSplit(events); merged == 0 || split == 0 {
		t.Errorf("got %d merged operations and %d attempts of pieces beyond the first, want some of each",
			merged, split)
	}
	for name, change := range map[string]func(*Event) bool{
		"a byte that a client received": func(event *Event) bool {
			event.Checksum++
			return isReadAnswer(event)
		},
		"too few bytes": func(event *Event) bool {
			event.Length--
			return isReadAnswer(event)
		},
		"a byte that a node wrote": func(event *Event) bool {
			event.Checksum++
			return event.Kind == KindEnd && event.DataVolume != 0 && event.Write
		},
	} {
		for _, verdict := range CheckInvariants(&scenario.Site, changeFirst(events, change)) {
			if verdict.Rule == RuleBytes && verdict.Holds {
				t.Errorf("%s: the rule is reported as kept, want a violation", name)
			}
		}
	}
}

// countMergedAndSplit counts operations of several members, and attempts of pieces beyond the first.
func countMergedAndSplit(events []Event) (merged, split int) {
	members := map[operationKey]int{}
	for _, event := range events {
		if event.Kind != KindArrive || event.DataVolume == 0 {
			continue
		}
		key := operationKey{event.Node, event.Operation}
		if members[key]++; members[key] == 2 {
			merged++
		}
		if event.Piece > 0 {
			split++
		}
	}
	return merged, split
}

// changeFirst returns a copy of events with one event changed: the first for which change returns true. It
// calls change with copies of the events.
func changeFirst(events []Event, change func(*Event) bool) []Event {
	changed := slices.Clone(events)
	for i := range changed {
		if event := changed[i]; change(&event) {
			changed[i] = event
			break
		}
	}
	return changed
}

// With merging disabled the same scenario must keep the rules too, and no operation may have two members.
func TestBytes_NothingIsMergedWhenDisabled(t *testing.T) {
	t.Parallel()
	scenario := fieldsScenario(t)
	scenario.Site.Extents.MergingDisabled = true
	seen := map[operationKey]bool{}
	for _, event := range runKeepingRules(t, scenario) {
		if event.Kind != KindArrive {
			continue
		}
		key := operationKey{event.Node, event.Operation}
		if seen[key] {
			t.Fatalf("operation %d of node %d has two members", event.Operation, event.Node)
		}
		seen[key] = true
	}
}
