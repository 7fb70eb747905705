package extent

import (
	"errors"
	"math"
	"testing"

	"pgregory.net/rapid"
)

func drawSettings(t *rapid.T) Settings {
	extent := rapid.Uint64Range(1, 64).Draw(t, "extent")
	return Settings{Extent: extent, Largest: rapid.Uint64Range(1, extent).Draw(t, "largest"),
		Members: rapid.IntRange(1, 5).Draw(t, "members"), Pieces: 1 << 16, Cells: 3}
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
	s := Settings{Extent: 10, Largest: 10, Members: 1, Pieces: 3, Cells: 1}
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
	for _, bad := range []Settings{{}, {Extent: 1, Largest: 2, Members: 1, Pieces: 1, Cells: 1}, {Extent: 1,
		Largest: 1}} {
		if bad.Check() == nil {
			t.Errorf("%+v passes", bad)
		}
	}
}
