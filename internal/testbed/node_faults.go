package testbed

import (
	"math/rand/v2"
	"sync"
	"time"
)

const (
	maxStuck          = 10 * time.Second // that a connection is held up at once
	maxNeighbourShare = 0.95
)

// NodeFaults are the faults of a stand-in node, to be set while it runs. The zero value is a healthy node.
// They outlast the node's restarts: a slow machine stays slow. Any goroutine may use them.
type NodeFaults struct {
	mu          sync.Mutex
	rng         *rand.Rand
	slowFactor  float64 // work takes so many times as long; 0: as long as ever
	neighbour   neighbourLoad
	loseShare   float64 // of answers
	corruptNext int     // so many answers to come
	hang        bool    // accepts and never answers
	pausedUntil time.Time
	stuckUntil  time.Time // connections are neither read nor written
}

// neighbourLoad is another program that takes a share of the machine, on and off.
type neighbourLoad struct {
	share   float64
	on, off time.Duration // it runs for so long, and then not for so long
	since   time.Time
}

func (l *neighbourLoad) isRunning() bool {
	return l.share > 0 && l.on > 0 && time.Since(l.since)%(l.on+l.off) < l.on
}

func (f *NodeFaults) set(change func(*NodeFaults)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	change(f)
}

// SetSlow makes work take so many times as long; 1 ends it.
func (f *NodeFaults) SetSlow(factor float64) { f.set(func(f *NodeFaults) { f.slowFactor = factor }) }

// SetNeighbour lets another program take a share of the machine, on and off; share 0 ends it.
func (f *NodeFaults) SetNeighbour(share float64, on, off time.Duration) {
	f.set(func(f *NodeFaults) { f.neighbour = neighbourLoad{share, on, off, time.Now()} })
}

// SetLoseAnswers loses a share of the answers; 0 ends it.
func (f *NodeFaults) SetLoseAnswers(share float64) {
	f.set(func(f *NodeFaults) { f.loseShare = share })
}

// CorruptAnswers corrupts the next answers on their way.
func (f *NodeFaults) CorruptAnswers(count int) {
	f.set(func(f *NodeFaults) { f.corruptNext += count })
}

// SetHang makes the node accept and never answer.
func (f *NodeFaults) SetHang(on bool) { f.set(func(f *NodeFaults) { f.hang = on }) }

// Pause makes the node's cores begin no work for a while.
func (f *NodeFaults) Pause(d time.Duration) {
	f.set(func(f *NodeFaults) { f.pausedUntil = time.Now().Add(d) })
}

// StickConnections stops all reading and writing on the node's connections for a while; they stay open.
func (f *NodeFaults) StickConnections(d time.Duration) {
	f.set(func(f *NodeFaults) { f.stuckUntil = time.Now().Add(d) })
}

// waitWhileStuck holds a connection up while connections are stuck.
func (f *NodeFaults) waitWhileStuck() {
	f.mu.Lock()
	left := time.Until(f.stuckUntil)
	f.mu.Unlock()
	if left > 0 {
		time.Sleep(min(left, maxStuck))
	}
}

// workFactor is how many times as long work takes now.
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

// answerFault is what a fault does to an answer.
type answerFault uint8

const (
	answerIntact answerFault = iota
	answerLost
	answerCorrupted
)

// drawAnswerFault draws what becomes of the next answer.
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

// pauseLeft is how much of a pause is left; not over 0 without one.
func (f *NodeFaults) pauseLeft() time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	return time.Until(f.pausedUntil)
}
