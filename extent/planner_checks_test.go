package extent

import "bytes"

// checkBounds checks that an operation is within one extent and within the limits of the settings.
func (d *plannerDriver) checkBounds(operation Operation, members int) {
	isTooLarge := operation.Range.Length > d.settings.MaxOperation || members > d.settings.MaxMembers
	firstExtent := operation.Range.Offset / d.settings.ExtentSize
	lastExtent := (operation.Range.End() - 1) / d.settings.ExtentSize
	isOutsideExtent := firstExtent != operation.Extent || lastExtent != operation.Extent
	if isTooLarge || isOutsideExtent || len(operation.Members) != members {
		d.t.Fatalf("operation is outside its extent, exceeds a limit or lacks a member: %+v", operation)
	}
}

// checkKind checks that a member's request may share an operation with the leader's.
func (d *plannerDriver) checkKind(operation Operation, member, leader *expectedRequest) {
	isSameData := member.DataVolume == operation.DataVolume && member.Write == operation.Write
	isSamePlan := !member.Write || member.Plan == leader.Plan
	if !isSameData || !isSamePlan || member.Class != leader.Class {
		d.t.Fatalf("members of different kinds: %+v", operation)
	}
	apart := (member.ReceivedAt - leader.ReceivedAt).Abs()
	if d.settings.Window > 0 && apart > d.settings.Window {
		d.t.Fatal("members arrived further apart than the window")
	}
}

// checkCover checks that members cover an operation, writes without overlap, and that it counts at least one
// unit and no more units than all members together.
func (d *plannerDriver) checkCover(operation Operation) {
	covered := make([]int, operation.Range.Length)
	units := 0
	for _, member := range operation.Members {
		at := operation.Slice(member)
		for i := at.Offset; i < at.End(); i++ {
			covered[i]++
		}
		units += max(1, member.Units)
	}
	for _, n := range covered {
		if n == 0 || operation.Write && n > 1 {
			d.t.Fatalf("a byte belongs to %d members, want 1 (reads: 1 or more): %+v", n, operation)
		}
	}
	if operation.Units < 1 || operation.Units > units {
		d.t.Fatalf("operation got %d units, want 1 to its members' %d", operation.Units, units)
	}
}

// checkWithdrawn checks that all withdrawn pieces belong to the request, and marks them as not queued.
func (d *plannerDriver) checkWithdrawn(request *expectedRequest, ids []uint32) {
	for _, id := range ids {
		if d.requestOf[id] != request {
			d.t.Fatalf("piece %d of another request was withdrawn", id)
		}
		request.queued[id] = false
	}
}

// checkServed checks the answer to a served request: its last piece was served, it counts no pieces, and a
// read has its full length and only bytes that are initial or may have been written at their offset.
func (d *plannerDriver) checkServed(request *expectedRequest, answer *Answer, last Outcome) {
	if last != Served || answer.Done+answer.Uncertain+answer.Unsent != 0 {
		d.t.Fatalf("last piece %v, want served and no pieces counted: %+v", last, answer)
	}
	data := bytes.Join(answer.Data, nil)
	if !request.Write && uint64(len(data)) != request.Range.Length {
		d.t.Fatalf("got %d bytes, want %d", len(data), request.Range.Length)
	}
	for i, b := range data {
		at := request.Range.Offset + uint64(i)
		if b != initialByte(request.DataVolume, at) && !d.couldBeWritten(request.DataVolume, at, b) {
			d.t.Fatalf("request %d: byte at offset %d is %d, which was never stored there", request.ID, at, b)
		}
	}
}

// mayHaveRun reports whether an attempt of a request may have run or is in flight.
func (d *plannerDriver) mayHaveRun(request *expectedRequest) bool {
	if len(request.mayHaveRun) > 0 {
		return true
	}
	for id := range request.pieces {
		if d.isInFlight(id) {
			return true
		}
	}
	return false
}

// initialByte returns the byte of a volume at an offset before any write.
func initialByte(volume, offset uint64) byte { return byte(offset*7 + volume) }

// couldBeWritten reports whether a byte may have been written at an offset of a volume: each write writes its
// request's ID.
func (d *plannerDriver) couldBeWritten(volume, offset uint64, b byte) bool {
	writer := d.requests[uint64(b)]
	if writer == nil || !writer.Write || writer.DataVolume != volume {
		return false
	}
	return offset >= writer.Range.Offset && offset < writer.Range.End()
}

// checkEmpty abandons all requests, ends all operations and checks that the planner is empty.
func (d *plannerDriver) checkEmpty() {
	for id, request := range d.requests {
		d.planner.Abandon(id)
		request.answered = true
	}
	d.inFlight = nil
	d.forgetAnswered()
	requests, pieces := d.planner.Counts()
	queued := d.planner.queued.Len()
	if requests != 0 || pieces != 0 || queued != 0 {
		d.t.Fatalf("planner is not empty: %d requests, %d pieces, %d queued", requests, pieces, queued)
	}
}
