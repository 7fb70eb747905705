package endpoints

import (
	"maps"
	"slices"
	"time"

	"landingpaddle/scheduler"
)

// View is an instance's cached state of the nodes. Create it with New.
type View struct {
	skew         time.Duration
	epoch        uint64
	version      uint64
	trusted      bool // changes may build on the current list
	listed       map[scheduler.Server]Endpoint
	drainNotices map[scheduler.Server]int64 // Unix nanoseconds: start of the incarnation that sent it
	startTimes   map[scheduler.Server]startTimes
}

// New returns an empty view. The nodes' clocks may differ from this instance's by up to skew.
func New(skew time.Duration) *View {
	return &View{
		skew:         skew,
		listed:       map[scheduler.Server]Endpoint{},
		drainNotices: map[scheduler.Server]int64{},
		startTimes:   map[scheduler.Server]startTimes{},
	}
}

// ApplyResult is the result of applying an update.
type ApplyResult uint8

// The results of Apply.
const (
	Applied ApplyResult = iota
	Stale               // older than the current list: ignored
	Gap                 // a change that does not build on the current list: the full list must be fetched
)

// Restore sets the list to a snapshot from before a restart and returns the update for the scheduler. Changes
// are not applied to it until a full list has been applied, unless TrustRestored is called.
func (v *View) Restore(clock Clock, snapshot Snapshot) scheduler.EndpointUpdate {
	v.epoch, v.version = snapshot.Epoch, snapshot.Version
	for _, endpoint := range snapshot.Endpoints {
		v.listed[endpoint.Server] = endpoint
	}
	return v.schedulerUpdate(clock, scheduler.UpdateCached, v.sorted())
}

// TrustRestored allows changes to build on the restored snapshot: the registry continues the list from which
// the snapshot was taken.
func (v *View) TrustRestored() { v.trusted = true }

// Apply applies an update from the registry. It returns an update for the scheduler only if the result is
// Applied.
func (v *View) Apply(clock Clock, update Update) (scheduler.EndpointUpdate, ApplyResult) {
	if !update.Full && !v.hasBaseOf(update) {
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
	converted := v.schedulerUpdate(clock, kind, changed)
	v.prune()
	return converted, Applied
}

// hasBaseOf reports whether a change builds on the current list: the list is trusted, of the same epoch and
// at the change's base version or later.
func (v *View) hasBaseOf(change Update) bool {
	return v.trusted && change.Epoch == v.epoch && change.BaseVersion <= v.version
}

// merge writes an update into the list and returns the update's endpoints as merged. A listed start that
// is later than the update's is kept: the node itself has reported a restart, and is still cold.
func (v *View) merge(update Update) []Endpoint {
	before, merged := v.listed, make([]Endpoint, 0, len(update.Endpoints))
	if update.Full {
		v.listed = map[scheduler.Server]Endpoint{}
	}
	for _, endpoint := range update.Endpoints {
		if old, ok := before[endpoint.Server]; ok {
			endpoint.StartedAt = max(endpoint.StartedAt, old.StartedAt)
		}
		if endpoint.Status == scheduler.Removed {
			delete(v.listed, endpoint.Server)
		} else {
			v.listed[endpoint.Server] = endpoint
		}
		merged = append(merged, endpoint)
	}
	return merged
}

// ApplyDrainNotice records a node's own notice that it is draining. The start is the one that the node stated
// in its handshake; the notice applies to that incarnation only. The second result is false if the scheduler
// needs no update.
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

// ApplyHello records the start that a node stated in its handshake. A start newer than the listed one
// reports a restart before the list does: the node is cold now. Its status stays as listed, as only the list
// states that a drain is over. The second result is false if nothing changes.
func (v *View) ApplyHello(clock Clock, server scheduler.Server,
	startedAt int64) (scheduler.EndpointUpdate, bool) {

	endpoint, listed := v.listed[server]
	if !listed || endpoint.StartedAt == 0 || startedAt <= endpoint.StartedAt {
		return scheduler.EndpointUpdate{}, false
	}
	endpoint.StartedAt = startedAt
	v.listed[server] = endpoint
	return v.schedulerUpdate(clock, scheduler.UpdateDelta, []Endpoint{endpoint}), true
}

// Snapshot returns the list to save for the next incarnation. It does not include drain notices: a restarted
// instance receives them again from the nodes.
func (v *View) Snapshot() Snapshot { return Snapshot{v.epoch, v.version, v.sorted()} }

// Version returns the epoch and version of the list, for requesting later changes from the registry. Both are
// 0 if changes cannot build on the list.
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

// effectiveStatus returns Draining for a ready node that sent a drain notice in its current incarnation, and
// the listed status otherwise.
func (v *View) effectiveStatus(endpoint Endpoint) scheduler.Status {
	notice, hasNotice := v.drainNotices[endpoint.Server]
	if hasNotice && endpoint.Status == scheduler.Ready && endpoint.StartedAt <= notice {
		return scheduler.Draining
	}
	return endpoint.Status
}

// prune deletes start times and drain notices of unlisted nodes, and of earlier incarnations of listed ones.
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
