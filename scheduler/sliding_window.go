package scheduler

// slidingWindow is a queue in which push and drop take constant time on average: dropped items stay in memory
// until they are more than half of all. Items keep their index for good.
type slidingWindow[T any] struct {
	items   []T
	head    int // of items, dropped already
	trimmed int // cut off before items
}

// values returns the items that were not dropped, oldest first.
func (w *slidingWindow[T]) values() []T { return w.items[w.head:] }

func (w *slidingWindow[T]) push(item T) { w.items = append(w.items, item) }

// pushed is how many items were ever pushed: the index of the next one.
func (w *slidingWindow[T]) pushed() int { return w.trimmed + len(w.items) }

// dropWhile drops items from the head while old reports true.
func (w *slidingWindow[T]) dropWhile(old func(T) bool) {
	for w.head < len(w.items) && old(w.items[w.head]) {
		w.head++
	}
	if 2*w.head > len(w.items) {
		kept := copy(w.items, w.items[w.head:])
		clear(w.items[kept:])
		w.items, w.trimmed, w.head = w.items[:kept], w.trimmed+w.head, 0
	}
}

// at returns the item with an index among all that were ever pushed, or nil if it was dropped.
func (w *slidingWindow[T]) at(index int) *T {
	if index < w.trimmed+w.head {
		return nil
	}
	return &w.items[index-w.trimmed]
}
