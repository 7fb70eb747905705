package sched

import (
	"container/heap"
	"time"
)

// timers hold what is due later, owned by the loop.
type timers struct{ rows timerHeap }

type timerRow struct {
	at  time.Duration
	seq uint64
	due func(now time.Duration)
}

type timerHeap []timerRow

func (t timerHeap) Len() int { return len(t) }
func (t timerHeap) Less(i, j int) bool {
	return t[i].at < t[j].at || t[i].at == t[j].at && t[i].seq < t[j].seq
}
func (t timerHeap) Swap(i, j int) { t[i], t[j] = t[j], t[i] }
func (t *timerHeap) Push(x any)   { *t = append(*t, x.(timerRow)) }
func (t *timerHeap) Pop() any {
	old := *t
	row := old[len(old)-1]
	old[len(old)-1] = timerRow{}
	*t = old[:len(old)-1]
	return row
}

func (t *timers) set(at time.Duration, seq uint64, due func(now time.Duration)) {
	heap.Push(&t.rows, timerRow{at, seq, due})
}

// next is when the first is due; false when none is set.
func (t *timers) next() (time.Duration, bool) {
	if len(t.rows) == 0 {
		return 0, false
	}
	return t.rows[0].at, true
}

// run calls all that are due.
func (t *timers) run(now time.Duration) (any bool) {
	for len(t.rows) > 0 && t.rows[0].at <= now {
		row := heap.Pop(&t.rows).(timerRow)
		row.due(now)
		any = true
	}
	return any
}
