package daemon

import (
	"landingpaddle/internal/proto"
	"landingpaddle/scheduler"
)

// stubDrivers implements the drivers and Responder. It records operations, cancellations and answers, and
// does nothing else.
type stubDrivers struct {
	sent      []*Operation
	cancelled int
	answers   []proto.Answer

	hasUnreadAnswer bool // what HasUnreadAnswer reports
}

func (d *stubDrivers) Send(operation *Operation) { d.sent = append(d.sent, operation) }

func (d *stubDrivers) Cancel(*Operation) { d.cancelled++ }

func (d *stubDrivers) CancelMember(*Operation, int) {}

func (d *stubDrivers) HasUnreadAnswer(*Operation) bool { return d.hasUnreadAnswer }

func (d *stubDrivers) CheckHealth(scheduler.Server) {}

func (d *stubDrivers) CloseIdle(scheduler.Server) {}

func (d *stubDrivers) Watch(scheduler.WatchEndpoints) {}

func (d *stubDrivers) Fetch() {}

func (d *stubDrivers) FetchFull() {}

func (d *stubDrivers) Respond(answer proto.Answer, payload []byte) {
	d.answers = append(d.answers, answer)
}
