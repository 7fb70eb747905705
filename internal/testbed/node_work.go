package testbed

import (
	"context"
	"slices"
	"time"

	"landingpaddle/internal/proto"
)

// accept lets an operation in or rejects it; one that overloads a cold node ends the process.
func (p *nodeProcess) accept(o *operation) {
	cfg := &p.node.cfg
	p.logOperation(KindArrive, o, 0)
	p.mu.Lock()
	p.conns[o.conn][o.stream] = o
	collapses, draining := p.slowStart.add(float64(o.request.Units), &cfg.Model), p.draining
	p.mu.Unlock()
	switch {
	case collapses:
		p.log(Event{Kind: KindCollapsed, Instance: o.instance, Token: o.request.Token,
			StartedAt: p.startedAt})
		p.kill()
	case o.request.Cell >= 0 && o.request.Cell != int32(cfg.Cell):
		p.answer(o, KindNotApplicable, proto.NotApplicable)
	case draining:
		p.answer(o, KindOverloaded, proto.Overloaded)
	default:
		p.enqueue(o)
	}
}

// enqueue lets an operation wait for a core, unless it is a repeat.
func (p *nodeProcess) enqueue(o *operation) {
	if p.isKeyed(o) && !p.admitKeyed(o) {
		return
	}
	select {
	case p.queue <- o:
	default:
		p.mu.Lock()
		p.forgetEffects(o)
		p.mu.Unlock()
		p.answer(o, KindOverloaded, proto.Overloaded)
	}
}

// runCore is one core: it works operations off, one after the other.
func (p *nodeProcess) runCore(ctx context.Context) error {
	var free time.Time
	for {
		select {
		case <-ctx.Done():
			return nil
		case o := <-p.queue:
			free = p.work(ctx, o, free)
		}
	}
}

// work carries an operation out on a core that was free from some moment on, and returns when it is free
// again. That is reckoned, not measured: a timer that fires late must not make the node slower than it is.
func (p *nodeProcess) work(ctx context.Context, o *operation, free time.Time) time.Time {
	if pause := p.node.Faults.pauseLeft(); pause > 0 {
		sleep(ctx, pause)
		free = time.Now()
	}
	if ctx.Err() != nil {
		return free
	}
	if !p.setState(o, operationRunning) {
		p.answer(o, KindCancel, proto.Cancelled)
		return free
	}
	p.logOperation(KindStart, o, 0)
	running := ctx
	if p.node.cfg.Model.Stops {
		running = o.ctx
	}
	if free.Before(o.arrived) {
		free = o.arrived
	}
	free = free.Add(p.duration(o))
	if !sleep(running, time.Until(free)) {
		free = time.Now()
	}
	switch {
	case ctx.Err() != nil:
	case p.setState(o, operationDone):
		p.transfer(o)
		p.settleEffects(o)
		p.answer(o, KindEnd, proto.OK)
	default:
		p.answer(o, KindCancel, proto.Cancelled)
	}
	return free
}

// duration is how long an operation takes on one core now.
func (p *nodeProcess) duration(o *operation) time.Duration {
	model, request := &p.node.cfg.Model, &o.request
	p.mu.Lock()
	defer p.mu.Unlock()
	work := float64(model.PerOperation) + float64(model.PerUnit)*float64(request.Units)
	work *= (1 + model.Jitter*(2*p.rng.Float64()-1)) * float64(max(1, request.WorkFactor))
	if request.Write {
		work *= model.WritePer
		p.deferred += time.Duration(work * model.Deferred)
		work *= 1 - model.Deferred
	}
	if request.Key != 0 && model.Last > 0 {
		if slices.Contains(p.recentKeys, request.Key) && request.Attempt == 0 {
			work *= 1 - model.Again
		}
		p.recentKeys = append(p.recentKeys, request.Key)
		p.recentKeys = p.recentKeys[max(0, len(p.recentKeys)-model.Last):]
	}
	return time.Duration(work * p.node.Faults.workFactor() / p.slowStart.capacity())
}

// transfer reads or writes the bytes of a ranged operation. Members that were dropped write nothing.
func (p *nodeProcess) transfer(o *operation) {
	request := &o.request
	if !request.Ranged {
		return
	}
	var data []byte
	if !request.Write {
		data = p.node.disk.read(request.DataVolume(), request.Offset, uint64(request.Length))
	}
	o.sums = make([]uint64, len(o.members))
	for i := range o.members {
		m := &o.members[i]
		from, to := m.Offset, m.Offset+m.Length
		offset := request.Offset + uint64(from)
		switch {
		case !request.Write:
			o.sums[i] = checksum(offset, data[from:to])
		case !m.dropped && int(to) <= len(o.payload):
			p.node.disk.write(request.DataVolume(), offset, o.payload[from:to])
			o.sums[i] = checksum(offset, o.payload[from:to])
		}
	}
	o.data = data
}
