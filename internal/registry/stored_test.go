package registry

import (
	"bytes"
	"os"
	"reflect"
	"testing"

	"landingpaddle/endpoints"
	"landingpaddle/scheduler"
)

// The files in testdata were written before any field was renamed.
const (
	storedList  = "testdata/list.bin"      // storedEntries, written field by field
	stoppedList = "testdata/list-stop.bin" // written by a process that followed a list service
)

func storedKept() endpoints.Snapshot {
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
		{Server: scheduler.Server{Addr: [4]byte{10, 1, 2, 5}, Port: 7102}, Status: scheduler.Gone}}}
}

func TestStoredListReadsAndWritesAsBefore(t *testing.T) {
	got, err := SnapshotFile{Path: storedList}.Load()
	if err != nil {
		t.Fatal(err)
	}
	if want := storedKept(); !reflect.DeepEqual(got, want) {
		t.Errorf("read %+v\nwant %+v", got, want)
	}
	sameListBytes(t, storedList, storedKept())
}

func TestListOfAStoppedProcessReadsAsBefore(t *testing.T) {
	got, err := SnapshotFile{Path: stoppedList}.Load()
	if err != nil {
		t.Fatal(err)
	}
	if got.Epoch == 0 || got.Version == 0 || len(got.Endpoints) != 2 {
		t.Errorf("read %+v", got)
	}
	for _, e := range got.Endpoints {
		if e.Server.Addr != [4]byte{127, 0, 0, 1} || e.Server.Port == 0 || e.Status != scheduler.Ready ||
			e.StartedAt == 0 {
			t.Errorf("read %+v", e)
		}
	}
	sameListBytes(t, stoppedList, got)
}

// sameListBytes checks that a list is written as the file that it was read from.
func sameListBytes(t *testing.T, path string, k endpoints.Snapshot) {
	t.Helper()
	want, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	var data []byte
	f := SnapshotFile{Path: path, Write: func(_ string, written []byte) error { data = written; return nil }}
	if err := f.Save(k); err != nil {
		t.Fatal(err)
	}
	if !bytes.Equal(data, want) {
		t.Errorf("%s: the list is written as other bytes:\n%x\nwant\n%x", path, data, want)
	}
}
