package scheduler

import "testing"

// The window drops items from its head, keeps indexes valid, and takes no more memory than about twice its
// contents.
func TestSlidingWindow_DropsFromHeadAndKeepsIndexes(t *testing.T) {
	var window slidingWindow[int]
	for i := range 10_000 {
		window.push(i)
		window.dropWhile(func(value int) bool { return value < i-9 })
		if got := window.values(); got[len(got)-1] != i || len(got) > 10 || len(window.items) > 40 {
			t.Fatalf("after %d: got values %v of %d items, want 10 of 40 at most", i, got, len(window.items))
		}
		if i > 20 {
			if window.at(i-20) != nil || *window.at(i - 5) != i-5 {
				t.Fatalf("after %d: got the wrong item at an index, want its own, nil if dropped", i)
			}
		}
	}
}
