package extent

import (
	"bytes"
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// expectedRequest is what the model knows of a request: nothing of pieces but their ends, only what was
// asked.
type expectedRequest struct {
	Request
	written    []byte
	pieces     map[uint32]Piece
	queued     map[uint32]bool
	mayHaveRun map[uint32]bool // may have run
	answered   bool
}

// plannerDriver drives a planner as the daemon does, at random, and compares each answer with a model that
// neither merges nor splits: which bytes the disks hold.
type plannerDriver struct {
	t          *rapid.T
	planner    *Planner
	settings   Settings
	requests   map[uint64]*expectedRequest
	requestOf  map[uint32]*expectedRequest
	disks      map[uint64][]byte // by volume
	inFlight   [][]uint32        // operations
	operations map[uint32]Operation
	lastID     uint32
	now        time.Duration
	merged     int
}

const diskSize = 200

func (d *plannerDriver) disk(volume uint64) []byte {
	if d.disks[volume] == nil {
		d.disks[volume] = make([]byte, diskSize)
		for i := range d.disks[volume] {
			d.disks[volume][i] = byte(uint64(i)*7 + volume)
		}
	}
	return d.disks[volume]
}

func (d *plannerDriver) add(*rapid.T) {
	offset := 4 * rapid.Uint64Range(0, diskSize/4-1).Draw(d.t, "offset") // so that many touch
	q := Request{ID: uint64(len(d.requests) + 1), DataVolume: 1 + rapid.Uint64Range(0, 9).Draw(d.t, "data")/9,
		Range: Range{offset, min(diskSize-offset, 4*rapid.Uint64Range(1, 15).Draw(d.t, "length"))},
		Write: rapid.Bool().Draw(d.t, "write"), Class: rapid.IntRange(0, 9).Draw(d.t, "class") / 9,
		Plan: rapid.IntRange(0, 9).Draw(d.t, "plan") / 9, Units: rapid.IntRange(1, 9).Draw(d.t, "units"),
		ReceivedAt: d.now, RetrySafe: rapid.Bool().Draw(d.t, "harmless")}
	a := &expectedRequest{
		Request:    q,
		pieces:     map[uint32]Piece{},
		queued:     map[uint32]bool{},
		mayHaveRun: map[uint32]bool{},
	}
	d.requests[q.ID] = a
	cut, err := d.planner.Add(q, func() uint32 { d.lastID++; return d.lastID })
	if err != nil {
		d.t.Fatal(err)
	}
	a.written = bytes.Repeat([]byte{byte(q.ID)}, int(q.Range.Length))
	for _, c := range cut {
		a.pieces[c.ID], a.queued[c.ID] = c, true
		d.requestOf[c.ID] = a
	}
}

// send sends a random queued piece, with whatever the planner proposes and chance accepts.
func (d *plannerDriver) send(t *rapid.T) {
	var held []uint32
	for id, a := range d.requestOf {
		if a.queued[id] && !a.answered {
			held = append(held, id)
		}
	}
	if len(held) == 0 {
		return
	}
	slices.Sort(held)
	leader := held[rapid.IntRange(0, len(held)-1).Draw(d.t, "leader")]
	ids := []uint32{leader}
	last := 0.0
	d.planner.Propose(leader, func(id uint32, units float64) bool {
		a := d.requestOf[id]
		if a == nil || !a.queued[id] || a.answered || slices.Contains(ids, id) {
			t.Fatalf("piece %d was proposed, which is not queued", id)
		}
		if rapid.IntRange(0, 3).Draw(d.t, "refuse") == 0 {
			return false
		}
		if units < last {
			t.Fatalf("an operation shrank from %v to %v units", last, units)
		}
		last = units
		ids = append(ids, id)
		return true
	})
	for _, id := range ids {
		d.planner.AttemptSent(id)
		d.requestOf[id].queued[id] = false
	}
	if op := d.seal(ids); len(ids) > 1 && float64(op.Units) != last {
		t.Fatalf("%d units were sent, %v were proposed", op.Units, last)
	}
}

// seal checks an operation as it is sent.
func (d *plannerDriver) seal(ids []uint32) Operation {
	op := d.planner.SealOperation(ids)
	if op.Range.Length > d.settings.MaxOperation || len(ids) > d.settings.MaxMembers ||
		len(op.Members) != len(ids) ||
		op.Range.Offset/d.settings.ExtentSize != op.Extent ||
		(op.Range.End()-1)/d.settings.ExtentSize != op.Extent {
		d.t.Fatalf("operation out of bounds: %+v", op)
	}
	covered := make([]int, op.Range.Length)
	sum := 0
	for _, x := range op.Members {
		a := d.requestOf[x.ID]
		first := d.requestOf[ids[0]]
		if a.DataVolume != op.DataVolume || a.Write != op.Write || a.Class != first.Class ||
			a.Write && a.Plan != first.Plan {
			d.t.Fatalf("members of different kinds: %+v", op)
		}
		if apart := a.ReceivedAt - first.ReceivedAt; d.settings.Window > 0 &&
			max(apart, -apart) > d.settings.Window {
			d.t.Fatal("members arrived too far apart")
		}
		at := op.Slice(x)
		for i := at.Offset; i < at.End(); i++ {
			covered[i]++
		}
		sum += max(1, x.Units)
	}
	for _, n := range covered {
		if n == 0 || op.Write && n > 1 {
			d.t.Fatalf("a byte of the operation belongs to %d members: %+v", n, op)
		}
	}
	if op.Units < 1 || op.Units > sum {
		d.t.Fatalf("%d units of %d", op.Units, sum)
	}
	d.inFlight = append(d.inFlight, ids)
	d.operations[ids[0]] = op
	if len(ids) > 1 {
		d.merged++
	}
	return op
}

// end ends a random operation: served, with an unreadable range, lost, or rejected before it ran.
func (d *plannerDriver) end(t *rapid.T) {
	if len(d.inFlight) == 0 {
		return
	}
	i := rapid.IntRange(0, len(d.inFlight)-1).Draw(d.t, "which")
	ids := d.inFlight[i]
	d.inFlight = slices.Delete(d.inFlight, i, i+1)
	op := d.operations[ids[0]]
	how := rapid.IntRange(0, 3).Draw(d.t, "how")
	var parts []Part
	if how <= 1 {
		var bad []Range
		if how == 1 {
			bad = append(bad, Range{rapid.Uint64Range(0, op.Range.Length-1).Draw(d.t, "bad"), 1})
		}
		var data []byte
		if !op.Write {
			data = slices.Clone(d.disk(op.DataVolume)[op.Range.Offset:op.Range.End()])
		}
		parts = op.Distribute(bad, data)
		failed := false // of writes, those after the first that fails
		for n, x := range op.Members {
			at := op.Slice(x)
			hit := failed || len(bad) > 0 && bad[0].Offset >= at.Offset && bad[0].Offset < at.End()
			failed = op.Write && hit
			if parts[n].OK == hit {
				t.Fatalf("bad byte %v: member %+v got %v", bad, at, parts[n].OK)
			}
			if a := d.requestOf[x.ID]; op.Write && parts[n].OK {
				copy(d.disk(op.DataVolume)[x.Range.Offset:x.Range.End()], a.written)
			}
		}
	}
	for n, id := range ids {
		ran := how <= 2
		d.planner.AttemptEnded(id, ran)
		a := d.requestOf[id]
		if ran {
			a.mayHaveRun[id] = true
		}
		switch {
		case parts != nil && parts[n].OK:
			d.resolve(id, Served, parts[n].Data)
		case rapid.Bool().Draw(d.t, "again") && !a.answered:
			d.planner.AttemptSent(id) // repeated alone
			d.seal([]uint32{id})
		case a.mayHaveRun[id] && !a.RetrySafe:
			d.resolve(id, Failed, nil)
		default:
			d.resolve(id, Rejected, nil)
		}
	}
	d.forgetAnswered()
}

// reject lets the scheduler reject a queued piece.
func (d *plannerDriver) reject(*rapid.T) {
	for id := uint32(1); id <= d.lastID; id++ {
		if a := d.requestOf[id]; a != nil && a.queued[id] && !a.answered {
			a.queued[id] = false
			d.resolve(id, Rejected, nil)
			d.forgetAnswered()
			return
		}
	}
}

// abandon lets a random client go, whatever state its request is in.
func (d *plannerDriver) abandon(t *rapid.T) {
	if len(d.requests) == 0 {
		return
	}
	id := rapid.Uint64Range(1, uint64(len(d.requests))).Draw(d.t, "client")
	a, withdrawn := d.planner.Abandon(id)
	if (a == nil) != d.requests[id].answered {
		t.Fatalf("request %d: abandoned %v, answered %v", id, a, d.requests[id].answered)
	}
	d.checkWithdrawn(d.requests[id], withdrawn)
	d.requests[id].answered = true
	d.forgetAnswered()
}

func (d *plannerDriver) checkWithdrawn(a *expectedRequest, ids []uint32) {
	for _, id := range ids {
		if d.requestOf[id] != a {
			d.t.Fatalf("piece %d of another request is withdrawn", id)
		}
		a.queued[id] = false
	}
}

// resolve resolves a piece and checks the answer against the model.
func (d *plannerDriver) resolve(id uint32, v Outcome, data []byte) {
	a := d.requestOf[id]
	got, withdrawn := d.planner.Resolve(id, v, data)
	d.checkWithdrawn(a, withdrawn)
	if got == nil {
		if v != Served && !a.answered {
			d.t.Fatalf("request %d has no answer after a piece's failure", a.ID)
		}
		return
	}
	if got.Request != a.ID || a.answered {
		d.t.Fatalf("answer %+v for request %d, answered before: %v", got, a.ID, a.answered)
	}
	a.answered = true
	ran := len(a.mayHaveRun) > 0
	for p := range a.pieces {
		ran = ran || slices.ContainsFunc(d.inFlight, func(op []uint32) bool { return slices.Contains(op, p) })
	}
	switch got.Outcome {
	case Served:
		if v != Served || got.Done+got.Uncertain+got.Unsent != 0 {
			d.t.Fatalf("served after %v: %+v", v, got)
		}
		if have := bytes.Join(got.Data, nil); !a.Write && uint64(len(have)) != a.Range.Length {
			d.t.Fatalf("%d bytes of %d", len(have), a.Range.Length)
		}
		for i, b := range bytes.Join(got.Data, nil) {
			at := a.Range.Offset + uint64(i)
			if old := byte(at*7 + a.DataVolume); b != old && !d.couldBeWritten(a.DataVolume, at, b) {
				d.t.Fatalf("request %d: byte %d is %d, which was never there", a.ID, at, b)
			}
		}
	case Rejected:
		if ran && !a.RetrySafe {
			d.t.Fatalf("request %d is rejected though a piece may have run", a.ID)
		}
	}
	if got.Outcome != Served && got.Done+got.Uncertain+got.Unsent != len(a.pieces) {
		d.t.Fatalf(
			"%+v counts %d pieces, there are %d",
			got,
			got.Done+got.Uncertain+got.Unsent,
			len(a.pieces),
		)
	}
}

func (d *plannerDriver) couldBeWritten(volume, at uint64, b byte) bool {
	w := d.requests[uint64(b)]
	return w != nil && w.Write && w.DataVolume == volume && at >= w.Range.Offset && at < w.Range.End()
}

// forgetAnswered lets the planner forget what is answered and not in flight, as the daemon does.
func (d *plannerDriver) forgetAnswered() {
	for id, a := range d.requestOf {
		out := slices.ContainsFunc(d.inFlight, func(op []uint32) bool { return slices.Contains(op, id) })
		if a.answered && !out {
			d.planner.Forget(id)
			delete(d.requestOf, id)
		}
	}
}

// In any order of events: each request gets one answer, with the bytes that a planner which never merges or
// splits would give it; a rejection means that nothing ran; operations keep their bounds; in the end nothing
// is left.
func TestPlanner_MatchesAModelWithoutMerging(t *testing.T) {
	merged := 0
	rapid.Check(t, playRandomCase(&merged))
	if merged < 10 {
		t.Errorf("only %d merged operations in all cases: too few to prove anything", merged)
	}
}

// FuzzPlanner runs the same driver on what the fuzzer finds.
func FuzzPlanner(f *testing.F) {
	merged := 0
	f.Fuzz(rapid.MakeFuzz(playRandomCase(&merged)))
}

// playRandomCase plays one random case and adds up what was merged.
func playRandomCase(merged *int) func(*rapid.T) {
	return func(t *rapid.T) {
		set := drawSettings(t)
		set.ExtentSize = rapid.SampledFrom([]uint64{64, 32, 16}).Draw(t, "extents")
		set.MaxOperation = rapid.SampledFrom([]uint64{set.ExtentSize, set.ExtentSize / 2, 8}).
			Draw(t, "operation")
		set.Window = rapid.SampledFrom([]time.Duration{0, 20, 5}).Draw(t, "window")
		set.MaxMembers = rapid.SampledFrom([]int{4, 8, 2, 1}).Draw(t, "most members")
		m := &plannerDriver{
			t:          t,
			planner:    New(set),
			settings:   set,
			requests:   map[uint64]*expectedRequest{},
			requestOf:  map[uint32]*expectedRequest{},
			disks:      map[uint64][]byte{},
			operations: map[uint32]Operation{},
		}
		for range rapid.SampledFrom([]int{20, 60, 150}).Draw(t, "steps") {
			switch x := rapid.IntRange(0, 19).Draw(t, "what"); {
			case x < 10:
				m.add(t)
			case x < 14:
				m.send(t)
			case x < 18:
				m.end(t)
			case x == 18:
				m.reject(t)
			default:
				m.abandon(t)
			}
			m.now++
		}
		for id := range m.requests {
			m.planner.Abandon(id)
			m.requests[id].answered = true
		}
		m.inFlight = nil
		m.forgetAnswered()
		if requests, pieces := m.planner.Counts(); requests != 0 || pieces != 0 ||
			m.planner.queued.Len() != 0 {
			t.Fatalf("left: %d requests, %d pieces, %d queued", requests, pieces, m.planner.queued.Len())
		}
		*merged += m.merged
	}
}

// plannerWith is a planner that holds requests for the given ranges, with IDs from 1 on.
func plannerWith(t *testing.T, s Settings, write bool, ranges ...Range) *Planner {
	t.Helper()
	p, id := New(s), uint32(0)
	for i, r := range ranges {
		q := Request{ID: uint64(i + 1), Range: r, Units: 1, Write: write}
		if _, err := p.Add(q, func() uint32 { id++; return id }); err != nil {
			t.Fatal(err)
		}
	}
	return p
}

// joinedBy lists what is proposed to join a leader, all of it accepted, and the units with the last.
func joinedBy(p *Planner, leader uint32) (ids []uint32, units float64) {
	p.Propose(leader, func(id uint32, u float64) bool {
		ids, units = append(ids, id), u
		return true
	})
	slices.Sort(ids)
	return ids, units
}

var wideSettings = Settings{
	ExtentSize:   1000,
	MaxOperation: 1000,
	MaxMembers:   MaxMembers,
	MaxPieces:    8,
	Cells:        2,
}

func TestPropose_JoinsNeighboursOnly(t *testing.T) {
	for _, c := range []struct {
		name   string
		write  bool
		leader uint32
		ranges []Range
		want   string
	}{
		{"neighbours on both sides", false, 2, []Range{{0, 10}, {10, 10}, {20, 10}, {40, 10}}, "[1 3] 3"},
		{"the same bytes", false, 1, []Range{{0, 10}, {0, 10}, {0, 10}}, "[2 3] 1"},
		{"half the same bytes", false, 1, []Range{{0, 10}, {5, 10}}, "[2] 2"},
		{"an extent's edge", false, 1, []Range{{990, 10}, {1000, 10}}, "[] 0"},
		{"writes that touch", true, 2, []Range{{0, 10}, {10, 10}, {20, 10}}, "[1 3] 3"},
		{"writes that overlap", true, 1, []Range{{0, 10}, {5, 10}, {10, 5}}, "[3] 2"},
		{"a long one before", false, 2, []Range{{0, 500}, {400, 10}}, "[1] 2"},
	} {
		ids, units := joinedBy(plannerWith(t, wideSettings, c.write, c.ranges...), c.leader)
		if got := fmt.Sprint(ids, " ", units); got != c.want {
			t.Errorf("%s: %s, want %s", c.name, got, c.want)
		}
	}
}

// Members arrived within the window, whatever else fits.
func TestPropose_KeepsTheWindow(t *testing.T) {
	s := wideSettings
	s.Window = 5
	p, id := New(s), uint32(0)
	for i, at := range []time.Duration{0, 4, 5, 6, 11} {
		q := Request{ID: uint64(i + 1), Range: Range{uint64(i) * 10, 10}, Units: 1, ReceivedAt: at}
		if _, err := p.Add(q, func() uint32 { id++; return id }); err != nil {
			t.Fatal(err)
		}
	}
	if ids, _ := joinedBy(p, 1); fmt.Sprint(ids) != "[2 3]" {
		t.Errorf("joined to the first %v, want the second and third", ids)
	}
}

// A thousand members that want the same 4 KiB become as few operations as the bound on members allows, each
// of the work of one.
func TestPropose_MergesAThousandIdenticalReads(t *testing.T) {
	s := Settings{ExtentSize: 4096, MaxOperation: 4096, MaxMembers: MaxMembers, MaxPieces: 1, Cells: 1}
	p := plannerWith(t, s, false, slices.Repeat([]Range{{0, 4096}}, 1000)...)
	ops := 0
	for id := uint32(1); id <= 1000; id++ {
		if !p.pieces[id].queued {
			continue
		}
		ids, units := joinedBy(p, id)
		ops++
		op := p.SealOperation(append([]uint32{id}, ids...))
		if len(op.Members) > MaxMembers || units > 1 || op.Units != 1 || op.Range != (Range{0, 4096}) {
			t.Fatalf("%d members, %v and %d units, %+v", len(op.Members), units, op.Units, op.Range)
		}
	}
	if ops != 16 || p.Stats.Saved != 984 {
		t.Errorf("%d operations, %d saved", ops, p.Stats.Saved)
	}
}

// A split write whose second piece is rejected while its first has run has failed, and the answer tells what
// is known; had nothing run, it would be a rejection.
func TestResolve_FailsASplitWriteThatHasRun(t *testing.T) {
	for ran, want := range map[bool]Answer{true: {Request: 1, Outcome: Failed, Done: 1, Uncertain: 1,
		Unsent: 2},
		false: {Request: 1, Outcome: Rejected, Unsent: 4}} {
		p := plannerWith(t, wideSettings, true, Range{500, 3000})
		if ran {
			p.AttemptSent(1)
			p.AttemptEnded(1, true)
			p.Resolve(1, Served, nil)
			p.AttemptSent(4)
		}
		got, withdrawn := p.Resolve(2, Rejected, nil)
		if fmt.Sprint(*got) != fmt.Sprint(want) {
			t.Errorf("ran %v: %+v, want %+v", ran, *got, want)
		}
		if len(withdrawn) == 0 || slices.Contains(withdrawn, 2) || slices.Contains(withdrawn, 1) != !ran {
			t.Errorf("ran %v: withdrawn %v", ran, withdrawn)
		}
	}
}

func TestDistribute_FailsOnlyMembersThatNeedUnreadableBytes(t *testing.T) {
	p := plannerWith(t, wideSettings, false, Range{0, 10}, Range{10, 10}, Range{5, 10})
	ids, _ := joinedBy(p, 1)
	op := p.SealOperation(append([]uint32{1}, ids...))
	data := []byte("abcdefghijklmnopqrst")
	for _, c := range []struct {
		bad  []Range
		data []byte
		want string
	}{
		{nil, data, "abcdefghij klmnopqrst fghijklmno"}, {[]Range{{2, 1}}, data, "- klmnopqrst fghijklmno"},
		{[]Range{{16, 4}}, data, "abcdefghij - fghijklmno"}, {[]Range{{7, 1}}, data, "- klmnopqrst -"},
		{[]Range{{3, 1 << 63}, {1, 1<<64 - 1}}, data, "- - -"}, {nil, data[:19], "- - -"},
		{nil, nil, "- - -"},
	} {
		got := ""
		for i, part := range op.Distribute(c.bad, c.data) {
			if i > 0 {
				got += " "
			}
			if part.OK {
				got += string(part.Data)
			} else {
				got += "-"
			}
		}
		if order := fmt.Sprint(ids); order != "[2 3]" || got != c.want {
			t.Errorf("bad %v: %q, want %q", c.bad, got, c.want)
		}
	}
}

// Of writes that share an operation, those after the first that fails have failed too.
func TestDistribute_FailsWritesAfterAFailedOne(t *testing.T) {
	p := plannerWith(t, wideSettings, true, Range{0, 10}, Range{10, 10}, Range{20, 10})
	ids, _ := joinedBy(p, 1)
	op := p.SealOperation(append([]uint32{1}, ids...))
	if got := fmt.Sprint(op.Distribute([]Range{{12, 1}}, nil)); got != "[{true []} {false []} {false []}]" {
		t.Errorf("got %s", got)
	}
}

// The cost of adding, proposing, sending and ending one read, by how many are queued.
func BenchmarkPlanner(b *testing.B) {
	for _, held := range []int{10, 100, 1000, 10_000, 100_000} {
		for _, adjacent := range []bool{true, false} {
			b.Run(fmt.Sprintf("held=%d/adjacent=%v", held, adjacent), func(b *testing.B) {
				p := New(
					Settings{
						ExtentSize:   1 << 20,
						MaxOperation: 1 << 20,
						MaxMembers:   16,
						MaxPieces:    8,
						Cells:        8,
					},
				)
				id, seq := uint32(0), uint64(0)
				next := func() uint32 { id++; return id }
				stride := uint64(4096)
				if !adjacent {
					stride = 8192
				}
				take := func() {
					seq++
					at := Range{seq % 1_000_000 * stride, 4096}
					if _, err := p.Add(Request{ID: seq, DataVolume: 1, Range: at, Units: 1},
						next); err != nil {
						b.Fatal(err)
					}
				}
				for range held {
					take()
				}
				b.ReportAllocs()
				b.ResetTimer()
				leader := uint32(0)
				for done := 0; done < b.N; {
					leader++
					if x := p.pieces[leader]; x == nil || !x.queued {
						continue
					}
					ids := []uint32{leader}
					p.Propose(leader, func(id uint32, _ float64) bool { ids = append(ids, id); return true })
					for _, id := range ids {
						p.AttemptSent(id)
					}
					op := p.SealOperation(ids)
					for _, x := range op.Members {
						p.AttemptEnded(x.ID, true)
						p.Resolve(x.ID, Served, nil)
						p.Forget(x.ID)
						take()
						done++
					}
				}
			})
		}
	}
}
