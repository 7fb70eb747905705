package extent

import (
	"cmp"
	"fmt"
	"math"

	"github.com/google/btree"
)

// Planner keeps the state of all requests on their way: which pieces are held and could leave together,
// whose answer a piece's end is, and when a request's one answer is due. It is control.Company: the
// scheduler's module asks it, as a request leaves, what could leave with it.
//
// The driver tells it what happens, in this order for each piece: Take, then any number of Sent and Ended,
// then Over once the module has given its final word, or Drop for the whole request; last Forget, when no
// attempt of the piece is out any more.
type Planner struct {
	set    Settings
	wholes map[uint64]*whole
	pieces map[uint32]*piece
	held   *btree.BTreeG[*piece] // by kind, then offset
	Stats  Stats
}

// Stats count what the planner decided.
type Stats struct {
	Split      uint64 // requests that were cut
	Pieces     uint64 // that all requests became
	Operations uint64 // that left, repeats included
	Merged     uint64 // of them, such of two members or more
	Members    uint64 // pieces that left in merged ones
	Saved      uint64 // operations that merging spared
	Withdrawn  uint64 // pieces not sent, because another of their request had failed or its client had gone
	Partial    uint64 // writes that failed with some of their pieces done
}

// whole is a client's request.
type whole struct {
	Request
	pieces []*piece
	left   int // pieces not served yet
	over   bool
}

type piece struct {
	Piece
	whole  *whole
	held   bool // has never been sent
	out    int  // attempts out
	ran    bool // may have run
	done   bool // has its end
	served bool
	data   []byte
}

// New makes a planner that holds nothing.
func New(s Settings) *Planner {
	return &Planner{set: s, wholes: map[uint64]*whole{}, pieces: map[uint32]*piece{},
		held: btree.NewG(16, func(a, b *piece) bool { return a.compare(b) < 0 })}
}

// Open is how many requests and pieces are known.
func (p *Planner) Counts() (requests, pieces int) { return len(p.wholes), len(p.pieces) }

// compareKind is 0 for pieces that may share an operation: of one extent, direction and class, and writes
// of one plan. Reads for several volumes may share one: each is charged to its own.
func (a *piece) compareKind(b *piece) int {
	x, y := a.whole, b.whole
	plans := 0
	if x.Write {
		plans = cmp.Compare(x.Plan, y.Plan)
	}
	return cmp.Or(cmp.Compare(x.DataVolume, y.DataVolume), cmp.Compare(a.Extent, b.Extent),
		cmp.Compare(number(x.Write), number(y.Write)), cmp.Compare(x.Class, y.Class), plans)
}

func (a *piece) compare(b *piece) int {
	return cmp.Or(a.compareKind(b), cmp.Compare(a.Range.Offset, b.Range.Offset), cmp.Compare(a.ID, b.ID))
}

func number(b bool) int {
	if b {
		return 1
	}
	return 0
}

// Take cuts a request into the pieces that the scheduler's module is to see, in the order of their offsets;
// next hands out their IDs. An error is the request's answer: it is refused, and nothing of it is known.
func (p *Planner) Add(q Request, next func() uint32) ([]Piece, error) {
	if p.wholes[q.ID] != nil {
		return nil, fmt.Errorf("request %d is known already", q.ID)
	}
	cut, err := Split(p.set, q)
	if err != nil {
		return nil, err
	}
	w := &whole{Request: q, left: len(cut)}
	p.wholes[q.ID] = w
	p.Stats.Pieces += uint64(len(cut))
	if len(cut) > 1 {
		p.Stats.Split++
	}
	for i := range cut {
		cut[i].ID = next()
		x := &piece{Piece: cut[i], whole: w, held: true}
		w.pieces = append(w.pieces, x)
		p.pieces[x.ID] = x
		if p.set.MaxMembers > 1 {
			p.held.ReplaceOrInsert(x)
		}
	}
	return cut, nil
}

// scanFactor bounds how many held pieces are looked at for each that an operation may have.
const scanFactor = 4

