package extent

import (
	"errors"
	"fmt"
	"time"
)

// Range is Length bytes of a volume, from Offset on.
type Range struct{ Offset, Length uint64 }

// End is the first byte after the range.
func (r Range) End() uint64 { return r.Offset + r.Length }

// union is the smallest range that covers both.
func (r Range) union(other Range) Range {
	from := min(r.Offset, other.Offset)
	return Range{from, max(r.End(), other.End()) - from}
}

// overlaps reports whether the ranges share a byte. A range whose end overflows reaches to the last byte.
func (r Range) overlaps(other Range) bool {
	overflows := other.End() < other.Offset
	return other.Offset < r.End() && (r.Offset < other.End() || overflows)
}

// Request is a client's request for a range of bytes.
type Request struct {
	ID         uint64
	DataVolume uint64 // whose bytes are meant; plan and quota are charged to the asker's own volume
	Range      Range
	Write      bool
	Class      int
	Plan       int
	Units      int
	ReceivedAt time.Duration
	RetrySafe  bool // it may be executed again even if a piece of it has run
}

// Errors of requests that cannot be split. The daemon rejects such requests.
var (
	ErrEmpty  = errors.New("the range is empty")
	ErrRange  = errors.New("the range ends beyond the largest offset")
	ErrPieces = errors.New("the range is cut into more pieces than allowed")
	ErrUnits  = errors.New("a request counts at least one unit")
)

// Piece is the part of a request that lies within one extent and one operation's size.
type Piece struct {
	ID     uint32 // by which the scheduler knows it
	Index  int    // of the request's pieces, by offset
	Extent uint64
	Cell   int // where the extent lies
	Range  Range
	Units  int // 0 where a request has fewer units than pieces
}

// chargedUnits is what the piece counts in an operation.
func (p Piece) chargedUnits() int { return max(1, p.Units) }

// Split returns the pieces of a request, by offset. Their ranges cover the request's without gap or overlap,
// and their units add up to its units; where there are fewer units than pieces, the first pieces have them.
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

// distributeUnits distributes a request's units by bytes: each piece has what the bytes up to its end amount
// to, less what those before it had, so that the sum is exact.
func distributeUnits(pieces []Piece, request Request) {
	given := 0
	for i := range pieces {
		upTo := pieces[i].Range.End() - request.Range.Offset
		exact := float64(request.Units) * (float64(upTo) / float64(request.Range.Length))
		due := min(request.Units, int(exact+0.5))
		if i == len(pieces)-1 {
			due = request.Units
		}
		pieces[i].Units = max(0, due-given)
		given += pieces[i].Units
	}
}
