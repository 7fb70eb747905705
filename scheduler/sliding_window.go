package scheduler

// slidingWindow is a queue in which push and drop take amortized constant time: dropped items stay in memory
// until they are more than half of all. The index of an item never changes.
type slidingWindow[T any] struct {
	items   []T
	head    int // number of dropped items at the head of items
	trimmed int // number of items removed from memory
}

// values returns the items that were not dropped, oldest first.
func (w *slidingWindow[T]) values() []T { return w.items[w.head:] }

func (w *slidingWindow[T]) push(item T) { w.items = append(w.items, item) }

// pushed returns the number of items pushed so far, which is the index of the next one.
func (w *slidingWindow[T]) pushed() int { return w.trimmed + len(w.items) }

// dropWhile drops items from the head while isOld reports true.
func (w *slidingWindow[T]) dropWhile(isOld func(T) bool) {
	for w.head < len(w.items) && isOld(w.items[w.head]) {
		w.head++
	}
	if 2*w.head > len(w.items) {
		kept := copy(w.items, w.items[w.head:])
		clear(w.items[kept:])
		w.items, w.trimmed, w.head = w.items[:kept], w.trimmed+w.head, 0
	}
}

// at returns the item with an index among all pushed so far, or nil if it was dropped.
func (w *slidingWindow[T]) at(index int) *T {
	if index < w.trimmed+w.head {
		return nil
	}
	return &w.items[index-w.trimmed]
}
