package scheduler

import (
	"crypto/sha256"
	"fmt"
	"hash"
	"maps"
	"math/rand/v2"
	"slices"
	"strconv"
	"testing"
	"time"
)

// characterization is one run of the random driver, with the expected hash of all actions that the scheduler
// returns in it and of its state and statistics at the end. The hashes were recorded with an earlier version
// of the package: a change that preserves behaviour must not change them.
type characterization struct {
	name             string
	seed             uint64
	shape            uint8           // of the random driver's settings
	change           func(*Settings) // nil: none
	reportsElsewhere bool            // results report service through other instances
	want             string
}

func characterizations() []characterization {
	return []characterization{
		{name: "one instance", seed: 1, shape: 0x00, want: "5bde84ff4a961cfe"},
		{name: "polled list and retry budget", seed: 2, shape: 0x03, want: "6c4dc5bed98a72c6"},
		{name: "merged operations", seed: 3, shape: 0x0c, want: "4e0d4c80944b35ec"},
		{name: "sixteen instances, merged operations", seed: 4, shape: 0xff, want: "681d35238c53e64e"},
		{name: "service elsewhere", seed: 5, shape: 0x27, reportsElsewhere: true, want: "2d4ea7463ecbd452"},
		{name: "slow start in turns", seed: 6, shape: 0x0b, want: "0bffd0b8d55a483b",
			change: func(s *Settings) { s.Instances, s.InstanceIndex, s.ColdCapacity = 220, 7, 40 }},
		{name: "slow start with a share", seed: 7, shape: 0x09, want: "a748d635561db248",
			change: func(s *Settings) { s.Instances, s.InstanceIndex, s.ColdFraction = 4, 1, 0.25 }},
		{name: "unequal priority weights", seed: 8, shape: 0x42, reportsElsewhere: true,
			want: "2d18dd4ba2e20477", change: setUnequalPriorityWeights},
		{name: "marked retries", seed: 9, shape: 0x12, want: "15bec58c607ceb0c",
			change: func(s *Settings) { s.RetriesMarked = true }},
		{name: "no Retry-After", seed: 10, shape: 0x06, want: "df4454e482b9daa1",
			change: func(s *Settings) { s.RetryAfter = false }},
		{name: "pushed list", seed: 11, shape: 0x01, want: "77e4c25f5c508200",
			change: func(s *Settings) { s.PushGrace, s.PollTimeout = 250*ms, 4*time.Second }},
		{name: "fifty-seven instances", seed: 12, shape: 0x8a, reportsElsewhere: true,
			want: "d5f886cdbf1822a2", change: func(s *Settings) { s.Instances = 57 }},
	}
}

func setUnequalPriorityWeights(s *Settings) {
	s.Classes[0].PriorityWeight, s.Classes[1].PriorityWeight, s.Classes[2].PriorityWeight = 3, 2, 1
	s.Plans[0].PriorityWeight, s.Plans[1].PriorityWeight = 1, 4
	s.ShareWeight, s.SpareWeight = 0.35, 0.08
}

// The scheduler returns the same actions as the version with which the hashes were recorded.
func TestScheduler_ActionsMatchCharacterization(t *testing.T) {
	for _, c := range characterizations() {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			if got := c.run(t); got != c.want {
				t.Errorf("hash of actions and state: got %s, want %s", got, c.want)
			}
		})
	}
}

// run runs the driver, restores its statistics in a second instance, runs that as well, and returns the hash
// over both runs.
func (c characterization) run(t *testing.T) string {
	t.Helper()
	const batches, minEvents = 3000, 5000
	sum := sha256.New()
	first := c.newDriver(t, c.seed, sum)
	events := 0
	first.countEvent = func() { events++ }
	first.run(batches)
	if events < minEvents {
		t.Errorf("got %d events, want %d at least", events, minEvents)
	}
	writeState(sum, first.scheduler)
	second := c.newDriver(t, c.seed+100, sum)
	fmt.Fprintf(sum, "recalled %d\n", second.scheduler.RestoreStatistics(first.scheduler.Statistics()))
	second.run(batches / 4)
	writeState(sum, second.scheduler)
	return fmt.Sprintf("%x", sum.Sum(nil)[:8])
}

