package testbed

import (
	"math/rand/v2"
	"sync"
	"time"
)

const (
	maxStuckWait      = 10 * time.Second // longest delay of a single read or write
	maxNeighbourShare = 0.95             // bounds the work factor, which is infinite for a share of 1
)

// NodeFaults are the faults of a stand-in node, which may be changed while it runs. The zero value is a
// healthy node. They survive the node's restarts: a slow machine stays slow. Any goroutine may use them.
type NodeFaults struct {
	mu          sync.Mutex
	rng         *rand.Rand
	slowFactor  float64 // multiplies the duration of work; 0 counts as 1
	neighbour   neighbourLoad
	loseShare   float64 // share of answers that are lost
	corruptNext int     // number of next answers to corrupt
	hang        bool    // operations are accepted and never answered
	pausedUntil time.Time
	stuckUntil  time.Time // until then connections are neither read nor written
}

// neighbourLoad is another program that uses a share of the machine, on and off.
type neighbourLoad struct {
	share   float64
	on, off time.Duration // alternating periods in which it runs and does not run
	since   time.Time     // start of the first period
}

func (l *neighbourLoad) isRunning() bool {
	return l.share > 0 && l.on > 0 && time.Since(l.since)%(l.on+l.off) < l.on
}

func (f *NodeFaults) set(change func(*NodeFaults)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	change(f)
}

// SetSlow multiplies the duration of work by a factor; 1 ends the fault.
func (f *NodeFaults) SetSlow(factor float64) { f.set(func(f *NodeFaults) { f.slowFactor = factor }) }

// SetNeighbour lets another program use a share of the machine, on and off; share 0 ends the fault.
func (f *NodeFaults) SetNeighbour(share float64, on, off time.Duration) {
	f.set(func(f *NodeFaults) { f.neighbour = neighbourLoad{share, on, off, time.Now()} })
}

// SetLoseAnswers makes the node lose a share of its answers; 0 ends the fault.
func (f *NodeFaults) SetLoseAnswers(share float64) {
	f.set(func(f *NodeFaults) { f.loseShare = share })
}

// CorruptAnswers corrupts count more of the node's next answers.
func (f *NodeFaults) CorruptAnswers(count int) {
	f.set(func(f *NodeFaults) { f.corruptNext += count })
}

// SetHang makes the node accept operations and never answer them; false ends the fault.
func (f *NodeFaults) SetHang(on bool) { f.set(func(f *NodeFaults) { f.hang = on }) }

// Pause keeps the node's cores from starting work for d. It replaces a pause that has not ended.
func (f *NodeFaults) Pause(d time.Duration) {
	f.set(func(f *NodeFaults) { f.pausedUntil = time.Now().Add(d) })
}

// BlockConnections blocks reads and writes on the node's connections for d, but each of them for at most
// maxStuckWait; the connections stay open. It replaces a block that has not ended.
func (f *NodeFaults) BlockConnections(d time.Duration) {
	f.set(func(f *NodeFaults) { f.stuckUntil = time.Now().Add(d) })
}

// waitWhileStuck blocks one read or write while connections are stuck, for maxStuckWait at most.
func (f *NodeFaults) waitWhileStuck() {
	f.mu.Lock()
	left := time.Until(f.stuckUntil)
	f.mu.Unlock()
	if left > 0 {
		time.Sleep(min(left, maxStuckWait))
	}
}

// workFactor returns the current multiplier of the duration of work.
func (f *NodeFaults) workFactor() float64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	factor := max(f.slowFactor, 0)
	if factor == 0 {
		factor = 1
	}
	if f.neighbour.isRunning() {
		factor /= 1 - min(f.neighbour.share, maxNeighbourShare)
	}
	return factor
}

// answerFault is the effect of a fault on an answer.
type answerFault uint8

const (
	answerIntact answerFault = iota
	answerLost
	answerCorrupted
)

// drawAnswerFault returns the effect of the faults on the next answer; losses are random.
func (f *NodeFaults) drawAnswerFault() answerFault {
	f.mu.Lock()
	defer f.mu.Unlock()
	switch {
	case f.hang:
		return answerLost
	case f.corruptNext > 0:
		f.corruptNext--
		return answerCorrupted
	case f.loseShare > 0 && f.rng.Float64() < f.loseShare:
		return answerLost
	}
	return answerIntact
}

// pauseLeft returns the remaining time of a pause; 0 or less without one.
func (f *NodeFaults) pauseLeft() time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	return time.Until(f.pausedUntil)
}
