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

// status returns the status of a node in an update; Removed if the update does not contain the node.
func status(update scheduler.EndpointUpdate, i int) scheduler.Status {
	for _, e := range update.Endpoints {
		if e.Server == server(i) {
			return e.Status
		}
	}
	return scheduler.Removed
}

// After a gap, before the first full list, and from a registry with another epoch, only a full list is
// applied.
func TestView_RequiresTheBaseVersionOfAChange(t *testing.T) {
	view := New(skew)
	view.Restore(clock(0), Snapshot{Epoch: 1, Version: 5, Endpoints: []Endpoint{ready(1, 0)}})
	apply(t, view, 0, change(5, 6, ready(2, 0)), Gap) // the snapshot may be old: no change builds on it
	apply(t, view, 0, fullList(6, ready(1, 0), ready(2, 0)), Applied)
	apply(t, view, 0, change(6, 7, Endpoint{Server: server(1), Status: scheduler.Removed}), Applied)
	apply(t, view, 0, change(8, 9, ready(1, 0)), Gap)
	apply(t, view, 0, fullList(3), Stale)
	otherEpoch := change(7, 8, ready(3, 0))
	otherEpoch.Epoch = 2
	apply(t, view, 0, otherEpoch, Gap)
	if snapshot := view.Snapshot(); len(snapshot.Endpoints) != 1 ||
		snapshot.Endpoints[0].Server != server(2) || snapshot.Version != 7 {
		t.Errorf("got snapshot %+v, want version 7 with node 2 alone", snapshot)
	}
}

// The list lags behind: a node's own drain notice overrides it for that incarnation of the node.
func TestView_DrainNoticeOverridesTheListForThatIncarnation(t *testing.T) {
	view := New(skew)
	startedAt := wall - int64(time.Minute)
	apply(t, view, 0, fullList(1, ready(1, startedAt)), Applied)
	update, ok := view.ApplyDrainNotice(clock(0), server(1), startedAt)
	if !ok || status(update, 1) != scheduler.Draining {
		t.Fatalf("got %+v after the notice, want status draining", update)
	}
	if _, ok := view.ApplyDrainNotice(clock(0), server(1), startedAt); ok {
		t.Error("a repeated notice changed the state")
	}
	if update := apply(t, view, 0, fullList(2, ready(1, startedAt)),
		Applied); status(update, 1) != scheduler.Draining {
		t.Error("a list from before the drain ended it")
	}
	if update := apply(t, view, 0, change(2, 3, ready(1, wall)),
		Applied); status(update, 1) != scheduler.Ready {
		t.Error("a drain notice was applied to the next incarnation")
	}
	if _, ok := view.ApplyDrainNotice(clock(0), server(1), startedAt); ok {
		t.Error("a notice of an earlier incarnation was applied")
	}
	if _, ok := view.ApplyDrainNotice(clock(0), server(9), startedAt); ok {
		t.Error("a notice of an unlisted node was applied")
	}
}

// A handshake reports a restart before the list does; a list from before the restart does not make the node
// warm again.
func TestView_HandshakeReportsARestart(t *testing.T) {
	view := New(skew)
	old := wall - int64(time.Minute)
	apply(t, view, 0, fullList(1, ready(1, old)), Applied)
	update, ok := view.ApplyHello(clock(time.Second), server(1), wall+int64(900*time.Millisecond))
	if !ok || update.Endpoints[0].StartedAt < time.Hour {
		t.Fatalf("got %+v, changed %v; want a later start", update, ok)
	}
	fresh := update.Endpoints[0].StartedAt
	if update := apply(t, view, time.Second, fullList(2, ready(1, old)),
		Applied); update.Endpoints[0].StartedAt != fresh {
		t.Errorf("a list from before the restart changed the start from %v to %v",
			fresh, update.Endpoints[0].StartedAt)
	}
	if _, ok := view.ApplyHello(clock(time.Second), server(1), old); ok {
		t.Error("an older start changed the state")
	}
}

// A restarted node that is listed as draining does not become ready by its handshake alone.
func TestView_HandshakeDoesNotEndADrain(t *testing.T) {
	view := New(skew)
	draining := ready(1, wall-int64(time.Minute))
	draining.Status = scheduler.Draining
	apply(t, view, 0, fullList(1, draining), Applied)
	if update, _ := view.ApplyHello(clock(0), server(1), wall); status(update, 1) != scheduler.Draining {
		t.Errorf("got %+v, want status draining", update)
	}
}

// If a node's clock is ahead, its start is not converted to a time in the future; if it is behind, a cold
// node is not treated as warm. A repeated start converts to the same time even when the clocks drift, and a
// start long ago to 0.
func TestView_ConvertsStartsOfOtherClocks(t *testing.T) {
	view := New(skew)
	ahead := wall + int64(time.Hour)
	update := apply(t, view, 0, fullList(1, ready(1, ahead)), Applied)
	first := update.Endpoints[0].StartedAt
	if first > time.Hour {
		t.Errorf("got start %v, want none after the current time", first)
	}
	drifted := Clock{time.Hour + time.Minute, wall + int64(time.Minute) + int64(50*time.Millisecond)}
	update, _ = view.Apply(drifted, fullList(2, ready(1, ahead)))
	if update.Endpoints[0].StartedAt != first {
		t.Errorf("a repeated start changed from %v to %v", first, update.Endpoints[0].StartedAt)
	}
	update, _ = view.Apply(drifted, fullList(3, ready(1, ahead+1)))
	if update.Endpoints[0].StartedAt <= first {
		t.Error("a restart of a node whose clock is ahead was not detected")
	}
	behind := wall - int64(skew) // a node whose clock is behind by the skew, started at the current time
	update = apply(t, New(skew), 0, fullList(1, ready(2, behind)), Applied)
	if update.Endpoints[0].StartedAt < time.Hour {
		t.Errorf("a node that started now is reported as started %v ago",
			time.Hour-update.Endpoints[0].StartedAt)
	}
	if update = apply(t, New(skew), 0, fullList(1, ready(2, wall-int64(2*maxStartAge))),
		Applied); update.Endpoints[0].StartedAt != 0 {
		t.Error("a start long ago was not converted to 0")
	}
}
