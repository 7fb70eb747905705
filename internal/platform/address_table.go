package platform

import (
	"errors"
	"fmt"
	"sync"
	"time"

	"landingpaddle/endpoints"
	"landingpaddle/internal/wire"
	"landingpaddle/scheduler"
)

// removedRetention is how long the address of a removed disk server stays available: attempts that the
// scheduler decided on before it received the removal may not be connected yet.
const removedRetention = time.Minute

// addressTable stores the address at which this scheduler reaches each disk server. A disk server is
// identified by its instanceId, the same at every scheduler; its address may differ between schedulers. The
// table is safe for concurrent use.
type addressTable struct {
	mu      sync.Mutex
	entries map[scheduler.Server]addressEntry
	version uint64 // the latest of the lists that were applied
}

// addressEntry is the table's entry of one disk server.
type addressEntry struct {
	id, address string
	cell        uint16
	removedAt   time.Time // when it was removed; zero: it is listed
}

func (e addressEntry) isRemoved() bool { return !e.removedAt.IsZero() }

// errHashCollision rejects a list in which an id has the hash of another id in the table; the scheduler could
// not distinguish the two disk servers.
var errHashCollision = errors.New("two instance ids have the same hash")

func newAddressTable() *addressTable {
	return &addressTable{entries: map[scheduler.Server]addressEntry{}}
}

func (t *addressTable) find(server scheduler.Server) (addressEntry, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	entry, known := t.entries[server]
	return entry, known
}

// nodeName returns the name of a disk server in logs: its id, or its scheduler.Server if it is not in the
// table.
func (t *addressTable) nodeName(server scheduler.Server) string {
	if entry, known := t.find(server); known {
		return entry.id
	}
	return fmt.Sprint(server)
}

// applyList converts a list into an update and records its addresses. An invalid disk server is an error for
// the whole list, which then changes nothing: servers missing from a partial list would count as removed. A
// list that is older than one applied before, because its call took longer, only adds unknown servers.
func (t *addressTable) applyList(list List, baseVersion uint64, site *wire.Site) (endpoints.Update, error) {
	update := endpoints.Update{Version: list.Generation, BaseVersion: baseVersion, Full: list.Reset}
	t.mu.Lock()
	defer t.mu.Unlock()
	for i := range list.Instances {
		listed := &list.Instances[i]
		endpoint, err := parseEndpoint(listed, site)
		if err != nil {
			return update, fmt.Errorf("instances, item %d: %w", i, err)
		}
		if existing, ok := t.entries[endpoint.Server]; ok && existing.id != listed.ID {
			return update, fmt.Errorf("%w: %q and %q", errHashCollision, existing.id, listed.ID)
		}
		update.Endpoints = append(update.Endpoints, endpoint)
	}
	now := time.Now()
	isOutdated := list.Generation < t.version
	t.version = max(t.version, list.Generation)
	listed := t.recordEndpoints(list.Instances, update.Endpoints, isOutdated, now)
	t.expire(list.Reset && !isOutdated, listed, now)
	return update, nil
}

// recordEndpoints records the addresses of a list, or only those of unknown servers, and returns the servers
// in it. The caller holds t.mu.
func (t *addressTable) recordEndpoints(instances []ListedServer, parsed []endpoints.Endpoint,
	onlyUnknown bool, now time.Time) map[scheduler.Server]bool {
	listed := map[scheduler.Server]bool{}
	for i, endpoint := range parsed {
		if _, known := t.entries[endpoint.Server]; known && onlyUnknown {
			continue
		}
		entry := addressEntry{id: instances[i].ID, address: instances[i].HostPort, cell: endpoint.Cell}
		if endpoint.Status == scheduler.Removed {
			if existing, ok := t.entries[endpoint.Server]; ok {
				entry = existing // a removed disk server may be listed without its address
			}
			entry.removedAt = now
		}
		t.entries[endpoint.Server] = entry
		listed[endpoint.Server] = true
	}
	return listed
}

// expire marks servers that a full list does not contain as removed, and deletes entries that were removed
// more than removedRetention ago. The caller holds t.mu.
func (t *addressTable) expire(isFull bool, listed map[scheduler.Server]bool, now time.Time) {
	for server, entry := range t.entries {
		switch {
		case isFull && !listed[server] && !entry.isRemoved():
			entry.removedAt = now
			t.entries[server] = entry
		case entry.isRemoved() && now.Sub(entry.removedAt) > removedRetention:
			delete(t.entries, server)
		}
	}
}
