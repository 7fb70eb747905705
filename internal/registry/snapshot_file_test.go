package registry

import (
	"bytes"
	"errors"
	"os"
	"path/filepath"
	"reflect"
	"syscall"
	"testing"

	"landingpaddle/endpoints"
	"landingpaddle/internal/statefile"
	"landingpaddle/scheduler"
)

// The files in testdata were written before any field was renamed: they must stay readable, and saving their
// lists must yield the same bytes.
const (
	storedList  = "testdata/list.bin"      // storedSnapshot, whose fields were set explicitly
	stoppedList = "testdata/list-stop.bin" // written by a process that watched a registry
)

func storedSnapshot() endpoints.Snapshot {
	return endpoints.Snapshot{Epoch: 1_780_000_000_000_000_001, Version: 12, Endpoints: []endpoints.Endpoint{
		{
			Server:          scheduler.Server{Addr: [4]byte{10, 1, 2, 3}, Port: 7100},
			Status:          scheduler.Ready,
			Cell:            4,
			Zone:            2,
			MachineType:     3,
			StartedAt:       1_779_999_999_000_000_002,
			NominalCapacity: 1.25,
		},
		{
			Server:          scheduler.Server{Addr: [4]byte{10, 1, 2, 4}, Port: 7101},
			Status:          scheduler.Draining,
			Cell:            5,
			Zone:            1,
			MachineType:     1,
			StartedAt:       7,
			NominalCapacity: 0.5,
		},
		{Server: scheduler.Server{Addr: [4]byte{10, 1, 2, 5}, Port: 7102}, Status: scheduler.Removed}}}
}

func TestSnapshotFile_ReadsAndWritesStoredList(t *testing.T) {
	got, err := SnapshotFile{Path: storedList}.Load()
	if err != nil {
		t.Fatal(err)
	}
	if want := storedSnapshot(); !reflect.DeepEqual(got, want) {
		t.Errorf("read %+v\nwant %+v", got, want)
	}
	checkListBytes(t, storedList, storedSnapshot())
}

func TestSnapshotFile_ReadsListOfAStoppedProcess(t *testing.T) {
	got, err := SnapshotFile{Path: stoppedList}.Load()
	if err != nil {
		t.Fatal(err)
	}
	if got.Epoch == 0 || got.Version == 0 || len(got.Endpoints) != 2 {
		t.Errorf("read %+v, want an epoch, a version and 2 endpoints", got)
	}
	for _, e := range got.Endpoints {
		if e.Server.Addr != [4]byte{127, 0, 0, 1} || e.Server.Port == 0 || e.Status != scheduler.Ready ||
			e.StartedAt == 0 {
			t.Errorf("read %+v, want a Ready endpoint of 127.0.0.1 with a port and a start time", e)
		}
	}
	checkListBytes(t, stoppedList, got)
}

// checkListBytes checks that saving a list yields the bytes of the file at path.
func checkListBytes(t *testing.T, path string, snapshot endpoints.Snapshot) {
	t.Helper()
	want, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	var data []byte
	f := SnapshotFile{Path: path, Write: func(_ string, written []byte) error { data = written; return nil }}
	if err := f.Save(snapshot); err != nil {
		t.Fatal(err)
	}
	if !bytes.Equal(data, want) {
		t.Errorf("%s: saved bytes: got\n%x\nwant\n%x", path, data, want)
	}
}

// A file that is truncated at any length or changed in any byte is rejected as corrupt, and a failed write
// leaves the old file.
func TestSnapshotFile_ReportsDamageAndKeepsTheOldList(t *testing.T) {
	f := SnapshotFile{Path: filepath.Join(t.TempDir(), "list")}
	if snapshot, err := f.Load(); err != nil || snapshot.Version != 0 {
		t.Fatalf("no file: got %+v, %v; want an empty list", snapshot, err)
	}
	want := endpoints.Snapshot{
		Epoch:   3,
		Version: 4,
		Endpoints: []endpoints.Endpoint{endpoint(1, scheduler.Ready), endpoint(2,
			scheduler.Draining)},
	}
	if err := f.Save(want); err != nil {
		t.Fatal(err)
	}
	got, err := f.Load()
	if err != nil || len(got.Endpoints) != 2 || got.Endpoints[1] != want.Endpoints[1] || got.Version != 4 {
		t.Fatalf("saved list: got %+v, %v; want version 4 with 2 endpoints", got, err)
	}
	data, _ := os.ReadFile(f.Path)
	for n := range data {
		if _, err := parseSnapshot(data[:n]); !errors.Is(err, statefile.ErrCorrupt) {
			t.Fatalf("truncated at byte %d: got %v, want ErrCorrupt", n, err)
		}
		changed := append([]byte(nil), data...)
		changed[n] ^= 1
		if _, err := parseSnapshot(changed); !errors.Is(err, statefile.ErrCorrupt) {
			t.Fatalf("byte %d changed: got %v, want ErrCorrupt", n, err)
		}
	}
	f.Write = func(string, []byte) error { return syscall.ENOSPC }
	if err := f.Save(want); !errors.Is(err, syscall.ENOSPC) {
		t.Errorf("full disk: got %v, want ENOSPC", err)
	}
	f.Write = nil
	if snapshot, err := f.Load(); err != nil || snapshot.Version != 4 {
		t.Errorf("list after a failed write: got %+v, %v; want version 4", snapshot, err)
	}
}
