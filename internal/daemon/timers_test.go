package daemon

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// Timers fire in order of their time, those of one time in the order in which they were set, cancelled ones
// never; and those that fired or were cancelled take no more room.
func TestTimers_FireInOrderOfTime(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var ts timers
		var live []*timer
		called := map[*timer]bool{}
		now := time.Duration(0)
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			switch rapid.IntRange(0, 3).Draw(t, "what") {
			case 0, 1:
				at := now + time.Duration(rapid.IntRange(0, 20).Draw(t, "after"))
				var row *timer
				row = ts.set(at, func() {
					if called[row] {
						t.Fatal("called twice")
					}
					called[row] = true
				})
				live = append(live, row)
			case 2:
				if len(live) > 0 {
					i := rapid.IntRange(0, len(live)-1).Draw(t, "which")
					ts.cancel(live[i])
					ts.cancel(live[i])
					live = append(live[:i], live[i+1:]...)
				}
			case 3:
				now += time.Duration(rapid.IntRange(0, 10).Draw(t, "pass"))
				ts.runDue(now)
				var rest []*timer
				for _, row := range live {
					if called[row] != (row.dueAt <= now) {
						t.Fatal(fmt.Sprintf("due at %v, called %v at %v", row.dueAt, called[row], now))
					}
					if !called[row] {
						rest = append(rest, row)
					}
				}
				live = rest
			}
			if len(ts.pending) != len(live) {
				t.Fatalf("%d timers held, %d live", len(ts.pending), len(live))
			}
		}
	})
}
