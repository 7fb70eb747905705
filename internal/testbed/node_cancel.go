package testbed

import "landingpaddle/internal/proto"

// cancelOperation handles the cancellation of an operation. One that will not take effect any more is removed
// from its deduplication group at once: otherwise a duplicate that arrives before a core reaches the
// cancelled operation would wait for it to take effect, and would not be executed either.
func (p *nodeProcess) cancelOperation(op *operation) {
	p.logOperation(KindCancelArrived, op, 0)
	model := &p.node.cfg.Model
	p.mu.Lock()
	if op.state == operationQueued && model.CancelDropsQueued ||
		op.state == operationRunning && model.CancelStopsRunning {
		op.state = operationCancelled
		p.forgetEffects(op)
	}
	p.mu.Unlock()
	op.cancel()
}

// cancelMembers handles the cancellation of the members of an operation at the given indices.
func (p *nodeProcess) cancelMembers(op *operation, indices []uint16) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, index := range indices {
		if int(index) >= len(op.members) {
			continue
		}
		cancelled := op.withMember(op.members[index])
		p.logOperation(KindCancelArrived, cancelled, 0)
		if op.state == operationQueued && p.node.cfg.Model.CancelDropsQueued && !op.members[index].dropped {
			op.members[index].dropped = true // it will not take effect, and its end is logged here
			p.logOperation(KindCancel, cancelled, proto.Cancelled)
			p.forgetEffects(cancelled)
		}
	}
}

// abandon marks an operation of a process that has ended as cancelled, unless it is done: it will never take
// effect.
func (p *nodeProcess) abandon(op *operation) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if op.state != operationDone {
		op.state = operationCancelled
		p.forgetEffects(op)
	}
}

// setState changes an operation's state; it returns false if the operation is cancelled or done.
func (p *nodeProcess) setState(op *operation, state operationState) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if op.state >= operationCancelled {
		return false
	}
	op.state = state
	return true
}
