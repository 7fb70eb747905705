package daemon

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// Timers fire once, as soon as they are due, and cancelled timers never fire. Timers that fired or were
// cancelled are removed from the heap.
func TestTimers_FireOnceWhenDue(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var ts timers
		var live []*timer
		called := map[*timer]bool{}
		now := time.Duration(0)
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			switch rapid.IntRange(0, 3).Draw(t, "action") {
			case 0, 1:
				dueAt := now + time.Duration(rapid.IntRange(0, 20).Draw(t, "after"))
				var added *timer
				added = ts.set(dueAt, func() {
					if called[added] {
						t.Fatal("got a second call of a timer; want one")
					}
					called[added] = true
				})
				live = append(live, added)
			case 2:
				if len(live) > 0 {
					i := rapid.IntRange(0, len(live)-1).Draw(t, "index")
					ts.cancel(live[i])
					ts.cancel(live[i])
					live = append(live[:i], live[i+1:]...)
				}
			case 3:
				now += time.Duration(rapid.IntRange(0, 10).Draw(t, "elapsed"))
				ts.runDue(now)
				var rest []*timer
				for _, pending := range live {
					if called[pending] != (pending.dueAt <= now) {
						t.Fatal(fmt.Sprintf("timer due at %v: got called %v at %v; want a call once due",
							pending.dueAt, called[pending], now))
					}
					if !called[pending] {
						rest = append(rest, pending)
					}
				}
				live = rest
			}
			if len(ts.pending) != len(live) {
				t.Fatalf("got %d pending timers; want %d", len(ts.pending), len(live))
			}
		}
	})
}
