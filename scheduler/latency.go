package scheduler

import (
	"math"
	"time"
)

const (
	latencyGain        = 0.25                   // weight of a new latency in a node's running mean
	lossGain           = 0.12                   // fraction of a lost attempt's time added to that mean
	latencyHalfLife    = 500 * time.Millisecond // age at which a node's latency counts half
	regressionMinCount = 16.0                   // answers before latency is corrected for size
	regressionWindow   = 512.0                  // answers over which a regression averages
	medianStep         = 0.05                   // fraction of max(median, mean) by which the median moves
	recentMeanWindow   = 16.0                   // attempts over which the recent mean of all nodes is taken
)

// regression is a running linear regression of latencies, in seconds, against sizes, in units.
type regression struct {
	count       float64 // of observations, regressionWindow at most
	meanSize    float64
	meanTime    float64
	meanSquare  float64 // of sizes
	meanProduct float64 // of size and time
}

func (g *regression) add(size, time float64) {
	g.count = min(g.count+1, regressionWindow)
	g.meanSize += (size - g.meanSize) / g.count
	g.meanTime += (time - g.meanTime) / g.count
	g.meanSquare += (size*size - g.meanSquare) / g.count
	g.meanProduct += (size*time - g.meanProduct) / g.count
}

// predict returns the expected latency of a request of a size, in seconds. The slope is limited to the range
// from a latency independent of the size to one proportional to it.
func (g *regression) predict(size float64) float64 {
	slope, variance := 0.0, g.meanSquare-g.meanSize*g.meanSize
	if g.count >= regressionMinCount && variance > 0 {
		covariance := g.meanProduct - g.meanSize*g.meanTime
		slope = min(max(0, covariance/variance), g.meanTime/g.meanSize)
	}
	return g.meanTime + slope*(size-g.meanSize)
}

// latencyModel is the latency of the average request over all nodes. The average request is one whose latency
// is the mean of allClasses; other latencies are normalized to it by subtracting their sizeCorrection.
type latencyModel struct {
	allClasses    regression    // over all classes and nodes
	recentMean    time.Duration // over the last recentMeanWindow attempts
	runningMedian time.Duration
}

// observe records a normalized latency. The running median estimates the execution time without waits, as
// nodes pause or are congested less than half of the time; the mean of the last few attempts reflects the
// present state of the fleet.
func (m *latencyModel) observe(latency time.Duration) {
	step := medianStep * max(m.runningMedian.Seconds(), m.allClasses.meanTime)
	direction := float64(latency - m.runningMedian)
	m.runningMedian = max(0, m.runningMedian+seconds(math.Copysign(step, direction)))
	window := min(recentMeanWindow, max(recentMeanWindow/2, m.allClasses.count))
	m.recentMean += time.Duration(float64(latency-m.recentMean) / window)
}

// sizeCorrection returns by how much the latency of a request of this class and size exceeds that of the
// average request; 0 while too few answers are recorded.
func (m *latencyModel) sizeCorrection(c *class, units float64) time.Duration {
	if m.allClasses.count < regressionMinCount || c.latency.count < regressionMinCount {
		return 0
	}
	return seconds(c.latency.predict(units) - m.allClasses.meanTime)
}

// nodeLatency returns the latency of the average request at a node. As the node's last update ages, it decays
// towards the recent mean of all nodes: with many instances, each receives answers of a given node rarely.
func (m *latencyModel) nodeLatency(n *node, now time.Duration) time.Duration {
	if m.allClasses.count < regressionMinCount {
		return n.latency
	}
	decay := math.Exp2(-(now - n.latencyUpdatedAt).Seconds() / latencyHalfLife.Seconds())
	return m.recentMean + time.Duration(float64(n.latency-m.recentMean)*decay)
}

func (s *Scheduler) recentLatency(n *node) time.Duration { return s.latency.nodeLatency(n, s.now) }

// expectedLatency returns the expected latency of a request that is sent to a node now.
func (s *Scheduler) expectedLatency(n *node, r *request) time.Duration {
	return max(0, s.recentLatency(n)+s.latency.sizeCorrection(r.class, r.Units))
}

// recordLoss records an attempt that got no answer; only the time waited is known. The model of all nodes
// records at most twice its recent mean, and nothing from a node that fails repeatedly, as nodes that are cut
// off from the network must not make all others appear slow.
func (s *Scheduler) recordLoss(n *node, waited time.Duration) {
	if n.failures <= 1 {
		s.latency.observe(min(waited, 2*s.latency.recentMean))
	}
	n.latency += time.Duration(lossGain * float64(waited))
	s.latencyUpdated(n)
}

// recordLatency records the latency of an answer.
func (s *Scheduler) recordLatency(n *node, r *request, latency time.Duration) {
	normalized := latency - s.latency.sizeCorrection(r.class, r.operationUnits)
	r.class.latency.add(r.operationUnits, latency.Seconds())
	s.latency.allClasses.add(r.operationUnits, latency.Seconds())
	s.latency.observe(normalized)
	difference := normalized - n.latency
	n.latency += time.Duration(latencyGain * float64(difference))
	n.deviation += time.Duration(latencyGain * float64(max(difference, -difference)-n.deviation))
	s.latencyUpdated(n)
}

func (s *Scheduler) latencyUpdated(n *node) {
	n.latencyUpdatedAt = s.now
	s.adaptDepth(n)
}
