package extent

import (
	"bytes"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// diskSize is the size of a volume in plannerDriver, in bytes.
const diskSize = 200

// expectedRequest is the model's copy of a request with the state of its pieces.
type expectedRequest struct {
	Request
	written    []byte // the bytes that a write writes: its ID, repeated
	pieces     map[uint32]Piece
	queued     map[uint32]bool // by piece
	mayHaveRun map[uint32]bool // by piece
	answered   bool
}

// plannerDriver drives a planner with random events in the order in which the daemon reports them, and checks
// each answer against a model that neither merges nor splits requests.
type plannerDriver struct {
	t          *rapid.T
	planner    *Planner
	settings   Settings
	requests   map[uint64]*expectedRequest
	requestOf  map[uint32]*expectedRequest // by piece
	disks      map[uint64][]byte           // by volume
	inFlight   [][]uint32                  // the pieces of each operation, its leader first
	operations map[uint32]Operation        // by leader
	lastID     uint32
	now        time.Duration
	merged     int // operations of more than one member
}

func newPlannerDriver(t *rapid.T, settings Settings) *plannerDriver {
	return &plannerDriver{
		t:          t,
		planner:    New(settings),
		settings:   settings,
		requests:   map[uint64]*expectedRequest{},
		requestOf:  map[uint32]*expectedRequest{},
		disks:      map[uint64][]byte{},
		operations: map[uint32]Operation{},
	}
}

// For any order of events: each request gets at most one answer, and a failure of a piece answers it at once;
// bytes that are read were stored at their offset; a rejected request has not run or is safe to retry;
// operations stay within their limits; in the end the planner is empty.
func TestPlanner_MatchesAModelWithoutMerging(t *testing.T) {
	merged := 0
	rapid.Check(t, runRandomCase(&merged))
	if merged < 10 {
		t.Errorf("only %d merged operations in all cases: too few for a meaningful test", merged)
	}
}

// FuzzPlanner runs the same driver on inputs of the fuzzer.
func FuzzPlanner(f *testing.F) {
	merged := 0
	f.Fuzz(rapid.MakeFuzz(runRandomCase(&merged)))
}

// runRandomCase returns a function that runs one random case and adds its merged operations to merged.
func runRandomCase(merged *int) func(*rapid.T) {
	return func(t *rapid.T) {
		d := newPlannerDriver(t, drawNarrowSettings(t))
		for range rapid.SampledFrom([]int{20, 60, 150}).Draw(t, "steps") {
			d.step()
		}
		d.checkEmpty()
		*merged += d.merged
	}
}

// drawNarrowSettings draws limits that are low enough for requests to a disk of diskSize to reach them.
func drawNarrowSettings(t *rapid.T) Settings {
	settings := drawSettings(t)
	settings.ExtentSize = rapid.SampledFrom([]uint64{64, 32, 16}).Draw(t, "extents")
	operationSizes := []uint64{settings.ExtentSize, settings.ExtentSize / 2, 8}
	settings.MaxOperation = rapid.SampledFrom(operationSizes).Draw(t, "operation")
	settings.Window = rapid.SampledFrom([]time.Duration{0, 20, 5}).Draw(t, "window")
	settings.MaxMembers = rapid.SampledFrom([]int{4, 8, 2, 1}).Draw(t, "most members")
	return settings
}

// step performs one random event.
func (d *plannerDriver) step() {
	switch event := rapid.IntRange(0, 19).Draw(d.t, "event"); {
	case event < 10:
		d.add()
	case event < 14:
		d.send()
	case event < 18:
		d.endOperation()
	case event == 18:
		d.reject()
	default:
		d.abandon()
	}
	d.now++
}

// add adds a random request. Most use the first volume, class and plan, as their draws are divided by 9, and
// offsets are multiples of 4, so that many requests touch.
func (d *plannerDriver) add() {
	offset := 4 * rapid.Uint64Range(0, diskSize/4-1).Draw(d.t, "offset")
	length := min(diskSize-offset, 4*rapid.Uint64Range(1, 15).Draw(d.t, "length"))
	request := Request{
		ID:         uint64(len(d.requests) + 1),
		DataVolume: 1 + rapid.Uint64Range(0, 9).Draw(d.t, "data")/9,
		Range:      Range{offset, length},
		Write:      rapid.Bool().Draw(d.t, "write"),
		Class:      rapid.IntRange(0, 9).Draw(d.t, "class") / 9,
		Plan:       rapid.IntRange(0, 9).Draw(d.t, "plan") / 9,
		Units:      rapid.IntRange(1, 9).Draw(d.t, "units"),
		ReceivedAt: d.now,
		RetrySafe:  rapid.Bool().Draw(d.t, "retry safe"),
	}
	expected := &expectedRequest{
		Request:    request,
		written:    bytes.Repeat([]byte{byte(request.ID)}, int(length)),
		pieces:     map[uint32]Piece{},
		queued:     map[uint32]bool{},
		mayHaveRun: map[uint32]bool{},
	}
	d.requests[request.ID] = expected
	pieces, err := d.planner.Add(request, func() uint32 { d.lastID++; return d.lastID })
	if err != nil {
		d.t.Fatal(err)
	}
	for _, piece := range pieces {
		expected.pieces[piece.ID], expected.queued[piece.ID] = piece, true
		d.requestOf[piece.ID] = expected
	}
}

// isQueued reports whether a piece is queued and its request is not answered.
func (d *plannerDriver) isQueued(id uint32) bool {
	request := d.requestOf[id]
	return request != nil && request.queued[id] && !request.answered
}

// queuedPieces returns the IDs of all queued pieces in ascending order.
func (d *plannerDriver) queuedPieces() []uint32 {
	var queued []uint32
	for id := range d.requestOf {
		if d.isQueued(id) {
			queued = append(queued, id)
		}
	}
	slices.Sort(queued)
	return queued
}

// send sends a random queued piece, with a random part of the pieces that the planner proposes.
func (d *plannerDriver) send() {
	queued := d.queuedPieces()
	if len(queued) == 0 {
		return
	}
	leader := queued[rapid.IntRange(0, len(queued)-1).Draw(d.t, "leader")]
	ids := []uint32{leader}
	lastUnits := 0.0
	d.planner.Propose(leader, func(id uint32, units float64) bool {
		if !d.isQueued(id) || slices.Contains(ids, id) {
			d.t.Fatalf("proposed piece %d is not queued, or is a member already", id)
		}
		if rapid.IntRange(0, 3).Draw(d.t, "refuse") == 0 {
			return false
		}
		if units < lastUnits {
			d.t.Fatalf("a joining piece reduced the operation from %v to %v units", lastUnits, units)
		}
		lastUnits = units
		ids = append(ids, id)
		return true
	})
	for _, id := range ids {
		d.planner.AttemptSent(id)
		d.requestOf[id].queued[id] = false
	}
	if operation := d.seal(ids); len(ids) > 1 && float64(operation.Units) != lastUnits {
		d.t.Fatalf("operation got %d units, want the %v proposed", operation.Units, lastUnits)
	}
}

// seal seals an operation of the pieces of one send, and checks it.
func (d *plannerDriver) seal(ids []uint32) Operation {
	operation := d.planner.SealOperation(ids)
	d.checkBounds(operation, len(ids))
	for _, member := range operation.Members {
		d.checkKind(operation, d.requestOf[member.ID], d.requestOf[ids[0]])
	}
	d.checkCover(operation)
	d.inFlight = append(d.inFlight, ids)
	d.operations[ids[0]] = operation
	if len(ids) > 1 {
		d.merged++
	}
	return operation
}

// operationEnd is the way in which an operation ends.
type operationEnd int

const (
	endServed     operationEnd = iota
	endUnreadable              // served except for one byte
	endLost                    // no answer; may have run
	endRejected                // before it was executed
)

// endOperation ends a random operation.
func (d *plannerDriver) endOperation() {
	if len(d.inFlight) == 0 {
		return
	}
	i := rapid.IntRange(0, len(d.inFlight)-1).Draw(d.t, "operation")
	ids := d.inFlight[i]
	d.inFlight = slices.Delete(d.inFlight, i, i+1)
	end := operationEnd(rapid.IntRange(int(endServed), int(endRejected)).Draw(d.t, "end"))
	parts := make([]Part, len(ids)) // all of them not served
	if end == endServed || end == endUnreadable {
		parts = d.serve(d.operations[ids[0]], end == endUnreadable)
	}
	for n, id := range ids {
		d.endAttempt(id, end != endRejected, parts[n])
	}
	d.forgetAnswered()
}

// serve executes an operation, optionally except for one random byte, and checks which members are served.
func (d *plannerDriver) serve(operation Operation, isUnreadable bool) []Part {
	var unreadable []Range
	unreadableAt := operation.Range.Length // beyond all members
	if isUnreadable {
		unreadableAt = rapid.Uint64Range(0, operation.Range.Length-1).Draw(d.t, "unreadable")
		unreadable = []Range{{unreadableAt, 1}}
	}
	disk := d.disk(operation.DataVolume)
	var data []byte
	if !operation.Write {
		data = slices.Clone(disk[operation.Range.Offset:operation.Range.End()])
	}
	parts := operation.Distribute(unreadable, data)
	writeFailed := false // writes after the first failed one fail too
	for n, member := range operation.Members {
		at := operation.Slice(member)
		fails := writeFailed || at.Offset <= unreadableAt && unreadableAt < at.End()
		writeFailed = operation.Write && fails
		if parts[n].OK == fails {
			d.t.Fatalf("unreadable %v: member %+v got OK %v, want the opposite", unreadable, at, parts[n].OK)
		}
		if operation.Write && parts[n].OK {
			copy(disk[member.Range.Offset:member.Range.End()], d.requestOf[member.ID].written)
		}
	}
	return parts
}

// endAttempt ends a member's attempt. A piece that was not served may be retried as a separate operation.
func (d *plannerDriver) endAttempt(id uint32, mayHaveRun bool, part Part) {
	d.planner.AttemptEnded(id, mayHaveRun)
	request := d.requestOf[id]
	if mayHaveRun {
		request.mayHaveRun[id] = true
	}
	switch {
	case part.OK:
		d.resolve(id, Served, part.Data)
	case rapid.Bool().Draw(d.t, "retry") && !request.answered:
		d.planner.AttemptSent(id)
		d.seal([]uint32{id})
	case request.mayHaveRun[id] && !request.RetrySafe:
		d.resolve(id, Failed, nil)
	default:
		d.resolve(id, Rejected, nil)
	}
}

// reject rejects the queued piece with the lowest ID, as the scheduler may do.
func (d *plannerDriver) reject() {
	queued := d.queuedPieces()
	if len(queued) == 0 {
		return
	}
	id := queued[0]
	d.requestOf[id].queued[id] = false
	d.resolve(id, Rejected, nil)
	d.forgetAnswered()
}

// abandon abandons a random request in any state.
func (d *plannerDriver) abandon() {
	if len(d.requests) == 0 {
		return
	}
	id := rapid.Uint64Range(1, uint64(len(d.requests))).Draw(d.t, "client")
	request := d.requests[id]
	answer, withdrawn := d.planner.Abandon(id)
	if (answer == nil) != request.answered {
		d.t.Fatalf("request %d: Abandon returned %v, answered before: %v", id, answer, request.answered)
	}
	d.checkWithdrawn(request, withdrawn)
	request.answered = true
	d.forgetAnswered()
}

// resolve resolves a piece and checks the answer, if any, against the model.
func (d *plannerDriver) resolve(id uint32, outcome Outcome, data []byte) {
	request := d.requestOf[id]
	answer, withdrawn := d.planner.Resolve(id, outcome, data)
	d.checkWithdrawn(request, withdrawn)
	if answer == nil {
		if outcome != Served && !request.answered {
			d.t.Fatalf("request %d was not answered after a piece was not served", request.ID)
		}
		return
	}
	if answer.Request != request.ID || request.answered {
		d.t.Fatalf("answer %+v for request %d, answered before: %v", answer, request.ID, request.answered)
	}
	request.answered = true
	if answer.Outcome == Served {
		d.checkServed(request, answer, outcome)
		return
	}
	if answer.Outcome == Rejected && d.mayHaveRun(request) && !request.RetrySafe {
		d.t.Fatalf("request %d was rejected although a retry may run a piece twice", request.ID)
	}
	if counted := answer.Done + answer.Uncertain + answer.Unsent; counted != len(request.pieces) {
		d.t.Fatalf("%+v counts %d pieces, want %d", answer, counted, len(request.pieces))
	}
}

func (d *plannerDriver) isInFlight(id uint32) bool {
	return slices.ContainsFunc(d.inFlight, func(ids []uint32) bool { return slices.Contains(ids, id) })
}

// disk returns the bytes of a volume, which are created on first use.
func (d *plannerDriver) disk(volume uint64) []byte {
	if d.disks[volume] == nil {
		d.disks[volume] = make([]byte, diskSize)
		for i := range d.disks[volume] {
			d.disks[volume][i] = initialByte(volume, uint64(i))
		}
	}
	return d.disks[volume]
}

// forgetAnswered removes the pieces of answered requests that are not in flight, as the daemon does.
func (d *plannerDriver) forgetAnswered() {
	for id, request := range d.requestOf {
		if request.answered && !d.isInFlight(id) {
			d.planner.Forget(id)
			delete(d.requestOf, id)
		}
	}
}