// Beside proposes to join, for a piece that leaves, the held pieces that touch or overlap it, one after the
// other along the volume's bytes, first those behind it, then those before. Writes only touch, since of two
// writes to the same bytes the later must win. What joins is held no more.
func (p *Planner) Propose(id uint32, join func(id uint32, units float64) bool) {
	lead := p.pieces[id]
	if lead == nil || !lead.held || p.set.MaxMembers < 2 {
		return
	}
	p.unhold(lead)
	op := Operation{Range: lead.Range, Members: []Piece{lead.Piece}}
	size := size{}.with(lead.Piece, lead.Range)
	var joined []*piece
	looks := scanFactor * p.set.MaxMembers
	offer := func(x *piece) bool {
		looks--
		if looks < 0 || x.compareKind(lead) != 0 || len(op.Members) >= p.set.MaxMembers {
			return false
		}
		if p.apart(x, lead) || !op.touches(x.Range, x.whole.Write) {
			return true
		}
		all := op.Range.with(x.Range)
		if all.Length > p.set.MaxOperation {
			return true
		}
		larger := size.with(x.Piece, all)
		if !join(x.ID, larger.work) {
			return true
		}
		size, op.Range = larger, all
		op.Members = append(op.Members, x.Piece)
		joined = append(joined, x)
		return true
	}
	p.held.AscendGreaterOrEqual(lead, func(x *piece) bool {
		return x.Range.Offset <= op.Range.End() && offer(x)
	})
	looks = scanFactor * p.set.MaxMembers
	p.held.DescendLessOrEqual(lead, func(x *piece) bool {
		return op.Range.Offset-x.Range.Offset <= p.set.MaxOperation && offer(x)
	})
	for _, x := range joined {
		p.unhold(x)
	}
}

// size adds up what an operation's members ask for.
type size struct{ bytes, units, work float64 }

// with is the size with one more member, and all that the operation then covers. Its work is that of the
// bytes it covers, since what two members share is done once, and never less than without the member: one
// that counts few units for its bytes makes the others' no cheaper.
func (s size) with(m Piece, all Range) size {
	s.bytes += float64(m.Range.Length)
	s.units += float64(max(1, m.Units))
	s.work = max(1, s.work, math.Ceil(s.units*min(1, float64(all.Length)/s.bytes)))
	return s
}

// apart tells whether two pieces were taken too far apart to share an operation.
func (p *Planner) apart(a, b *piece) bool {
	d := a.whole.ReceivedAt - b.whole.ReceivedAt
	return p.set.Window > 0 && max(d, -d) > p.set.Window
}

func (p *Planner) unhold(x *piece) {
	if x.held {
		x.held = false
		p.held.Delete(x)
	}
}

// Sent notes that an attempt of a piece leaves.
func (p *Planner) AttemptSent(id uint32) {
	if x := p.pieces[id]; x != nil {
		p.unhold(x)
		x.out++
	}
}

// Left notes that the attempts sent just now for these pieces, the lead first, leave as one operation, and
// returns it.
func (p *Planner) SealOperation(ids []uint32) Operation {
	p.Stats.Operations++
	if len(ids) > 1 {
		p.Stats.Merged++
		p.Stats.Members += uint64(len(ids))
		p.Stats.Saved += uint64(len(ids) - 1)
	}
	var op Operation
	var size size
	for _, id := range ids {
		x := p.pieces[id]
		if x == nil {
			continue
		}
		if len(op.Members) == 0 {
			op.Range = x.Range
		}
		op.Range = op.Range.with(x.Range)
		op.DataVolume, op.Extent, op.Write = x.whole.DataVolume, x.Extent, x.whole.Write
		size = size.with(x.Piece, op.Range)
		op.Members = append(op.Members, x.Piece)
	}
	op.Units = int(size.work)
	return op
}

// Ended notes how an attempt of a piece ended; ran: it may have run.
func (p *Planner) AttemptEnded(id uint32, ran bool) {
	x := p.pieces[id]
	if x == nil {
		return
	}
	x.out--
	x.ran = x.ran || ran
}

// Verdict is how a piece, or a request, ended.
type Outcome uint8

// The verdicts.
const (
	Served   Outcome = iota
	Rejected         // trying again does no harm
	Failed           // promises nothing
)

// Answer is a request's one final answer.
type Answer struct {
	Request uint64
	Outcome Outcome
	Data    [][]byte // of a read that was served, by offset
	// Of a request that was not served: how many of its pieces are done, may yet run or may have run, and
	// were never sent.
	Done, Uncertain, Unsent int
}

