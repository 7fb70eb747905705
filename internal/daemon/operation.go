package daemon

import (
	"time"

	"landingpaddle/extent"
	"landingpaddle/scheduler"
)

// Operation is what goes to a node as one request: an attempt of one request, or the first attempts of
// several that the module let leave together.
type Operation struct {
	server      scheduler.Server
	members     []*attempt       // the lead first
	plan        extent.Operation // of a ranged one, once it is sealed
	DriverState any              // of whoever carries it out
}

// Server is where it goes to.
func (o *Operation) Server() scheduler.Server { return o.server }

// Caller is who waits for the answer; of several members the lead's.
func (o *Operation) Responder() Responder { return o.members[0].req.call.Responder }

// Deadline is when the loop gives the lead's attempt up, by the scheduler's clock.
func (o *Operation) Deadline() time.Duration { return o.members[0].deadline }

// alone is an operation of one attempt.
func alone(a *attempt) *Operation { return &Operation{server: a.server, members: []*attempt{a}} }

func (o *Operation) ranged() bool { return o.members[0].req.call.id != 0 }

// seal fixes what the operation covers, once it is known who is part of it.
func (o *Operation) seal(l *loop) {
	if !o.ranged() || len(o.plan.Members) > 0 {
		return
	}
	ids := make([]uint32, len(o.members))
	for i, a := range o.members {
		ids[i] = a.req.id
	}
	o.plan = l.planner.SealOperation(ids)
}
