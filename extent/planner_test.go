package extent

import (
	"bytes"
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// plain is the model: it knows nothing of pieces, only what was asked and which bytes the disks hold.
type plain struct {
	Request
	write  []byte
	pieces map[uint32]Piece
	held   map[uint32]bool
	ran    map[uint32]bool // may have run
	ended  bool
}

// machine drives a planner as a scheduler does, at random, and compares each answer with the plain model.
type machine struct {
	t      *rapid.T
	p      *Planner
	set    Settings
	asked  map[uint64]*plain
	of     map[uint32]*plain
	disk   map[uint64][]byte // by volume
	out    [][]uint32        // operations
	ops    map[uint32]Operation
	id     uint32
	now    time.Duration
	merged int
}

const diskSize = 200

func (m *machine) fill(volume uint64) []byte {
	if m.disk[volume] == nil {
		m.disk[volume] = make([]byte, diskSize)
		for i := range m.disk[volume] {
			m.disk[volume][i] = byte(uint64(i)*7 + volume)
		}
	}
	return m.disk[volume]
}

func (m *machine) take(*rapid.T) {
	offset := 4 * rapid.Uint64Range(0, diskSize/4-1).Draw(m.t, "offset") // so that many touch
	q := Request{ID: uint64(len(m.asked) + 1), DataVolume: 1 + rapid.Uint64Range(0, 9).Draw(m.t, "data")/9,
		Range: Range{offset, min(diskSize-offset, 4*rapid.Uint64Range(1, 15).Draw(m.t, "length"))},
		Write: rapid.Bool().Draw(m.t, "write"), Class: rapid.IntRange(0, 9).Draw(m.t, "class") / 9,
		Plan: rapid.IntRange(0, 9).Draw(m.t, "plan") / 9, Units: rapid.IntRange(1, 9).Draw(m.t, "units"),
		ReceivedAt: m.now, RetrySafe: rapid.Bool().Draw(m.t, "harmless")}
	a := &plain{Request: q, pieces: map[uint32]Piece{}, held: map[uint32]bool{}, ran: map[uint32]bool{}}
	m.asked[q.ID] = a
	cut, err := m.p.Add(q, func() uint32 { m.id++; return m.id })
	if err != nil {
		m.t.Fatal(err)
	}
	a.write = bytes.Repeat([]byte{byte(q.ID)}, int(q.Range.Length))
	for _, c := range cut {
		a.pieces[c.ID], a.held[c.ID] = c, true
		m.of[c.ID] = a
	}
}

// send lets a random held piece leave, with whatever the planner offers and chance accepts.
func (m *machine) send(t *rapid.T) {
	var held []uint32
	for id, a := range m.of {
		if a.held[id] && !a.ended {
			held = append(held, id)
		}
	}
	if len(held) == 0 {
		return
	}
	slices.Sort(held)
	lead := held[rapid.IntRange(0, len(held)-1).Draw(m.t, "lead")]
	ids := []uint32{lead}
	last := 0.0
	m.p.Propose(lead, func(id uint32, units float64) bool {
		a := m.of[id]
		if a == nil || !a.held[id] || a.ended || slices.Contains(ids, id) {
			t.Fatalf("offered piece %d, which is not held", id)
		}
		if rapid.IntRange(0, 3).Draw(m.t, "refuse") == 0 {
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
		m.p.AttemptSent(id)
		m.of[id].held[id] = false
	}
	if op := m.leave(ids); len(ids) > 1 && float64(op.Units) != last {
		t.Fatalf("%d units left, %v were offered", op.Units, last)
	}
}

// leave checks an operation as it leaves and lets the disk carry it out.
func (m *machine) leave(ids []uint32) Operation {
	op := m.p.SealOperation(ids)
	if op.Range.Length > m.set.MaxOperation || len(ids) > m.set.MaxMembers || len(op.Members) != len(ids) ||
		op.Range.Offset/m.set.ExtentSize != op.Extent || (op.Range.End()-1)/m.set.ExtentSize != op.Extent {
		m.t.Fatalf("operation out of bounds: %+v", op)
	}
	covered := make([]int, op.Range.Length)
	sum := 0
	for _, x := range op.Members {
		a := m.of[x.ID]
		first := m.of[ids[0]]
		if a.DataVolume != op.DataVolume || a.Write != op.Write || a.Class != first.Class ||
			a.Write && a.Plan != first.Plan {
			m.t.Fatalf("members of two kinds: %+v", op)
		}
		if d := a.ReceivedAt - first.ReceivedAt; m.set.Window > 0 && max(d, -d) > m.set.Window {
			m.t.Fatal("members taken too far apart")
		}
		at := op.Slice(x)
		for i := at.Offset; i < at.End(); i++ {
			covered[i]++
		}
		sum += max(1, x.Units)
	}
	for _, n := range covered {
		if n == 0 || op.Write && n > 1 {
			m.t.Fatalf("a byte of the operation belongs to %d members: %+v", n, op)
		}
	}
	if op.Units < 1 || op.Units > sum {
		m.t.Fatalf("%d units of %d", op.Units, sum)
	}
	m.out = append(m.out, ids)
	m.ops[ids[0]] = op
	if len(ids) > 1 {
		m.merged++
	}
	return op
}

// end ends a random operation: served, with a bad range, lost, or turned away unseen.
func (m *machine) end(t *rapid.T) {
	if len(m.out) == 0 {
		return
	}
	i := rapid.IntRange(0, len(m.out)-1).Draw(m.t, "which")
	ids := m.out[i]
	m.out = slices.Delete(m.out, i, i+1)
	op := m.ops[ids[0]]
	how := rapid.IntRange(0, 3).Draw(m.t, "how")
	var parts []Part
	if how <= 1 {
		var bad []Range
		if how == 1 {
			bad = append(bad, Range{rapid.Uint64Range(0, op.Range.Length-1).Draw(m.t, "bad"), 1})
		}
		var data []byte
		if !op.Write {
			data = slices.Clone(m.fill(op.DataVolume)[op.Range.Offset:op.Range.End()])
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
			if a := m.of[x.ID]; op.Write && parts[n].OK {
				copy(m.fill(op.DataVolume)[x.Range.Offset:x.Range.End()], a.write)
			}
		}
	}
	for n, id := range ids {
		ran := how <= 2
		m.p.AttemptEnded(id, ran)
		a := m.of[id]
		if ran {
			a.ran[id] = true
		}
		switch {
		case parts != nil && parts[n].OK:
			m.over(id, Served, parts[n].Data)
		case rapid.Bool().Draw(m.t, "again") && !a.ended:
			m.p.AttemptSent(id) // repeated alone
			m.leave([]uint32{id})
		case a.ran[id] && !a.RetrySafe:
			m.over(id, Failed, nil)
		default:
			m.over(id, Rejected, nil)
		}
	}
	m.forget()
}

// giveUp lets the module refuse a held piece.
func (m *machine) giveUp(*rapid.T) {
	for id := uint32(1); id <= m.id; id++ {
		if a := m.of[id]; a != nil && a.held[id] && !a.ended {
			a.held[id] = false
			m.over(id, Rejected, nil)
			m.forget()
			return
		}
	}
}

// drop lets a random client go, whatever state its request is in.
func (m *machine) drop(t *rapid.T) {
	if len(m.asked) == 0 {
		return
	}
	id := rapid.Uint64Range(1, uint64(len(m.asked))).Draw(m.t, "client")
	a, withdrawn := m.p.Abandon(id)
	if (a == nil) != m.asked[id].ended {
		t.Fatalf("request %d: dropped %v, ended %v", id, a, m.asked[id].ended)
	}
	m.withdraw(m.asked[id], withdrawn)
	m.asked[id].ended = true
	m.forget()
}

func (m *machine) withdraw(a *plain, ids []uint32) {
	for _, id := range ids {
		if m.of[id] != a {
			m.t.Fatalf("piece %d of another request is withdrawn", id)
		}
		a.held[id] = false
	}
}

// over hands in a piece's end and checks the answer against the plain model.
func (m *machine) over(id uint32, v Outcome, data []byte) {
	a := m.of[id]
	got, withdrawn := m.p.Resolve(id, v, data)
	m.withdraw(a, withdrawn)
	if got == nil {
		if v != Served && !a.ended {
			m.t.Fatalf("request %d has no answer after a piece's failure", a.ID)
		}
		return
	}
	if got.Request != a.ID || a.ended {
		m.t.Fatalf("answer %+v for request %d, ended before: %v", got, a.ID, a.ended)
	}
	a.ended = true
	ran := len(a.ran) > 0
	for p := range a.pieces {
		ran = ran || slices.ContainsFunc(m.out, func(op []uint32) bool { return slices.Contains(op, p) })
	}
	switch got.Outcome {
	case Served:
		if v != Served || got.Done+got.Uncertain+got.Unsent != 0 {
			m.t.Fatalf("served after %v: %+v", v, got)
		}
		if have := bytes.Join(got.Data, nil); !a.Write && uint64(len(have)) != a.Range.Length {
			m.t.Fatalf("%d bytes of %d", len(have), a.Range.Length)
		}
		for i, b := range bytes.Join(got.Data, nil) {
			at := a.Range.Offset + uint64(i)
			if old := byte(at*7 + a.DataVolume); b != old && !m.written(a.DataVolume, at, b) {
				m.t.Fatalf("request %d: byte %d is %d, which was never there", a.ID, at, b)
			}
		}
	case Rejected:
		if ran && !a.RetrySafe {
			m.t.Fatalf("request %d is refused though a piece may have run", a.ID)
		}
	}
	if got.Outcome != Served && got.Done+got.Uncertain+got.Unsent != len(a.pieces) {
		m.t.Fatalf(
			"%+v counts %d pieces, there are %d",
			got,
			got.Done+got.Uncertain+got.Unsent,
			len(a.pieces),
		)
	}
}

func (m *machine) written(volume, at uint64, b byte) bool {
	w := m.asked[uint64(b)]
	return w != nil && w.Write && w.DataVolume == volume && at >= w.Range.Offset && at < w.Range.End()
}

// forget lets the planner forget what is over, as the driver does.
func (m *machine) forget() {
	for id, a := range m.of {
		out := slices.ContainsFunc(m.out, func(op []uint32) bool { return slices.Contains(op, id) })
		if a.ended && !out {
			m.p.Forget(id)
			delete(m.of, id)
		}
	}
}

// Whatever comes in whatever order: each request gets one answer, with the bytes that a scheduler that never
// merges or splits would give it; a refusal means that nothing ran; operations keep their bounds; and in the
// end nothing is left behind.
func TestPlannerAgainstAPlainModel(t *testing.T) {
	merged := 0
	rapid.Check(t, playMachine(&merged))
	if merged < 10 {
		t.Errorf("only %d operations of several in all cases: they prove little", merged)
	}
}

// FuzzPlanner plays the same machine on what the fuzzer finds.
func FuzzPlanner(f *testing.F) {
	merged := 0
	f.Fuzz(rapid.MakeFuzz(playMachine(&merged)))
}

// playMachine plays one random case and adds up what was merged.
func playMachine(merged *int) func(*rapid.T) {
	return func(t *rapid.T) {
		set := drawSettings(t)
		set.ExtentSize = rapid.SampledFrom([]uint64{64, 32, 16}).Draw(t, "extents")
		set.MaxOperation = rapid.SampledFrom([]uint64{set.ExtentSize, set.ExtentSize / 2, 8}).
			Draw(t, "operation")
		set.Window = rapid.SampledFrom([]time.Duration{0, 20, 5}).Draw(t, "window")
		set.MaxMembers = rapid.SampledFrom([]int{4, 8, 2, 1}).Draw(t, "most members")
		m := &machine{t: t, p: New(set), set: set, asked: map[uint64]*plain{}, of: map[uint32]*plain{},
			disk: map[uint64][]byte{}, ops: map[uint32]Operation{}}
		for range rapid.SampledFrom([]int{20, 60, 150}).Draw(t, "steps") {
			switch x := rapid.IntRange(0, 19).Draw(t, "what"); {
			case x < 10:
				m.take(t)
			case x < 14:
				m.send(t)
			case x < 18:
				m.end(t)
			case x == 18:
				m.giveUp(t)
			default:
				m.drop(t)
			}
			m.now++
		}
		for id := range m.asked {
			m.p.Abandon(id)
			m.asked[id].ended = true
		}
		m.out = nil
		m.forget()
		if requests, pieces := m.p.Counts(); requests != 0 || pieces != 0 || m.p.held.Len() != 0 {
			t.Fatalf("left behind: %d requests, %d pieces, %d held", requests, pieces, m.p.held.Len())
		}
		*merged += m.merged
	}
}

// fresh is a planner of 1,000-byte extents that holds reads of the given ranges, with IDs from 1 on.
func fresh(t *testing.T, s Settings, write bool, ranges ...Range) *Planner {
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

// beside lists what is offered beside a lead, all of it accepted, and the units with the last.
func beside(p *Planner, lead uint32) (ids []uint32, units float64) {
	p.Propose(lead, func(id uint32, u float64) bool {
		ids, units = append(ids, id), u
		return true
	})
	slices.Sort(ids)
	return ids, units
}

var wide = Settings{ExtentSize: 1000, MaxOperation: 1000, MaxMembers: MaxMembers, MaxPieces: 8, Cells: 2}

func TestWhatLeavesTogether(t *testing.T) {
	for _, c := range []struct {
		name   string
		write  bool
		lead   uint32
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
		ids, units := beside(fresh(t, wide, c.write, c.ranges...), c.lead)
		if got := fmt.Sprint(ids, " ", units); got != c.want {
			t.Errorf("%s: %s, want %s", c.name, got, c.want)
		}
	}
}

// Members were taken within the window, whatever else fits.
func TestTheWindow(t *testing.T) {
	s := wide
	s.Window = 5
	p, id := New(s), uint32(0)
	for i, at := range []time.Duration{0, 4, 5, 6, 11} {
		q := Request{ID: uint64(i + 1), Range: Range{uint64(i) * 10, 10}, Units: 1, ReceivedAt: at}
		if _, err := p.Add(q, func() uint32 { id++; return id }); err != nil {
			t.Fatal(err)
		}
	}
	if ids, _ := beside(p, 1); fmt.Sprint(ids) != "[2 3]" {
		t.Errorf("beside the first %v, want the second and third", ids)
	}
}

// A thousand members that want the same 4 KiB become as few operations as the bound on members allows, each
// of the work of one.
func TestAThousandOfTheSame(t *testing.T) {
	s := Settings{ExtentSize: 4096, MaxOperation: 4096, MaxMembers: MaxMembers, MaxPieces: 1, Cells: 1}
	p := fresh(t, s, false, slices.Repeat([]Range{{0, 4096}}, 1000)...)
	ops := 0
	for id := uint32(1); id <= 1000; id++ {
		if !p.pieces[id].held {
			continue
		}
		ids, units := beside(p, id)
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

// A split write whose second piece is refused while its first has run is failed, and what is known is told;
// had nothing run, it would be a refusal.
func TestASplitWritesRefusal(t *testing.T) {
	for ran, want := range map[bool]Answer{true: {Request: 1, Outcome: Failed, Done: 1, Uncertain: 1,
		Unsent: 2},
		false: {Request: 1, Outcome: Rejected, Unsent: 4}} {
		p := fresh(t, wide, true, Range{500, 3000})
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

func TestDealIsLocal(t *testing.T) {
	p := fresh(t, wide, false, Range{0, 10}, Range{10, 10}, Range{5, 10})
	ids, _ := beside(p, 1)
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
func TestAFailedWriteFailsThoseAfterIt(t *testing.T) {
	p := fresh(t, wide, true, Range{0, 10}, Range{10, 10}, Range{20, 10})
	ids, _ := beside(p, 1)
	op := p.SealOperation(append([]uint32{1}, ids...))
	if got := fmt.Sprint(op.Distribute([]Range{{12, 1}}, nil)); got != "[{true []} {false []} {false []}]" {
		t.Errorf("got %s", got)
	}
}

// What the planner costs to hold, offer, send and end one read, by how many are held.
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
				lead := uint32(0)
				for done := 0; done < b.N; {
					lead++
					if x := p.pieces[lead]; x == nil || !x.held {
						continue
					}
					ids := []uint32{lead}
					p.Propose(lead, func(id uint32, _ float64) bool { ids = append(ids, id); return true })
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
