package daemon

import (
	"os"
	"path/filepath"
	"syscall"
	"testing"
	"time"

	"landingpaddle/endpoints"
	"landingpaddle/internal/proto"
	"landingpaddle/internal/registry"
)

// After a restart with the registry down, the instance uses the endpoint snapshot. A damaged snapshot is
// ignored and logged. On a full disk only the snapshot is lost; requests are served.
func TestInstance_RestoresEndpointSnapshot(t *testing.T) {
	env := newTestEnvironment(t)
	env.addNode(0, echo)
	file := registry.SnapshotFile{Path: filepath.Join(t.TempDir(), "list")}
	instance := env.start(func(cfg *Config) { cfg.Snapshot = file })
	env.awaitLog("node listed")
	for range 200 {
		if snapshot, err := file.Load(); err == nil && len(snapshot.Endpoints) == 1 {
			break
		}
		time.Sleep(10 * time.Millisecond)
	}
	instance.Stop()
	<-env.ended
	env.registry.SetDown(true)
	env.start(func(cfg *Config) { cfg.Snapshot, cfg.Site.PollEndpoints = file, true })
	client := env.connectClient()
	if answer := client.call(nil); answer.Code != proto.OK {
		t.Errorf("got %+v with the snapshot alone; want OK", answer)
	}
	env.instance.Stop()
	<-env.ended

	if err := os.WriteFile(file.Path, []byte("damaged"), 0o644); err != nil {
		t.Fatal(err)
	}
	fullDisk := file
	fullDisk.Write = func(string, []byte) error { return syscall.ENOSPC }
	env.registry.SetDown(false)
	env.start(func(cfg *Config) { cfg.Snapshot = fullDisk })
	env.awaitLog("endpoint snapshot ignored")
	env.awaitLog("no space left on device")
	client = env.connectClient()
	if answer := client.call(nil); answer.Code != proto.OK {
		t.Errorf("got %+v with a full disk; want OK", answer)
	}
}

// A view restored from a snapshot applies an update that contains only the changes since that snapshot if the
// snapshot is trusted, and otherwise does not.
func TestView_AppliesChangesToTrustedSnapshot(t *testing.T) {
	for _, trusted := range []bool{true, false} {
		view := endpoints.New(0)
		view.Restore(endpoints.Clock{Now: time.Hour}, endpoints.Snapshot{Version: 3})
		if trusted {
			view.TrustRestored()
		}
		_, result := view.Apply(
			endpoints.Clock{Now: time.Hour},
			endpoints.Update{Version: 4, BaseVersion: 3},
		)
		if (result == endpoints.Applied) != trusted {
			t.Errorf("snapshot trusted %v: got result %v; want Applied only if trusted", trusted, result)
		}
	}
}
