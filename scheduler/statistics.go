package scheduler

import "time"

// Statistics are the latencies and sizes that a scheduler has learned and may pass on to its next
// incarnation; no guarantee depends on them. Package checkpoint decides which of them are still valid there.
type Statistics struct {
	Nodes         map[Server]NodeStatistics
	Classes       []ClassStatistics // by class number
	AllClasses    Regression
	MedianLatency time.Duration // running median, normalized to the average request
	RecentLatency time.Duration // mean over the last attempts, likewise
}

// NodeStatistics are the mean latency of the average request at a node and its mean deviation.
type NodeStatistics struct {
	Latency   time.Duration `cbor:"Latency"`
	Deviation time.Duration `cbor:"Deviation"`
}

// ClassStatistics are a class's mean size in units over a count of requests, and the regression of its
// latencies against sizes.
type ClassStatistics struct {
	MeanUnits float64    `cbor:"Mean"`
	Count     float64    `cbor:"Seen"`
	Latency   Regression `cbor:"Fit"`
}

// Regression is the state of a running linear regression of latencies, in seconds, against sizes, in units.
type Regression struct {
	Count       float64 `cbor:"N"`
	MeanSize    float64 `cbor:"Size"`
	MeanTime    float64 `cbor:"Took"`
	MeanSquare  float64 `cbor:"Square"`
	MeanProduct float64 `cbor:"Cross"`
}

// Statistics returns the learned statistics. Nodes that are not ready or have no recorded latency are
// omitted.
func (s *Scheduler) Statistics() Statistics {
	statistics := Statistics{Nodes: map[Server]NodeStatistics{}, AllClasses: s.latency.allClasses.export(),
		MedianLatency: s.latency.runningMedian, RecentLatency: s.latency.recentMean}
	for server, n := range s.endpoints.nodes {
		if n.latencyUpdatedAt > 0 && n.Status == Ready {
			statistics.Nodes[server] = NodeStatistics{n.latency, n.deviation}
		}
	}
	for _, c := range s.classes {
		learned := ClassStatistics{MeanUnits: c.meanUnits, Count: c.count, Latency: c.latency.export()}
		statistics.Classes = append(statistics.Classes, learned)
	}
	return statistics
}

// RestoreStatistics restores the statistics of an earlier incarnation, each only where none were learned here
// yet, so that it may be called again as nodes are listed. There must not be more saved classes than the
// settings have. It returns the number of nodes whose statistics it restored.
func (s *Scheduler) RestoreStatistics(saved Statistics) (nodes int) {
	for server, learned := range saved.Nodes {
		n := s.endpoints.nodes[server]
		if n != nil && n.latencyUpdatedAt == 0 && n.Status == Ready {
			n.latency, n.deviation = learned.Latency, learned.Deviation
			nodes++
		}
	}
	for i, learned := range saved.Classes {
		if c := s.classes[i]; c.count == 0 && learned.Count > 0 {
			c.meanUnits, c.count, c.latency = learned.MeanUnits, learned.Count, learned.Latency.restore()
		}
	}
	if s.latency.allClasses.count == 0 && saved.AllClasses.Count > 0 {
		s.latency = latencyModel{allClasses: saved.AllClasses.restore(), recentMean: saved.RecentLatency,
			runningMedian: saved.MedianLatency}
	}
	return nodes
}

func (g regression) export() Regression {
	return Regression{g.count, g.meanSize, g.meanTime, g.meanSquare, g.meanProduct}
}

func (g Regression) restore() regression {
	return regression{g.Count, g.MeanSize, g.MeanTime, g.MeanSquare, g.MeanProduct}
}
