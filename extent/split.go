package extent

import (
	"errors"
	"fmt"
	"time"
)

// Range is Length bytes of a volume, starting at Offset.
type Range struct{ Offset, Length uint64 }

// End returns the offset of the first byte after the range.
func (r Range) End() uint64 { return r.Offset + r.Length }

// union returns the smallest range that covers both.
func (r Range) union(other Range) Range {
	from := min(r.Offset, other.Offset)
	return Range{from, max(r.End(), other.End()) - from}
}

// overlaps reports whether the ranges share a byte. If the end of other overflows, other extends to the
// last byte: the ranges in a node's answer are not validated.
func (r Range) overlaps(other Range) bool {
	overflows := other.End() < other.Offset
	return other.Offset < r.End() && (r.Offset < other.End() || overflows)
}

// Request is a client's request for a range of bytes.
type Request struct {
	ID         uint64
	DataVolume uint64 // the volume that stores the bytes; plan and quota are those of the client's own volume
	Range      Range
	Write      bool
	Class      int
	Plan       int
	Units      int
	ReceivedAt time.Duration
	RetrySafe  bool // it may be executed again even if some of its pieces have run
}

// Errors of Split. The daemon rejects such requests.
var (
	ErrEmpty  = errors.New("the range is empty")
	ErrRange  = errors.New("the range ends beyond the largest offset")
	ErrPieces = errors.New("the range is split into more pieces than allowed")
	ErrUnits  = errors.New("a request must have at least one unit")
)

// Piece is a part of a request that is within one extent and not larger than the largest operation.
type Piece struct {
	ID     uint32 // identifies the piece in the scheduler
	Index  int    // among the request's pieces, by offset
	Extent uint64
	Cell   int // cell that stores the extent
	Range  Range
	Units  int // may be 0, as units are distributed by bytes
}

// chargedUnits returns the units for which the piece counts in an operation: at least 1.
func (p Piece) chargedUnits() int { return max(1, p.Units) }

// Split returns the pieces of a request, by offset. Their ranges cover the request's without gap or overlap,
// and their units add up to its units. Units are distributed by bytes, so that a short piece may have none.
func Split(settings Settings, request Request) ([]Piece, error) {
	switch {
	case request.Range.Length == 0:
		return nil, ErrEmpty
	case request.Range.End() < request.Range.Offset:
		return nil, ErrRange
	case request.Units < 1:
		return nil, ErrUnits
	}
	var pieces []Piece
	for offset := request.Range.Offset; offset < request.Range.End(); {
		if len(pieces) == settings.MaxPieces {
			return nil, fmt.Errorf("%w: over %d", ErrPieces, settings.MaxPieces)
		}
		extent := offset / settings.ExtentSize
		leftInExtent := settings.ExtentSize - offset%settings.ExtentSize
		length := min(request.Range.End()-offset, settings.MaxOperation, leftInExtent)
		pieces = append(pieces, Piece{
			Index:  len(pieces),
			Extent: extent,
			Cell:   settings.Cell(request.DataVolume, extent),
			Range:  Range{offset, length},
		})
		offset += length
	}
	distributeUnits(pieces, request)
	return pieces, nil
}

// distributeUnits distributes a request's units by bytes: each piece gets the rounded units of all bytes up
// to its end, minus the units of the pieces before it, so that the sum is exact.
func distributeUnits(pieces []Piece, request Request) {
	assigned := 0
	for i := range pieces {
		upTo := pieces[i].Range.End() - request.Range.Offset
		exact := float64(request.Units) * (float64(upTo) / float64(request.Range.Length))
		cumulative := min(request.Units, int(exact+0.5))
		if i == len(pieces)-1 {
			cumulative = request.Units
		}
		pieces[i].Units = max(0, cumulative-assigned)
		assigned += pieces[i].Units
	}
}
