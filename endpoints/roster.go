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
type Entry struct {
	Server  scheduler.Server
	Status  scheduler.Status
	Cell    uint16
	Zone    uint8
	Kind    uint8
	Boot    int64 // Unix nanoseconds of the node's clock at its last start; 0: long ago
	Nominal float64
}

// News is what a list service sends.
type News struct {
	Epoch   uint64 // of the list service's life
	Version uint64 // of the list; grows within an epoch
	Since   uint64 // of a change: the version it builds on
	Whole   bool   // the whole list, else only what changed
	Entries []Entry
}

// Kept is what a restarted instance may believe.
type Kept struct {
	Epoch   uint64
	Version uint64
	Entries []Entry
}

// Roster is the view. Its zero value is not usable; see New.
type Roster struct {
	skew    time.Duration
	epoch   uint64
	version uint64
	known   bool // a list was heard in this life
	entries map[scheduler.Server]Entry
	notices map[scheduler.Server]int64                   // start of the node that said it drains
	boots   map[scheduler.Server]map[int64]time.Duration // starts as first turned into this instance's clock
}

// longAgo is the age from which on a start no longer matters to anybody: warm-ups take seconds or minutes.
const longAgo = 30 * time.Minute

// New makes an empty view. Node clocks may differ from this instance's by up to skew.
func New(skew time.Duration) *Roster {
	return &Roster{skew: skew, entries: map[scheduler.Server]Entry{}, notices: map[scheduler.Server]int64{},
		boots: map[scheduler.Server]map[int64]time.Duration{}}
}

// Verdict tells what to do with news.
type Verdict uint8

// The verdicts.
const (
	Believed Verdict = iota
	Old              // older than what is held: nothing to do
	Gap              // changes to a list that is not held: the whole list must be asked for
)

// Restore takes the list kept from before a restart, and tells the module of it.
func (r *Roster) Restore(c Clock, k Kept) scheduler.EndpointUpdate {
	r.epoch, r.version = k.Epoch, k.Version
	for _, e := range k.Entries {
		r.entries[e.Server] = e
	}
	return scheduler.EndpointUpdate{
		Version:   r.version,
		Kind:      scheduler.UpdateCached,
		Endpoints: r.tell(c, r.sorted()),
	}
}

// Hear takes news in. Only of what is believed is there something to tell the module.
func (r *Roster) Hear(c Clock, n News) (scheduler.EndpointUpdate, Verdict) {
	if !n.Whole && (!r.known || n.Epoch != r.epoch || n.Since > r.version) {
		return scheduler.EndpointUpdate{}, Gap
	}
	if r.known && n.Epoch == r.epoch && n.Version < r.version {
		return scheduler.EndpointUpdate{}, Old
	}
	form, before, told := scheduler.UpdateDelta, r.entries, make([]Entry, 0, len(n.Entries))
	if n.Whole {
		form, r.entries = scheduler.UpdateFull, map[scheduler.Server]Entry{}
	}
	for _, e := range n.Entries {
		if old, ok := before[e.Server]; ok && old.Boot > e.Boot {
			e.Boot = old.Boot // the node has told of a later start than this list knows: it is still as cold
		}
		if e.Status == scheduler.Gone {
			delete(r.entries, e.Server)
		} else {
			r.entries[e.Server] = e
		}
		told = append(told, e)
	}
	r.known, r.epoch, r.version = true, n.Epoch, n.Version
	if n.Whole {
		told = r.sorted()
	}
	m := scheduler.EndpointUpdate{Version: n.Version, Kind: form, Endpoints: r.tell(c, told)}
	r.forget()
	return m, Believed
}

// Notice takes in that a node said itself that it drains. The start is the one the node gave in its greeting;
// the notice speaks of that life of the node only. The second result is false where nothing changes.
func (r *Roster) Notice(c Clock, server scheduler.Server, start int64) (scheduler.EndpointUpdate, bool) {
	e, ok := r.entries[server]
	if !ok || e.Boot > start && start != 0 {
		return scheduler.EndpointUpdate{}, false // not listed, or a newer life of it is
	}
	if old, ok := r.notices[server]; ok && old >= start {
		return scheduler.EndpointUpdate{}, false
	}
	r.notices[server] = start
	if e.Status == scheduler.Draining {
		return scheduler.EndpointUpdate{}, false
	}
	return scheduler.EndpointUpdate{
		Version:   r.version,
		Kind:      scheduler.UpdateDelta,
		Endpoints: r.tell(c, []Entry{e}),
	}, true
}

