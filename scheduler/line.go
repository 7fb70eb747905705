package scheduler

// line is a queue whose head leaves at no cost a step: what has left is cut off once it is half of all.
type line[T any] struct {
	all  []T
	gone int // of all, no longer in the line
	cut  int // cut off before that
}

func (l *line[T]) list() []T { return l.all[l.gone:] }

func (l *line[T]) push(v T) { l.all = append(l.all, v) }

// drop lets the head leave while old says so.
func (l *line[T]) drop(old func(T) bool) {
	for l.gone < len(l.all) && old(l.all[l.gone]) {
		l.gone++
	}
	if 2*l.gone > len(l.all) {
		n := copy(l.all, l.all[l.gone:])
		clear(l.all[n:])
		l.all, l.cut, l.gone = l.all[:n], l.cut+l.gone, 0
	}
}

// at is the nth that was ever pushed, nil if it has left.
func (l *line[T]) at(nth int) *T {
	if nth < l.cut+l.gone {
		return nil
	}
	return &l.all[nth-l.cut]
}
