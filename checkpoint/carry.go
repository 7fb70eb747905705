// Package carry decides which figures that an instance has learnt still mean the same in its next life, after
// a restart or a move to other settings. It does no I/O, reads no clock and starts no goroutine.
//
// Carried over: how long the usual request takes at a node, where the same start of the same node is listed
// and a unit means the same; a class's sizes and times, where a class of that name still reads or writes;
// what the usual request takes, where the classes are the same. All else starts afresh: depths, failures and
// pauses hang on the hosts and aims of the day, and stores of limits, reserves, budgets, sends to cold nodes
// and what may have run are never believed, since a rule hangs on each.
package checkpoint

import (
	"fmt"
	"math"
	"slices"
	"time"

	"landingpaddle/endpoints"
	"landingpaddle/scheduler"
)

// Oldest is the age from which on a record tells nothing any more.
const MaxAge = time.Hour

// longest is a time at a node over which a figure cannot be right.
const maxLatency = time.Hour

// Site are the facts of the settings on which the meaning of figures hangs.
type Fingerprint struct {
	Instance  int     `cbor:"Number"` // of the instance
	MeanUnits float64 `cbor:"Mean"`
	MaxUnits  float64 `cbor:"Most"` // units
	Classes   []Class `cbor:"Classes"`
}

// Class is a class's name and whether it writes.
type Class struct {
	Name   string `cbor:"Name"`
	Writes bool   `cbor:"Writes"`
}

// Node is a figure of one start of a node.
type NodeRecord struct {
	Server     scheduler.Server         `cbor:"Server"`
	StartedAt  int64                    `cbor:"Boot"` // Unix nanoseconds of the node's clock
	Statistics scheduler.NodeStatistics `cbor:"Learnt"`
}

// Record is what is kept.
type Record struct {
	WrittenAt     int64                       `cbor:"Written"` // Unix nanoseconds
	Fingerprint   Fingerprint                 `cbor:"Site"`
	Nodes         []NodeRecord                `cbor:"Nodes"`
	Classes       []scheduler.ClassStatistics `cbor:"Classes"`
	AllClasses    scheduler.Regression        `cbor:"Usual"`
	MedianLatency time.Duration               `cbor:"Median"`
	RecentLatency time.Duration               `cbor:"Lately"`
}

// Keep makes the record of what was learnt, of the nodes that are listed.
func Capture(wall int64, site Fingerprint, l scheduler.Statistics, listed []endpoints.Endpoint) Record {
	r := Record{
		WrittenAt:     wall,
		Fingerprint:   site,
		Classes:       l.Classes,
		AllClasses:    l.AllClasses,
		MedianLatency: l.MedianLatency,
		RecentLatency: l.RecentLatency,
	}
	for _, e := range listed {
		if n, ok := l.Nodes[e.Server]; ok {
			r.Nodes = append(r.Nodes, NodeRecord{e.Server, e.StartedAt, n})
		}
	}
	return r
}

// Check tells why a record cannot be believed at all.
func (r Record) Validate(wall int64, now Fingerprint) error {
	switch {
	case r.WrittenAt == 0:
		return fmt.Errorf("it tells of no time")
	case r.Fingerprint.Instance != now.Instance:
		return fmt.Errorf("it is of instance %d, this is %d", r.Fingerprint.Instance, now.Instance)
	case r.WrittenAt > wall+int64(time.Minute):
		return fmt.Errorf("it was written %v from now", time.Duration(r.WrittenAt-wall).Round(time.Second))
	case wall-r.WrittenAt > int64(MaxAge):
		return fmt.Errorf("it is %v old, over %v", time.Duration(wall-r.WrittenAt).Round(time.Second), MaxAge)
	case len(r.Classes) != len(r.Fingerprint.Classes):
		return fmt.Errorf(
			"it has figures of %d classes and names %d",
			len(r.Classes),
			len(r.Fingerprint.Classes),
		)
	case !validLatency(r.MedianLatency) || !validLatency(r.RecentLatency) || !validRegression(r.AllClasses):
		return fmt.Errorf("its figures of the usual request are out of range")
	}
	for i, c := range r.Classes {
		if !inRange(c.MeanUnits, r.Fingerprint.MaxUnits) || !inRange(c.Count, math.MaxUint32) ||
			!validRegression(c.Latency) {
			return fmt.Errorf("its figures of class %s are out of range", r.Fingerprint.Classes[i].Name)
		}
	}
	for _, n := range r.Nodes {
		if !validLatency(n.Statistics.Latency) || !validLatency(n.Statistics.Deviation) {
			return fmt.Errorf("its figures of a node are out of range")
		}
	}
	return nil
}

func validLatency(d time.Duration) bool { return d >= 0 && d <= maxLatency }

func inRange(v, most float64) bool { return v >= 0 && v <= most } // false for what is no number

func validRegression(f scheduler.Regression) bool {
	for _, v := range []float64{f.Count, f.MeanSize, f.MeanTime, f.MeanSquare, f.MeanProduct} {
		if !inRange(v, 1e12) {
			return false
		}
	}
	return f.Count == 0 || f.MeanTime > 0
}

// Over is what of a checked record still means the same under these settings and this list.
func (r Record) Restore(now Fingerprint, listed []endpoints.Endpoint) scheduler.Statistics {
	out := scheduler.Statistics{Nodes: map[scheduler.Server]scheduler.NodeStatistics{}}
	if r.Fingerprint.MeanUnits != now.MeanUnits || r.Fingerprint.MaxUnits != now.MaxUnits {
		return out // a unit means something else: so does every size, and every time reckoned by sizes
	}
	starts := map[scheduler.Server]int64{}
	for _, e := range listed {
		if e.Status == scheduler.Ready {
			starts[e.Server] = e.StartedAt
		}
	}
	for _, n := range r.Nodes {
		if boot, ready := starts[n.Server]; ready && boot == n.StartedAt {
			out.Nodes[n.Server] = n.Statistics
		}
	}
	for _, c := range now.Classes {
		was := scheduler.ClassStatistics{}
		if i := slices.Index(r.Fingerprint.Classes, c); i >= 0 {
			was = r.Classes[i]
		}
		out.Classes = append(out.Classes, was)
	}
	if sameClasses(r.Fingerprint.Classes, now.Classes) {
		out.AllClasses, out.MedianLatency, out.RecentLatency = r.AllClasses, r.MedianLatency, r.RecentLatency
	}
	return out
}

func sameClasses(a, b []Class) bool {
	return len(a) == len(b) && !slices.ContainsFunc(a, func(c Class) bool { return !slices.Contains(b, c) })
}
