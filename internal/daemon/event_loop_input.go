package daemon

import (
	"time"

	"landingpaddle/endpoints"
	"landingpaddle/internal/proto"
	"landingpaddle/scheduler"
)

// Admit counts one more call as open and returns "", unless the instance is stopping or maxOpen calls are
// open: then it returns the reason of the rejection. An admitted call must be passed to Submit.
func (e *EventLoop) Admit(maxOpen int) (reason string) {
	// The call is counted before Stopping is checked. Otherwise the loop, which ends when no call is counted,
	// could end between the check and the count.
	open := e.openCalls.Add(1)
	switch {
	case e.Stopping():
		e.openCalls.Add(-1)
		return ReasonStopping
	case open > int64(maxOpen):
		e.openCalls.Add(-1)
		return ReasonOverload
	}
	e.Stats.Admitted.Add(1)
	return ""
}

// Submit passes an admitted call to the loop, which owns it from then on.
func (e *EventLoop) Submit(call *Call) { e.inbox.put(callSubmitted{call}) }

// CancelCall ends a call whose client has disconnected or has cancelled it.
func (e *EventLoop) CancelCall(call *Call) {
	e.FailCall(call, ReasonClientGone)
}

// FailCall ends a call as failed, with a reason of its frontend.
func (e *EventLoop) FailCall(call *Call, reason string) {
	call.closed.Store(true) // at once: an attempt might start before the loop's next batch
	e.inbox.put(callFailed{call, reason})
}

// StopAttempts ends a call unless an attempt of it is in flight, and lets no further attempt start: whether
// its client waits is not known any more.
func (e *EventLoop) StopAttempts(call *Call) {
	call.attemptsStopped.Store(true) // at once, as an attempt might start before the loop's next batch
	e.inbox.put(attemptsStopped{call})
}

// OperationEnded reports how an operation ended.
func (e *EventLoop) OperationEnded(operation *Operation, code scheduler.ResultCode, answer proto.Answer,
	payload []byte) {
	e.inbox.put(operationResult{operation, code, answer, payload})
}

// ReceiveUpdate passes an update of the endpoint list to the loop.
func (e *EventLoop) ReceiveUpdate(update endpoints.Update) { e.inbox.put(updateReceived{update}) }

// ReportListFailure reports that a watch or a fetch of the endpoint list failed.
func (e *EventLoop) ReportListFailure(err error) { e.inbox.put(listFailure{err}) }

// ReportHealthCheck reports the result of a health check.
func (e *EventLoop) ReportHealthCheck(result scheduler.HealthCheckResult) {
	e.inbox.put(healthCheckEnded{result})
}

// ReportArrivalsCollected reports that the collection of arrivals before a time, which was not complete at
// once, is over.
func (e *EventLoop) ReportArrivalsCollected(before time.Duration) {
	e.inbox.put(arrivalsCollected{scheduler.ArrivalsCollected{Before: before}})
}

// ReceivePeerMessage passes a message from another instance to the loop. It is discarded if too many such
// messages are queued.
func (e *EventLoop) ReceivePeerMessage(message scheduler.PeerMessage) {
	e.inbox.putPeerMessage(message)
}

// InspectNodes makes the loop call inspect, on its goroutine, with the scheduler's states of the nodes.
func (e *EventLoop) InspectNodes(inspect func([]scheduler.NodeState)) {
	e.inbox.put(nodeInspection{inspect})
}
