package endpoints

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"landingpaddle/scheduler"
)

const (
	wall = int64(1_800_000_000_000_000_000)
	skew = 100 * time.Millisecond
)

func server(i int) scheduler.Server {
	return scheduler.Server{Addr: [4]byte{10, 0, 0, byte(i)}, Port: 1}
}

func clock(at time.Duration) Clock { return Clock{time.Hour + at, wall + int64(at)} }

func ready(i int, boot int64) Endpoint {
	return Endpoint{Server: server(i), Status: scheduler.Ready, Cell: uint16(i), StartedAt: boot}
}

func whole(version uint64, entries ...Endpoint) Update {
	return Update{Epoch: 1, Version: version, Full: true, Endpoints: entries}
}

func change(since, version uint64, entries ...Endpoint) Update {
	return Update{Epoch: 1, Version: version, BaseVersion: since, Endpoints: entries}
}

func hear(t *testing.T, r *View, at time.Duration, n Update, want ApplyResult) scheduler.EndpointUpdate {
	t.Helper()
	m, v := r.Apply(clock(at), n)
	if v != want {
		t.Fatalf("news %+v: verdict %d, want %d", n, v, want)
	}
	return m
}

func status(m scheduler.EndpointUpdate, i int) scheduler.Status {
	for _, e := range m.Endpoints {
		if e.Server == server(i) {
			return e.Status
		}
	}
	return scheduler.Gone
}

// After a gap, before any list and from another list service only a whole list is believed.
func TestChangesBuildOnTheListHeld(t *testing.T) {
	r := New(skew)
	r.Restore(clock(0), Snapshot{Epoch: 1, Version: 5, Endpoints: []Endpoint{ready(1, 0)}})
	hear(t, r, 0, change(5, 6, ready(2, 0)), Gap) // what is kept may be old: not built on
	hear(t, r, 0, whole(6, ready(1, 0), ready(2, 0)), Applied)
	hear(t, r, 0, change(6, 7, Endpoint{Server: server(1), Status: scheduler.Gone}), Applied)
	hear(t, r, 0, change(8, 9, ready(1, 0)), Gap)
	hear(t, r, 0, whole(3), Stale)
	other := change(7, 8, ready(3, 0))
	other.Epoch = 2
	hear(t, r, 0, other, Gap)
	if k := r.Snapshot(); len(k.Endpoints) != 1 || k.Endpoints[0].Server != server(2) || k.Version != 7 {
		t.Errorf("kept %+v", k)
	}
}

// The list is late: what a node says of its own draining holds against it, for that life of the node.
func TestANodesOwnWordIsNewerThanTheList(t *testing.T) {
	r := New(skew)
	boot := wall - int64(time.Minute)
	hear(t, r, 0, whole(1, ready(1, boot)), Applied)
	m, ok := r.ApplyDrainNotice(clock(0), server(1), boot)
	if !ok || status(m, 1) != scheduler.Draining {
		t.Fatalf("the notice changes nothing: %+v", m)
	}
	if _, ok := r.ApplyDrainNotice(clock(0), server(1), boot); ok {
		t.Error("the same notice twice is news twice")
	}
	if m := hear(t, r, 0, whole(2, ready(1, boot)), Applied); status(m, 1) != scheduler.Draining {
		t.Error("a late list undid the drain")
	}
	if m := hear(t, r, 0, change(2, 3, ready(1, wall)), Applied); status(m, 1) != scheduler.Ready {
		t.Error("the drain outlived the process")
	}
	if _, ok := r.ApplyDrainNotice(clock(0), server(1), boot); ok {
		t.Error("a notice of an earlier life counts")
	}
	if _, ok := r.ApplyDrainNotice(clock(0), server(9), boot); ok {
		t.Error("a node that is not listed is told of")
	}
}

// A node tells of its restart before the list does; a list that is behind does not make it warm again.
func TestAGreetingTellsOfARestart(t *testing.T) {
	r := New(skew)
	old := wall - int64(time.Minute)
	hear(t, r, 0, whole(1, ready(1, old)), Applied)
	m, ok := r.ApplyGreeting(clock(time.Second), server(1), wall+int64(900*time.Millisecond))
	if !ok || m.Endpoints[0].StartedAt < time.Hour {
		t.Fatalf("greeting: %+v, %v", m, ok)
	}
	fresh := m.Endpoints[0].StartedAt
	if m := hear(t, r, time.Second, whole(2, ready(1, old)), Applied); m.Endpoints[0].StartedAt != fresh {
		t.Errorf("a late list moved the start from %v to %v", fresh, m.Endpoints[0].StartedAt)
	}
	if _, ok := r.ApplyGreeting(clock(time.Second), server(1), old); ok {
		t.Error("an older start is news")
	}
}

