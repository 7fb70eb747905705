package checkpoint

import (
	"math"
	"strings"
	"testing"
	"time"

	"landingpaddle/endpoints"
	"landingpaddle/scheduler"
)

func server(i byte) scheduler.Server { return scheduler.Server{Addr: [4]byte{127, 0, 0, i}, Port: 1} }

func site() Fingerprint {
	return Fingerprint{MeanUnits: 2, MaxUnits: 8, Classes: []Class{{"read", false}, {"write", true}}}
}

func listed() []endpoints.Endpoint {
	return []endpoints.Endpoint{{Server: server(1), Status: scheduler.Ready, StartedAt: 10},
		{Server: server(2), Status: scheduler.Ready, StartedAt: 20},
		{Server: server(3), Status: scheduler.Ready, StartedAt: 30}}
}

const wall = int64(time.Hour) * 1000

func record() Record {
	fit := scheduler.Regression{Count: 20, MeanSize: 2, MeanTime: 0.01, MeanSquare: 5, MeanProduct: 0.03}
	l := scheduler.Statistics{Nodes: map[scheduler.Server]scheduler.NodeStatistics{}, AllClasses: fit,
		MedianLatency: 9 * time.Millisecond, RecentLatency: 12 * time.Millisecond,
		Classes: []scheduler.ClassStatistics{{MeanUnits: 2, Count: 30, Latency: fit},
			{MeanUnits: 3, Count: 40, Latency: fit}}}
	for i := byte(1); i <= 3; i++ {
		l.Nodes[server(i)] = scheduler.NodeStatistics{Latency: time.Duration(i) * time.Millisecond}
	}
	return Capture(wall, site(), l, listed())
}

func TestAllCarriesOverWhereNothingChanged(t *testing.T) {
	r := record()
	if err := r.Validate(wall+1, site()); err != nil {
		t.Fatal(err)
	}
	l := r.Restore(site(), listed())
	if len(l.Nodes) != 3 || l.AllClasses.Count != 20 || l.MedianLatency == 0 || l.RecentLatency == 0 ||
		l.Classes[1].MeanUnits != 3 {
		t.Errorf("got %+v", l)
	}
}

// A node that started anew, drains or is another is learnt afresh.
func TestOnlyTheSameStartOfANodeCarriesOver(t *testing.T) {
	list := listed()
	list[0].StartedAt++
	list[1].Status = scheduler.Draining
	l := record().Restore(site(), list)
	if _, same := l.Nodes[server(3)]; len(l.Nodes) != 1 || !same {
		t.Errorf("got %v, want node 3 alone", l.Nodes)
	}
}

// Figures of classes follow their names; a class that is new, or writes now, starts afresh, and so does what
// is reckoned over all classes.
func TestClassesCarryOverByName(t *testing.T) {
	now := site()
	now.Classes = []Class{{"write", true}, {"read", true}, {"scan", false}}
	l := record().Restore(now, listed())
	if l.Classes[0].MeanUnits != 3 || l.Classes[1].Count != 0 || l.Classes[2].Count != 0 {
		t.Errorf("classes %+v", l.Classes)
	}
	if l.AllClasses.Count != 0 || l.MedianLatency != 0 || l.RecentLatency != 0 || len(l.Nodes) != 3 {
		t.Errorf("got %+v", l)
	}
}

// Where a unit means something else, no size and no time means the same.
func TestNothingCarriesOverToOtherUnits(t *testing.T) {
	now := site()
	now.MeanUnits = 3
	if l := record().Restore(now, listed()); len(l.Nodes) != 0 || len(l.Classes) != 0 ||
		l.AllClasses.Count != 0 {
		t.Errorf("got %+v", l)
	}
}

func TestRecordsThatCannotBeBelieved(t *testing.T) {
	for want, spoil := range map[string]func(r *Record){
		"no time":             func(r *Record) { r.WrittenAt = 0 },
		"of instance 3":       func(r *Record) { r.Fingerprint.Instance = 3 },
		"from now":            func(r *Record) { r.WrittenAt = wall + int64(2*time.Minute) },
		"old, over 1h":        func(r *Record) { r.WrittenAt = wall - int64(2*time.Hour) },
		"of 1 classes":        func(r *Record) { r.Classes = r.Classes[:1] },
		"class write are out": func(r *Record) { r.Classes[1].MeanUnits = 1e9 },
		"class read are out":  func(r *Record) { r.Classes[0].Latency.MeanProduct = math.NaN() },
		"usual request are":   func(r *Record) { r.AllClasses.MeanTime = -1 },
		"of a node are out":   func(r *Record) { r.Nodes[0].Statistics.Latency = -1 },
	} {
		r := record()
		spoil(&r)
		if err := r.Validate(wall, site()); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("got %v, want %q", err, want)
		}
	}
}
