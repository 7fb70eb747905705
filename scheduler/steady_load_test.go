package scheduler

import "time"

// maxSteadyInFlight is the number of attempts that a steadyLoad keeps in flight.
const maxSteadyInFlight = 4

// steadyLoad drives one scheduler at a steady rate: each request is answered by its node after
// maxSteadyInFlight further ones.
type steadyLoad struct {
	scheduler *Scheduler
	now       time.Duration
	interval  time.Duration // between requests
	nodes     int
	nextID    uint32
	inFlight  []Send // oldest first
}

// newSteadyLoad returns a load of rate requests per second over nodes that all started at startedAt; 0: long
// ago.
func newSteadyLoad(settings Settings, rate, nodes int, startedAt time.Duration) *steadyLoad {
	load := &steadyLoad{scheduler: New(1, settings), now: time.Hour,
		interval: time.Second / time.Duration(rate), nodes: nodes}
	update := EndpointUpdate{Kind: UpdateFull}
	for i := range nodes {
		update.Endpoints = append(update.Endpoints, Endpoint{
			Server: Server{Addr: [4]byte{10, 0, byte(i >> 8), byte(i)}, Port: 1},
			Status: Ready, Cell: uint16(i), StartedAt: startedAt,
		})
	}
	load.scheduler.Handle(load.now, update)
	load.scheduler.Decide(load.now)
	return load
}

// step passes one request of a volume and, with more than maxSteadyInFlight attempts in flight, ends the
// oldest.
func (l *steadyLoad) step(volume uint64) {
	l.now += l.interval
	l.scheduler.Handle(l.now, Request{ID: l.nextID, Cell: int(l.nextID) % l.nodes, VolumeInstances: 1,
		Volume: volume, ExpiresAt: l.now + time.Second, Units: 1})
	l.nextID++
	l.decide()
	if len(l.inFlight) > maxSteadyInFlight {
		oldest := l.inFlight[0]
		l.inFlight = l.inFlight[1:]
		l.scheduler.Handle(l.now, AttemptResult{ID: oldest.ID, Server: oldest.Server, Code: OK, Latency: ms,
			RequestDone: true})
		l.decide()
	}
}

func (l *steadyLoad) decide() {
	for _, action := range l.scheduler.Decide(l.now) {
		if send, ok := action.(Send); ok {
			l.inFlight = append(l.inFlight, send)
		}
	}
}
