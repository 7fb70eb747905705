// Package extent decides what becomes of a client's request for a range of a volume: which pieces it is cut
// into, one for each extent, which held pieces are done as one operation, and whose answer an operation's
// end is. It stands between the front and package control, does no I/O, reads no clock and starts no
// goroutine.
//
// A volume's bytes lie in extents of one stated size. A request that crosses their edges, or is over the
// largest operation, is cut; each piece goes to its own extent's node. Reads and writes that are held at
// the same time and touch or overlap become one operation within stated bounds. Every client gets one
// answer of its own: all its pieces served, or the first final failure with what is known of the others.
// docs/design/extents.md weighs how that is done.
package extent

import (
	"errors"
	"fmt"
	"time"
)

// Settings bound what the planner does.
type Settings struct {
	ExtentSize   uint64        // bytes of one extent
	MaxOperation uint64        // bytes of one operation at most; at most Extent
	MaxMembers   int           // pieces of one operation at most; 1: nothing is merged
	Window       time.Duration // members of one operation were taken at most so far apart; 0: any
	MaxPieces    int           // of one request at most; a request of more is refused
	Cells        int           // that a volume's extents are dealt out over
}

// Check tells what is wrong with settings.
func (s Settings) Check() error {
	switch {
	case s.ExtentSize == 0 || s.MaxOperation == 0 || s.MaxOperation > s.ExtentSize:
		return fmt.Errorf(
			"an operation's %d bytes must be 1 to the extent's %d",
			s.MaxOperation,
			s.ExtentSize,
		)
	case s.MaxMembers < 1 || s.MaxMembers > MaxMembers:
		return fmt.Errorf("an operation has 1 to %d members, not %d", MaxMembers, s.MaxMembers)
	case s.MaxPieces < 1 || s.Cells < 1:
		return fmt.Errorf("%d pieces of a request, %d cells; want 1 or more", s.MaxPieces, s.Cells)
	}
	return nil
}

// MostMembers is the most that one operation's frame tells of.
const MaxMembers = 64

// Cell is where an extent lies: a volume's extents are dealt out over the cells in turn, each volume's from a
// cell of its own on, so that the first extents of all volumes do not meet on one node.
func (s Settings) Cell(volume, extent uint64) int {
	first := volume * 0x9e3779b97f4a7c15 // 2^64 over the golden ratio: neighbours lie far apart
	return int((first>>32 + extent) % uint64(s.Cells))
}

// Range is bytes of a volume, from Offset on.
type Range struct{ Offset, Length uint64 }

// with is the least range that covers both.
func (r Range) with(o Range) Range {
	from := min(r.Offset, o.Offset)
	return Range{from, max(r.End(), o.End()) - from}
}

// End is the first byte after the range.
func (r Range) End() uint64 { return r.Offset + r.Length }

// Request is what a client asks.
type Request struct {
	ID         uint64
	DataVolume uint64 // the volume whose bytes are meant; plan and limit are charged to the asker's own
	Range      Range
	Write      bool
	Class      int
	Plan       int
	Units      int
	ReceivedAt time.Duration // when it was taken
	RetrySafe  bool          // to run again, even if a piece of it has run
}

// Errors of requests.
var (
	ErrEmpty  = errors.New("the range is empty")
	ErrRange  = errors.New("the range ends beyond the largest offset")
	ErrPieces = errors.New("the range is cut into more pieces than allowed")
	ErrUnits  = errors.New("a request counts at least one unit")
)

// Piece is the part of a request that lies within one extent and one operation's size.
type Piece struct {
	ID     uint32 // by which the scheduler's module knows it
	Nth    int    // of the request's pieces, by offset
	Extent uint64
	Cell   int // where the extent lies
	Range  Range
	Units  int // 0 where a request has fewer units than pieces
}

// Split cuts a request into its pieces, by offset. Their ranges cover the request's without gap or overlap,
// and their units add up to its units; where there are fewer units than pieces, the first pieces have them.
func Split(s Settings, q Request) ([]Piece, error) {
	switch {
	case q.Range.Length == 0:
		return nil, ErrEmpty
	case q.Range.End() < q.Range.Offset:
		return nil, ErrRange
	case q.Units < 1:
		return nil, ErrUnits
	}
	var out []Piece
	for at := q.Range.Offset; at < q.Range.End(); {
		if len(out) == s.MaxPieces {
			return nil, fmt.Errorf("%w: over %d", ErrPieces, s.MaxPieces)
		}
		extent := at / s.ExtentSize
		length := min(q.Range.End()-at, s.MaxOperation, s.ExtentSize-at%s.ExtentSize)
		out = append(out, Piece{Nth: len(out), Extent: extent, Cell: s.Cell(q.DataVolume, extent),
			Range: Range{at, length}})
		at += length
	}
	share(out, q)
	return out, nil
}

// share deals a request's units out by bytes: each piece has what the bytes up to its end amount to, less
// what those before it had, so that the sum is exact.
func share(pieces []Piece, q Request) {
	given := 0
	for i := range pieces {
		upTo := pieces[i].Range.End() - q.Range.Offset
		whole := float64(q.Units) * (float64(upTo) / float64(q.Range.Length))
		due := min(q.Units, int(whole+0.5))
		if i == len(pieces)-1 {
			due = q.Units
		}
		pieces[i].Units = max(0, due-given)
		given += pieces[i].Units
	}
}
