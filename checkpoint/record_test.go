package checkpoint

import (
	"errors"
	"math"
	"strings"
	"testing"
	"time"

	"landingpaddle/endpoints"
	"landingpaddle/scheduler"
)

func server(i byte) scheduler.Server { return scheduler.Server{Addr: [4]byte{127, 0, 0, i}, Port: 1} }

func fingerprint() Fingerprint {
	return Fingerprint{MeanUnits: 2, MaxUnits: 8, Classes: []Class{{"read", false}, {"write", true}}}
}

func listed() []endpoints.Endpoint {
	return []endpoints.Endpoint{{Server: server(1), Status: scheduler.Ready, StartedAt: 10},
		{Server: server(2), Status: scheduler.Ready, StartedAt: 20},
		{Server: server(3), Status: scheduler.Ready, StartedAt: 30}}
}

const wall = int64(time.Hour) * 1000

func record() Record {
	regression := scheduler.Regression{Count: 20, MeanSize: 2, MeanTime: 0.01, MeanSquare: 5,
		MeanProduct: 0.03}
	statistics := scheduler.Statistics{Nodes: map[scheduler.Server]scheduler.NodeStatistics{},
		AllClasses:    regression,
		MedianLatency: 9 * time.Millisecond, RecentLatency: 12 * time.Millisecond,
		Classes: []scheduler.ClassStatistics{{MeanUnits: 2, Count: 30, Latency: regression},
			{MeanUnits: 3, Count: 40, Latency: regression}}}
	for i := byte(1); i <= 3; i++ {
		statistics.Nodes[server(i)] = scheduler.NodeStatistics{Latency: time.Duration(i) * time.Millisecond}
	}
	return Capture(wall, fingerprint(), statistics, listed())
}

func TestRestore_ReturnsEverythingWhereNothingChanged(t *testing.T) {
	r := record()
	if err := r.Validate(wall+1, fingerprint()); err != nil {
		t.Fatal(err)
	}
	restored := r.Restore(fingerprint(), listed())
	if len(restored.Nodes) != 3 || restored.AllClasses.Count != 20 || restored.MedianLatency == 0 ||
		restored.RecentLatency == 0 ||
		restored.Classes[1].MeanUnits != 3 {
		t.Errorf("got %+v, want all statistics of the record", restored)
	}
}

// Statistics of a node that has restarted or is draining are not restored.
func TestRestore_KeepsOnlyTheSameIncarnationOfANode(t *testing.T) {
	list := listed()
	list[0].StartedAt++
	list[1].Status = scheduler.Draining
	restored := record().Restore(fingerprint(), list)
	if _, same := restored.Nodes[server(3)]; len(restored.Nodes) != 1 || !same {
		t.Errorf("got %v, want node 3 alone", restored.Nodes)
	}
}

// Statistics of classes are matched by name. A class that is new or has changed its direction starts without
// statistics; then those over all classes are not restored either.
func TestRestore_MatchesClassesByName(t *testing.T) {
	current := fingerprint()
	current.Classes = []Class{{"write", true}, {"read", true}, {"scan", false}}
	restored := record().Restore(current, listed())
	if restored.Classes[0].MeanUnits != 3 || restored.Classes[1].Count != 0 ||
		restored.Classes[2].Count != 0 {
		t.Errorf("got classes %+v, want statistics of write alone", restored.Classes)
	}
	if restored.AllClasses.Count != 0 || restored.MedianLatency != 0 || restored.RecentLatency != 0 ||
		len(restored.Nodes) != 3 {
		t.Errorf("got %+v, want those of 3 nodes and none over all classes", restored)
	}
}

// If the unit has changed, no size and no latency is valid any more.
func TestRestore_ReturnsNothingForOtherUnits(t *testing.T) {
	current := fingerprint()
	current.MeanUnits = 3
	if restored := record().Restore(current, listed()); len(restored.Nodes) != 0 ||
		len(restored.Classes) != 0 || restored.AllClasses.Count != 0 {
		t.Errorf("got %+v, want no statistics", restored)
	}
}

// Each key is a part of the error text that is expected after the change.
func TestValidate_RejectsUnusableRecords(t *testing.T) {
	for want, corrupt := range map[string]func(r *Record){
		"no time":              func(r *Record) { r.WrittenAt = 0 },
		"of instance 3":        func(r *Record) { r.Fingerprint.Instance = 3 },
		"in the future":        func(r *Record) { r.WrittenAt = wall + int64(2*time.Minute) },
		"old, over 1h":         func(r *Record) { r.WrittenAt = wall - int64(2*time.Hour) },
		"of 1 classes":         func(r *Record) { r.Classes = r.Classes[:1] },
		"class write are out":  func(r *Record) { r.Classes[1].MeanUnits = 1e9 },
		"class read are out":   func(r *Record) { r.Classes[0].Latency.MeanProduct = math.NaN() },
		"over all classes are": func(r *Record) { r.AllClasses.MeanTime = -1 },
		"of a node are out":    func(r *Record) { r.Nodes[0].Statistics.Latency = -1 },
	} {
		t.Run(want, func(t *testing.T) {
			r := record()
			corrupt(&r)
			err := r.Validate(wall, fingerprint())
			var invalid *InvalidRecordError
			if !errors.As(err, &invalid) || !strings.Contains(err.Error(), want) {
				t.Errorf("got %v, want %q", err, want)
			}
		})
	}
}
