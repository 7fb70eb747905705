package extent

import (
	"errors"
	"math"
	"testing"
	"time"

	"pgregory.net/rapid"
)

func drawSettings(t *rapid.T) Settings {
	extent := rapid.Uint64Range(1, 64).Draw(t, "extent")
	return Settings{Extent: extent, Largest: rapid.Uint64Range(1, extent).Draw(t, "largest"),
		Members: rapid.IntRange(1, 5).Draw(t, "members"), Pieces: 1 << 16}
}

// The pieces of any request cover its range once, each within one extent and one operation, and their units
// add up.
func TestSplitCoversARequestOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := drawSettings(t)
		q := Request{ID: 7, Units: rapid.IntRange(1, 50).Draw(t, "units"), Range: Range{
			rapid.Uint64Range(0, 1000).Draw(t, "offset"), rapid.Uint64Range(1, 500).Draw(t, "length")}}
		pieces, err := Split(s, q)
		if err != nil {
			t.Fatal(err)
		}
		at, units := q.Range.Offset, 0
		for i, p := range pieces {
			if p.Range.Offset != at || p.Range.Length == 0 || p.Range.Length > s.Largest || p.Nth != i ||
				p.Extent != at/s.Extent || (p.Range.End()-1)/s.Extent != p.Extent || p.Units < 0 {
				t.Fatalf("piece %d is %+v", i, p)
			}
			at, units = p.Range.End(), units+p.Units
		}
		if at != q.Range.End() || units != q.Units {
			t.Fatalf("pieces end at %d of %d, with %d of %d units", at, q.Range.End(), units, q.Units)
		}
	})
}

func TestSplitRefusesWhatItCannotCut(t *testing.T) {
	s := Settings{Extent: 10, Largest: 10, Members: 1, Pieces: 3}
	for _, c := range []struct {
		r     Range
		units int
		want  error
	}{
		{Range{5, 0}, 1, ErrEmpty}, {Range{math.MaxUint64 - 2, 10}, 1, ErrRange}, {Range{0, 31}, 1,
			ErrPieces},
		{Range{0, 30}, 1, nil}, {Range{5, 26}, 1, ErrPieces}, {Range{0, 1}, 0, ErrUnits},
	} {
		if _, err := Split(s, Request{Range: c.r, Units: c.units}); !errors.Is(err, c.want) {
			t.Errorf("%+v: %v, want %v", c.r, err, c.want)
		}
	}
	for _, bad := range []Settings{{}, {Extent: 1, Largest: 2, Members: 1, Pieces: 1}, {Extent: 1,
		Largest: 1}} {
		if bad.Check() == nil {
			t.Errorf("%+v passes", bad)
		}
	}
}

// Whatever is held: each piece is in one operation, operations stay within their bounds, members are of one
// kind, no write overlaps another of its operation, each member's bytes lie where its slice says, and no
// operation is due later than any of its members.
func TestMergeKeepsEveryPieceOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := drawSettings(t)
		s.Extent, s.Largest = 32, 8*rapid.Uint64Range(1, 4).Draw(t, "operation") // so that many pieces touch
		var held []Held
		for i := range rapid.IntRange(0, 30).Draw(t, "held") {
			q := Request{ID: uint64(i), Units: 1, Range: Range{8 * rapid.Uint64Range(0, 10).Draw(t, "offset"),
				8 * rapid.Uint64Range(1, 4).Draw(t, "length")}}
			pieces, err := Split(s, q)
			if err != nil {
				t.Fatal(err)
			}
			kind := rapid.IntRange(0, 3).Draw(t, "kind")
			for _, p := range pieces {
				held = append(held, Held{Piece: p, Volume: uint64(kind & 1), Write: kind&2 != 0,
					Since: uint64(len(held)), Ordered: kind&2 != 0,
					By:  time.Duration(rapid.IntRange(0, 9).Draw(t, "by")),
					Key: rapid.Uint64Range(0, 2).Draw(t, "key")})
			}
		}
		seen, last, lastOf := map[uint64]bool{}, uint64(0), map[uint64]uint64{}
		for i, o := range Merge(s, held) {
			if len(o.Members) > s.Members || o.Range.Length > s.Largest {
				t.Fatalf("over its bounds: %+v", o)
			}
			if first := o.Members[0].Since; i > 0 && first < last {
				t.Fatal("operations are out of order")
			}
			last = o.Members[0].Since
			for n, m := range o.Members {
				at := o.Slice(m)
				switch {
				case seen[m.Since]:
					t.Fatalf("piece %d is in two operations", m.Since)
				case compareKind(m, o.Members[0]) != 0:
					t.Fatal("members of two kinds")
				case o.By > m.By:
					t.Fatal("due later than a member")
				case at.End() > o.Range.Length || o.Range.Offset+at.Offset != m.Range.Offset:
					t.Fatalf("slice %+v of %+v", at, o.Range)
				}
				seen[m.Since] = true
				if key := m.Key; m.Ordered && key != 0 {
					if m.Since < lastOf[key] {
						t.Fatalf("piece %d of key %d comes after %d", m.Since, m.Key, lastOf[key])
					}
					lastOf[key] = m.Since
				}
				for _, other := range o.Members[:n] {
					if m.Write && m.Range.Offset < other.Range.End() && other.Range.Offset < m.Range.End() {
						t.Fatal("two writes of the same bytes in one operation")
					}
				}
			}
		}
		if len(seen) != len(held) {
			t.Fatalf("%d of %d pieces have an operation", len(seen), len(held))
		}
	})
}

// Adjacent slices of one extent, read at the same moment, are one operation; pieces of two extents are two.
func TestAdjacentReadsBecomeOneOperation(t *testing.T) {
	s := Settings{Extent: 100, Largest: 100, Members: 8, Pieces: 8}
	var held []Held
	for i := range uint64(6) { // 0-29 ... 150-179: the fourth crosses the edge at 100
		pieces, err := Split(s, Request{ID: i, Units: 2, Range: Range{i * 30, 30}})
		if err != nil {
			t.Fatal(err)
		}
		for _, p := range pieces {
			held = append(held, Held{Piece: p, Since: uint64(len(held))})
		}
	}
	ops := Merge(s, held)
	if len(held) != 7 || len(ops) != 2 || ops[0].Range != (Range{0, 100}) || ops[1].Range != (Range{100,
		80}) {
		t.Errorf("%d pieces in %+v", len(held), ops)
	}
	s.Members = 1
	if ops := Merge(s, held); len(ops) != 7 {
		t.Errorf("with merging off %d operations", len(ops))
	}
}