// newDriver returns a driver that writes all actions into the hash.
func (c characterization) newDriver(t *testing.T, seed uint64, sum hash.Hash) *randomDriver {
	t.Helper()
	change := c.change
	if change == nil {
		change = func(*Settings) {}
	}
	driver := newRandomDriverWith(t, seed, c.shape, change)
	if c.reportsElsewhere {
		driver.elsewhereRandom = rand.New(rand.NewPCG(seed, 11))
	}
	driver.recordAction = func(action Action) {
		fmt.Fprintf(sum, "%d %s\n", int64(driver.now), formatAction(action))
	}
	return driver
}

// formatAction formats an action as a word and numbers, so that renaming types and fields does not change the
// hash. The words are those used when the hashes were recorded; they are part of the hashed text.
func formatAction(action Action) string {
	switch a := action.(type) {
	case Send:
		return fmt.Sprintf("send id=%d to=%s allow=%d before=%d with=%d", a.ID, formatServer(a.Server),
			int64(a.Timeout), int64(a.StartBefore), a.Leader)
	case Reject:
		return fmt.Sprintf("refuse id=%d backoff=%d", a.ID, int64(a.RetryAfter))
	case Fail:
		return fmt.Sprintf("fail id=%d", a.ID)
	case Cancel:
		return fmt.Sprintf("cancel id=%d attempt=%d", a.ID, a.Attempt)
	case SetTimer:
		return fmt.Sprintf("timer token=%d after=%d", a.Token, int64(a.After))
	case CheckHealth:
		return "probe " + formatServer(a.Server)
	case CloseIdle:
		return "close " + formatServer(a.Server)
	case SendToPeer:
		return fmt.Sprintf("tell to=%d body=%x", a.To, a.Body)
	case WriteLog:
		return "log " + a.Text
	case WatchEndpoints:
		return fmt.Sprintf("watch on=%t", a.On)
	case FetchEndpoints:
		return "fetch"
	}
	panic("action of an unknown type")
}

func formatServer(s Server) string {
	return fmt.Sprintf("%d.%d.%d.%d:%d", s.Addr[0], s.Addr[1], s.Addr[2], s.Addr[3], s.Port)
}

func formatFloat(value float64) string { return strconv.FormatFloat(value, 'g', -1, 64) }

func formatRegression(g Regression) string {
	return fmt.Sprintf("%s/%s/%s/%s/%s", formatFloat(g.Count), formatFloat(g.MeanSize),
		formatFloat(g.MeanTime), formatFloat(g.MeanSquare), formatFloat(g.MeanProduct))
}

// writeState writes the node states and the statistics of a scheduler into the hash, in the words used when
// the hashes were recorded.
func writeState(sum hash.Hash, scheduler *Scheduler) {
	for _, n := range scheduler.NodeStates() {
		fmt.Fprintf(sum, "node %s status=%d out=%d used=%s depth=%s latency=%d fails=%d\n",
			formatServer(n.Server), uint8(n.Status), n.InFlight, formatFloat(n.SlotsUsed),
			formatFloat(n.Depth), int64(n.Latency), n.Failures)
	}
	learned := scheduler.Statistics()
	for _, server := range slices.SortedFunc(maps.Keys(learned.Nodes), Server.Compare) {
		n := learned.Nodes[server]
		fmt.Fprintf(sum, "learned %s latency=%d deviation=%d\n", formatServer(server), int64(n.Latency),
			int64(n.Deviation))
	}
	for i, c := range learned.Classes {
		fmt.Fprintf(sum, "class %d mean=%s seen=%s fit=%s\n", i, formatFloat(c.MeanUnits),
			formatFloat(c.Count), formatRegression(c.Latency))
	}
	fmt.Fprintf(sum, "usual=%s median=%d lately=%d\n", formatRegression(learned.AllClasses),
		int64(learned.MedianLatency), int64(learned.RecentLatency))
}