// Over takes in a piece's final word: what the module says of it, and the bytes of a read that was served.
// It returns the request's answer, where this is what decides it, and the pieces of it that are held and
// now want no sending: the module is told that they have left. The first piece that is not served ends its
// request. A refusal stays one only where no piece may have run, or running again does no harm.
func (p *Planner) Resolve(id uint32, v Outcome, data []byte) (answer *Answer, withdraw []uint32) {
	x := p.pieces[id]
	if x == nil || x.done {
		return nil, nil
	}
	x.done = true
	p.unhold(x)
	w := x.whole
	if v == Served {
		x.served, x.data = true, data
		w.left--
		if w.over || w.left > 0 {
			return nil, nil
		}
		w.over = true
		answer = &Answer{Request: w.ID}
		for _, y := range w.pieces {
			answer.Data = append(answer.Data, y.data)
			y.data = nil
		}
		return answer, nil
	}
	if w.over {
		return nil, nil
	}
	answer, withdraw = p.end(w)
	answer.Outcome = v
	if v == Rejected && !w.RetrySafe && answer.Done+answer.Uncertain > 0 {
		answer.Outcome = Failed
	}
	return answer, withdraw
}

// Drop ends a request that wants no answer any more, or whose time is up. What is out goes on: others may
// share it. It returns the pieces that are not over, and what is known of all; nil if it was over.
func (p *Planner) Abandon(request uint64) (*Answer, []uint32) {
	w := p.wholes[request]
	if w == nil || w.over {
		return nil, nil
	}
	a, withdraw := p.end(w)
	a.Outcome = Failed
	return a, withdraw
}

// end closes a request that is not served, and counts what becomes of its pieces.
func (p *Planner) end(w *whole) (*Answer, []uint32) {
	w.over = true
	a := &Answer{Request: w.ID}
	var withdraw []uint32
	for _, y := range w.pieces {
		switch {
		case y.served:
			a.Done++
		case y.ran || y.out > 0:
			a.Uncertain++
		default:
			a.Unsent++
		}
		y.data = nil
		if !y.done {
			y.done = true
			p.unhold(y)
			withdraw = append(withdraw, y.ID)
			if y.out == 0 && !y.ran {
				p.Stats.Withdrawn++
			}
		}
	}
	if w.Write && a.Done > 0 {
		p.Stats.Partial++
	}
	return a, withdraw
}

// Forget drops a piece of which nothing is out any more and that has its end.
func (p *Planner) Forget(id uint32) {
	x := p.pieces[id]
	if x == nil {
		return
	}
	p.unhold(x)
	delete(p.pieces, id)
	for _, y := range x.whole.pieces {
		if p.pieces[y.ID] == y {
			return
		}
	}
	delete(p.wholes, x.whole.ID)
}

// Operation is what is done at a node at once: one piece, or several that were held at the same time.
type Operation struct {
	DataVolume uint64
	Extent     uint64
	Write      bool
	Range      Range // the bytes that all members need
	Units      int
	Members    []Piece // the lead first
}

// touches tells whether one more range can be part of the operation without a gap; a write may not overlap.
func (o *Operation) touches(r Range, write bool) bool {
	if write {
		return r.Offset == o.Range.End() || r.End() == o.Range.Offset
	}
	return r.Offset <= o.Range.End() && r.End() >= o.Range.Offset
}

// Slice is where a member's bytes lie within the operation's.
func (o *Operation) Slice(m Piece) Range {
	return Range{m.Range.Offset - o.Range.Offset, m.Range.Length}
}

// Part is what a member gets of an operation's answer.
type Part struct {
	OK   bool
	Data []byte // of a read: shared with all members that overlap, not to be written to
}

// Deal gives each member its part of a served operation's answer. Bad are ranges, from the operation's first
// byte on, that the node could not serve: only members that need one of them fail. A node carries out writes
// in the order of the members and ends at the first that fails, so those after it fail too: one of the same
// key must not be done before it. A read whose bytes are not all there fails as a whole.
func (o *Operation) Distribute(bad []Range, data []byte) []Part {
	parts := make([]Part, len(o.Members))
	whole := o.Write || uint64(len(data)) == o.Range.Length
	for i, m := range o.Members {
		at := o.Slice(m)
		parts[i].OK = whole && (!o.Write || i == 0 || parts[i-1].OK)
		for _, b := range bad {
			if b.Offset < at.End() && (at.Offset < b.End() || b.End() < b.Offset) {
				parts[i].OK = false
			}
		}
		if parts[i].OK && !o.Write {
			parts[i].Data = data[at.Offset:at.End():at.End()]
		}
	}
	return parts
}
