package testbed

import (
	"landingpaddle/internal/config"
	"landingpaddle/internal/proto"
	"landingpaddle/scheduler"
)

func (p *nodeProcess) classOf(op *operation) *config.Class {
	return &p.node.cfg.Site.Classes[op.request.Class]
}

// isKeyed reports whether an operation is deduplicated by its idempotency key.
func (p *nodeProcess) isKeyed(op *operation) bool {
	return p.classOf(op).Idempotency == config.Idempotency(scheduler.IdempotentByKey)
}

func (p *nodeProcess) dedupGroupOf(op *operation) *DedupGroup {
	return p.node.cfg.DedupGroups(scheduler.DedupScope(p.classOf(op).DedupScope))
}

// admitKeyed registers an operation with its deduplication group and reports whether it is to be queued. An
// operation that is cancelled or a duplicate is answered; a duplicate of one in progress waits for its end
// and is then passed to enqueue again.
func (p *nodeProcess) admitKeyed(op *operation) bool {
	p.mu.Lock()
	cancelled := op.state == operationCancelled
	allDuplicates, inProgress := false, (<-chan struct{})(nil)
	if !cancelled {
		allDuplicates, inProgress = p.registerMembers(op)
	}
	p.mu.Unlock()
	switch {
	case cancelled:
		p.answer(op, KindCancel, proto.Cancelled)
	case inProgress != nil:
		go func() {
			<-inProgress
			p.enqueue(op)
		}()
	case allDuplicates:
		p.answer(op, KindDuplicate, proto.OK)
	default:
		return true
	}
	return false
}

// registerMembers registers the members with the group and reports whether all of them are duplicates. While
// an earlier attempt of one is in progress, it registers none and returns a channel that is closed when it
// may be called again. The caller holds p.mu.
func (p *nodeProcess) registerMembers(op *operation) (allDuplicates bool, wait <-chan struct{}) {
	var tokens []uint64
	var remaining []*member
	for i := range op.members {
		if m := &op.members[i]; !m.dropped { // a cancelled one has already ended
			tokens, remaining = append(tokens, m.effectToken()), append(remaining, m)
		}
	}
	duplicates, wait := p.dedupGroupOf(op).admit(tokens, p.classOf(op).DedupWindow)
	if wait != nil {
		return false, wait
	}
	op.registered, allDuplicates = true, true
	for i, m := range remaining {
		m.dropped = duplicates[i]
		allDuplicates = allDuplicates && m.dropped
		if m.dropped {
			p.logOperation(KindDuplicate, op.withMember(member{Member: m.Member}), proto.OK)
		}
	}
	return allDuplicates, nil
}

// forgetEffects removes an operation that will never take effect from its group. The caller holds p.mu.
func (p *nodeProcess) forgetEffects(op *operation) { p.eachRegistered(op, (*DedupGroup).forget) }

// settleEffects records in the group that an operation has taken effect.
func (p *nodeProcess) settleEffects(op *operation) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.eachRegistered(op, (*DedupGroup).settle)
}

// eachRegistered calls do for each member of an operation that its group has registered. The caller holds
// p.mu.
func (p *nodeProcess) eachRegistered(op *operation, do func(group *DedupGroup, token uint64)) {
	if !op.registered {
		return
	}
	for _, m := range op.members {
		if !m.dropped {
			do(p.dedupGroupOf(op), m.effectToken())
		}
	}
}
