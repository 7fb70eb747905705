package testbed

import (
	"math/rand/v2"
	"sync"
	"time"
)

// Faults are what can be done to a stand-in node while it runs. The zero value is a healthy node. They
// outlast the node's restarts: a slow machine stays slow.
type NodeFaults struct {
	mu        sync.Mutex
	rng       *rand.Rand
	slow      float64       // work takes so many times as long
	share     float64       // of the machine that a neighbour takes,
	on, off   time.Duration // for so long, and leaves for so long
	since     time.Time
	lose      float64 // of answers
	corrupt   int     // answers to come
	hang      bool    // accepts and never answers
	stillTill time.Time
	stuckTill time.Time // connections neither read nor write
}

func (f *NodeFaults) set(change func(*NodeFaults)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	change(f)
}

// SetSlow makes work take so many times as long; 1 ends it.
func (f *NodeFaults) SetSlow(times float64) { f.set(func(f *NodeFaults) { f.slow = times }) }

// SetNeighbour lets another program take a share of the machine, on and off; 0 ends it.
func (f *NodeFaults) SetNeighbour(share float64, on, off time.Duration) {
	f.set(func(f *NodeFaults) { f.share, f.on, f.off, f.since = share, on, off, time.Now() })
}

// SetLose loses a share of the answers; 0 ends it.
func (f *NodeFaults) SetLose(share float64) { f.set(func(f *NodeFaults) { f.lose = share }) }

// Corrupt damages the next answers on their way.
func (f *NodeFaults) Corrupt(n int) { f.set(func(f *NodeFaults) { f.corrupt += n }) }

// SetHang makes the node accept and never answer.
func (f *NodeFaults) SetHang(on bool) { f.set(func(f *NodeFaults) { f.hang = on }) }

// Still makes the node stand still for a while.
func (f *NodeFaults) Still(d time.Duration) {
	f.set(func(f *NodeFaults) { f.stillTill = time.Now().Add(d) })
}

// Stick stops all reading and writing on the node's connections for a while; they stay open.
func (f *NodeFaults) Stick(d time.Duration) {
	f.set(func(f *NodeFaults) { f.stuckTill = time.Now().Add(d) })
}

// gate holds connections up while they are stuck.
func (f *NodeFaults) gate() {
	f.mu.Lock()
	d := time.Until(f.stuckTill)
	f.mu.Unlock()
	if d > 0 {
		time.Sleep(min(d, 10*time.Second))
	}
}

// factor is how many times as long work takes now.
func (f *NodeFaults) factor() float64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	out := max(f.slow, 0)
	if out == 0 {
		out = 1
	}
	if f.share > 0 && f.on > 0 && time.Since(f.since)%(f.on+f.off) < f.on {
		out /= 1 - min(f.share, 0.95)
	}
	return out
}

type fate uint8

const (
	fateSend fate = iota
	fateLose
	fateCorrupt
)

// answer draws what becomes of an answer.
func (f *NodeFaults) answer() fate {
	f.mu.Lock()
	defer f.mu.Unlock()
	switch {
	case f.hang:
		return fateLose
	case f.corrupt > 0:
		f.corrupt--
		return fateCorrupt
	case f.lose > 0 && f.rng.Float64() < f.lose:
		return fateLose
	}
	return fateSend
}

func (f *NodeFaults) still() time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	return time.Until(f.stillTill)
}
