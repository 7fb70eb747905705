package testbed

import (
	"slices"
	"time"
)

// backlogTime is what is allowed after a stall for the work that had piled up by then.
const backlogTime = 150 * time.Millisecond

// span is a stretch of time, in Unix nanoseconds.
type span struct{ from, to int64 }

// outages are the stalls and crashes that the logs show: what happened meanwhile may be late.
type outages struct {
	process   []span         // the whole testbed process was stalled
	instances map[int][]span // stalls by instance
	nodes     map[int][]span // by node: its connections were neither read nor written
	kills     map[int][]int64
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

// allowance is how much longer something between an instance and a node may take that lasted from one time
// to another (Unix nanoseconds): the stalls in that time, each with a moment for what had piled up.
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

// killed tells whether an instance was killed between two times.
func (o *outages) killed(instance int, from, to int64) bool {
	return slices.ContainsFunc(o.kills[instance], func(at int64) bool { return at >= from && at <= to })
}
