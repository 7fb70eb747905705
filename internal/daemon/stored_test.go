package daemon

import (
	"bytes"
	"os"
	"reflect"
	"slices"
	"testing"
	"time"

	"landingpaddle/checkpoint"
	"landingpaddle/internal/statefile"
	"landingpaddle/scheduler"
)

// The files in testdata were written before Go fields of the record were renamed. They must stay readable,
// and the same record must still be encoded to the same bytes.
const (
	storedRecordFile   = "testdata/learnt.bin"      // storedRecord, with every field set
	shutdownRecordFile = "testdata/learnt-stop.bin" // written by an instance at a graceful shutdown
)

// storedRecord returns a record with a distinct value in every field.
func storedRecord() checkpoint.Record {
	return checkpoint.Record{WrittenAt: 1_780_000_000_000_000_001,
		Fingerprint: checkpoint.Fingerprint{Instance: 3, MeanUnits: 2.5, MaxUnits: 8.25,
			Classes: []checkpoint.Class{{Name: "read", Writes: false}, {Name: "write", Writes: true}}},
		Nodes: []checkpoint.NodeRecord{
			{
				Server:    scheduler.Server{Addr: [4]byte{10, 1, 2, 3}, Port: 7100},
				StartedAt: 1_779_999_999_000_000_002,
				Statistics: scheduler.NodeStatistics{
					Latency:   11 * time.Millisecond,
					Deviation: 7 * time.Microsecond,
				},
			},
			{Server: scheduler.Server{Addr: [4]byte{10, 1, 2, 4}, Port: 7101}, StartedAt: 5,
				Statistics: scheduler.NodeStatistics{
					Latency:   13 * time.Millisecond,
					Deviation: 17 * time.Nanosecond,
				}}},
		Classes: []scheduler.ClassStatistics{
			{
				MeanUnits: 1.5,
				Count:     40,
				Latency: scheduler.Regression{
					Count:       21,
					MeanSize:    2.125,
					MeanTime:    0.5,
					MeanSquare:  6.5,
					MeanProduct: 0.75,
				},
			},
			{
				MeanUnits: 3.5,
				Count:     41,
				Latency: scheduler.Regression{
					Count:       22,
					MeanSize:    3.125,
					MeanTime:    1.5,
					MeanSquare:  7.5,
					MeanProduct: 1.75,
				},
			}},
		AllClasses: scheduler.Regression{
			Count:       23,
			MeanSize:    4.125,
			MeanTime:    2.5,
			MeanSquare:  8.5,
			MeanProduct: 2.75,
		},
		MedianLatency: 19 * time.Millisecond, RecentLatency: 23 * time.Millisecond}
}

// A file with every field set is read as the record that was written, and the record is still encoded to the
// same bytes.
func TestStoredStatistics_ReadAndWriteAsBefore(t *testing.T) {
	var got checkpoint.Record
	if err := statefile.Read(storedRecordFile, statisticsMagic, &got); err != nil {
		t.Fatal(err)
	}
	if want := storedRecord(); !reflect.DeepEqual(got, want) {
		t.Errorf("got %+v\nwant %+v", got, want)
	}
	checkEncoding(t, storedRecordFile, storedRecord())
}

// A file that an instance wrote at a graceful shutdown is valid, has no field that was lost and read as zero,
// and is still encoded to the same bytes.
func TestStoredStatistics_OfGracefulShutdownReadAndWriteAsBefore(t *testing.T) {
	var got checkpoint.Record
	if err := statefile.Read(shutdownRecordFile, statisticsMagic, &got); err != nil {
		t.Fatal(err)
	}
	fingerprint := checkpoint.Fingerprint{Instance: 0, MeanUnits: 2, MaxUnits: 8,
		Classes: []checkpoint.Class{{Name: "read"}, {Name: "write", Writes: true}}}
	if err := got.Validate(got.WrittenAt, fingerprint); err != nil {
		t.Error(err)
	}
	if !reflect.DeepEqual(got.Fingerprint, fingerprint) {
		t.Errorf("got fingerprint %+v; want that of the site", got.Fingerprint)
	}
	incomplete := func(node checkpoint.NodeRecord) bool {
		return node.Server.Addr != [4]byte{127, 0, 0, 1} || node.Server.Port == 0 || node.StartedAt == 0 ||
			node.Statistics.Latency == 0 || node.Statistics.Deviation == 0
	}
	if len(got.Nodes) != 2 || slices.ContainsFunc(got.Nodes, incomplete) {
		t.Errorf("got nodes %+v; want 2 without zero values", got.Nodes)
	}
	for _, regression := range []scheduler.Regression{got.AllClasses, got.Classes[0].Latency,
		got.Classes[1].Latency} {
		if regression.Count == 0 || regression.MeanSize == 0 || regression.MeanTime == 0 ||
			regression.MeanSquare == 0 || regression.MeanProduct == 0 {
			t.Errorf("got regression %+v; want no zero values", regression)
		}
	}
	if got.Classes[0].MeanUnits == 0 || got.Classes[0].Count == 0 || got.MedianLatency == 0 ||
		got.RecentLatency == 0 {
		t.Errorf("got %+v; want units, count and latencies above 0", got)
	}
	checkEncoding(t, shutdownRecordFile, got)
}

// checkEncoding checks that a record is encoded to the bytes of a file.
func checkEncoding(t *testing.T, path string, record checkpoint.Record) {
	t.Helper()
	want, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	data, err := statefile.Encode(statisticsMagic, record)
	if err != nil {
		t.Fatal(err)
	}
	if !bytes.Equal(data, want) {
		t.Errorf("%s: got another encoding of %d bytes:\n%x\nwant\n%x", path, len(data), data, want)
	}
}
