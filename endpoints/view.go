package endpoints

import (
	"maps"
	"slices"
	"time"

	"landingpaddle/scheduler"
)

// View is what an instance believes of the nodes. Create one by New.
type View struct {
	skew         time.Duration
	epoch        uint64
	version      uint64
	trusted      bool // changes may build on the list held
	listed       map[scheduler.Server]Endpoint
	drainNotices map[scheduler.Server]int64 // start of the incarnation that sent the notice
	startTimes   map[scheduler.Server]startTimes
}

// New returns an empty view. The clocks of nodes may differ from this instance's by up to skew.
func New(skew time.Duration) *View {
	return &View{
		skew:         skew,
		listed:       map[scheduler.Server]Endpoint{},
		drainNotices: map[scheduler.Server]int64{},
		startTimes:   map[scheduler.Server]startTimes{},
	}
}

// ApplyResult says what became of an update.
type ApplyResult uint8

// The results of Apply.
const (
	Applied ApplyResult = iota
	Stale               // older than the list held: nothing to do
	Gap                 // a change to a list that is not held: the full list must be fetched
)

// Restore takes over the snapshot from before a restart and returns what the scheduler is to be told. Changes
// do not build on it until a full list was applied, unless TrustRestored is called.
func (v *View) Restore(clock Clock, snapshot Snapshot) scheduler.EndpointUpdate {
	v.epoch, v.version = snapshot.Epoch, snapshot.Version
	for _, endpoint := range snapshot.Endpoints {
		v.listed[endpoint.Server] = endpoint
	}
	return v.schedulerUpdate(clock, scheduler.UpdateCached, v.sorted())
}

// TrustRestored lets changes build on the restored snapshot: the registry continues the list that it was
// taken from.
func (v *View) TrustRestored() { v.trusted = true }

// Apply takes over an update of the registry. Only where the result is Applied is there an update for the
// scheduler.
func (v *View) Apply(clock Clock, update Update) (scheduler.EndpointUpdate, ApplyResult) {
	if !update.Full && !v.isHeld(update) {
		return scheduler.EndpointUpdate{}, Gap
	}
	if v.trusted && update.Epoch == v.epoch && update.Version < v.version {
		return scheduler.EndpointUpdate{}, Stale
	}
	kind, changed := scheduler.UpdateDelta, v.merge(update)
	if update.Full {
		kind, changed = scheduler.UpdateFull, v.sorted()
	}
	v.trusted, v.epoch, v.version = true, update.Epoch, update.Version
	told := v.schedulerUpdate(clock, kind, changed)
	v.prune()
	return told, Applied
}

// isHeld reports whether the list that a change builds on is held.
func (v *View) isHeld(change Update) bool {
	return v.trusted && change.Epoch == v.epoch && change.BaseVersion <= v.version
}

// merge writes an update into the list and returns its endpoints as they stand now. Where a node has told of
// a later start than the update knows, that start remains: the node is still as cold.
func (v *View) merge(update Update) []Endpoint {
	before, merged := v.listed, make([]Endpoint, 0, len(update.Endpoints))
	if update.Full {
		v.listed = map[scheduler.Server]Endpoint{}
	}
	for _, endpoint := range update.Endpoints {
		if old, ok := before[endpoint.Server]; ok {
			endpoint.StartedAt = max(endpoint.StartedAt, old.StartedAt)
		}
		if endpoint.Status == scheduler.Gone {
			delete(v.listed, endpoint.Server)
		} else {
			v.listed[endpoint.Server] = endpoint
		}
		merged = append(merged, endpoint)
	}
	return merged
}

// ApplyDrainNotice takes over that a node said itself that it drains. The start is the one that the node gave
// in its greeting; the notice speaks of that incarnation only. The second result is false where nothing
// changes.
func (v *View) ApplyDrainNotice(clock Clock, server scheduler.Server,
	startedAt int64) (scheduler.EndpointUpdate, bool) {

	endpoint, listed := v.listed[server]
	newerListed := endpoint.StartedAt > startedAt && startedAt != 0
	if !listed || newerListed {
		return scheduler.EndpointUpdate{}, false
	}
	if earlier, ok := v.drainNotices[server]; ok && earlier >= startedAt {
		return scheduler.EndpointUpdate{}, false
	}
	v.drainNotices[server] = startedAt
	if endpoint.Status == scheduler.Draining {
		return scheduler.EndpointUpdate{}, false
	}
	return v.schedulerUpdate(clock, scheduler.UpdateDelta, []Endpoint{endpoint}), true
}

// ApplyGreeting takes over the start that a node stated on a connection. One that is newer than the listed
// start tells of a restart before the late list does: the node is cold now. Its status stays as listed, as
// only the list tells that a drain is over. The second result is false where nothing changes.
func (v *View) ApplyGreeting(clock Clock, server scheduler.Server,
	startedAt int64) (scheduler.EndpointUpdate, bool) {

	endpoint, listed := v.listed[server]
	if !listed || endpoint.StartedAt == 0 || startedAt <= endpoint.StartedAt {
		return scheduler.EndpointUpdate{}, false
	}
	endpoint.StartedAt = startedAt
	v.listed[server] = endpoint
	return v.schedulerUpdate(clock, scheduler.UpdateDelta, []Endpoint{endpoint}), true
}

// Snapshot returns the list for the next incarnation. Drain notices are not part of it: a restarted instance
// gets them again from the nodes themselves.
func (v *View) Snapshot() Snapshot { return Snapshot{v.epoch, v.version, v.sorted()} }

// Version returns the version of the list held, to ask the registry for changes since; zeros if changes
// cannot build on it.
func (v *View) Version() (epoch, version uint64) {
	if !v.trusted {
		return 0, 0
	}
	return v.epoch, v.version
}

func (v *View) sorted() []Endpoint { return slices.SortedFunc(maps.Values(v.listed), ByServer) }

// schedulerUpdate converts endpoints into an update for the scheduler.
func (v *View) schedulerUpdate(clock Clock, kind scheduler.UpdateKind,
	endpoints []Endpoint) scheduler.EndpointUpdate {

	converted := make([]scheduler.Endpoint, 0, len(endpoints))
	for _, endpoint := range endpoints {
		converted = append(converted, scheduler.Endpoint{
			Server:          endpoint.Server,
			Status:          v.effectiveStatus(endpoint),
			Cell:            endpoint.Cell,
			Zone:            endpoint.Zone,
			MachineType:     endpoint.MachineType,
			StartedAt:       v.startTime(clock, endpoint),
			NominalCapacity: endpoint.NominalCapacity,
		})
	}
	return scheduler.EndpointUpdate{Version: v.version, Kind: kind, Endpoints: converted}
}

// effectiveStatus is the listed status, unless the node itself has said since that it drains.
func (v *View) effectiveStatus(endpoint Endpoint) scheduler.Status {
	notice, noticed := v.drainNotices[endpoint.Server]
	if noticed && endpoint.Status == scheduler.Ready && endpoint.StartedAt <= notice {
		return scheduler.Draining
	}
	return endpoint.Status
}

// prune drops what is known of nodes that are not listed any more, and of earlier incarnations of those that
// are.
func (v *View) prune() {
	for server, starts := range v.startTimes {
		endpoint, listed := v.listed[server]
		if !listed {
			delete(v.startTimes, server)
			continue
		}
		starts.keepOnly(endpoint.StartedAt)
	}
	for server, notice := range v.drainNotices {
		if endpoint, listed := v.listed[server]; !listed || endpoint.StartedAt > notice {
			delete(v.drainNotices, server)
		}
	}
}
