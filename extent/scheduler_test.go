package extent_test

import (
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"landingpaddle/extent"
	"landingpaddle/scheduler"
)

const (
	ms          = time.Millisecond
	longestStep = 30 * ms // of the simulated clock
	cells       = 2
)

// The classes of jointDriver's requests.
const (
	readClass  = 0
	writeClass = 1 // each write has a key
)

// jointDriver drives a planner and a scheduler in simulated time, as the daemon does.
type jointDriver struct {
	t          *rapid.T
	scheduler  *scheduler.Scheduler
	planner    *extent.Planner
	now        time.Duration
	lastID     uint32
	sequence   uint64
	requests   map[uint64]*clientRequest
	pieces     map[uint32]*clientPiece
	operations []*operation // in flight
	timers     []timer
	merged     int // operations of more than one member
}

type timer struct {
	at    time.Duration
	token uint32
}

// clientRequest is the test's state of a request.
type clientRequest struct {
	id       uint64
	key      uint64 // 0: none
	expires  time.Duration
	answered bool
	pieces   []*clientPiece
}

type clientPiece struct {
	request   *clientRequest
	id        uint32
	resolved  bool
	sends     int
	operation *operation // in flight; nil: none
	server    scheduler.Server
	sentAt    time.Duration
}

type operation struct {
	pieces []*clientPiece // that are in flight
	end    time.Duration
	lost   bool // the node does not answer it
}

// For any requests and lost operations, with and without merging: the writes of one key are sent
// in arrival order, one operation at a time, and a later one only after or together with the last pieces of
// the earlier ones; each request gets one answer, no later than one step after its deadline.
func TestPlannerAndScheduler_KeepOrderAndAnswerOnce(t *testing.T) {
	merged := 0
	rapid.Check(t, func(t *rapid.T) {
		d := newJointDriver(t, rapid.SampledFrom([]int{8, 1}).Draw(t, "members"))
		for range rapid.SampledFrom([]int{10, 40}).Draw(t, "steps") {
			for range rapid.SampledFrom([]int{6, 2, 0, 30}).Draw(t, "requests") {
				d.add(rapid.IntRange(readClass, writeClass).Draw(t, "class"))
			}
			d.step(time.Duration(rapid.IntRange(1, 30).Draw(t, "elapsed")) * ms)
		}
		for range 400 {
			d.step(5 * ms)
		}
		for id, request := range d.requests {
			if !request.answered {
				t.Fatalf("request %d was not answered", id)
			}
		}
		merged += d.merged
	})
	if merged < 10 {
		t.Errorf("only %d merged operations in all cases: too few for a meaningful test", merged)
	}
}

func newJointDriver(t *rapid.T, maxMembers int) *jointDriver {
	d := &jointDriver{
		t:         t,
		scheduler: scheduler.New(1, schedulerSettings()),
		planner: extent.New(extent.Settings{
			ExtentSize:   32,
			MaxOperation: 32,
			MaxMembers:   maxMembers,
			MaxPieces:    16,
			Cells:        cells,
		}),
		now:      time.Hour,
		requests: map[uint64]*clientRequest{},
		pieces:   map[uint32]*clientPiece{},
	}
	d.scheduler.SetBatcher(d.planner)
	d.scheduler.Handle(d.now, scheduler.EndpointUpdate{Kind: scheduler.UpdateFull, Endpoints: allEndpoints()})
	return d
}

func schedulerSettings() scheduler.Settings {
	read := scheduler.Class{LatencyObjective: 400 * ms, Deadline: 900 * ms, PriorityWeight: 1}
	write := read
	write.Idempotency, write.DedupWindow = scheduler.IdempotentByKey, time.Second
	write.OrderedByKey, write.Writes = true, true
	return scheduler.Settings{
		Instances:     1,
		MaxAttempts:   3,
		RetryAfter:    true,
		MaxRetryAfter: time.Second,
		MeanUnits:     1,
		MaxUnits:      64,
		OrderingPause: 20 * ms,
		Classes:       []scheduler.Class{readClass: read, writeClass: write},
		Plans:         []scheduler.Plan{{Rate: 10, Weight: 1}},
	}
}

