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

// characterization is one run of the random driver with the hash of all actions that the module returned in
// it, and of what it had learned at the end. The hashes were taken before the module was restructured: a
// change that is meant to keep behaviour keeps them.
type characterization struct {
	name      string
	seed      uint64
	shape     uint8
	change    func(*Settings)
	elsewhere bool // outcomes tell of service through other instances
	want      string
}

func characterizations() []characterization {
	plain := func(*Settings) {}
	return []characterization{
		{"one instance", 1, 0x00, plain, false, "5bde84ff4a961cfe"},
		{"polled list and retry budget", 2, 0x03, plain, false, "6c4dc5bed98a72c6"},
		{"merged operations", 3, 0x0c, plain, false, "4e0d4c80944b35ec"},
		{"sixteen instances, merged operations", 4, 0xff, plain, false, "681d35238c53e64e"},
		{"service elsewhere", 5, 0x27, plain, true, "2d4ea7463ecbd452"},
		{
			"slow start in turns",
			6,
			0x0b,
			func(s *Settings) { s.Instances, s.InstanceIndex, s.ColdCapacity = 220, 7, 40 },
			false,
			"0bffd0b8d55a483b",
		},
		{
			"slow start with a share",
			7,
			0x09,
			func(s *Settings) { s.Instances, s.InstanceIndex, s.ColdFraction = 4, 1, 0.25 },
			false,
			"a748d635561db248",
		},
		{"unequal worths", 8, 0x42, func(s *Settings) {
			s.Classes[0].PriorityWeight, s.Classes[1].PriorityWeight, s.Classes[2].PriorityWeight = 3, 2, 1
			s.Plans[0].PriorityWeight, s.Plans[1].PriorityWeight = 1, 4
			s.ShareWeight, s.SpareWeight = 0.35, 0.08
		}, true, "2d18dd4ba2e20477"},
		{
			"marked retries",
			9,
			0x12,
			func(s *Settings) { s.RetriesMarked = true },
			false,
			"15bec58c607ceb0c",
		},
		{"no Retry-After", 10, 0x06, func(s *Settings) { s.RetryAfter = false }, false, "df4454e482b9daa1"},
		{
			"pushed list",
			11,
			0x01,
			func(s *Settings) { s.PushGrace, s.PollTimeout = 250*ms, 4*time.Second },
			false,
			"77e4c25f5c508200",
		},
		{"fifty-seven instances", 12, 0x8a, func(s *Settings) { s.Instances = 57 }, true, "d5f886cdbf1822a2"},
	}
}

// Actions are what they were before the module was restructured.
func TestScheduler_ActionsMatchCharacterization(t *testing.T) {
	for _, c := range characterizations() {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			if got := c.play(t); got != c.want {
				t.Errorf("hash of actions and state %s, want %s", got, c.want)
			}
		})
	}
}

// play runs the driver, hands what was learned to a second instance and runs that as well.
func (c characterization) play(t *testing.T) string {
	const steps, leastEvents = 3000, 5000
	sum := sha256.New()
	first := c.driver(t, c.seed, sum)
	events := 0
	first.events = func() { events++ }
	first.run(steps)
	if events < leastEvents {
		t.Errorf("%d events were played, want %d at least", events, leastEvents)
	}
	writeState(sum, first.h)
	second := c.driver(t, c.seed+100, sum)
	fmt.Fprintf(sum, "recalled %d\n", second.h.RestoreStatistics(first.h.Statistics()))
	second.run(steps / 4)
	writeState(sum, second.h)
	return fmt.Sprintf("%x", sum.Sum(nil)[:8])
}

func (c characterization) driver(t *testing.T, seed uint64, sum hash.Hash) *chaos {
	driver := newChaosWith(t, seed, c.shape, c.change)
	if c.elsewhere {
		driver.extra = rand.New(rand.NewPCG(seed, 11))
	}
	driver.record = func(a Action) { fmt.Fprintf(sum, "%d %s\n", int64(driver.now), spellAction(a)) }
	return driver
}

// spellAction writes an action as a word and numbers, so that renamed types and fields do not show.
func spellAction(a Action) string {
	switch x := a.(type) {
	case Send:
		return fmt.Sprintf("send id=%d to=%s allow=%d before=%d with=%d", x.ID, spellServer(x.Server),
			int64(x.Timeout), int64(x.StartBefore), x.Leader)
	case Reject:
		return fmt.Sprintf("refuse id=%d backoff=%d", x.ID, int64(x.RetryAfter))
	case Fail:
		return fmt.Sprintf("fail id=%d", x.ID)
	case Cancel:
		return fmt.Sprintf("cancel id=%d attempt=%d", x.ID, x.Attempt)
	case SetTimer:
		return fmt.Sprintf("timer token=%d after=%d", x.Token, int64(x.After))
	case CheckHealth:
		return "probe " + spellServer(x.Server)
	case CloseIdle:
		return "close " + spellServer(x.Server)
	case SendToPeer:
		return fmt.Sprintf("tell to=%d body=%x", x.To, x.Body)
	case WriteLog:
		return "log " + x.Text
	case WatchEndpoints:
		return fmt.Sprintf("watch on=%t", x.On)
	case FetchEndpoints:
		return "fetch"
	}
	panic("an action that has no spelling")
}

func spellServer(s Server) string {
	return fmt.Sprintf("%d.%d.%d.%d:%d", s.Addr[0], s.Addr[1], s.Addr[2], s.Addr[3], s.Port)
}

func spellFloat(v float64) string { return strconv.FormatFloat(v, 'g', -1, 64) }

// writeState spells what the module believes of the nodes and what it has learned.
func writeState(sum hash.Hash, h *Scheduler) {
	for _, b := range h.NodeStates() {
		fmt.Fprintf(
			sum,
			"node %s status=%d out=%d used=%s depth=%s latency=%d fails=%d\n",
			spellServer(b.Server),
			uint8(b.Status),
			b.InFlight,
			spellFloat(b.SlotsUsed),
			spellFloat(b.Depth),
			int64(b.Latency),
			b.Failures,
		)
	}
	learned := h.Statistics()
	for _, server := range slices.SortedFunc(maps.Keys(learned.Nodes), Server.Compare) {
		n := learned.Nodes[server]
		fmt.Fprintf(sum, "learned %s latency=%d deviation=%d\n", spellServer(server), int64(n.Latency),
			int64(n.Deviation))
	}
	for i, c := range learned.Classes {
		fmt.Fprintf(sum, "class %d mean=%s seen=%s fit=%s\n", i, spellFloat(c.MeanUnits), spellFloat(c.Count),
			spellFit(c.Latency))
	}
	fmt.Fprintf(
		sum,
		"usual=%s median=%d lately=%d\n",
		spellFit(learned.AllClasses),
		int64(learned.MedianLatency),
		int64(learned.RecentLatency),
	)
}

func spellFit(f Regression) string {
	return fmt.Sprintf("%s/%s/%s/%s/%s", spellFloat(f.Count), spellFloat(f.MeanSize), spellFloat(f.MeanTime),
		spellFloat(f.MeanSquare), spellFloat(f.MeanProduct))
}
