package endpoints

import (
	"maps"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"landingpaddle/scheduler"
)

// nodesInModel is the number of nodes that the registry of a viewModel lists.
const nodesInModel = 3

// viewModel applies messages of a registry and of nodes to a view and checks the resulting updates.
type viewModel struct {
	view         *View
	elapsed      time.Duration
	version      uint64 // of the registry's list
	listed       map[scheduler.Server]Endpoint
	starts       map[scheduler.Server]int64                   // last start of a node, in Unix nanoseconds
	drainNotices map[scheduler.Server]int64                   // the start stated in the last drain notice
	reported     map[scheduler.Server]map[int64]time.Duration // by start: its converted time
}

// For any order of inputs: no update has a start in the future; a repeated start is always converted to the
// same time, and a later start of a node to a later time; a node that sent a drain notice is not ready again
// in that incarnation.
func TestView_Properties(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		model := &viewModel{
			view:         New(skew),
			listed:       map[scheduler.Server]Endpoint{},
			starts:       map[scheduler.Server]int64{},
			drainNotices: map[scheduler.Server]int64{},
			reported:     map[scheduler.Server]map[int64]time.Duration{},
		}
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			model.step(t)
		}
	})
}

// step advances the clock and applies one random event of one node, at a wall time with random drift.
func (m *viewModel) step(t *rapid.T) {
	m.elapsed += time.Duration(rapid.Int64Range(0, int64(time.Second)).Draw(t, "elapsed"))
	node := rapid.IntRange(1, nodesInModel).Draw(t, "node")
	now := clock(m.elapsed)
	now.Wall += drawSkew(t, "drift")
	switch rapid.IntRange(0, 3).Draw(t, "event") {
	case 0:
		m.startNode(t, now, node)
	case 1:
		m.sendDrainNotice(t, now, server(node))
	case 2:
		m.sendFullList(t, now)
	case 3:
		m.sendHello(t, now, server(node))
	}
}

func drawSkew(t *rapid.T, label string) int64 {
	return rapid.Int64Range(-int64(skew), int64(skew)).Draw(t, label)
}

// startNode restarts a node's process and lists it by a change; after a gap the full list is applied.
func (m *viewModel) startNode(t *rapid.T, now Clock, node int) {
	address := server(node)
	m.starts[address] = max(m.starts[address]+1, now.Wall+drawSkew(t, "skew"))
	m.listed[address] = ready(node, m.starts[address])
	m.version++
	update, result := m.view.Apply(now, change(m.version-1, m.version, m.listed[address]))
	if result == Gap {
		update, _ = m.view.Apply(now, m.fullList())
	}
	m.check(t, update)
}

func (m *viewModel) sendDrainNotice(t *rapid.T, now Clock, address scheduler.Server) {
	startedAt, hasStarted := m.starts[address]
	if !hasStarted {
		return
	}
	if update, changed := m.view.ApplyDrainNotice(now, address, startedAt); changed {
		m.drainNotices[address] = startedAt
		m.check(t, update)
	}
}

func (m *viewModel) sendFullList(t *rapid.T, now Clock) {
	if update, result := m.view.Apply(now, m.fullList()); result == Applied {
		m.check(t, update)
	}
}

func (m *viewModel) sendHello(t *rapid.T, now Clock, address scheduler.Server) {
	startedAt, hasStarted := m.starts[address]
	if !hasStarted {
		return
	}
	if update, changed := m.view.ApplyHello(now, address, startedAt); changed {
		m.check(t, update)
	}
}

func (m *viewModel) fullList() Update {
	return fullList(m.version, slices.Collect(maps.Values(m.listed))...)
}

// check checks the starts and statuses in an update for the scheduler.
func (m *viewModel) check(t *rapid.T, update scheduler.EndpointUpdate) {
	for _, endpoint := range update.Endpoints {
		m.checkStart(t, endpoint)
		startedAt := m.starts[endpoint.Server]
		notice, hasNotice := m.drainNotices[endpoint.Server]
		if hasNotice && startedAt <= notice && endpoint.Status == scheduler.Ready {
			t.Fatal("a node is ready again in the incarnation that sent a drain notice")
		}
	}
}

// checkStart checks that no start is in the future, that a repeated start keeps its converted time and that a
// later start has a later time.
func (m *viewModel) checkStart(t *rapid.T, endpoint scheduler.Endpoint) {
	now := time.Hour + m.elapsed
	if endpoint.StartedAt > now+time.Microsecond { // converted starts of a node differ by 1 ns or more
		t.Fatalf("start in the future: %v at %v", endpoint.StartedAt, now)
	}
	reported := m.reported[endpoint.Server]
	if reported == nil {
		reported = map[int64]time.Duration{}
		m.reported[endpoint.Server] = reported
	}
	startedAt := m.starts[endpoint.Server]
	for other, at := range reported {
		hasMoved := other == startedAt && at != endpoint.StartedAt
		isReversed := other < startedAt && at >= endpoint.StartedAt && at != 0
		if hasMoved || isReversed {
			t.Fatalf("start %d converted to %v, start %d to %v; want a start unchanged, a later one later",
				other, at, startedAt, endpoint.StartedAt)
		}
	}
	reported[startedAt] = endpoint.StartedAt
}
