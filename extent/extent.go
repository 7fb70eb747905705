// Package extent decides what becomes of a client's request for a range of a volume: which pieces it is cut
// into, one for each extent, which held pieces are done as one operation, and whose answer an operation's
// end is. It stands between the front and package control, does no I/O, reads no clock and starts no
// goroutine.
//
// A volume's bytes lie in extents of one stated size. A request that crosses their edges, or is over the
// largest operation, is cut; each piece goes to its own extent's node. Reads and writes that are held at
// the same time and touch or overlap become one operation within stated bounds. Every client gets one
// answer of its own: all its pieces served, or the first final failure with what is known of the others.
package extent

import (
	"cmp"
	"errors"
	"fmt"
	"slices"
	"time"
)

// Settings bound what the planner does.
type Settings struct {
	Extent  uint64 // bytes of one extent
	Largest uint64 // bytes of one operation at most; at most Extent
	Members int    // pieces of one operation at most; 1: nothing is merged
	Pieces  int    // of one request at most; a request of more is refused
}

// Check tells what is wrong with settings.
func (s Settings) Check() error {
	switch {
	case s.Extent == 0 || s.Largest == 0 || s.Largest > s.Extent:
		return fmt.Errorf("an operation's %d bytes must be 1 to the extent's %d", s.Largest, s.Extent)
	case s.Members < 1 || s.Pieces < 1:
		return fmt.Errorf("%d members of an operation, %d pieces of a request; want 1 or more", s.Members,
			s.Pieces)
	}
	return nil
}

// Range is bytes of a volume, from Offset on.
type Range struct{ Offset, Length uint64 }

// End is the first byte after the range.
func (r Range) End() uint64 { return r.Offset + r.Length }

// Request is what a client asks.
type Request struct {
	ID     uint64
	Volume uint64
	Range  Range
	Write  bool
	Class  int
	Plan   int
	Key    uint64 // ordered with others of the key; 0: none
	Units  int
	By     time.Duration // the client's time is up then
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
	Request uint64
	Nth     int // of the request's pieces, by offset
	Extent  uint64
	Range   Range
	Units   int
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
		if len(out) == s.Pieces {
			return nil, fmt.Errorf("%w: over %d", ErrPieces, s.Pieces)
		}
		extent := at / s.Extent
		length := min(q.Range.End()-at, s.Largest, s.Extent-at%s.Extent)
		out = append(out, Piece{Request: q.ID, Nth: len(out), Extent: extent, Range: Range{at, length}})
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

// Held is a piece that may be merged: no operation has been sent for it.
type Held struct {
	Piece
	Volume uint64
	Write  bool
	Class  int
	Plan   int
	Key    uint64
	By     time.Duration
	Since  uint64 // order in which it was taken

	Ordered bool // its class keeps order by key

	rank int // among the held ordered pieces of its key
}

// Operation is what is done at a node at once: one piece, or several that were held at the same time.
type Operation struct {
	Extent  uint64
	Range   Range // the bytes that all members need
	By      time.Duration
	Members []Held // in the order in which they were taken
}

// Merge groups pieces that are held at the same moment into operations. Only pieces of one volume, extent,
// direction, class, plan and key go together, so that tag, repeats and order are the same for all members;
// reads may touch or overlap, writes only touch, since of two writes to the same bytes the later must win.
// An operation is at most the largest, has at most so many members, and is due when its most urgent member
// is. No piece waits for company: the caller hands in what is held anyway. Operations come in the order of
// their oldest members.
func Merge(s Settings, held []Held) []Operation {
	byPlace := slices.Clone(held)
	rank(byPlace)
	slices.SortFunc(byPlace, func(a, b Held) int {
		return cmp.Or(compareKind(a, b), cmp.Compare(a.Range.Offset, b.Range.Offset), cmp.Compare(a.Since,
			b.Since))
	})
	var out []Operation
	for _, h := range byPlace {
		if n := len(out); n > 0 && out[n-1].takes(s, h) {
			out[n-1].add(h)
			continue
		}
		out = append(out, Operation{Extent: h.Extent, Range: h.Range, By: h.By, Members: []Held{h}})
	}
	for i := range out {
		slices.SortFunc(out[i].Members, func(a, b Held) int { return cmp.Compare(a.Since, b.Since) })
	}
	slices.SortFunc(out, func(a, b Operation) int {
		return cmp.Compare(a.Members[0].Since,
			b.Members[0].Since)
	})
	return out
}

// rank counts the ordered pieces of each key in the order in which they were taken.
func rank(held []Held) {
	slices.SortFunc(held, func(a, b Held) int { return cmp.Compare(a.Since, b.Since) })
	next := map[uint64]int{}
	for i := range held {
		if held[i].Ordered && held[i].Key != 0 {
			held[i].rank = next[held[i].Key]
			next[held[i].Key]++
		}
	}
}

// compareKind is 0 for pieces that may share an operation.
func compareKind(a, b Held) int {
	return cmp.Or(cmp.Compare(a.Volume, b.Volume), cmp.Compare(a.Extent, b.Extent),
		cmp.Compare(number(a.Write), number(b.Write)), cmp.Compare(a.Class, b.Class), cmp.Compare(a.Plan,
			b.Plan),
		cmp.Compare(a.Key, b.Key), cmp.Compare(number(a.Ordered), number(b.Ordered)))
}

func number(b bool) int {
	if b {
		return 1
	}
	return 0
}

// takes tells whether an operation may have one more member, which begins no earlier than those it has.
func (o *Operation) takes(s Settings, h Held) bool {
	if len(o.Members) >= s.Members || compareKind(o.Members[0], h) != 0 || h.Range.Offset > o.Range.End() {
		return false
	}
	// Of one key only neighbours in the order taken go together: a member that jumped over another piece of
	// the key would be done before it.
	if h.Ordered && h.Key != 0 && h.rank != o.Members[len(o.Members)-1].rank+1 {
		return false
	}
	if h.Write && h.Range.Offset < o.Range.End() {
		return false
	}
	return max(o.Range.End(), h.Range.End())-o.Range.Offset <= s.Largest
}

func (o *Operation) add(h Held) {
	o.Range.Length = max(o.Range.End(), h.Range.End()) - o.Range.Offset
	o.By = min(o.By, h.By)
	o.Members = append(o.Members, h)
}

// Slice is where a member's bytes lie within the operation's.
func (o *Operation) Slice(h Held) Range {
	return Range{h.Range.Offset - o.Range.Offset, h.Range.Length}
}
