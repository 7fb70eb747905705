package testbed

import (
	"slices"
	"time"
)

// backlogTime is the time allowed after a stall for processing the work queued during it.
const backlogTime = 150 * time.Millisecond

// span is a time interval, in Unix nanoseconds.
type span struct{ from, to int64 }

// outages are the logged stalls and crashes. Exchanges that overlap a stall may be late.
type outages struct {
	process   []span          // the whole testbed process was stalled
	instances map[int][]span  // stalls by instance
	nodes     map[int][]span  // by node: its connections were neither read nor written
	kills     map[int][]int64 // by instance, in Unix nanoseconds
}

func newOutages() outages {
	return outages{instances: map[int][]span{}, nodes: map[int][]span{}, kills: map[int][]int64{}}
}

func (o *outages) add(event Event) {
	switch event.Kind {
	case KindProcessStalled: // logged at its end
		o.process = append(o.process, span{event.Time - event.Wait, event.Time})
	case KindInstanceStalled:
		stall := span{event.Time, event.Time + event.Wait}
		o.instances[event.Instance] = append(o.instances[event.Instance], stall)
	case KindConnectionsStuck:
		stall := span{event.Time, event.Time + event.Wait}
		o.nodes[event.Node] = append(o.nodes[event.Node], stall)
	case KindInstanceKilled:
		o.kills[event.Instance] = append(o.kills[event.Instance], event.Time)
	}
}

// allowance returns the extra time allowed for an exchange between an instance and a node in an interval,
// given in Unix nanoseconds: the stalls that overlap the interval or end at most backlogTime before it, each
// plus backlogTime.
func (o *outages) allowance(instance, node int, from, to int64) time.Duration {
	total := time.Duration(0)
	for _, spans := range [][]span{o.process, o.instances[instance], o.nodes[node]} {
		for _, stall := range spans {
			if stall.to+int64(backlogTime) >= from && stall.from <= to {
				total += time.Duration(stall.to-stall.from) + backlogTime
			}
		}
	}
	return total
}

// killed reports whether an instance was killed between two times, in Unix nanoseconds.
func (o *outages) killed(instance int, from, to int64) bool {
	return slices.ContainsFunc(o.kills[instance], func(at int64) bool { return at >= from && at <= to })
}
