package daemon

import (
	"container/heap"
	"time"
)

// timers holds the pending callbacks. The loop's goroutine owns it. A timer that is no longer needed is
// removed at once: most requests end long before their deadline, and the number of timers left to expire
// would grow with the request rate and the deadlines.
type timers struct {
	pending  timerHeap
	sequence uint64 // sequence number of the last timer set
}

// timer is one callback. Of two timers due at the same time, the one set first is called first.
type timer struct {
	dueAt    time.Duration
	sequence uint64
	callback func()
	index    int // in the heap; notPending if not in it
}

const notPending = -1

type timerHeap []*timer

func (h timerHeap) Len() int { return len(h) }

func (h timerHeap) Less(i, j int) bool {
	return h[i].dueAt < h[j].dueAt || h[i].dueAt == h[j].dueAt && h[i].sequence < h[j].sequence
}

func (h timerHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index, h[j].index = i, j
}

func (h *timerHeap) Push(x any) {
	added := x.(*timer)
	added.index = len(*h)
	*h = append(*h, added)
}

func (h *timerHeap) Pop() any {
	old := *h
	removed := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	removed.index = notPending
	return removed
}

// set schedules a call of callback for when the clock reaches dueAt.
func (t *timers) set(dueAt time.Duration, callback func()) *timer {
	t.sequence++
	added := &timer{dueAt: dueAt, sequence: t.sequence, callback: callback}
	heap.Push(&t.pending, added)
	return added
}

// cancel removes a timer. It does nothing if the timer is nil or no longer pending.
func (t *timers) cancel(cancelled *timer) {
	if cancelled != nil && cancelled.index != notPending {
		heap.Remove(&t.pending, cancelled.index)
	}
}

// next returns when the first timer is due; false when none is pending.
func (t *timers) next() (time.Duration, bool) {
	if len(t.pending) == 0 {
		return 0, false
	}
	return t.pending[0].dueAt, true
}

// runDue calls all timers that are due, including those that the callbacks set.
func (t *timers) runDue(now time.Duration) {
	for len(t.pending) > 0 && t.pending[0].dueAt <= now {
		heap.Pop(&t.pending).(*timer).callback()
	}
}
