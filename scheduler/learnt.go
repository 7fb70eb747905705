package scheduler

import "time"

// Learnt is what a host has learnt by experience and may hand to its next life: times and sizes, nothing that
// a rule hangs on. Which of it still means the same is not decided here (package carry).
type Statistics struct {
	Nodes         map[Server]NodeStatistics
	Classes       []ClassStatistics // by class
	AllClasses    Regression        // over all classes
	MedianLatency time.Duration     // of what the usual request takes
	RecentLatency time.Duration     // and its mean over the last attempts
}

// LearntNode is how long the usual request takes at a node.
type NodeStatistics struct {
	Latency   time.Duration `cbor:"Latency"`
	Deviation time.Duration `cbor:"Deviation"`
}

// LearntClass is a class's running mean of sizes, over so many requests, and its times against sizes.
type ClassStatistics struct {
	MeanUnits float64    `cbor:"Mean"`
	Count     float64    `cbor:"Seen"`
	Latency   Regression `cbor:"Fit"`
}

// LearntFit are the sums of a line through times in seconds against sizes.
type Regression struct {
	Count       float64 `cbor:"N"`
	MeanSize    float64 `cbor:"Size"`
	MeanTime    float64 `cbor:"Took"`
	MeanSquare  float64 `cbor:"Square"`
	MeanProduct float64 `cbor:"Cross"`
}

// Learnt tells what the host has learnt. Nodes of which nothing was heard in this life are left out.
func (h *Scheduler) Statistics() Statistics {
	l := Statistics{
		Nodes:         map[Server]NodeStatistics{},
		AllClasses:    h.allClasses.exported(),
		MedianLatency: h.runningMedian,
		RecentLatency: h.recentMean,
	}
	for id, n := range h.nodes {
		if n.latencyUpdatedAt > 0 && n.Status == Ready {
			l.Nodes[id] = NodeStatistics{n.latency, n.deviation}
		}
	}
	for _, c := range h.classes {
		l.Classes = append(l.Classes, ClassStatistics{c.meanUnits, c.count, c.latency.exported()})
	}
	return l
}

// Recall takes figures of an earlier life over, each only where this life has learnt nothing yet, so that it
// may be called again as nodes become known. It tells how many nodes it took.
func (h *Scheduler) RestoreStatistics(l Statistics) (nodes int) {
	for id, was := range l.Nodes {
		if n := h.nodes[id]; n != nil && n.latencyUpdatedAt == 0 && n.Status == Ready {
			n.latency, n.deviation = was.Latency, was.Deviation
			nodes++
		}
	}
	for i, was := range l.Classes {
		if c := h.classes[i]; c.count == 0 && was.Count > 0 {
			c.meanUnits, c.count, c.latency = was.MeanUnits, was.Count, was.Latency.internal()
		}
	}
	if h.allClasses.count == 0 && l.AllClasses.Count > 0 {
		h.allClasses, h.runningMedian, h.recentMean = l.AllClasses.internal(), l.MedianLatency,
			l.RecentLatency
	}
	return nodes
}

func (f regression) exported() Regression {
	return Regression{f.count, f.meanSize, f.meanTime, f.meanSquare, f.meanProduct}
}

func (l Regression) internal() regression {
	return regression{l.Count, l.MeanSize, l.MeanTime, l.MeanSquare, l.MeanProduct}
}
