package extent

import (
	"errors"
	"math"
	"testing"

	"pgregory.net/rapid"
)

func drawSettings(t *rapid.T) Settings {
	extent := rapid.Uint64Range(1, 64).Draw(t, "extent")
	return Settings{ExtentSize: extent, MaxOperation: rapid.Uint64Range(1, extent).Draw(t, "largest"),
		MaxMembers: rapid.IntRange(1, 5).Draw(t, "members"), MaxPieces: 1 << 16, Cells: 3}
}

// The pieces of any request cover its range exactly once, each within one extent and one operation, and their
// units add up to the request's.
func TestSplit_CoversARequestOnce(t *testing.T) {
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
			if p.Range.Offset != at || p.Range.Length == 0 || p.Range.Length > s.MaxOperation ||
				p.Index != i ||
				p.Extent != at/s.ExtentSize || (p.Range.End()-1)/s.ExtentSize != p.Extent ||
				p.Units < 0 {
				t.Fatalf("piece %d: got %+v, want the next bytes, in one extent and operation", i, p)
			}
			at, units = p.Range.End(), units+p.Units
		}
		if at != q.Range.End() || units != q.Units {
			t.Fatalf("pieces end at %d of %d, with %d of %d units", at, q.Range.End(), units, q.Units)
		}
	})
}

// Split returns the error for each kind of request that it cannot split; Check rejects invalid settings.
func TestSplit_RejectsInvalidRequests(t *testing.T) {
	s := Settings{ExtentSize: 10, MaxOperation: 10, MaxMembers: 1, MaxPieces: 3, Cells: 1}
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
			t.Errorf("%+v: got %v, want %v", c.r, err, c.want)
		}
	}
	for _, bad := range []Settings{{}, {ExtentSize: 1, MaxOperation: 2, MaxMembers: 1, MaxPieces: 1,
		Cells: 1}, {ExtentSize: 1,
		MaxOperation: 1}} {
		if bad.Check() == nil {
			t.Errorf("%+v: got no error, want one", bad)
		}
	}
}