// Keep is what is worth keeping for a restart: the list as heard, without the notices, which a restarted
// instance hears again from the nodes themselves.
func (r *Roster) Keep() Kept { return Kept{r.epoch, r.version, r.sorted()} }

// Held is the version of the list held, to ask for changes since; 0 until a list was heard.
func (r *Roster) Held() (epoch, version uint64) {
	if !r.known {
		return 0, 0
	}
	return r.epoch, r.version
}

func (r *Roster) sorted() []Entry {
	return slices.SortedFunc(maps.Values(r.entries), ByServer)
}

// ByServer orders entries by address and port.
func ByServer(a, b Entry) int { return a.Server.Compare(b.Server) }

// tell turns entries into the module's form.
func (r *Roster) tell(c Clock, entries []Entry) []scheduler.Endpoint {
	out := make([]scheduler.Endpoint, 0, len(entries))
	for _, e := range entries {
		status := e.Status
		if start, ok := r.notices[e.Server]; ok && status == scheduler.Ready && e.Boot <= start {
			status = scheduler.Draining // the list is late: the node has said otherwise since
		}
		out = append(out, scheduler.Endpoint{Server: e.Server, Status: status, Cell: e.Cell, Zone: e.Zone,
			MachineType: e.Kind, StartedAt: r.bootTime(c, e), NominalCapacity: e.Nominal})
	}
	return out
}

// bootTime turns a start in the node's clock into this instance's. A start is turned once and kept: the same
// start told again must not look like a new one when the clocks drift. A node whose clock is behind ours
// seems to have started earlier than it has, and would be held for warm too soon: the skew is added, so that
// a node counts as cold for a little longer rather than shorter. No start lies in the future.
func (r *Roster) bootTime(c Clock, e Entry) time.Duration {
	if e.Boot == 0 {
		return 0
	}
	if b, ok := r.boots[e.Server][e.Boot]; ok {
		return b
	}
	age := time.Duration(c.Wall - e.Boot)
	if c.Wall-e.Boot > int64(longAgo+r.skew) {
		return 0
	}
	at := c.Now - max(0, age-r.skew)
	for _, other := range r.boots[e.Server] {
		at = max(at, other+1) // another start of the same node is a newer one, whatever the clocks say
	}
	if at <= 0 {
		return 0
	}
	if r.boots[e.Server] == nil {
		r.boots[e.Server] = map[int64]time.Duration{}
	}
	r.boots[e.Server][e.Boot] = at
	return at
}

// forget drops what is known of nodes that are listed no more, and of lives that ended: only the newest start
// of a listed node stays.
func (r *Roster) forget() {
	for server, starts := range r.boots {
		e, listed := r.entries[server]
		if !listed {
			delete(r.boots, server)
			continue
		}
		for start := range starts {
			if start != e.Boot {
				delete(starts, start)
			}
		}
	}
	for server, start := range r.notices {
		if e, listed := r.entries[server]; !listed || e.Boot > start {
			delete(r.notices, server)
		}
	}
}

// Greeted takes in the start that a node stated on a connection. One that is newer than the listed start
// tells of a restart before the late list does: the node is cold now. The second result is false where
// nothing changes.
func (r *Roster) Greeted(c Clock, server scheduler.Server, start int64) (scheduler.EndpointUpdate, bool) {
	e, ok := r.entries[server]
	if !ok || e.Boot == 0 || start <= e.Boot {
		return scheduler.EndpointUpdate{}, false
	}
	e.Boot = start // its status stays as listed: that a drain is over is for the list to tell
	r.entries[server] = e
	return scheduler.EndpointUpdate{
		Version:   r.version,
		Kind:      scheduler.UpdateDelta,
		Endpoints: r.tell(c, []Entry{e}),
	}, true
}

// Continue tells that the list service goes on as it was when the list was kept: changes to that are
// believed.
func (r *Roster) Continue() { r.known = true }
