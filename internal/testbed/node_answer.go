package testbed

import "landingpaddle/internal/proto"

// corruptFrame is invalid data that a node writes in place of an answer that a fault corrupts.
const corruptFrame = "this is no frame, and nothing that follows on this connection is one either"

// queueLengthField is the load report field for the length of the queue.
const queueLengthField = "q"

// answer ends an operation, logs its end as kind and sends its answer, unless a fault prevents that.
func (p *nodeProcess) answer(op *operation, kind Kind, code proto.Code) {
	if kind != KindDuplicate { // registerMembers has logged it for each member
		p.logOperation(kind, op, code)
	}
	answer := p.makeAnswer(op, code)
	op.cancel()
	payload := p.payloadOf(op, code)
	switch p.node.Faults.drawAnswerFault() {
	case answerLost:
		return // the operation stays in conns, so that its cancellation is logged
	case answerCorrupted:
		op.conn.SendRaw([]byte(corruptFrame))
		return
	}
	p.mu.Lock()
	delete(p.conns[op.conn], op.stream)
	p.mu.Unlock()
	op.conn.CloseStream(op.stream)
	if op.conn.Send(proto.TypeAnswer, op.stream, answer, payload) != nil {
		// The connection has ended: for the instance the attempt is over.
		p.logOperation(KindCancelArrived, op, code)
		return
	}
	p.logOperation(KindReplied, op, code)
}

// makeAnswer counts the units that were served and returns the answer with the node's reports. MeteredRate
// and ElsewhereUnits are those of the first member's volume.
func (p *nodeProcess) makeAnswer(op *operation, code proto.Code) proto.Answer {
	p.mu.Lock()
	defer p.mu.Unlock()
	site := p.node.cfg.Site
	answer := proto.Answer{Code: code, Load: p.loadReportLocked(), Cell: 1 + int32(p.node.cfg.Cell)}
	if code != proto.OK {
		return answer
	}
	for i, m := range op.members {
		isFirst := i == 0
		meteredRate := p.node.cfg.Meter.recordServed(m.Volume, float64(m.Units), site.Plans[m.Plan].Rate)
		elsewhereUnits := uint32(0)
		if site.ReportsElsewhere {
			elsewhereUnits = p.elsewhere.add(m.Volume, op.instance, float64(m.Units), isFirst)
		}
		if isFirst {
			answer.MeteredRate, answer.ElsewhereUnits = meteredRate, elsewhereUnits
		}
	}
	return answer
}

// payloadOf returns the bytes that a ranged operation has read or, for other served reads, a payload of zeros
// whose size the node's model specifies.
func (p *nodeProcess) payloadOf(op *operation, code proto.Code) []byte {
	bytesPerUnit := p.node.cfg.Model.BytesPerUnit
	switch {
	case op.request.Ranged:
		return op.data
	case code == proto.OK && !op.request.Write && bytesPerUnit > 0:
		return make([]byte, bytesPerUnit*int(op.request.Units))
	}
	return nil
}

func (p *nodeProcess) loadReport() []float64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.loadReportLocked()
}

// loadReportLocked returns the values of the fields that the site's settings list: the queue length and, for
// each other field, the current work per unit in milliseconds. The caller holds p.mu.
func (p *nodeProcess) loadReportLocked() []float64 {
	var report []float64
	for _, field := range p.node.cfg.Site.LoadFields {
		switch field {
		case queueLengthField:
			report = append(report, float64(len(p.queue)))
		default:
			perUnit := float64(p.node.cfg.Model.PerUnit.Milliseconds())
			report = append(report, perUnit*p.node.Faults.workFactor())
		}
	}
	return report
}
