package extent

import (
	"fmt"
	"testing"
)

// benchmarkLength is the length of each read, in bytes.
const benchmarkLength = 4096

// plannerLoad keeps a constant number of reads queued at a planner.
type plannerLoad struct {
	planner  *Planner
	stride   uint64 // from one read's offset to the next one's
	lastID   uint32
	sequence uint64
}

// BenchmarkPlanner measures adding, proposing, sending and ending one read, by the number of queued reads.
func BenchmarkPlanner(b *testing.B) {
	for _, queued := range []int{10, 100, 1000, 10_000, 100_000} {
		for _, adjacent := range []bool{true, false} {
			b.Run(fmt.Sprintf("queued=%d/adjacent=%v", queued, adjacent), func(b *testing.B) {
				load := newPlannerLoad(adjacent)
				for range queued {
					load.add(b)
				}
				b.ReportAllocs()
				b.ResetTimer()
				load.serve(b)
			})
		}
	}
}

func newPlannerLoad(adjacent bool) *plannerLoad {
	settings := Settings{ExtentSize: 1 << 20, MaxOperation: 1 << 20, MaxMembers: 16, MaxPieces: 8, Cells: 8}
	load := &plannerLoad{planner: New(settings), stride: benchmarkLength}
	if !adjacent {
		load.stride = 2 * benchmarkLength
	}
	return load
}

// add adds the next read to the planner.
func (l *plannerLoad) add(b *testing.B) {
	l.sequence++
	at := Range{l.sequence % 1_000_000 * l.stride, benchmarkLength}
	request := Request{ID: l.sequence, DataVolume: 1, Range: at, Units: 1}
	if _, err := l.planner.Add(request, l.nextID); err != nil {
		b.Fatal(err)
	}
}

func (l *plannerLoad) nextID() uint32 {
	l.lastID++
	return l.lastID
}

// serve sends and ends b.N reads in the order of their arrival, and adds a new one for each.
func (l *plannerLoad) serve(b *testing.B) {
	for leader, served := uint32(1), 0; served < b.N; leader++ {
		if piece := l.planner.pieces[leader]; piece == nil || !piece.queued {
			continue
		}
		for _, member := range l.send(leader).Members {
			l.end(member.ID)
			l.add(b)
			served++
		}
	}
}

// send sends a read with all queued reads that the planner proposes to join it.
func (l *plannerLoad) send(leader uint32) Operation {
	ids := []uint32{leader}
	l.planner.Propose(leader, func(id uint32, _ float64) bool {
		ids = append(ids, id)
		return true
	})
	for _, id := range ids {
		l.planner.AttemptSent(id)
	}
	return l.planner.SealOperation(ids)
}

func (l *plannerLoad) end(id uint32) {
	l.planner.AttemptEnded(id, true)
	l.planner.Resolve(id, Served, nil)
	l.planner.Forget(id)
}
