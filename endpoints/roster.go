// Package roster decides what an instance believes of the nodes: how news of the list, a list kept from
// before a restart and the nodes' own drain notices become one view, and how a node's start in its own
// clock becomes a time of this instance's clock. It does no I/O, reads no clock and starts no goroutine.
//
// Three things are true of the sources. The list is late, so what a node says of itself is newer than what
// the list says of the same start of that node. Changes build on the list held, so after a gap, or when
// another list service speaks (its epoch is new), only a whole list may be believed. Clocks differ: a start
// may seem to lie in the future, or further back than it does, by up to the stated skew.
package endpoints

import (
	"maps"
	"slices"
	"time"

	"landingpaddle/scheduler"
)

// Clock is one moment in both clocks: the instance's own, which only goes forward, and the wall's.
type Clock struct {
	Now  time.Duration // as handed to the module
	Wall int64         // Unix nanoseconds
}

// Entry is one node as the list service tells of it.
type Endpoint struct {
	Server          scheduler.Server
	Status          scheduler.Status
	Cell            uint16
	Zone            uint8
	MachineType     uint8
	StartedAt       int64 // Unix nanoseconds of the node's clock at its last start; 0: long ago
	NominalCapacity float64
}

// News is what a list service sends.
type Update struct {
	Epoch       uint64 // of the list service's life
	Version     uint64 // of the list; grows within an epoch
	BaseVersion uint64 // of a change: the version it builds on
	Full        bool   // the whole list, else only what changed
	Endpoints   []Endpoint
}

// Kept is what a restarted instance may believe.
type Snapshot struct {
	Epoch     uint64
	Version   uint64
	Endpoints []Endpoint
}

// Roster is the view. Its zero value is not usable; see New.
type View struct {
	skew         time.Duration
	epoch        uint64
	version      uint64
	trusted      bool // a list was heard in this life
	listed       map[scheduler.Server]Endpoint
	drainNotices map[scheduler.Server]int64 // start of the node that said it drains
	// starts as first turned into this instance's clock
	startTimes map[scheduler.Server]map[int64]time.Duration
}

// longAgo is the age from which on a start no longer matters to anybody: warm-ups take seconds or minutes.
const maxStartAge = 30 * time.Minute

// New makes an empty view. Node clocks may differ from this instance's by up to skew.
func New(skew time.Duration) *View {
	return &View{
		skew:         skew,
		listed:       map[scheduler.Server]Endpoint{},
		drainNotices: map[scheduler.Server]int64{},
		startTimes:   map[scheduler.Server]map[int64]time.Duration{},
	}
}

// Verdict tells what to do with news.
type ApplyResult uint8

// The verdicts.
const (
	Applied ApplyResult = iota
	Stale               // older than what is held: nothing to do
	Gap                 // changes to a list that is not held: the whole list must be asked for
)

// Restore takes the list kept from before a restart, and tells the module of it.
func (v *View) Restore(c Clock, k Snapshot) scheduler.EndpointUpdate {
	v.epoch, v.version = k.Epoch, k.Version
	for _, e := range k.Endpoints {
		v.listed[e.Server] = e
	}
	return scheduler.EndpointUpdate{
		Version:   v.version,
		Kind:      scheduler.UpdateCached,
		Endpoints: v.moduleEndpoints(c, v.sorted()),
	}
}

// Hear takes news in. Only of what is believed is there something to tell the module.
func (v *View) Apply(c Clock, n Update) (scheduler.EndpointUpdate, ApplyResult) {
	if !n.Full && (!v.trusted || n.Epoch != v.epoch || n.BaseVersion > v.version) {
		return scheduler.EndpointUpdate{}, Gap
	}
	if v.trusted && n.Epoch == v.epoch && n.Version < v.version {
		return scheduler.EndpointUpdate{}, Stale
	}
	form, before, told := scheduler.UpdateDelta, v.listed, make([]Endpoint, 0, len(n.Endpoints))
	if n.Full {
		form, v.listed = scheduler.UpdateFull, map[scheduler.Server]Endpoint{}
	}
	for _, e := range n.Endpoints {
		if old, ok := before[e.Server]; ok && old.StartedAt > e.StartedAt {
			// the node has told of a later start than this list knows: it is still as cold
			e.StartedAt = old.StartedAt
		}
		if e.Status == scheduler.Gone {
			delete(v.listed, e.Server)
		} else {
			v.listed[e.Server] = e
		}
		told = append(told, e)
	}
	v.trusted, v.epoch, v.version = true, n.Epoch, n.Version
	if n.Full {
		told = v.sorted()
	}
	m := scheduler.EndpointUpdate{Version: n.Version, Kind: form, Endpoints: v.moduleEndpoints(c, told)}
	v.pruneStarts()
	return m, Applied
}

