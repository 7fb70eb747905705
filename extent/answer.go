package extent

// Outcome is the result of a piece or of a request.
type Outcome uint8

// The outcomes.
const (
	Served   Outcome = iota
	Rejected         // a retry is safe
	Failed           // a retry may not be safe
)

// Answer is the single final answer to a request.
type Answer struct {
	Request uint64
	Outcome Outcome
	Data    [][]byte // of a read that was served: one element per piece, by offset
	// Of a request that was not served: the numbers of its pieces that were served, that may have run or may
	// still run, and that were not sent or not executed.
	Done, Uncertain, Unsent int
}

// Resolve records a piece's final outcome as decided by the scheduler, with the bytes of a read that was
// served. It returns the request's answer if this outcome decides it, and the request's unresolved pieces,
// which need no result any more: the caller reports them to the scheduler as withdrawn. The first piece that
// is not served ends its request. A rejection is returned as a failure if a piece may have run and a retry of
// the request is not safe.
func (p *Planner) Resolve(id uint32, outcome Outcome, data []byte) (answer *Answer, withdrawn []uint32) {
	x := p.pieces[id]
	if x == nil || x.resolved {
		return nil, nil
	}
	x.resolved = true
	p.dequeue(x)
	if outcome == Served {
		return p.resolveServed(x, data), nil
	}
	r := x.request
	if r.answered {
		return nil, nil
	}
	answer, withdrawn = p.endRequest(r)
	answer.Outcome = outcome
	if outcome == Rejected && !r.RetrySafe && answer.Done+answer.Uncertain > 0 {
		answer.Outcome = Failed
	}
	return answer, withdrawn
}

// resolveServed records that a piece was served, and returns the request's answer if it was the last.
func (p *Planner) resolveServed(x *piece, data []byte) *Answer {
	x.served, x.data = true, data
	r := x.request
	r.unserved--
	if r.answered || r.unserved > 0 {
		return nil
	}
	r.answered = true
	answer := &Answer{Request: r.ID}
	for _, y := range r.pieces {
		answer.Data = append(answer.Data, y.data)
		y.data = nil
	}
	return answer
}

// Abandon ends a request whose client needs no answer any more, or whose deadline has passed. Attempts in
// flight continue, as other requests may share them. It returns an answer that counts the pieces by state,
// and the unresolved pieces; nil if the request is unknown or was answered before.
func (p *Planner) Abandon(id uint64) (answer *Answer, withdrawn []uint32) {
	r := p.requests[id]
	if r == nil || r.answered {
		return nil, nil
	}
	answer, withdrawn = p.endRequest(r)
	answer.Outcome = Failed
	return answer, withdrawn
}

// endRequest closes a request that is not served, and counts its pieces by state.
func (p *Planner) endRequest(r *request) (answer *Answer, withdrawn []uint32) {
	r.answered = true
	answer = &Answer{Request: r.ID}
	for _, x := range r.pieces {
		isUncertain := x.mayHaveRun || x.inFlight > 0
		switch {
		case x.served:
			answer.Done++
		case isUncertain:
			answer.Uncertain++
		default:
			answer.Unsent++
		}
		x.data = nil
		if x.resolved {
			continue
		}
		x.resolved = true
		p.dequeue(x)
		withdrawn = append(withdrawn, x.ID)
		if !isUncertain {
			p.Stats.Withdrawn++
		}
	}
	if r.Write && answer.Done > 0 {
		p.Stats.Partial++
	}
	return answer, withdrawn
}
