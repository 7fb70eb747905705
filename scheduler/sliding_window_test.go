package scheduler

import (
	"testing"
)

// The line forgets from its head, keeps numbers, and takes no more than twice what it holds.
func TestSlidingWindow_DropsFromHeadAndKeepsIndexes(t *testing.T) {
	var l slidingWindow[int]
	for i := range 10_000 {
		l.push(i)
		l.dropWhile(func(v int) bool { return v < i-9 })
		if got := l.values(); got[len(got)-1] != i || len(got) > 10 || len(l.items) > 40 {
			t.Fatalf("after %d: %v of %d", i, got, len(l.items))
		}
		if i > 20 {
			if l.at(i-20) != nil || *l.at(i - 5) != i-5 {
				t.Fatalf("after %d: the numbers are off", i)
			}
		}
	}
}
