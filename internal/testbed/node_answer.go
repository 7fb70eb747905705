package testbed

import "landingpaddle/internal/proto"

// corruptFrame is what a node writes in place of an answer that a fault corrupts.
const corruptFrame = "this is no frame, and nothing that follows on this connection is one either"

// loadQueueLength names the length of the queue among a load report's fields.
const loadQueueLength = "q"

// answer ends an operation, logs its end as kind and writes its answer, unless a fault prevents that.
func (p *nodeProcess) answer(o *operation, kind Kind, code proto.Code) {
	if kind != KindRepeat { // logged for each member by itself
		p.logOperation(kind, o, code)
	}
	answer := p.makeAnswer(o, code)
	o.cancel()
	payload := p.payloadOf(o, code)
	switch p.node.Faults.drawAnswerFault() {
	case answerLost:
		return // it stays known, so that its cancellation is logged
	case answerCorrupted:
		o.conn.Raw([]byte(corruptFrame))
		return
	}
	p.mu.Lock()
	delete(p.conns[o.conn], o.stream)
	p.mu.Unlock()
	o.conn.CloseStream(o.stream)
	if o.conn.Send(proto.TypeAnswer, o.stream, answer, payload) != nil {
		// The connection ended just now: for the instance the attempt is over.
		p.logOperation(KindCancelArrived, o, code)
		return
	}
	p.logOperation(KindReplied, o, code)
}

// makeAnswer counts what was served and reports it. What is reported of volumes concerns the first member's.
func (p *nodeProcess) makeAnswer(o *operation, code proto.Code) proto.Answer {
	p.mu.Lock()
	defer p.mu.Unlock()
	site := p.node.cfg.Site
	answer := proto.Answer{Code: code, Load: p.loadReportLocked(), Cell: 1 + int32(p.node.cfg.Cell)}
	if code != proto.OK {
		return answer
	}
	for i, m := range o.members {
		isFirst := i == 0
		metered := p.node.cfg.Meter.served(m.Volume, float64(m.Units), site.Plans[m.Plan].Rate)
		elsewhere := uint32(0)
		if site.ReportsElsewhere {
			elsewhere = p.elsewhere.add(m.Volume, o.instance, float64(m.Units), isFirst)
		}
		if isFirst {
			answer.MeteredRate, answer.ElsewhereUnits = metered, elsewhere
		}
	}
	return answer
}

// payloadOf is what was read, or as many bytes as the node's model answers a read with.
func (p *nodeProcess) payloadOf(o *operation, code proto.Code) []byte {
	bytesPerUnit := p.node.cfg.Model.Bytes
	switch {
	case o.request.Ranged:
		return o.data
	case code == proto.OK && !o.request.Write && bytesPerUnit > 0:
		return make([]byte, bytesPerUnit*int(o.request.Units))
	}
	return nil
}

func (p *nodeProcess) loadReport() []float64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.loadReportLocked()
}

// loadReportLocked is the figures that the site's settings name, as far as this node knows them. The lock
// is held.
func (p *nodeProcess) loadReportLocked() []float64 {
	var report []float64
	for _, field := range p.node.cfg.Site.LoadFields {
		switch field {
		case loadQueueLength:
			report = append(report, float64(len(p.queue)))
		default:
			perUnit := float64(p.node.cfg.Model.PerUnit.Milliseconds())
			report = append(report, perUnit*p.node.Faults.workFactor())
		}
	}
	return report
}
