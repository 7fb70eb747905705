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
const Oldest = time.Hour

// longest is a time at a node over which a figure cannot be right.
const longest = time.Hour

// Site are the facts of the settings on which the meaning of figures hangs.
type Site struct {
	Number  int     `cbor:"Number"` // of the instance
	Mean    float64 `cbor:"Mean"`
	Most    float64 `cbor:"Most"` // units
	Classes []Class `cbor:"Classes"`
}

// Class is a class's name and whether it writes.
type Class struct {
	Name   string `cbor:"Name"`
	Writes bool   `cbor:"Writes"`
}

// Node is a figure of one start of a node.
type Node struct {
	Server scheduler.Server         `cbor:"Server"`
	Boot   int64                    `cbor:"Boot"` // Unix nanoseconds of the node's clock
	Learnt scheduler.NodeStatistics `cbor:"Learnt"`
}

// Record is what is kept.
type Record struct {
	Written int64                       `cbor:"Written"` // Unix nanoseconds
	Site    Site                        `cbor:"Site"`
	Nodes   []Node                      `cbor:"Nodes"`
	Classes []scheduler.ClassStatistics `cbor:"Classes"`
	Usual   scheduler.Regression        `cbor:"Usual"`
	Median  time.Duration               `cbor:"Median"`
	Lately  time.Duration               `cbor:"Lately"`
}

// Keep makes the record of what was learnt, of the nodes that are listed.
func Keep(wall int64, site Site, l scheduler.Statistics, listed []endpoints.Endpoint) Record {
	r := Record{Written: wall, Site: site, Classes: l.Classes, Usual: l.AllClasses, Median: l.MedianLatency,
		Lately: l.RecentLatency}
	for _, e := range listed {
		if n, ok := l.Nodes[e.Server]; ok {
			r.Nodes = append(r.Nodes, Node{e.Server, e.StartedAt, n})
		}
	}
	return r
}

// Check tells why a record cannot be believed at all.
func (r Record) Check(wall int64, now Site) error {
	switch {
	case r.Written == 0:
		return fmt.Errorf("it tells of no time")
	case r.Site.Number != now.Number:
		return fmt.Errorf("it is of instance %d, this is %d", r.Site.Number, now.Number)
	case r.Written > wall+int64(time.Minute):
		return fmt.Errorf("it was written %v from now", time.Duration(r.Written-wall).Round(time.Second))
	case wall-r.Written > int64(Oldest):
		return fmt.Errorf("it is %v old, over %v", time.Duration(wall-r.Written).Round(time.Second), Oldest)
	case len(r.Classes) != len(r.Site.Classes):
		return fmt.Errorf("it has figures of %d classes and names %d", len(r.Classes), len(r.Site.Classes))
	case !goodTime(r.Median) || !goodTime(r.Lately) || !goodFit(r.Usual):
		return fmt.Errorf("its figures of the usual request are out of range")
	}
	for i, c := range r.Classes {
		if !good(c.MeanUnits, r.Site.Most) || !good(c.Count, math.MaxUint32) || !goodFit(c.Latency) {
			return fmt.Errorf("its figures of class %s are out of range", r.Site.Classes[i].Name)
		}
	}
	for _, n := range r.Nodes {
		if !goodTime(n.Learnt.Latency) || !goodTime(n.Learnt.Deviation) {
			return fmt.Errorf("its figures of a node are out of range")
		}
	}
	return nil
}

func goodTime(d time.Duration) bool { return d >= 0 && d <= longest }

func good(v, most float64) bool { return v >= 0 && v <= most } // false for what is no number

func goodFit(f scheduler.Regression) bool {
	for _, v := range []float64{f.Count, f.MeanSize, f.MeanTime, f.MeanSquare, f.MeanProduct} {
		if !good(v, 1e12) {
			return false
		}
	}
	return f.Count == 0 || f.MeanTime > 0
}

// Over is what of a checked record still means the same under these settings and this list.
func (r Record) Over(now Site, listed []endpoints.Endpoint) scheduler.Statistics {
	out := scheduler.Statistics{Nodes: map[scheduler.Server]scheduler.NodeStatistics{}}
	if r.Site.Mean != now.Mean || r.Site.Most != now.Most {
		return out // a unit means something else: so does every size, and every time reckoned by sizes
	}
	starts := map[scheduler.Server]int64{}
	for _, e := range listed {
		if e.Status == scheduler.Ready {
			starts[e.Server] = e.StartedAt
		}
	}
	for _, n := range r.Nodes {
		if boot, ready := starts[n.Server]; ready && boot == n.Boot {
			out.Nodes[n.Server] = n.Learnt
		}
	}
	for _, c := range now.Classes {
		was := scheduler.ClassStatistics{}
		if i := slices.Index(r.Site.Classes, c); i >= 0 {
			was = r.Classes[i]
		}
		out.Classes = append(out.Classes, was)
	}
	if sameClasses(r.Site.Classes, now.Classes) {
		out.AllClasses, out.MedianLatency, out.RecentLatency = r.Usual, r.Median, r.Lately
	}
	return out
}

func sameClasses(a, b []Class) bool {
	return len(a) == len(b) && !slices.ContainsFunc(a, func(c Class) bool { return !slices.Contains(b, c) })
}
