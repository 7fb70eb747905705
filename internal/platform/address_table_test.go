package platform

import (
	"errors"
	"testing"

	"landingpaddle/internal/wire"
	"landingpaddle/scheduler"
)

func testSite(t *testing.T) *wire.Site {
	t.Helper()
	return &parseTestConfig(t, "127.0.0.1:1").Site
}

// A disk server that was removed from the list can be found for removedRetention, as attempts may not be
// connected yet; its entry is then deleted. Invalid servers are rejected.
func TestAddressTable_EvictsRemovedServers(t *testing.T) {
	table, site := newAddressTable(), testSite(t)
	listed := ListedServer{ID: "s-1", HostPort: "127.0.0.1:1", Zone: "a", MachineType: "m",
		Lifecycle: "ready"}
	if _, err := table.applyList(List{Reset: true, Instances: []ListedServer{listed}}, 0, site); err != nil {
		t.Fatal(err)
	}
	if _, err := table.applyList(List{Reset: true}, 0, site); err != nil {
		t.Fatal(err)
	}
	server := serverOf("s-1")
	entry, found := table.find(server)
	if !found || !entry.isRemoved() {
		t.Fatalf("got %+v, found %v; want it found and marked as removed", entry, found)
	}
	entry.removedAt = entry.removedAt.Add(-2 * removedRetention)
	table.entries[server] = entry
	if _, err := table.applyList(List{Reset: true}, 0, site); err != nil || len(table.entries) != 0 {
		t.Errorf("got %d entries, error %v; want none", len(table.entries), err)
	}
	for _, invalid := range []ListedServer{
		{},
		{ID: "a", Lifecycle: "odd"},
		{ID: "a", Lifecycle: "ready"},
		{ID: "a", HostPort: "b", Lifecycle: "ready", Cell: 1 << 16},
		{ID: "a", HostPort: "b", Lifecycle: "ready", StartedAtMS: -1},
	} {
		if _, err := table.applyList(List{Instances: []ListedServer{invalid}}, 0, site); err == nil {
			t.Errorf("%+v: got no error, want one", invalid)
		}
	}
	if serverOf("s-1") == serverOf("s-2") || serverOf("s-1") == (scheduler.Server{}) {
		t.Error("got equal or zero hashes for different ids")
	}
}

// Guards against losing the address of a listed disk server to an older list: a slow call may return a list
// after a newer one was applied. The older one is stale for the scheduler, so it must not mark servers as
// removed, whose addresses are deleted later, nor replace addresses.
func TestAddressTable_KeepsServersOfNewerList(t *testing.T) {
	for name, isFull := range map[string]bool{"full list": true, "change": false} {
		t.Run(name, func(t *testing.T) {
			table, site := newAddressTable(), testSite(t)
			server := func(id, address, lifecycle string) ListedServer {
				return ListedServer{ID: id, HostPort: address, Zone: "a", MachineType: "m",
					Lifecycle: lifecycle}
			}
			newer := List{Generation: 9, Reset: true, Instances: []ListedServer{
				server("s-1", "127.0.0.1:1", "ready"), server("s-2", "127.0.0.1:2", "ready")}}
			older := List{Generation: 8, Reset: isFull, Instances: []ListedServer{
				server("s-1", "127.0.0.1:9", "ready"), server("s-3", "127.0.0.1:3", "ready")}}
			if !isFull {
				older.Instances = append(older.Instances, server("s-2", "127.0.0.1:2", "gone"))
			}
			for _, list := range []List{newer, older} {
				if _, err := table.applyList(list, 0, site); err != nil {
					t.Fatal(err)
				}
			}
			for id, address := range map[string]string{"s-1": "127.0.0.1:1", "s-2": "127.0.0.1:2",
				"s-3": "127.0.0.1:3"} {
				entry, known := table.find(serverOf(id))
				if !known || entry.isRemoved() || entry.address != address {
					t.Errorf("%s: got %+v, known %v; want it listed at %s", id, entry, known, address)
				}
			}
		})
	}
}

// A list with an id that has the hash of another id in the table is rejected as a whole.
func TestAddressTable_RejectsHashCollision(t *testing.T) {
	table, site := newAddressTable(), testSite(t)
	table.entries[serverOf("s-1")] = addressEntry{id: "other"}
	listed := ListedServer{ID: "s-1", HostPort: "127.0.0.1:1", Lifecycle: "ready"}
	_, err := table.applyList(List{Instances: []ListedServer{listed}}, 0, site)
	if !errors.Is(err, errHashCollision) || table.entries[serverOf("s-1")].id != "other" {
		t.Errorf("got error %v, entries %+v; want a hash collision and no change", err, table.entries)
	}
}
