package extent

// Operation is what is done at a node at once: one piece, or several that were queued at the same time.
type Operation struct {
	DataVolume uint64
	Extent     uint64
	Write      bool
	Range      Range // the bytes that all members need
	Units      int
	Members    []Piece // the leader first
}

// SealOperation notes that the attempts sent just now for these pieces, the leader first, are sent as one
// operation, and returns it.
func (p *Planner) SealOperation(ids []uint32) Operation {
	p.Stats.Operations++
	if len(ids) > 1 {
		p.Stats.Merged++
		p.Stats.Members += uint64(len(ids))
		p.Stats.Saved += uint64(len(ids) - 1)
	}
	var operation Operation
	var size operationSize
	for _, id := range ids {
		x := p.pieces[id]
		if x == nil {
			continue
		}
		if len(operation.Members) == 0 {
			operation.Range = x.Range
		}
		operation.Range = operation.Range.union(x.Range)
		operation.DataVolume, operation.Extent = x.request.DataVolume, x.Extent
		operation.Write = x.request.Write
		size = size.add(x.Piece, operation.Range)
		operation.Members = append(operation.Members, x.Piece)
	}
	operation.Units = int(size.work)
	return operation
}

// touches reports whether one more range can be part of the operation without a gap; a write may not overlap.
func (o *Operation) touches(r Range, write bool) bool {
	if write {
		return r.Offset == o.Range.End() || r.End() == o.Range.Offset
	}
	return r.Offset <= o.Range.End() && r.End() >= o.Range.Offset
}

// Slice returns where a member's bytes lie within the operation's.
func (o *Operation) Slice(member Piece) Range {
	return Range{member.Range.Offset - o.Range.Offset, member.Range.Length}
}

// Part is what a member gets of an operation's answer.
type Part struct {
	OK   bool
	Data []byte // of a read: shared with all members that overlap, not to be written to
}

// Distribute gives each member its part of a served operation's answer. Unreadable are ranges, from the
// operation's first byte on, that the node could not serve: only members that need one of them fail. A node
// carries out writes in the order of the members and ends at the first that fails, so those after it fail
// too: one of the same key must not be done before it. A read whose bytes are not all there fails as a whole.
func (o *Operation) Distribute(unreadable []Range, data []byte) []Part {
	parts := make([]Part, len(o.Members))
	complete := o.Write || uint64(len(data)) == o.Range.Length
	for i, member := range o.Members {
		slice := o.Slice(member)
		afterFailure := o.Write && i > 0 && !parts[i-1].OK
		parts[i].OK = complete && !afterFailure && !slice.overlapsAny(unreadable)
		if parts[i].OK && !o.Write {
			parts[i].Data = data[slice.Offset:slice.End():slice.End()]
		}
	}
	return parts
}

func (r Range) overlapsAny(others []Range) bool {
	for _, other := range others {
		if r.overlaps(other) {
			return true
		}
	}
	return false
}
