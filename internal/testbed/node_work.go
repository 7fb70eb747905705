package testbed

import (
	"context"
	"slices"
	"time"

	"landingpaddle/internal/proto"
)

// accept enqueues an operation or rejects it; one that overloads a cold node ends the process.
func (p *nodeProcess) accept(op *operation) {
	cfg := &p.node.cfg
	p.logOperation(KindArrive, op, 0)
	p.mu.Lock()
	p.conns[op.conn][op.stream] = op
	collapses, draining := p.slowStart.add(float64(op.request.Units), &cfg.Model), p.draining
	p.mu.Unlock()
	switch {
	case collapses:
		p.log(Event{Kind: KindCollapsed, Instance: op.instance, Token: op.request.Token,
			StartedAt: p.startedAt})
		p.kill()
	case op.request.Cell >= 0 && op.request.Cell != int32(cfg.Cell):
		p.answer(op, KindNotApplicable, proto.NotApplicable)
	case draining:
		p.answer(op, KindOverloaded, proto.Overloaded)
	default:
		p.enqueue(op)
	}
}

// enqueue queues an operation for a core, unless it is a duplicate or the queue is full.
func (p *nodeProcess) enqueue(op *operation) {
	if p.isKeyed(op) && !p.admitKeyed(op) {
		return
	}
	select {
	case p.queue <- op:
	default:
		p.mu.Lock()
		p.forgetEffects(op)
		p.mu.Unlock()
		p.answer(op, KindOverloaded, proto.Overloaded)
	}
}

// runCore runs one core, which executes queued operations one after the other until ctx ends.
func (p *nodeProcess) runCore(ctx context.Context) error {
	var freeAt time.Time
	for {
		select {
		case <-ctx.Done():
			return nil
		case op := <-p.queue:
			freeAt = p.execute(ctx, op, freeAt)
		}
	}
}

// execute runs an operation on a core that has been free since freeAt, and returns the time at which the
// core is free again. That time is computed, not measured: a timer that fires late must not make the node
// slower than its model.
func (p *nodeProcess) execute(ctx context.Context, op *operation, freeAt time.Time) time.Time {
	if pause := p.node.Faults.pauseLeft(); pause > 0 {
		sleep(ctx, pause)
		freeAt = time.Now()
	}
	if ctx.Err() != nil {
		return freeAt
	}
	if !p.setState(op, operationRunning) {
		p.answer(op, KindCancel, proto.Cancelled)
		return freeAt
	}
	p.logOperation(KindStart, op, 0)
	runCtx := ctx
	if p.node.cfg.Model.CancelStopsRunning {
		runCtx = op.ctx
	}
	if freeAt.Before(op.arrived) {
		freeAt = op.arrived
	}
	freeAt = freeAt.Add(p.duration(op))
	if !sleep(runCtx, time.Until(freeAt)) {
		freeAt = time.Now()
	}
	switch {
	case ctx.Err() != nil:
	case p.setState(op, operationDone):
		p.transfer(op)
		p.settleEffects(op)
		p.answer(op, KindEnd, proto.OK)
	default:
		p.answer(op, KindCancel, proto.Cancelled)
	}
	return freeAt
}

// duration returns how long an operation takes on one core at present, and records its deferred work and its
// key.
func (p *nodeProcess) duration(op *operation) time.Duration {
	model, request := &p.node.cfg.Model, &op.request
	p.mu.Lock()
	defer p.mu.Unlock()
	work := float64(model.PerOperation) + float64(model.PerUnit)*float64(request.Units)
	work *= (1 + model.Jitter*(2*p.rng.Float64()-1)) * float64(max(1, request.WorkFactor))
	if request.Write {
		work *= model.WriteFactor
		p.deferred += time.Duration(work * model.Deferred)
		work *= 1 - model.Deferred
	}
	if request.Key != 0 && model.RecentKeys > 0 {
		// The key of a retry may be recent only because of its first attempt.
		if slices.Contains(p.recentKeys, request.Key) && request.Attempt == 0 {
			work *= 1 - model.RepeatSaving
		}
		p.recentKeys = append(p.recentKeys, request.Key)
		p.recentKeys = p.recentKeys[max(0, len(p.recentKeys)-model.RecentKeys):]
	}
	return time.Duration(work * p.node.Faults.workFactor() / p.slowStart.capacity())
}

// transfer reads or writes the bytes of a ranged operation and computes their checksums by member. Dropped
// members write nothing.
func (p *nodeProcess) transfer(op *operation) {
	request := &op.request
	if !request.Ranged {
		return
	}
	var data []byte
	if !request.Write {
		data = p.node.disk.read(request.DataVolume(), request.Offset, uint64(request.Length))
	}
	op.sums = make([]uint64, len(op.members))
	for i := range op.members {
		m := &op.members[i]
		from, to := m.Offset, m.Offset+m.Length
		offset := request.Offset + uint64(from)
		switch {
		case !request.Write:
			op.sums[i] = checksum(offset, data[from:to])
		case !m.dropped && int(to) <= len(op.payload):
			p.node.disk.write(request.DataVolume(), offset, op.payload[from:to])
			op.sums[i] = checksum(offset, op.payload[from:to])
		}
	}
	op.data = data
}