// allEndpoints returns one ready node for each cell.
func allEndpoints() []scheduler.Endpoint {
	var list []scheduler.Endpoint
	for cell := range cells {
		server := scheduler.Server{Addr: [4]byte{10, 0, 0, byte(cell)}, Port: 1}
		list = append(list, scheduler.Endpoint{Server: server, Status: scheduler.Ready, Cell: uint16(cell)})
	}
	return list
}

// add sends a random request of a class.
func (d *jointDriver) add(class int) {
	d.sequence++
	wait := time.Duration(rapid.IntRange(40, 900).Draw(d.t, "wait")) * ms
	request := &clientRequest{id: d.sequence, expires: d.now + wait}
	isWrite := class == writeClass
	incoming := extent.Request{
		ID:         request.id,
		DataVolume: 1,
		Range: extent.Range{
			Offset: 8 * rapid.Uint64Range(0, 14).Draw(d.t, "offset"),
			Length: 8 * rapid.Uint64Range(1, 5).Draw(d.t, "length"),
		},
		Write:      isWrite,
		Class:      class,
		Units:      1,
		ReceivedAt: d.now,
		RetrySafe:  !isWrite,
	}
	if isWrite {
		request.key = rapid.Uint64Range(1, 2).Draw(d.t, "key")
	}
	pieces, err := d.planner.Add(incoming, func() uint32 { d.lastID++; return d.lastID })
	if err != nil {
		d.t.Fatal(err)
	}
	d.requests[request.id] = request
	for _, piece := range pieces {
		p := &clientPiece{request: request, id: piece.ID}
		request.pieces, d.pieces[piece.ID] = append(request.pieces, p), p
	}
	for _, piece := range pieces {
		d.submit(request, incoming, piece)
	}
}

// submit passes a piece to the scheduler.
func (d *jointDriver) submit(request *clientRequest, incoming extent.Request, piece extent.Piece) {
	d.scheduler.Handle(d.now, scheduler.Request{
		ID:              piece.ID,
		Class:           incoming.Class,
		Cell:            piece.Cell,
		Key:             request.key,
		Write:           incoming.Write,
		VolumeInstances: 1,
		Volume:          request.id % 3,
		Units:           float64(piece.Units),
		ExpiresAt:       request.expires,
		Continuation:    piece.Index > 0,
	})
}

// decide executes the scheduler's actions. Sends are grouped into operations, whose order by key is checked.
func (d *jointDriver) decide() {
	var started []*operation
	for _, action := range d.scheduler.Decide(d.now) {
		switch action := action.(type) {
		case scheduler.Send:
			if action.Leader == 0 {
				started = append(started, &operation{})
			}
			d.joinOperation(started[len(started)-1], action)
		case scheduler.Reject:
			d.resolve(action.ID, extent.Rejected)
		case scheduler.Fail:
			d.resolve(action.ID, extent.Failed)
		case scheduler.SetTimer:
			d.timers = append(d.timers, timer{d.now + action.After, action.Token})
		}
	}
	for _, o := range started {
		d.start(o)
	}
}

func (d *jointDriver) joinOperation(o *operation, send scheduler.Send) {
	d.planner.AttemptSent(send.ID)
	p := d.pieces[send.ID]
	p.sends++
	p.server, p.sentAt, p.operation = send.Server, d.now, o
	o.pieces = append(o.pieces, p)
}

// start sends an operation to its node, after checking the order by key.
func (d *jointDriver) start(o *operation) {
	ids := make([]uint32, len(o.pieces))
	for i, p := range o.pieces {
		ids[i] = p.id
	}
	d.planner.SealOperation(ids)
	if len(ids) > 1 {
		d.merged++
	}
	for _, p := range o.pieces {
		if p.request.key != 0 && !p.request.answered { // the daemon does not send answered requests
			d.checkKeyIsIdle(p.request)
			d.checkEarlierAreDone(p.request, o)
		}
	}
	o.end = d.now + time.Duration(rapid.IntRange(1, 80).Draw(d.t, "duration"))*ms
	o.lost = rapid.IntRange(0, 9).Draw(d.t, "lost") == 9
	d.operations = append(d.operations, o)
}

