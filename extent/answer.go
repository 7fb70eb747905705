package extent

// Outcome is how a piece, or a request, ended.
type Outcome uint8

// The outcomes.
const (
	Served   Outcome = iota
	Rejected         // a retry does no harm
	Failed           // promises nothing
)

// Answer is a request's one final answer.
type Answer struct {
	Request uint64
	Outcome Outcome
	Data    [][]byte // of a read that was served, by offset
	// Of a request that was not served: how many of its pieces are done, may yet run or may have run, and
	// were never sent.
	Done, Uncertain, Unsent int
}

// Resolve takes in a piece's final outcome: what the scheduler says of it, and the bytes of a read that was
// served. It returns the request's answer, where this is what decides it, and the pieces of it that are
// queued or in flight and are owed nothing any more: the scheduler is told that their client has gone. The
// first piece that is not served ends its request. A rejection stays one only where no piece may have run, or
// running again does no harm.
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
	answer, withdrawn = p.end(r)
	answer.Outcome = outcome
	if outcome == Rejected && !r.RetrySafe && answer.Done+answer.Uncertain > 0 {
		answer.Outcome = Failed
	}
	return answer, withdrawn
}

// resolveServed notes that a piece was served, and returns the request's answer if it was the last.
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

// Abandon ends a request that wants no answer any more, or whose time is up. Attempts in flight go on: others
// may share them. It returns what is known of all pieces, and those that are not resolved; nil if the request
// was answered before.
func (p *Planner) Abandon(id uint64) (answer *Answer, withdrawn []uint32) {
	r := p.requests[id]
	if r == nil || r.answered {
		return nil, nil
	}
	answer, withdrawn = p.end(r)
	answer.Outcome = Failed
	return answer, withdrawn
}

// end closes a request that is not served, and counts what becomes of its pieces.
func (p *Planner) end(r *request) (answer *Answer, withdrawn []uint32) {
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
