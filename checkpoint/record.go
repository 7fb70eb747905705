package checkpoint

import (
	"slices"
	"time"

	"landingpaddle/endpoints"
	"landingpaddle/scheduler"
)

// Fingerprint holds the settings that determine the meaning of statistics.
type Fingerprint struct {
	Instance  int     `cbor:"Number"` // index of the instance
	MeanUnits float64 `cbor:"Mean"`   // of a request
	MaxUnits  float64 `cbor:"Most"`   // of a request
	Classes   []Class `cbor:"Classes"`
}

// Class identifies a class of requests by its name and whether it writes.
type Class struct {
	Name   string `cbor:"Name"`
	Writes bool   `cbor:"Writes"`
}

// NodeRecord holds the statistics of one incarnation of a node.
type NodeRecord struct {
	Server     scheduler.Server         `cbor:"Server"`
	StartedAt  int64                    `cbor:"Boot"` // Unix nanoseconds of the node's clock
	Statistics scheduler.NodeStatistics `cbor:"Learnt"`
}

// Record is the stored form of an instance's statistics.
type Record struct {
	WrittenAt     int64                       `cbor:"Written"` // Unix nanoseconds
	Fingerprint   Fingerprint                 `cbor:"Site"`
	Nodes         []NodeRecord                `cbor:"Nodes"`
	Classes       []scheduler.ClassStatistics `cbor:"Classes"` // in the order of Fingerprint.Classes
	AllClasses    scheduler.Regression        `cbor:"Usual"`
	MedianLatency time.Duration               `cbor:"Median"`
	RecentLatency time.Duration               `cbor:"Lately"`
}

// Capture returns a record of an instance's statistics, with node statistics only for listed nodes. The wall
// time is in Unix nanoseconds.
func Capture(wall int64, fingerprint Fingerprint, statistics scheduler.Statistics,
	listed []endpoints.Endpoint) Record {
	record := Record{
		WrittenAt:     wall,
		Fingerprint:   fingerprint,
		Classes:       statistics.Classes,
		AllClasses:    statistics.AllClasses,
		MedianLatency: statistics.MedianLatency,
		RecentLatency: statistics.RecentLatency,
	}
	for _, endpoint := range listed {
		if node, ok := statistics.Nodes[endpoint.Server]; ok {
			record.Nodes = append(record.Nodes, NodeRecord{endpoint.Server, endpoint.StartedAt, node})
		}
	}
	return record
}

// Restore returns the statistics that are still valid under the current settings and for the listed nodes.
// The record must have passed Validate.
func (r Record) Restore(current Fingerprint, listed []endpoints.Endpoint) scheduler.Statistics {
	restored := scheduler.Statistics{Nodes: map[scheduler.Server]scheduler.NodeStatistics{}}
	if r.Fingerprint.MeanUnits != current.MeanUnits || r.Fingerprint.MaxUnits != current.MaxUnits {
		// the unit has changed, and with it every size and every latency predicted by size
		return restored
	}
	r.restoreNodes(&restored, listed)
	r.restoreClasses(&restored, current)
	return restored
}

// restoreNodes restores the statistics of ready nodes whose incarnation is unchanged.
func (r Record) restoreNodes(restored *scheduler.Statistics, listed []endpoints.Endpoint) {
	starts := map[scheduler.Server]int64{}
	for _, endpoint := range listed {
		if endpoint.Status == scheduler.Ready {
			starts[endpoint.Server] = endpoint.StartedAt
		}
	}
	for _, node := range r.Nodes {
		if startedAt, ready := starts[node.Server]; ready && startedAt == node.StartedAt {
			restored.Nodes[node.Server] = node.Statistics
		}
	}
}

// restoreClasses restores the statistics of classes by name and direction, and those over all classes if the
// classes are the same.
func (r Record) restoreClasses(restored *scheduler.Statistics, current Fingerprint) {
	for _, class := range current.Classes {
		statistics := scheduler.ClassStatistics{}
		if i := slices.Index(r.Fingerprint.Classes, class); i >= 0 {
			statistics = r.Classes[i]
		}
		restored.Classes = append(restored.Classes, statistics)
	}
	if sameClasses(r.Fingerprint.Classes, current.Classes) {
		restored.AllClasses = r.AllClasses
		restored.MedianLatency, restored.RecentLatency = r.MedianLatency, r.RecentLatency
	}
}

// sameClasses reports whether two lists contain the same classes, in any order.
func sameClasses(a, b []Class) bool {
	isUnknown := func(class Class) bool { return !slices.Contains(b, class) }
	return len(a) == len(b) && !slices.ContainsFunc(a, isUnknown)
}
