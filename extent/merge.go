package extent

import (
	"cmp"
	"math"
)

// scanFactor bounds how many queued pieces are looked at for each that an operation may have.
const scanFactor = 4

// compareKind is 0 for pieces that may share an operation: of one extent, direction and class, and writes of
// one plan. Reads for several volumes may share one: each is charged to its own.
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

// Propose proposes to join, for a piece that is sent, the queued pieces that touch or overlap it, one after
// the other along the volume's bytes, first those behind it, then those before. Writes only touch, since of
// two writes to the same bytes the later must win. What joins is queued no more.
func (p *Planner) Propose(id uint32, join func(id uint32, units float64) bool) {
	leader := p.pieces[id]
	if leader == nil || !leader.queued || p.settings.MaxMembers < 2 {
		return
	}
	p.dequeue(leader)
	m := &merge{planner: p, leader: leader, join: join,
		operation: Operation{Range: leader.Range, Members: []Piece{leader.Piece}},
		size:      operationSize{}.add(leader.Piece, leader.Range)}
	m.looksLeft = scanFactor * p.settings.MaxMembers
	p.queued.AscendGreaterOrEqual(leader, func(x *piece) bool {
		return x.Range.Offset <= m.operation.Range.End() && m.consider(x)
	})
	m.looksLeft = scanFactor * p.settings.MaxMembers
	p.queued.DescendLessOrEqual(leader, func(x *piece) bool {
		return m.operation.Range.Offset-x.Range.Offset <= p.settings.MaxOperation && m.consider(x)
	})
	for _, x := range m.joined {
		p.dequeue(x)
	}
}

// merge is an operation while members join it.
type merge struct {
	planner   *Planner
	leader    *piece
	join      func(id uint32, units float64) bool
	operation Operation
	size      operationSize
	joined    []*piece
	looksLeft int
}

// consider lets a queued piece join if it fits, and reports whether to look at further ones.
func (m *merge) consider(x *piece) bool {
	settings := &m.planner.settings
	m.looksLeft--
	if m.looksLeft < 0 || x.compareKind(m.leader) != 0 || len(m.operation.Members) >= settings.MaxMembers {
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
	if !m.join(x.ID, size.work) {
		return true
	}
	m.size, m.operation.Range = size, covered
	m.operation.Members = append(m.operation.Members, x.Piece)
	m.joined = append(m.joined, x)
	return true
}

// isTooFarApart reports whether two pieces arrived too far apart to share an operation.
func (p *Planner) isTooFarApart(a, b *piece) bool {
	difference := a.request.ReceivedAt - b.request.ReceivedAt
	return p.settings.Window > 0 && max(difference, -difference) > p.settings.Window
}

// operationSize adds up what an operation's members ask for.
type operationSize struct{ bytes, units, work float64 }

// add is the size with one more member, the operation then covering a range. Its work is that of the bytes it
// covers, since what two members share is done once, and never less than without the member: one that counts
// few units for its bytes makes the others' no cheaper.
func (s operationSize) add(member Piece, covered Range) operationSize {
	s.bytes += float64(member.Range.Length)
	s.units += float64(member.chargedUnits())
	s.work = max(1, s.work, math.Ceil(s.units*min(1, float64(covered.Length)/s.bytes)))
	return s
}