// Notice takes in that a node said itself that it drains. The start is the one the node gave in its greeting;
// the notice speaks of that life of the node only. The second result is false where nothing changes.
func (v *View) ApplyDrainNotice(
	c Clock,
	server scheduler.Server,
	start int64,
) (scheduler.EndpointUpdate, bool) {
	e, ok := v.listed[server]
	if !ok || e.StartedAt > start && start != 0 {
		return scheduler.EndpointUpdate{}, false // not listed, or a newer life of it is
	}
	if old, ok := v.drainNotices[server]; ok && old >= start {
		return scheduler.EndpointUpdate{}, false
	}
	v.drainNotices[server] = start
	if e.Status == scheduler.Draining {
		return scheduler.EndpointUpdate{}, false
	}
	return scheduler.EndpointUpdate{
		Version:   v.version,
		Kind:      scheduler.UpdateDelta,
		Endpoints: v.moduleEndpoints(c, []Endpoint{e}),
	}, true
}

// Keep is what is worth keeping for a restart: the list as heard, without the notices, which a restarted
// instance hears again from the nodes themselves.
func (v *View) Snapshot() Snapshot { return Snapshot{v.epoch, v.version, v.sorted()} }

// Held is the version of the list held, to ask for changes since; 0 until a list was heard.
func (v *View) Version() (epoch, version uint64) {
	if !v.trusted {
		return 0, 0
	}
	return v.epoch, v.version
}

func (v *View) sorted() []Endpoint {
	return slices.SortedFunc(maps.Values(v.listed), ByServer)
}

// ByServer orders entries by address and port.
func ByServer(a, b Endpoint) int { return a.Server.Compare(b.Server) }

// tell turns entries into the module's form.
func (v *View) moduleEndpoints(c Clock, entries []Endpoint) []scheduler.Endpoint {
	out := make([]scheduler.Endpoint, 0, len(entries))
	for _, e := range entries {
		status := e.Status
		if start, ok := v.drainNotices[e.Server]; ok && status == scheduler.Ready && e.StartedAt <= start {
			status = scheduler.Draining // the list is late: the node has said otherwise since
		}
		out = append(out, scheduler.Endpoint{Server: e.Server, Status: status, Cell: e.Cell, Zone: e.Zone,
			MachineType: e.MachineType, StartedAt: v.startTime(c, e), NominalCapacity: e.NominalCapacity})
	}
	return out
}

// bootTime turns a start in the node's clock into this instance's. A start is turned once and kept: the same
// start told again must not look like a new one when the clocks drift. A node whose clock is behind ours
// seems to have started earlier than it has, and would be held for warm too soon: the skew is added, so that
// a node counts as cold for a little longer rather than shorter. No start lies in the future.
func (v *View) startTime(c Clock, e Endpoint) time.Duration {
	if e.StartedAt == 0 {
		return 0
	}
	if b, ok := v.startTimes[e.Server][e.StartedAt]; ok {
		return b
	}
	age := time.Duration(c.Wall - e.StartedAt)
	if c.Wall-e.StartedAt > int64(maxStartAge+v.skew) {
		return 0
	}
	at := c.Now - max(0, age-v.skew)
	for _, other := range v.startTimes[e.Server] {
		at = max(at, other+1) // another start of the same node is a newer one, whatever the clocks say
	}
	if at <= 0 {
		return 0
	}
	if v.startTimes[e.Server] == nil {
		v.startTimes[e.Server] = map[int64]time.Duration{}
	}
	v.startTimes[e.Server][e.StartedAt] = at
	return at
}

// forget drops what is known of nodes that are listed no more, and of lives that ended: only the newest start
// of a listed node stays.
func (v *View) pruneStarts() {
	for server, starts := range v.startTimes {
		e, listed := v.listed[server]
		if !listed {
			delete(v.startTimes, server)
			continue
		}
		for start := range starts {
			if start != e.StartedAt {
				delete(starts, start)
			}
		}
	}
	for server, start := range v.drainNotices {
		if e, listed := v.listed[server]; !listed || e.StartedAt > start {
			delete(v.drainNotices, server)
		}
	}
}

// Greeted takes in the start that a node stated on a connection. One that is newer than the listed start
// tells of a restart before the late list does: the node is cold now. The second result is false where
// nothing changes.
func (v *View) ApplyGreeting(c Clock, server scheduler.Server, start int64) (scheduler.EndpointUpdate, bool) {
	e, ok := v.listed[server]
	if !ok || e.StartedAt == 0 || start <= e.StartedAt {
		return scheduler.EndpointUpdate{}, false
	}
	e.StartedAt = start // its status stays as listed: that a drain is over is for the list to tell
	v.listed[server] = e
	return scheduler.EndpointUpdate{
		Version:   v.version,
		Kind:      scheduler.UpdateDelta,
		Endpoints: v.moduleEndpoints(c, []Endpoint{e}),
	}, true
}

// Continue tells that the list service goes on as it was when the list was kept: changes to that are
// believed.
func (v *View) TrustRestored() { v.trusted = true }
