package daemon

import (
	"sync/atomic"
	"time"

	"landingpaddle/endpoints"
	"landingpaddle/extent"
	"landingpaddle/internal/proto"
	"landingpaddle/scheduler"
)

// Call is one client's request on its way through the scheduler.
type Call struct {
	Responder  Responder
	Request    scheduler.Request // all but ID and Expires
	ReceivedAt time.Duration     // when it was read,
	Wait       time.Duration     // and how long its client waits from then on
	Token      uint64            // by which logs name it
	Range      *extent.Range     // of a ranged request;
	DataVolume uint64            // and the volume whose bytes are meant

	// The rest is the loop's.
	id       uint64     // of a ranged request, by which the planner knows it; 0: another
	reqs     []*request // one, or those of its pieces
	overdue  *timer
	done     bool        // has its answer
	unwanted atomic.Bool // has it, or its client is gone: no attempt may begin any more
}

// Admit counts one more call as open, unless the scheduler stops or most are open: then it returns the
// reason. A call that was admitted must be handed on by Take.
func (c *EventLoop) Admit(most int) (reason string) {
	// Counted first, then looked whether the scheduler stops: the loop ends only when it sees none counted.
	open := c.openCalls.Add(1)
	switch {
	case c.Stopping():
		c.openCalls.Add(-1)
		return ReasonStopping
	case open > int64(most):
		c.openCalls.Add(-1)
		return ReasonOverload
	}
	c.Stats.Admitted.Add(1)
	return ""
}

// Take hands an admitted call to the loop.
func (c *EventLoop) Submit(k *Call) { c.inbox.put(k) }

// ClientGone tells that a call's client is gone or wants no answer any more.
func (c *EventLoop) ClientGone(k *Call) {
	k.unwanted.Store(true) // at once: the loop may be a batch away, and an attempt about to begin
	c.inbox.put(clientGone{k})
}

// Ended tells how an operation ended.
func (c *EventLoop) OperationEnded(op *Operation, code scheduler.ResultCode, a proto.Answer, payload []byte) {
	c.inbox.put(result{op, code, a, payload})
}

// Hear takes news of the list in.
func (c *EventLoop) ReceiveUpdate(n endpoints.Update) { c.inbox.put(n) }

// ListFailed tells that a watch broke or a fetch failed.
func (c *EventLoop) ReportListFailure(err error) { c.inbox.put(listFailed{err}) }

// Probed tells the result of a probe.
func (c *EventLoop) ReportHealthCheck(p scheduler.HealthCheckResult) { c.inbox.put(p) }

// Heard takes a message of another instance in.
func (c *EventLoop) ReceivePeerMessage(p scheduler.PeerMessage) { c.inbox.putPeer(p) }

// Beliefs hands what the module believes of the nodes to tell, on the loop's goroutine.
func (c *EventLoop) InspectNodes(tell func([]scheduler.NodeState)) {
	c.inbox.put(func(l *loop) { tell(l.scheduler.NodeStates()) })
}
