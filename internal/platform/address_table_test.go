package platform

import (
	"testing"

	"landingpaddle/scheduler"
)

func TestAddressTable_ForgetsGoneServers(t *testing.T) {
	table, site := newAddressTable(), startGateway(
		t,
		256,
		newFakeDiskServer(t, func(int, *receivedRequest) []byte { return nil }),
	).gateway.config.Site
	server := ListedServer{
		ID:          "s-1",
		HostPort:    "127.0.0.1:1",
		Zone:        "a",
		MachineType: "m",
		Lifecycle:   "ready",
	}
	if _, err := table.applyList(List{Reset: true, Instances: []ListedServer{server}}, 0, &site); err != nil {
		t.Fatal(err)
	}
	if _, err := table.applyList(List{Reset: true}, 0, &site); err != nil {
		t.Fatal(err)
	}
	if p, known := table.find(serverOf("s-1")); !known || p.goneAt.IsZero() {
		t.Fatalf("%+v, %v: attempts on their way must still find it", p, known)
	}
	p := table.entries[serverOf("s-1")]
	p.goneAt = p.goneAt.Add(-2 * goneRetention)
	table.entries[serverOf("s-1")] = p
	if _, err := table.applyList(List{Reset: true}, 0, &site); err != nil || len(table.entries) != 0 {
		t.Errorf("%d pages, %v", len(table.entries), err)
	}
	for _, bad := range []ListedServer{{}, {ID: "a", Lifecycle: "odd"}, {ID: "a", Lifecycle: "ready"},
		{ID: "a", HostPort: "b", Lifecycle: "ready", Cell: 1 << 16}, {ID: "a", HostPort: "b",
			Lifecycle: "ready", StartedAtMS: -1}} {
		if _, err := table.applyList(List{Instances: []ListedServer{bad}}, 0, &site); err == nil {
			t.Errorf("%+v was taken", bad)
		}
	}
	if serverOf("s-1") == serverOf("s-2") || serverOf("s-1") == (scheduler.Server{}) {
		t.Error("ids are not told apart")
	}
}
