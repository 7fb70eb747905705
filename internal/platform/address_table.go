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

// goneRetention is how long a disk server that is gone can still be reached: attempts that were decided on
// before it was known to be gone may be on their way.
const goneRetention = time.Minute

// addressTable knows under which address each disk server is reached from here. A disk server is its
// instanceId, the same at every scheduler; its address may differ from one to the next. It is safe for
// concurrent use.
type addressTable struct {
	mu      sync.Mutex
	entries map[scheduler.Server]addressEntry
}

// addressEntry is what the table knows of one disk server.
type addressEntry struct {
	id, address string
	cell        uint16
	goneAt      time.Time // zero: it is listed
}

func (e addressEntry) isGone() bool { return !e.goneAt.IsZero() }

// errHashCollision is a list with two ids of one hash; the scheduler could not tell them apart.
var errHashCollision = errors.New("two instances have one hash")

func newAddressTable() *addressTable {
	return &addressTable{entries: map[scheduler.Server]addressEntry{}}
}

func (t *addressTable) find(server scheduler.Server) (addressEntry, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	entry, known := t.entries[server]
	return entry, known
}

// nodeName is how logs name a disk server: its id where that is known.
func (t *addressTable) nodeName(server scheduler.Server) string {
	if entry, known := t.find(server); known {
		return entry.id
	}
	return fmt.Sprint(server)
}

// applyList turns a list into the form of package endpoints and notes its addresses. A disk server that
// cannot be understood is an error for the whole list, which then changes nothing: half a list would look
// like servers that are gone.
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
		if known, ok := t.entries[endpoint.Server]; ok && known.id != listed.ID {
			return update, fmt.Errorf("%w: %q and %q", errHashCollision, known.id, listed.ID)
		}
		update.Endpoints = append(update.Endpoints, endpoint)
	}
	now := time.Now()
	listed := t.noteEndpoints(list.Instances, update.Endpoints, now)
	t.expire(list.Reset, listed, now)
	return update, nil
}

// noteEndpoints notes the addresses of a list and returns the servers that it names. The caller holds t.mu.
func (t *addressTable) noteEndpoints(instances []ListedServer, parsed []endpoints.Endpoint,
	now time.Time) map[scheduler.Server]bool {
	listed := map[scheduler.Server]bool{}
	for i, endpoint := range parsed {
		entry := addressEntry{id: instances[i].ID, address: instances[i].HostPort, cell: endpoint.Cell}
		if endpoint.Status == scheduler.Gone {
			if known, ok := t.entries[endpoint.Server]; ok {
				entry = known // a disk server that is gone may be listed without its address
			}
			entry.goneAt = now
		}
		t.entries[endpoint.Server] = entry
		listed[endpoint.Server] = true
	}
	return listed
}

// expire notes as gone what a full list does not name, and forgets what has been gone for long. The caller
// holds t.mu.
func (t *addressTable) expire(isFull bool, listed map[scheduler.Server]bool, now time.Time) {
	for server, entry := range t.entries {
		switch {
		case isFull && !listed[server] && !entry.isGone():
			entry.goneAt = now
			t.entries[server] = entry
		case entry.isGone() && now.Sub(entry.goneAt) > goneRetention:
			delete(t.entries, server)
		}
	}
}
