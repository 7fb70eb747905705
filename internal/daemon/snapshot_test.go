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

// The endpoint snapshot is used after a restart while the registry is down. A damaged one is ignored and
// logged. A full disk costs nothing but the snapshot.
func TestInstance_RestoresEndpointSnapshot(t *testing.T) {
	env := newTestEnvironment(t)
	env.node(0, echo)
	file := registry.SnapshotFile{Path: filepath.Join(t.TempDir(), "list")}
	instance := env.start(func(cfg *Config) { cfg.Snapshot = file })
	env.awaitLog("node listed")
	for range 200 {
		if k, err := file.Load(); err == nil && len(k.Endpoints) == 1 {
			break
		}
		time.Sleep(10 * time.Millisecond)
	}
	instance.Stop()
	<-env.ended
	env.registry.SetDown(true)
	env.start(func(cfg *Config) { cfg.Snapshot, cfg.Site.PollEndpoints = file, true })
	client := env.client()
	if answer := client.call(nil); answer.Code != proto.OK {
		t.Errorf("with the kept list alone: %+v", answer)
	}
	env.instance.Stop()
	<-env.ended

	if err := os.WriteFile(file.Path, []byte("damaged"), 0o644); err != nil {
		t.Fatal(err)
	}
	full := file
	full.Write = func(string, []byte) error { return syscall.ENOSPC }
	env.registry.SetDown(false)
	env.start(func(cfg *Config) { cfg.Snapshot = full })
	env.awaitLog("endpoint snapshot ignored")
	env.awaitLog("no space left on device")
	client = env.client()
	if answer := client.call(nil); answer.Code != proto.OK {
		t.Errorf("with a full disk: %+v", answer)
	}
}

// A registry that is the same as before may send a restarted instance just the changes since its snapshot.
func TestView_AppliesChangesToTrustedSnapshot(t *testing.T) {
	for _, one := range []bool{true, false} {
		view := endpoints.New(0)
		view.Restore(endpoints.Clock{Now: time.Hour}, endpoints.Snapshot{Version: 3})
		if one {
			view.TrustRestored()
		}
		_, verdict := view.Apply(
			endpoints.Clock{Now: time.Hour},
			endpoints.Update{Version: 4, BaseVersion: 3},
		)
		if (verdict == endpoints.Applied) != one {
			t.Errorf("one service %v: verdict %v", one, verdict)
		}
	}
}
