package scheduler

// line is a queue whose head leaves at no cost a step: what has left is cut off once it is half of all.
type slidingWindow[T any] struct {
	items   []T
	head    int // of all, no longer in the line
	trimmed int // cut off before that
}

func (l *slidingWindow[T]) values() []T { return l.items[l.head:] }

func (l *slidingWindow[T]) push(v T) { l.items = append(l.items, v) }

// drop lets the head leave while old says so.
func (l *slidingWindow[T]) dropWhile(old func(T) bool) {
	for l.head < len(l.items) && old(l.items[l.head]) {
		l.head++
	}
	if 2*l.head > len(l.items) {
		n := copy(l.items, l.items[l.head:])
		clear(l.items[n:])
		l.items, l.trimmed, l.head = l.items[:n], l.trimmed+l.head, 0
	}
}

// at is the nth that was ever pushed, nil if it has left.
func (l *slidingWindow[T]) at(nth int) *T {
	if nth < l.trimmed+l.head {
		return nil
	}
	return &l.items[nth-l.trimmed]
}
