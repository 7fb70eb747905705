package testbed

import (
	"landingpaddle/internal/config"
	"landingpaddle/internal/proto"
	"landingpaddle/scheduler"
)

func (p *nodeProcess) classOf(o *operation) *config.Class {
	return &p.node.cfg.Site.Classes[o.request.Class]
}

// isKeyed tells whether repeats of an operation are dropped by its idempotency key.
func (p *nodeProcess) isKeyed(o *operation) bool {
	return p.classOf(o).Idempotency == config.Idempotency(scheduler.IdempotentByKey)
}

func (p *nodeProcess) dedupGroupOf(o *operation) *DedupGroup {
	return p.node.cfg.DedupGroups(scheduler.DedupScope(p.classOf(o).DedupScope))
}

// admitKeyed registers an operation with its deduplication group and returns whether it is to be queued.
// One that is cancelled or a repeat is answered; a repeat of what is in progress waits for that and is
// queued again.
func (p *nodeProcess) admitKeyed(o *operation) bool {
	p.mu.Lock()
	cancelled := o.state == operationCancelled
	allRepeats, inProgress := false, (<-chan struct{})(nil)
	if !cancelled {
		allRepeats, inProgress = p.registerMembers(o)
	}
	p.mu.Unlock()
	switch {
	case cancelled:
		p.answer(o, KindCancel, proto.Cancelled)
	case inProgress != nil:
		go func() {
			<-inProgress
			p.enqueue(o)
		}()
	case allRepeats:
		p.answer(o, KindRepeat, proto.OK)
	default:
		return true
	}
	return false
}

// registerMembers asks the group about each member; it tells whether all of them are repeats. Where one is
// in progress elsewhere it returns what to wait for before asking again. The lock is held.
func (p *nodeProcess) registerMembers(o *operation) (allRepeats bool, wait <-chan struct{}) {
	var tokens []uint64
	var asked []*member
	for i := range o.members {
		if m := &o.members[i]; !m.dropped { // one that was cancelled meanwhile is over
			tokens, asked = append(tokens, m.effectToken()), append(asked, m)
		}
	}
	repeats, wait := p.dedupGroupOf(o).admit(tokens, p.classOf(o).DedupWindow)
	if wait != nil {
		return false, wait
	}
	o.registered, allRepeats = true, true
	for i, m := range asked {
		m.dropped = repeats[i]
		allRepeats = allRepeats && m.dropped
		if m.dropped {
			p.logOperation(KindRepeat, o.withOnly(member{Member: m.Member}), proto.OK)
		}
	}
	return allRepeats, nil
}

// forgetEffects tells the group that an operation will never take effect. The lock is held.
func (p *nodeProcess) forgetEffects(o *operation) { p.eachRegistered(o, (*DedupGroup).forget) }

// settleEffects tells the group that an operation has taken effect.
func (p *nodeProcess) settleEffects(o *operation) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.eachRegistered(o, (*DedupGroup).settle)
}

// eachRegistered does something for each member of an operation that its group has registered. The lock is
// held.
func (p *nodeProcess) eachRegistered(o *operation, do func(group *DedupGroup, token uint64)) {
	if !o.registered {
		return
	}
	for _, m := range o.members {
		if !m.dropped {
			do(p.dedupGroupOf(o), m.effectToken())
		}
	}
}
