package testbed

import "landingpaddle/internal/proto"

// cancelOperation takes in that an operation is cancelled. What will not take effect any more is forgotten
// by its deduplication group at once: a repeat that came before a core got to the operation would else be
// dropped, and nobody would have carried it out.
func (p *nodeProcess) cancelOperation(o *operation) {
	p.logOperation(KindCancelArrived, o, 0)
	model := &p.node.cfg.Model
	p.mu.Lock()
	if o.state == operationQueued && model.Drops || o.state == operationRunning && model.Stops {
		o.state = operationCancelled
		p.forgetEffects(o)
	}
	p.mu.Unlock()
	o.cancel()
}

// cancelMembers takes in that the members at some places of an operation are cancelled.
func (p *nodeProcess) cancelMembers(o *operation, places []uint16) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, place := range places {
		if int(place) >= len(o.members) {
			continue
		}
		cancelled := o.withOnly(o.members[place])
		p.logOperation(KindCancelArrived, cancelled, 0)
		if o.state == operationQueued && p.node.cfg.Model.Drops && !o.members[place].dropped {
			o.members[place].dropped = true // it takes no effect, and its end is logged now
			p.logOperation(KindCancel, cancelled, proto.Cancelled)
			p.forgetEffects(cancelled)
		}
	}
}

// abandon takes in that the process has ended: what has not taken effect never will.
func (p *nodeProcess) abandon(o *operation) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if o.state != operationDone {
		o.state = operationCancelled
		p.forgetEffects(o)
	}
}

// setState changes an operation's state; it returns false if the operation is over.
func (p *nodeProcess) setState(o *operation, state operationState) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if o.state >= operationCancelled {
		return false
	}
	o.state = state
	return true
}
