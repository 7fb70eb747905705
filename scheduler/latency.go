package scheduler

import (
	"math"
	"time"
)

const (
	latencyGain        = 0.25                   // weight of a new latency against a node's running mean
	lossGain           = 0.12                   // and of the time of an attempt that was lost
	latencyHalfLife    = 500 * time.Millisecond // after which a node's latency counts half
	regressionMinCount = 16.0                   // answers before latency is taken to depend on size
	regressionWindow   = 512.0                  // answers over which that is learned
	medianStep         = 0.05                   // part of itself by which the median moves
	recentMeanWindow   = 16.0                   // attempts over which the fleet's present latency is learned
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

// predict is the latency of a request of a size, in seconds.
func (g *regression) predict(size float64) float64 {
	slope, variance := 0.0, g.meanSquare-g.meanSize*g.meanSize
	if g.count >= regressionMinCount && variance > 0 {
		covariance := g.meanProduct - g.meanSize*g.meanTime
		slope = min(max(0, covariance/variance), g.meanTime/g.meanSize)
	}
	return g.meanTime + slope*(size-g.meanSize)
}

// latencyModel is what the usual request takes at any node.
type latencyModel struct {
	allClasses    regression    // over all classes and nodes
	recentMean    time.Duration // over the last attempts
	runningMedian time.Duration
}

// observe takes the latency of a usual request in. The running median stands for the work itself, as nodes
// pause or are congested less than half of the time; the mean of the last few attempts stands for the present
// state of the fleet.
func (m *latencyModel) observe(latency time.Duration) {
	step := medianStep * max(m.runningMedian.Seconds(), m.allClasses.meanTime)
	direction := float64(latency - m.runningMedian)
	m.runningMedian = max(0, m.runningMedian+seconds(math.Copysign(step, direction)))
	window := min(recentMeanWindow, max(recentMeanWindow/2, m.allClasses.count))
	m.recentMean += time.Duration(float64(latency-m.recentMean) / window)
}

// sizeCorrection is how much longer than the usual request one of this class and size takes.
func (m *latencyModel) sizeCorrection(c *class, units float64) time.Duration {
	if m.allClasses.count < regressionMinCount || c.latency.count < regressionMinCount {
		return 0
	}
	return seconds(c.latency.predict(units) - m.allClasses.meanTime)
}

// ofNode is what the usual request takes at a node. It fades towards the recent mean of all nodes as it gets
// old: with many instances, each gets an answer of a node only now and then.
func (m *latencyModel) ofNode(n *node, now time.Duration) time.Duration {
	if m.allClasses.count < regressionMinCount {
		return n.latency
	}
	fading := math.Exp2(-(now - n.latencyUpdatedAt).Seconds() / latencyHalfLife.Seconds())
	return m.recentMean + time.Duration(float64(n.latency-m.recentMean)*fading)
}

func (s *Scheduler) recentLatency(n *node) time.Duration { return s.latency.ofNode(n, s.now) }

// expectedLatency is how long a request sent now will take at a node.
func (s *Scheduler) expectedLatency(n *node, r *request) time.Duration {
	return max(0, s.recentLatency(n)+s.latency.sizeCorrection(r.class, r.Units))
}

// learnLoss learns from an attempt that got no answer, of which only the time waited is known. The model of
// all nodes takes in twice its mean at most, and nothing from a node that fails repeatedly, as nodes that are
// cut off must not make all others look slow.
func (s *Scheduler) learnLoss(n *node, waited time.Duration) {
	if n.failures <= 1 {
		s.latency.observe(min(waited, 2*s.latency.recentMean))
	}
	n.latency += time.Duration(lossGain * float64(waited))
	s.latencyLearned(n)
}

// learnLatency takes in the latency of an answer.
func (s *Scheduler) learnLatency(n *node, r *request, latency time.Duration) {
	usual := latency - s.latency.sizeCorrection(r.class, r.operationUnits)
	r.class.latency.add(r.operationUnits, latency.Seconds())
	s.latency.allClasses.add(r.operationUnits, latency.Seconds())
	s.latency.observe(usual)
	difference := usual - n.latency
	n.latency += time.Duration(latencyGain * float64(difference))
	n.deviation += time.Duration(latencyGain * float64(max(difference, -difference)-n.deviation))
	s.latencyLearned(n)
}

func (s *Scheduler) latencyLearned(n *node) {
	n.latencyUpdatedAt = s.now
	s.adaptDepth(n)
}