// checkKeyIsIdle checks that no request of the same key is in flight.
func (d *jointDriver) checkKeyIsIdle(request *clientRequest) {
	for _, other := range d.operations {
		for _, p := range other.pieces {
			if p.request.key == request.key {
				d.t.Fatalf("request %d of key %d was sent while %d was in flight",
					request.id, request.key, p.request.id)
			}
		}
	}
}

// checkEarlierAreDone checks that each earlier request of the same key is answered, or that all its
// unresolved pieces are in the operation.
func (d *jointDriver) checkEarlierAreDone(request *clientRequest, o *operation) {
	for _, earlier := range d.requests {
		if earlier.key != request.key || earlier.id >= request.id || earlier.answered {
			continue
		}
		for _, p := range earlier.pieces {
			if !p.resolved && p.operation != o {
				d.t.Fatalf("request %d of key %d was sent before %d was answered",
					request.id, request.key, earlier.id)
			}
		}
	}
}

// resolve resolves a piece and checks that its request has one answer, in time.
func (d *jointDriver) resolve(id uint32, outcome extent.Outcome) {
	p := d.pieces[id]
	if p.resolved {
		return
	}
	p.resolved = true
	answer, withdrawn := d.planner.Resolve(id, outcome, nil)
	if answer != nil {
		if p.request.answered || d.now > p.request.expires+longestStep {
			d.t.Fatalf("request %d was answered twice, or %v late", p.request.id, d.now-p.request.expires)
		}
		p.request.answered = true
	}
	for _, other := range withdrawn {
		d.pieces[other].resolved = true
		d.scheduler.Handle(d.now, scheduler.RequestWithdrawn{ID: other})
	}
}

// step advances the clock, ends due operations and expired members, fires due timers and executes the
// scheduler's actions.
func (d *jointDriver) step(elapsed time.Duration) {
	d.now += elapsed
	operations := d.operations
	d.operations = nil
	for _, o := range operations {
		d.endOperation(o)
		if len(o.pieces) > 0 {
			d.operations = append(d.operations, o)
		}
	}
	d.fireTimers()
	d.decide()
}

// resultCodes are the results of operations that are not lost.
var resultCodes = []scheduler.ResultCode{
	scheduler.OK,
	scheduler.OK,
	scheduler.OK,
	scheduler.Reset,
	scheduler.Overloaded,
}

// endOperation ends an operation that is due and not lost; of any other, it ends only the expired members.
func (d *jointDriver) endOperation(o *operation) {
	hasEnded := o.end <= d.now && !o.lost
	code := scheduler.OK
	if hasEnded {
		code = rapid.SampledFrom(resultCodes).Draw(d.t, "code")
	}
	o.pieces = slices.DeleteFunc(o.pieces, func(p *clientPiece) bool {
		switch {
		case hasEnded:
			d.endAttempt(p, code)
		case p.request.expires <= d.now:
			d.endAttempt(p, scheduler.TimedOut)
		default:
			return false
		}
		return true
	})
}

// endAttempt ends one member's attempt.
func (d *jointDriver) endAttempt(p *clientPiece, code scheduler.ResultCode) {
	p.operation = nil
	d.planner.AttemptEnded(p.id, code != scheduler.Overloaded)
	if code == scheduler.OK {
		d.resolve(p.id, extent.Served)
	}
	d.scheduler.Handle(d.now, scheduler.AttemptResult{
		ID:          p.id,
		Attempt:     p.sends - 1,
		Server:      p.server,
		Code:        code,
		Latency:     d.now - p.sentAt,
		RequestDone: p.resolved,
	})
}

func (d *jointDriver) fireTimers() {
	timers := d.timers
	d.timers = nil
	var due []timer
	for _, t := range timers {
		if t.at <= d.now {
			due = append(due, t)
		} else {
			d.timers = append(d.timers, t)
		}
	}
	for _, t := range due {
		d.scheduler.Handle(d.now, scheduler.TimerFired{Token: t.token})
	}
}
