package testbed

import (
	"slices"
	"testing"

	"landingpaddle/internal/proto"
)

// fieldsDay reads and writes slices of fields over extents' edges, with what breaks operations.
func fieldsDay(t *testing.T) *Scenario {
	site := "(extents (size 64KiB) (members 16) (cells 3))" + readClass + writeClass
	d := smallDay(t, site, "(order-pause 50ms)",
		`(traffic (class read) (plan free) (rate 1) (volumes 3) (units 1 2)
			(fields (size 256KiB) (slice 12KiB) (run 500ms) (spread 5ms)))
		(traffic (class read) (plan tight) (rate 30) (volumes 3) (units 1 2)
			(fields (size 256KiB) (slice 40KiB) (shared)))
		(traffic (class write) (plan free) (rate 60) (volumes 2) (units 1 3) (keys 2)
			(fields (size 256KiB) (slice 24KiB)))
		(at 600ms (reset (nodes 0 1 2))) (at 1s (corrupt (nodes 0 1)))
		(at 1200ms (kill-node (nodes 2) (back 200ms)))
		(at 1500ms (lose-answers (nodes 1) (share 0.3) (for 500ms)))`)
	d.Nodes.Model.PerOperation = d.Nodes.Model.PerUnit
	return d
}

// Slices of fields are read and written while connections break, nodes die and answers get lost: every rule
// is kept, bytes included; and a log in which one byte, one length or one write differs is caught.
func TestBytesThroughTrouble(t *testing.T) {
	t.Parallel()
	d := fieldsDay(t)
	events := play(t, d)
	merged, split, shared := 0, 0, map[operationKey]int{}
	for _, e := range events {
		if e.Kind == KindArrive && e.Data != 0 {
			key := operationKey{e.Node, e.Operation}
			if shared[key]++; shared[key] == 2 {
				merged++
			}
			if e.Piece > 0 {
				split++
			}
		}
	}
	if merged == 0 || split == 0 {
		t.Errorf("%d merged operations, %d further pieces", merged, split)
	}
	for name, change := range map[string]func(*Event) bool{
		"a byte that a client got": func(e *Event) bool {
			e.Sum++
			return e.Kind == KindAnswer && e.Code == proto.OK && e.Data != 0 && !e.Write
		},
		"too few bytes": func(e *Event) bool {
			e.Length--
			return e.Kind == KindAnswer && e.Code == proto.OK && e.Data != 0 && !e.Write
		},
		"a byte that a node wrote": func(e *Event) bool {
			e.Sum++
			return e.Kind == KindEnd && e.Data != 0 && e.Write
		},
	} {
		bent := slices.Clone(events)
		for i := range bent {
			if e := bent[i]; change(&e) {
				bent[i] = e
				break
			}
		}
		for _, v := range CheckInvariants(&d.Site, bent) {
			if v.Rule == RuleBytes && v.Holds {
				t.Errorf("%s: not caught", name)
			}
		}
	}
}

// With merging off the same day keeps its rules too, and no operation has two members.
func TestNothingIsMergedWhenAlone(t *testing.T) {
	t.Parallel()
	d := fieldsDay(t)
	d.Site.Extents.MergingDisabled = true
	seen := map[operationKey]bool{}
	for _, e := range play(t, d) {
		if id := (operationKey{e.Node, e.Operation}); e.Kind == KindArrive {
			if seen[id] {
				t.Fatalf("operation %d of node %d has two members", e.Operation, e.Node)
			}
			seen[id] = true
		}
	}
}

// What is written to a node's machine reads back at any offsets, and what was not as the pattern.
func TestDisk(t *testing.T) {
	d := newDisk()
	d.write(7, 4000, []byte("written over the edge of a block, and then some")[:])
	got := d.read(7, 3990, 80)
	for i, b := range got {
		at := uint64(3990 + i)
		want := patternByte(7, at)
		if at >= 4000 && at < 4047 {
			want = "written over the edge of a block, and then some"[at-4000]
		}
		if b != want {
			t.Fatalf("byte %d is %d, want %d", at, b, want)
		}
	}
	if checksum(3990, got[:30])+checksum(4020, got[30:]) != checksum(3990, got) {
		t.Error("sums of parts do not add up")
	}
	if checksum(5000, d.read(7, 5000, 100)) != patternSum(7, 5000, 100) {
		t.Error("an unwritten range is not the pattern")
	}
}