// A node listed as draining that comes back is not sent to on its own greeting.
func TestAGreetingDoesNotEndADrain(t *testing.T) {
	r := New(skew)
	draining := ready(1, wall-int64(time.Minute))
	draining.Status = scheduler.Draining
	hear(t, r, 0, whole(1, draining), Applied)
	if m, _ := r.ApplyGreeting(clock(0), server(1), wall); status(m, 1) != scheduler.Draining {
		t.Errorf("told %+v", m)
	}
}

// A clock that is ahead does not put a start into the future, one that is behind does not make a cold node
// warm, and the same start told again is the same time, however the clocks drift.
func TestStartsInOtherClocks(t *testing.T) {
	r := New(skew)
	ahead := wall + int64(time.Hour)
	m := hear(t, r, 0, whole(1, ready(1, ahead)), Applied)
	first := m.Endpoints[0].StartedAt
	if first > time.Hour {
		t.Errorf("a start in the future: %v", first)
	}
	drifted := Clock{time.Hour + time.Minute, wall + int64(time.Minute) + int64(50*time.Millisecond)}
	m, _ = r.Apply(drifted, whole(2, ready(1, ahead)))
	if m.Endpoints[0].StartedAt != first {
		t.Errorf("the same start moved from %v to %v", first, m.Endpoints[0].StartedAt)
	}
	m, _ = r.Apply(drifted, whole(3, ready(1, ahead+1)))
	if m.Endpoints[0].StartedAt <= first {
		t.Error("a restart with a clock ahead is not seen as one")
	}
	behind := wall - int64(skew) // a node whose clock is behind by the skew, started just now
	m = hear(t, New(skew), 0, whole(1, ready(2, behind)), Applied)
	if m.Endpoints[0].StartedAt < time.Hour {
		t.Errorf("a node that started now counts as started %v ago", time.Hour-m.Endpoints[0].StartedAt)
	}
	if m = hear(t, New(skew), 0, whole(1, ready(2, wall-int64(2*maxStartAge))),
		Applied); m.Endpoints[0].StartedAt != 0 {
		t.Error("a start long ago is told as a time")
	}
}

// Whatever comes in whatever order: the module is told of a start in the future never, of the same start
// always the same time, of a later start of a node a later time; and a node that said it drains is not told
// ready again in that life.
func TestRosterProperties(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := New(skew)
		now, version := time.Duration(0), uint64(0)
		told := map[scheduler.Server]map[int64]time.Duration{}
		noticed := map[scheduler.Server]int64{}
		view := map[scheduler.Server]Endpoint{}
		see := func(m scheduler.EndpointUpdate, boots map[scheduler.Server]int64) {
			for _, e := range m.Endpoints {
				// Starts of one moment are told apart by nanoseconds.
				if e.StartedAt > time.Hour+now+time.Microsecond {
					t.Fatalf("start in the future: %v at %v", e.StartedAt, time.Hour+now)
				}
				b := boots[e.Server]
				if told[e.Server] == nil {
					told[e.Server] = map[int64]time.Duration{}
				}
				for other, at := range told[e.Server] {
					if b == other && at != e.StartedAt || b > other && at >= e.StartedAt && at != 0 {
						t.Fatalf("start %d told as %v, start %d as %v", other, at, b, e.StartedAt)
					}
				}
				told[e.Server][b] = e.StartedAt
				if n, ok := noticed[e.Server]; ok && b <= n && e.Status == scheduler.Ready {
					t.Fatalf("told ready after its notice")
				}
			}
		}
		boots := map[scheduler.Server]int64{}
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			now += time.Duration(rapid.Int64Range(0, int64(time.Second)).Draw(t, "pass"))
			i := rapid.IntRange(1, 3).Draw(t, "node")
			s := server(i)
			c := clock(now)
			c.Wall += rapid.Int64Range(-int64(skew), int64(skew)).Draw(t, "drift")
			switch rapid.IntRange(0, 3).Draw(t, "what") {
			case 0: // it starts, and is listed
				boots[s] = max(boots[s]+1, c.Wall+rapid.Int64Range(-int64(skew), int64(skew)).Draw(t, "skew"))
				version++
				view[s] = ready(i, boots[s])
				m, v := r.Apply(c, change(version-1, version, view[s]))
				if v == Gap {
					var all []Endpoint
					for _, e := range view {
						all = append(all, e)
					}
					m, _ = r.Apply(c, whole(version, all...))
				}
				see(m, boots)
			case 1:
				if b, ok := boots[s]; ok {
					if m, ok := r.ApplyDrainNotice(c, s, b); ok {
						noticed[s] = b
						see(m, boots)
					}
				}
			case 2: // the whole list again
				var all []Endpoint
				for _, e := range view {
					all = append(all, e)
				}
				if m, v := r.Apply(c, whole(version, all...)); v == Applied {
					see(m, boots)
				}
			case 3:
				if b, ok := boots[s]; ok {
					if m, ok := r.ApplyGreeting(c, s, b); ok {
						see(m, boots)
					}
				}
			}
		}
	})
}
