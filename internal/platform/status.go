package platform

import (
	"context"
	"fmt"
	"log/slog"
	"runtime"
	"time"

	"landingpaddle/scheduler"
)

// statusInterval is how often the state of connections and nodes is logged.
const statusInterval = 5 * time.Second

// nodeLatencyPrecision is the precision of logged latencies.
const nodeLatencyPrecision = 100 * time.Microsecond

// logStatus logs connection statistics and the scheduler's view of the nodes until ctx ends.
func (g *Gateway) logStatus(ctx context.Context) {
	runPeriodically(ctx, statusInterval, func() {
		g.log.Info(messageStatus, attrStatistics, g.statusValue())
		g.loop.InspectNodes(g.logNodeStates)
	})
}

// logNodeStates logs the scheduler's state of each disk server and the number of attempts actually in flight
// there. The loop calls it on its own goroutine.
func (g *Gateway) logNodeStates(states []scheduler.NodeState) {
	attempts := g.upstream.attemptsByNode()
	var nodes []any
	for _, state := range states {
		nodes = append(nodes, slog.String(g.addresses.nodeName(state.Server),
			formatNodeState(state, attempts[state.Server])))
	}
	g.log.Info(messageNodeStates, slog.Group(attrNodes, nodes...))
}

func formatNodeState(state scheduler.NodeState, attempts int) string {
	return fmt.Sprintf("%v in_flight=%d attempts=%d slots=%.0f depth=%.1f latency=%v failures=%d",
		state.Status, state.InFlight, attempts, state.SlotsUsed, state.Depth,
		state.Latency.Round(nodeLatencyPrecision), state.Failures)
}

// statusValue returns the state of the connections, the counters and the process.
func (g *Gateway) statusValue() slog.Value {
	attributes := []slog.Attr{slog.Any(attrCounters, &g.loop.Stats)}
	attributes = append(attributes, g.frontend.statusAttributes()...)
	attributes = append(attributes, g.upstream.statusAttributes()...)
	attributes = append(attributes, processAttributes()...)
	return slog.GroupValue(attributes...)
}

func (f *frontend) statusAttributes() []slog.Attr {
	states, counters := f.countByState(), &f.counters
	return []slog.Attr{
		slog.Int(attrClientsSilent, states.silent),
		slog.Int(attrClientsReading, states.reading),
		slog.Int(attrClientsIdle, states.idle),
		slog.Int(attrClientsWorking, states.working),
		slog.Int(attrClientsLingering, f.lingeringCount()),
		slog.Uint64(attrClientsAccepted, f.accepting.accepted.Load()),
		slog.Uint64(attrClientsRefused, counters.refused.Load()),
		slog.Uint64(attrClientsRoomWait, counters.roomWait.Load()),
		slog.Uint64(attrClientsNeverSent, counters.silent.Load()),
		slog.Uint64(attrClientsEvicted, counters.evicted.Load()),
		slog.Uint64(attrClientsUnread, counters.unread.Load()),
		slog.Uint64(attrRequestsInvalid, counters.invalid.Load()),
		slog.Uint64(attrRequestsDuplicateID, counters.duplicateIDs.Load()),
		slog.Uint64(attrRequestsOverLimit, counters.overLimit.Load()),
	}
}

func (p *upstreamPool) statusAttributes() []slog.Attr {
	open, idle := p.countConnections()
	counters := &p.counters
	return []slog.Attr{
		slog.Int(attrUpstreamConnections, open),
		slog.Int(attrUpstreamIdle, idle),
		slog.Uint64(attrUpstreamDialed, counters.dialed.Load()),
		slog.Uint64(attrUpstreamReused, counters.reused.Load()),
		slog.Uint64(attrUpstreamStale, counters.stale.Load()),
		slog.Uint64(attrUpstreamInvalid, counters.invalid.Load()),
		slog.Uint64(attrUpstreamUnsolicited, counters.unsolicited.Load()),
		slog.Uint64(attrUpstreamExhausted, counters.exhausted.Load()),
	}
}

func processAttributes() []slog.Attr {
	var memory runtime.MemStats
	runtime.ReadMemStats(&memory)
	return []slog.Attr{
		slog.Uint64(attrHeapKB, memory.HeapInuse>>10),
		slog.Uint64(attrSystemKB, memory.Sys>>10),
		slog.Int(attrGoroutines, runtime.NumGoroutine()),
	}
}
