package extent

// Operation is one request to a node: one piece, or several that were queued at the same time.
type Operation struct {
	DataVolume uint64
	Extent     uint64
	Write      bool
	Range      Range // the union of the members' ranges
	Units      int
	Members    []Piece // the leader first
}

// SealOperation records that the latest attempts of these pieces, the leader first, form one operation,
// and returns it.
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
	operation.Units = int(size.chargedUnits)
	return operation
}

// touches reports whether a range can join the operation without a gap; a write must not overlap it.
func (o *Operation) touches(r Range, write bool) bool {
	if write {
		return r.Offset == o.Range.End() || r.End() == o.Range.Offset
	}
	return r.Offset <= o.Range.End() && r.End() >= o.Range.Offset
}

// Slice returns a member's range relative to the operation's first byte.
func (o *Operation) Slice(member Piece) Range {
	return Range{member.Range.Offset - o.Range.Offset, member.Range.Length}
}

// Part is one member's part of an operation's answer.
type Part struct {
	OK   bool
	Data []byte // of a read; overlapping members share the bytes, which must not be modified
}

// Distribute returns each member's part of a served operation's answer. The node could not serve the
// unreadable ranges, which are relative to the operation's first byte: only members that overlap one of them
// fail. A node executes writes in the order of the members and stops at the first that fails, so those after
// it fail too: a later write of the same key must not be executed before it. A read with incomplete data
// fails as a whole.
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
