package daemon

import (
	"landingpaddle/endpoints"
	"landingpaddle/internal/proto"
	"landingpaddle/scheduler"
)

// message is what other goroutines hand to the loop. The loop calls apply on its own goroutine, once, in the
// order in which messages came.
type message interface {
	apply(l *loop)
}

// callSubmitted is an admitted call.
type callSubmitted struct{ call *Call }

func (m callSubmitted) apply(l *loop) { l.startCall(m.call) }

// clientGone says that a call's client is gone or wants no answer any more.
type clientGone struct{ call *Call }

func (m clientGone) apply(l *loop) { l.endCallOfGoneClient(m.call) }

// operationResult is the end of an operation.
type operationResult struct {
	operation *Operation
	code      scheduler.ResultCode
	answer    proto.Answer
	payload   []byte
}

func (m operationResult) apply(l *loop) { l.operationEnded(m) }

// responseStarted says that a streamed answer has begun.
type responseStarted struct{ operation *Operation }

func (m responseStarted) apply(l *loop) {
	for _, member := range m.operation.members {
		if !member.ended {
			l.notify(scheduler.ResponseStarted{ID: member.request.id, Attempt: member.number,
				Server: member.server, Latency: l.now - member.startedAt})
		}
	}
}

// updateReceived is an update of the endpoint list.
type updateReceived struct{ update endpoints.Update }

func (m updateReceived) apply(l *loop) { l.applyUpdate(m.update) }

// listFailure says that a watch broke or a fetch failed.
type listFailure struct{ err error }

func (m listFailure) apply(l *loop) {
	l.shared.log.Warn("endpoint list request failed", keyError, m.err)
	l.updateEndpoints(scheduler.EndpointUpdate{Kind: scheduler.UpdateFailed})
}

// nodeProcess is one process of a node.
type nodeProcess struct {
	server    scheduler.Server
	startedAt int64 // wall clock, Unix nanoseconds, by the node's own word
}

// drainNotice says that a node announced on its connection that it drains.
type drainNotice struct{ node nodeProcess }

func (m drainNotice) apply(l *loop) {
	update, changed := l.view.ApplyDrainNotice(l.shared.clock(), m.node.server, m.node.startedAt)
	l.updateFromNode("node draining", m.node.server, update, changed)
}

// greetingReceived says which process of a node answers on a new connection.
type greetingReceived struct{ node nodeProcess }

func (m greetingReceived) apply(l *loop) {
	update, changed := l.view.ApplyGreeting(l.shared.clock(), m.node.server, m.node.startedAt)
	l.updateFromNode("node restarted", m.node.server, update, changed)
}

// peerMessageReceived is a message of another instance.
type peerMessageReceived struct{ message scheduler.PeerMessage }

func (m peerMessageReceived) apply(l *loop) { l.notify(m.message) }

// healthCheckEnded is the result of a health check.
type healthCheckEnded struct{ result scheduler.HealthCheckResult }

func (m healthCheckEnded) apply(l *loop) { l.notify(m.result) }

// nodeInspection asks for what the scheduler holds of the nodes.
type nodeInspection struct{ inspect func([]scheduler.NodeState) }

func (m nodeInspection) apply(l *loop) { m.inspect(l.scheduler.NodeStates()) }
