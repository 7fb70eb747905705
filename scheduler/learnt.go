package scheduler

import "time"

// Learnt is what a host has learnt by experience and may hand to its next life: times and sizes, nothing that
// a rule hangs on. Which of it still means the same is not decided here (package carry).
type Learnt struct {
	Nodes   map[Server]LearntNode
	Classes []LearntClass // by class
	Usual   LearntFit     // over all classes
	Median  time.Duration // of what the usual request takes
	Lately  time.Duration // and its mean over the last attempts
}

// LearntNode is how long the usual request takes at a node.
type LearntNode struct {
	Latency   time.Duration `cbor:"Latency"`
	Deviation time.Duration `cbor:"Deviation"`
}

// LearntClass is a class's running mean of sizes, over so many requests, and its times against sizes.
type LearntClass struct {
	Mean float64   `cbor:"Mean"`
	Seen float64   `cbor:"Seen"`
	Fit  LearntFit `cbor:"Fit"`
}

// LearntFit are the sums of a line through times in seconds against sizes.
type LearntFit struct {
	N      float64 `cbor:"N"`
	Size   float64 `cbor:"Size"`
	Took   float64 `cbor:"Took"`
	Square float64 `cbor:"Square"`
	Cross  float64 `cbor:"Cross"`
}

// Learnt tells what the host has learnt. Nodes of which nothing was heard in this life are left out.
func (h *Host) Learnt() Learnt {
	l := Learnt{Nodes: map[Server]LearntNode{}, Usual: h.usual.told(), Median: h.calm, Lately: h.tide}
	for id, n := range h.nodes {
		if n.learntAt > 0 && n.Status == Ready {
			l.Nodes[id] = LearntNode{n.latency, n.deviation}
		}
	}
	for _, c := range h.classes {
		l.Classes = append(l.Classes, LearntClass{c.mean, c.seen, c.fit.told()})
	}
	return l
}

// Recall takes figures of an earlier life over, each only where this life has learnt nothing yet, so that it
// may be called again as nodes become known. It tells how many nodes it took.
func (h *Host) Recall(l Learnt) (nodes int) {
	for id, was := range l.Nodes {
		if n := h.nodes[id]; n != nil && n.learntAt == 0 && n.Status == Ready {
			n.latency, n.deviation = was.Latency, was.Deviation
			nodes++
		}
	}
	for i, was := range l.Classes {
		if c := h.classes[i]; c.seen == 0 && was.Seen > 0 {
			c.mean, c.seen, c.fit = was.Mean, was.Seen, was.Fit.fit()
		}
	}
	if h.usual.n == 0 && l.Usual.N > 0 {
		h.usual, h.calm, h.tide = l.Usual.fit(), l.Median, l.Lately
	}
	return nodes
}

func (f fit) told() LearntFit { return LearntFit{f.n, f.size, f.took, f.square, f.cross} }

func (l LearntFit) fit() fit { return fit{l.N, l.Size, l.Took, l.Square, l.Cross} }
