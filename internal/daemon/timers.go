package daemon

import (
	"container/heap"
	"time"
)

// timers hold what is due later, owned by the loop. What is no longer needed is taken out: a request is
// mostly over long before its time is up, and timers left to run out would pile up with rate and patience.
type timers struct {
	rows timerHeap
	seq  uint64
}

// timer is one of them; of two due at once the one set first goes first.
type timer struct {
	at  time.Duration
	seq uint64
	due func()
	row int // in the heap; -1: not in it
}

type timerHeap []*timer

func (t timerHeap) Len() int { return len(t) }
func (t timerHeap) Less(i, j int) bool {
	return t[i].at < t[j].at || t[i].at == t[j].at && t[i].seq < t[j].seq
}
func (t timerHeap) Swap(i, j int) {
	t[i], t[j] = t[j], t[i]
	t[i].row, t[j].row = i, j
}
func (t *timerHeap) Push(x any) {
	row := x.(*timer)
	row.row = len(*t)
	*t = append(*t, row)
}
func (t *timerHeap) Pop() any {
	old := *t
	row := old[len(old)-1]
	old[len(old)-1] = nil
	*t = old[:len(old)-1]
	row.row = -1
	return row
}

// set makes due be called once the clock is at at.
func (t *timers) set(at time.Duration, due func()) *timer {
	t.seq++
	row := &timer{at: at, seq: t.seq, due: due}
	heap.Push(&t.rows, row)
	return row
}

// cancel takes a timer out; nil and one that was called already are none.
func (t *timers) cancel(row *timer) {
	if row != nil && row.row >= 0 {
		heap.Remove(&t.rows, row.row)
	}
}

// next is when the first is due; false when none is set.
func (t *timers) next() (time.Duration, bool) {
	if len(t.rows) == 0 {
		return 0, false
	}
	return t.rows[0].at, true
}

// run calls all that are due.
func (t *timers) run(now time.Duration) {
	for len(t.rows) > 0 && t.rows[0].at <= now {
		heap.Pop(&t.rows).(*timer).due()
	}
}
