package extent

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"
)

// plannerWith returns a planner with one queued request for each range, with IDs from 1.
func plannerWith(t *testing.T, s Settings, write bool, ranges ...Range) *Planner {
	t.Helper()
	p, id := New(s), uint32(0)
	for i, r := range ranges {
		q := Request{ID: uint64(i + 1), Range: r, Units: 1, Write: write}
		if _, err := p.Add(q, func() uint32 { id++; return id }); err != nil {
			t.Fatal(err)
		}
	}
	return p
}

// joinedBy accepts all pieces that are proposed to join a leader. It returns their IDs in ascending order and
// the units of the last proposal.
func joinedBy(p *Planner, leader uint32) (ids []uint32, units float64) {
	p.Propose(leader, func(id uint32, u float64) bool {
		ids, units = append(ids, id), u
		return true
	})
	slices.Sort(ids)
	return ids, units
}

var wideSettings = Settings{
	ExtentSize:   1000,
	MaxOperation: 1000,
	MaxMembers:   MaxMembers,
	MaxPieces:    8,
	Cells:        2,
}

// Pieces of the leader's extent that touch its operation join it; reads may also overlap it, writes must not.
// The field want lists the IDs of the pieces that join and the operation's units.
func TestPropose_JoinsNeighboursOnly(t *testing.T) {
	for _, c := range []struct {
		name   string
		write  bool
		leader uint32
		ranges []Range
		want   string
	}{
		{"neighbours on both sides", false, 2, []Range{{0, 10}, {10, 10}, {20, 10}, {40, 10}}, "[1 3] 3"},
		{"the same bytes", false, 1, []Range{{0, 10}, {0, 10}, {0, 10}}, "[2 3] 1"},
		{"half the same bytes", false, 1, []Range{{0, 10}, {5, 10}}, "[2] 2"},
		{"an extent's edge", false, 1, []Range{{990, 10}, {1000, 10}}, "[] 0"},
		{"writes that touch", true, 2, []Range{{0, 10}, {10, 10}, {20, 10}}, "[1 3] 3"},
		{"writes that overlap", true, 1, []Range{{0, 10}, {5, 10}, {10, 5}}, "[3] 2"},
		{"a long range before", false, 2, []Range{{0, 500}, {400, 10}}, "[1] 2"},
	} {
		ids, units := joinedBy(plannerWith(t, wideSettings, c.write, c.ranges...), c.leader)
		if got := fmt.Sprint(ids, " ", units); got != c.want {
			t.Errorf("%s: got %s, want %s", c.name, got, c.want)
		}
	}
}

// Only pieces that arrived within the window of the leader may join it.
func TestPropose_RequiresArrivalWithinTheWindow(t *testing.T) {
	s := wideSettings
	s.Window = 5
	p, id := New(s), uint32(0)
	for i, at := range []time.Duration{0, 4, 5, 6, 11} {
		q := Request{ID: uint64(i + 1), Range: Range{uint64(i) * 10, 10}, Units: 1, ReceivedAt: at}
		if _, err := p.Add(q, func() uint32 { id++; return id }); err != nil {
			t.Fatal(err)
		}
	}
	if ids, _ := joinedBy(p, 1); fmt.Sprint(ids) != "[2 3]" {
		t.Errorf("pieces %v joined the first, want the second and third", ids)
	}
}

// A thousand queued reads of the same 4 KiB are merged into as few operations as the limit of members allows,
// each with the units of one read.
func TestPropose_MergesAThousandIdenticalReads(t *testing.T) {
	s := Settings{ExtentSize: 4096, MaxOperation: 4096, MaxMembers: MaxMembers, MaxPieces: 1, Cells: 1}
	p := plannerWith(t, s, false, slices.Repeat([]Range{{0, 4096}}, 1000)...)
	ops := 0
	for id := uint32(1); id <= 1000; id++ {
		if !p.pieces[id].queued {
			continue
		}
		ids, units := joinedBy(p, id)
		ops++
		op := p.SealOperation(append([]uint32{id}, ids...))
		if len(op.Members) > MaxMembers || units > 1 || op.Units != 1 || op.Range != (Range{0, 4096}) {
			t.Fatalf("got %d members, %v and %d units, %+v; want up to 64 members, 1 unit, 4096 bytes",
				len(op.Members), units, op.Units, op.Range)
		}
	}
	if ops != 16 || p.Stats.Saved != 984 {
		t.Errorf("got %d operations, %d saved; want 16 and 984", ops, p.Stats.Saved)
	}
}

