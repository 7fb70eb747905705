package endpoints

import (
	"testing"
	"time"

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

func ready(i int, startedAt int64) Endpoint {
	return Endpoint{Server: server(i), Status: scheduler.Ready, Cell: uint16(i), StartedAt: startedAt}
}

func fullList(version uint64, endpoints ...Endpoint) Update {
	return Update{Epoch: 1, Version: version, Full: true, Endpoints: endpoints}
}

func change(base, version uint64, endpoints ...Endpoint) Update {
	return Update{Epoch: 1, Version: version, BaseVersion: base, Endpoints: endpoints}
}

// apply applies an update and checks its result.
func apply(t *testing.T, view *View, at time.Duration, update Update,
	want ApplyResult) scheduler.EndpointUpdate {
	t.Helper()
	converted, result := view.Apply(clock(at), update)
	if result != want {
		t.Fatalf("update %+v: result %d, want %d", update, result, want)
	}
	return converted
}

func status(m scheduler.EndpointUpdate, i int) scheduler.Status {
	for _, e := range m.Endpoints {
		if e.Server == server(i) {
			return e.Status
		}
	}
	return scheduler.Gone
}

// After a gap, before the first full list, and from a registry with another epoch, only a full list is
// applied.
func TestView_RequiresTheBaseVersionOfAChange(t *testing.T) {
	view := New(skew)
	view.Restore(clock(0), Snapshot{Epoch: 1, Version: 5, Endpoints: []Endpoint{ready(1, 0)}})
	apply(t, view, 0, change(5, 6, ready(2, 0)), Gap) // the snapshot may be old: no change builds on it
	apply(t, view, 0, fullList(6, ready(1, 0), ready(2, 0)), Applied)
	apply(t, view, 0, change(6, 7, Endpoint{Server: server(1), Status: scheduler.Gone}), Applied)
	apply(t, view, 0, change(8, 9, ready(1, 0)), Gap)
	apply(t, view, 0, fullList(3), Stale)
	other := change(7, 8, ready(3, 0))
	other.Epoch = 2
	apply(t, view, 0, other, Gap)
	if snapshot := view.Snapshot(); len(snapshot.Endpoints) != 1 ||
		snapshot.Endpoints[0].Server != server(2) || snapshot.Version != 7 {
		t.Errorf("snapshot %+v", snapshot)
	}
}

// The list lags behind: a node's own drain notice overrides it for that incarnation of the node.
func TestView_DrainNoticeOverridesTheListForThatIncarnation(t *testing.T) {
	view := New(skew)
	startedAt := wall - int64(time.Minute)
	apply(t, view, 0, fullList(1, ready(1, startedAt)), Applied)
	m, ok := view.ApplyDrainNotice(clock(0), server(1), startedAt)
	if !ok || status(m, 1) != scheduler.Draining {
		t.Fatalf("the notice changed nothing: %+v", m)
	}
	if _, ok := view.ApplyDrainNotice(clock(0), server(1), startedAt); ok {
		t.Error("a repeated notice changed the state")
	}
	if m := apply(t, view, 0, fullList(2, ready(1, startedAt)), Applied); status(m, 1) != scheduler.Draining {
		t.Error("a late list ended the drain")
	}
	if m := apply(t, view, 0, change(2, 3, ready(1, wall)), Applied); status(m, 1) != scheduler.Ready {
		t.Error("a drain notice was applied to the next incarnation")
	}
	if _, ok := view.ApplyDrainNotice(clock(0), server(1), startedAt); ok {
		t.Error("a notice of an earlier incarnation was applied")
	}
	if _, ok := view.ApplyDrainNotice(clock(0), server(9), startedAt); ok {
		t.Error("a notice of an unlisted node was applied")
	}
}

// A handshake reports a restart before the list does; a late list does not make the node warm again.
func TestView_HandshakeReportsARestart(t *testing.T) {
	view := New(skew)
	old := wall - int64(time.Minute)
	apply(t, view, 0, fullList(1, ready(1, old)), Applied)
	m, ok := view.ApplyGreeting(clock(time.Second), server(1), wall+int64(900*time.Millisecond))
	if !ok || m.Endpoints[0].StartedAt < time.Hour {
		t.Fatalf("handshake: %+v, %v", m, ok)
	}
	fresh := m.Endpoints[0].StartedAt
	if m := apply(t, view, time.Second, fullList(2, ready(1, old)),
		Applied); m.Endpoints[0].StartedAt != fresh {
		t.Errorf("a late list changed the start from %v to %v", fresh, m.Endpoints[0].StartedAt)
	}
	if _, ok := view.ApplyGreeting(clock(time.Second), server(1), old); ok {
		t.Error("an older start changed the state")
	}
}

// A restarted node that is listed as draining does not become ready by its handshake alone.
func TestView_HandshakeDoesNotEndADrain(t *testing.T) {
	view := New(skew)
	draining := ready(1, wall-int64(time.Minute))
	draining.Status = scheduler.Draining
	apply(t, view, 0, fullList(1, draining), Applied)
	if m, _ := view.ApplyGreeting(clock(0), server(1), wall); status(m, 1) != scheduler.Draining {
		t.Errorf("got %+v, want status draining", m)
	}
}

// With a node's clock ahead, its start is not converted to a time in the future; with one behind, a cold node
// is not treated as warm; a repeated start converts to the same time even when the clocks drift.
func TestView_ConvertsStartsOfOtherClocks(t *testing.T) {
	view := New(skew)
	ahead := wall + int64(time.Hour)
	m := apply(t, view, 0, fullList(1, ready(1, ahead)), Applied)
	first := m.Endpoints[0].StartedAt
	if first > time.Hour {
		t.Errorf("start in the future: %v", first)
	}
	drifted := Clock{time.Hour + time.Minute, wall + int64(time.Minute) + int64(50*time.Millisecond)}
	m, _ = view.Apply(drifted, fullList(2, ready(1, ahead)))
	if m.Endpoints[0].StartedAt != first {
		t.Errorf("a repeated start changed from %v to %v", first, m.Endpoints[0].StartedAt)
	}
	m, _ = view.Apply(drifted, fullList(3, ready(1, ahead+1)))
	if m.Endpoints[0].StartedAt <= first {
		t.Error("a restart of a node whose clock is ahead was not detected")
	}
	behind := wall - int64(skew) // a node whose clock is behind by the skew, started just now
	m = apply(t, New(skew), 0, fullList(1, ready(2, behind)), Applied)
	if m.Endpoints[0].StartedAt < time.Hour {
		t.Errorf("a node that started now is reported as started %v ago", time.Hour-m.Endpoints[0].StartedAt)
	}
	if m = apply(t, New(skew), 0, fullList(1, ready(2, wall-int64(2*maxStartAge))),
		Applied); m.Endpoints[0].StartedAt != 0 {
		t.Error("a start long ago was not converted to 0")
	}
}
