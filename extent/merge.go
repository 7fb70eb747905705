package extent

import (
	"cmp"
	"math"
)

// scanFactor limits the queued pieces inspected in each direction to this multiple of Settings.MaxMembers, so
// that a send does not inspect the whole queue.
const scanFactor = 4

// compareKind orders pieces by kind. It returns 0 for pieces that may share an operation: those of one
// extent, direction and class, and for writes also of one plan. Reads charged to different volumes may share
// one: each is charged to its own.
func (x *piece) compareKind(other *piece) int {
	a, b := x.request, other.request
	plans := 0
	if a.Write {
		plans = cmp.Compare(a.Plan, b.Plan)
	}
	return cmp.Or(cmp.Compare(a.DataVolume, b.DataVolume), cmp.Compare(x.Extent, other.Extent),
		compareBool(a.Write, b.Write), cmp.Compare(a.Class, b.Class), plans)
}

// compare orders pieces by kind, then offset, then age.
func (x *piece) compare(other *piece) int {
	return cmp.Or(x.compareKind(other), cmp.Compare(x.Range.Offset, other.Range.Offset),
		cmp.Compare(x.ID, other.ID))
}

// compareBool orders false before true.
func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case b:
		return -1
	}
	return 1
}

// Propose calls join for the queued pieces that touch or overlap the operation of a piece that is sent for
// the first time: first for those after it, by ascending offset, then for those before it, by descending
// offset. Writes must only touch, since of two writes to the same bytes the later must win. The units passed
// to join are those of the whole operation with the piece; join reports whether the piece becomes a member.
// Members are removed from the queue.
func (p *Planner) Propose(id uint32, join func(id uint32, units float64) bool) {
	leader := p.pieces[id]
	if leader == nil || !leader.queued || p.settings.MaxMembers < 2 {
		return
	}
	p.dequeue(leader)
	m := &merge{planner: p, leader: leader, join: join,
		operation: Operation{Range: leader.Range, Members: []Piece{leader.Piece}},
		size:      operationSize{}.add(leader.Piece, leader.Range)}
	m.scansLeft = scanFactor * p.settings.MaxMembers
	p.queued.AscendGreaterOrEqual(leader, func(x *piece) bool {
		return x.Range.Offset <= m.operation.Range.End() && m.tryJoin(x)
	})
	m.scansLeft = scanFactor * p.settings.MaxMembers
	p.queued.DescendLessOrEqual(leader, func(x *piece) bool {
		return m.operation.Range.Offset-x.Range.Offset <= p.settings.MaxOperation && m.tryJoin(x)
	})
	for _, x := range m.joined { // only now: the queue must not change while it is iterated
		p.dequeue(x)
	}
}

// merge is the state of one call of Propose: an operation and the pieces that joined it.
type merge struct {
	planner   *Planner
	leader    *piece
	join      func(id uint32, units float64) bool
	operation Operation
	size      operationSize
	joined    []*piece
	scansLeft int
}

// tryJoin adds a queued piece to the operation if it fits and join accepts it, and reports whether to
// inspect further pieces.
func (m *merge) tryJoin(x *piece) bool {
	settings := &m.planner.settings
	m.scansLeft--
	if m.scansLeft < 0 || x.compareKind(m.leader) != 0 || len(m.operation.Members) >= settings.MaxMembers {
		return false
	}
	if m.planner.isTooFarApart(x, m.leader) || !m.operation.touches(x.Range, x.request.Write) {
		return true
	}
	covered := m.operation.Range.union(x.Range)
	if covered.Length > settings.MaxOperation {
		return true
	}
	size := m.size.add(x.Piece, covered)
	if !m.join(x.ID, size.chargedUnits) {
		return true
	}
	m.size, m.operation.Range = size, covered
	m.operation.Members = append(m.operation.Members, x.Piece)
	m.joined = append(m.joined, x)
	return true
}

// isTooFarApart reports whether the arrivals of two pieces differ by more than the window.
func (p *Planner) isTooFarApart(a, b *piece) bool {
	difference := a.request.ReceivedAt - b.request.ReceivedAt
	return p.settings.Window > 0 && max(difference, -difference) > p.settings.Window
}

// operationSize is the sum of the members' bytes and units, and the units of the whole operation.
type operationSize struct{ memberBytes, memberUnits, chargedUnits float64 }

// add returns the size with one more member, when the operation covers the given range. The operation's
// units are the members' units, scaled down to the covered bytes, since bytes that members share are
// processed once. They are never fewer than without the member: one with few units for its bytes must not
// make the others cheaper.
func (s operationSize) add(member Piece, covered Range) operationSize {
	s.memberBytes += float64(member.Range.Length)
	s.memberUnits += float64(member.chargedUnits())
	s.chargedUnits = max(1, s.chargedUnits,
		math.Ceil(s.memberUnits*min(1, float64(covered.Length)/s.memberBytes)))
	return s
}
