package testbed

import "landingpaddle/internal/proto"

// cancelOperation takes in that an operation is cancelled. What will not take effect any more is forgotten
// by its deduplication group at once: a repeat that came before a core got to the operation would else be
// dropped, and nobody would have carried it out.
func (p *nodeProcess) cancelOperation(op *operation) {
	p.logOperation(KindCancelArrived, op, 0)
	model := &p.node.cfg.Model
	p.mu.Lock()
	if op.state == operationQueued && model.CancelDropsWaiting ||
		op.state == operationRunning && model.CancelStopsRunning {
		op.state = operationCancelled
		p.forgetEffects(op)
	}
	p.mu.Unlock()
	op.cancel()
}

// cancelMembers takes in that the members at some places of an operation are cancelled.
func (p *nodeProcess) cancelMembers(op *operation, places []uint16) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, place := range places {
		if int(place) >= len(op.members) {
			continue
		}
		cancelled := op.withOnly(op.members[place])
		p.logOperation(KindCancelArrived, cancelled, 0)
		if op.state == operationQueued && p.node.cfg.Model.CancelDropsWaiting && !op.members[place].dropped {
			op.members[place].dropped = true // it takes no effect, and its end is logged now
			p.logOperation(KindCancel, cancelled, proto.Cancelled)
			p.forgetEffects(cancelled)
		}
	}
}

// abandon takes in that the process has ended: what has not taken effect never will.
func (p *nodeProcess) abandon(op *operation) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if op.state != operationDone {
		op.state = operationCancelled
		p.forgetEffects(op)
	}
}

// setState changes an operation's state; it returns false if the operation is over.
func (p *nodeProcess) setState(op *operation, state operationState) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if op.state >= operationCancelled {
		return false
	}
	op.state = state
	return true
}