// A split write fails if a piece is rejected after another piece has run, and the answer counts its pieces by
// state. If no piece has run, the write is rejected.
func TestResolve_FailsASplitWriteThatHasRun(t *testing.T) {
	for ran, want := range map[bool]Answer{
		true:  {Request: 1, Outcome: Failed, Done: 1, Uncertain: 1, Unsent: 2},
		false: {Request: 1, Outcome: Rejected, Unsent: 4},
	} {
		p := plannerWith(t, wideSettings, true, Range{500, 3000})
		if ran {
			p.AttemptSent(1)
			p.AttemptEnded(1, true)
			p.Resolve(1, Served, nil)
			p.AttemptSent(4)
		}
		got, withdrawn := p.Resolve(2, Rejected, nil)
		if fmt.Sprint(*got) != fmt.Sprint(want) {
			t.Errorf("ran %v: got %+v, want %+v", ran, *got, want)
		}
		if len(withdrawn) == 0 || slices.Contains(withdrawn, 2) || slices.Contains(withdrawn, 1) != !ran {
			t.Errorf("ran %v: withdrawn %v; want never 2, and 1 only if it has not run", ran, withdrawn)
		}
	}
}

// formatParts joins the members' bytes; "-" represents a member that failed.
func formatParts(parts []Part) string {
	texts := make([]string, len(parts))
	for i, part := range parts {
		texts[i] = "-"
		if part.OK {
			texts[i] = string(part.Data)
		}
	}
	return strings.Join(texts, " ")
}

func TestDistribute_FailsOnlyMembersThatNeedUnreadableBytes(t *testing.T) {
	p := plannerWith(t, wideSettings, false, Range{0, 10}, Range{10, 10}, Range{5, 10})
	ids, _ := joinedBy(p, 1)
	op := p.SealOperation(append([]uint32{1}, ids...))
	data := []byte("abcdefghijklmnopqrst")
	for _, c := range []struct {
		unreadable []Range
		data       []byte
		want       string
	}{
		{nil, data, "abcdefghij klmnopqrst fghijklmno"},
		{[]Range{{2, 1}}, data, "- klmnopqrst fghijklmno"},
		{[]Range{{16, 4}}, data, "abcdefghij - fghijklmno"},
		{[]Range{{7, 1}}, data, "- klmnopqrst -"},
		// Ranges that end beyond the operation; the end of the second overflows.
		{[]Range{{3, 1 << 63}, {1, 1<<64 - 1}}, data, "- - -"},
		{nil, data[:19], "- - -"},
		{nil, nil, "- - -"},
	} {
		got := formatParts(op.Distribute(c.unreadable, c.data))
		if order := fmt.Sprint(ids); order != "[2 3]" || got != c.want {
			t.Errorf("unreadable %v: got %q, want %q", c.unreadable, got, c.want)
		}
	}
}

// In an operation of writes, all writes after the first failed one fail too.
func TestDistribute_FailsWritesAfterAFailedOne(t *testing.T) {
	p := plannerWith(t, wideSettings, true, Range{0, 10}, Range{10, 10}, Range{20, 10})
	ids, _ := joinedBy(p, 1)
	op := p.SealOperation(append([]uint32{1}, ids...))
	if got := fmt.Sprint(op.Distribute([]Range{{12, 1}}, nil)); got != "[{true []} {false []} {false []}]" {
		t.Errorf("got %s, want the first write alone served", got)
	}
}
