package extent

import "bytes"

// checkBounds checks that an operation lies within one extent and keeps the limits of the settings.
func (d *plannerDriver) checkBounds(operation Operation, members int) {
	isTooLarge := operation.Range.Length > d.settings.MaxOperation || members > d.settings.MaxMembers
	firstExtent := operation.Range.Offset / d.settings.ExtentSize
	lastExtent := (operation.Range.End() - 1) / d.settings.ExtentSize
	isElsewhere := firstExtent != operation.Extent || lastExtent != operation.Extent
	if isTooLarge || isElsewhere || len(operation.Members) != members {
		d.t.Fatalf("operation out of bounds: %+v", operation)
	}
}

// checkKind checks that a member's request may share an operation with that of the leader.
func (d *plannerDriver) checkKind(operation Operation, member, leader *expectedRequest) {
	isSameData := member.DataVolume == operation.DataVolume && member.Write == operation.Write
	isSamePlan := !member.Write || member.Plan == leader.Plan
	if !isSameData || !isSamePlan || member.Class != leader.Class {
		d.t.Fatalf("members of different kinds: %+v", operation)
	}
	apart := (member.ReceivedAt - leader.ReceivedAt).Abs()
	if d.settings.Window > 0 && apart > d.settings.Window {
		d.t.Fatal("members arrived too far apart")
	}
}

// checkCover checks that members cover an operation, those of writes without overlap, and that it counts no
// more units than they do.
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
			d.t.Fatalf("a byte of the operation belongs to %d members: %+v", n, operation)
		}
	}
	if operation.Units < 1 || operation.Units > units {
		d.t.Fatalf("%d units of %d", operation.Units, units)
	}
}

// checkWithdrawn checks that only pieces of a request are withdrawn with it.
func (d *plannerDriver) checkWithdrawn(request *expectedRequest, ids []uint32) {
	for _, id := range ids {
		if d.requestOf[id] != request {
			d.t.Fatalf("piece %d of another request is withdrawn", id)
		}
		request.queued[id] = false
	}
}

// checkServed checks the answer of a request that was served, by its last piece's outcome.
func (d *plannerDriver) checkServed(request *expectedRequest, answer *Answer, last Outcome) {
	if last != Served || answer.Done+answer.Uncertain+answer.Unsent != 0 {
		d.t.Fatalf("served after %v: %+v", last, answer)
	}
	data := bytes.Join(answer.Data, nil)
	if !request.Write && uint64(len(data)) != request.Range.Length {
		d.t.Fatalf("%d bytes of %d", len(data), request.Range.Length)
	}
	for i, b := range data {
		at := request.Range.Offset + uint64(i)
		if b != initialByte(request.DataVolume, at) && !d.couldBeWritten(request.DataVolume, at, b) {
			d.t.Fatalf("request %d: byte %d is %d, which was never there", request.ID, at, b)
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

// initialByte is what a volume holds at an offset before any write.
func initialByte(volume, offset uint64) byte { return byte(offset*7 + volume) }

// couldBeWritten reports whether a byte, which names the request that wrote it, can be at an offset.
func (d *plannerDriver) couldBeWritten(volume, offset uint64, b byte) bool {
	writer := d.requests[uint64(b)]
	if writer == nil || !writer.Write || writer.DataVolume != volume {
		return false
	}
	return offset >= writer.Range.Offset && offset < writer.Range.End()
}

// checkNothingIsLeft lets all clients go and checks that the planner holds nothing more.
func (d *plannerDriver) checkNothingIsLeft() {
	for id, request := range d.requests {
		d.planner.Abandon(id)
		request.answered = true
	}
	d.inFlight = nil
	d.forgetAnswered()
	requests, pieces := d.planner.Counts()
	queued := d.planner.queued.Len()
	if requests != 0 || pieces != 0 || queued != 0 {
		d.t.Fatalf("left: %d requests, %d pieces, %d queued", requests, pieces, queued)
	}
}
