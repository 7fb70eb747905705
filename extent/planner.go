package extent

import (
	"errors"
	"fmt"

	"github.com/google/btree"
)

const btreeDegree = 16

// ErrDuplicate is the error of a request whose ID is known already.
var ErrDuplicate = errors.New("request is known already")

// Planner keeps the state of all requests on their way: which pieces are queued and could be sent together,
// whose answer a piece's end is, and when a request's one answer is due. It is a scheduler.Batcher: the
// scheduler asks it, as a request is sent, what could be sent with it.
//
// The driver tells it what happens, in this order for each piece: Add, then any number of AttemptSent and
// AttemptEnded, then Resolve once the scheduler has given its final answer, or Abandon for the whole request;
// last Forget, when no attempt of the piece is in flight any more.
type Planner struct {
	settings Settings
	requests map[uint64]*request
	pieces   map[uint32]*piece
	queued   *btree.BTreeG[*piece] // by kind, then offset
	Stats    Stats
}

// Stats count what the planner decided.
type Stats struct {
	Split      uint64 // requests that were split
	Pieces     uint64 // that all requests became
	Operations uint64 // sent, retries included
	Merged     uint64 // operations of two members or more
	Members    uint64 // pieces in merged operations
	Saved      uint64 // operations that merging saved
	Withdrawn  uint64 // pieces not sent, because another of their request had failed or its client had gone
	Partial    uint64 // writes that failed with some of their pieces done
}

// request is a client's request.
type request struct {
	Request
	pieces   []*piece
	unserved int // pieces not served yet
	answered bool
}

type piece struct {
	Piece
	request    *request
	queued     bool // has never been sent
	inFlight   int  // attempts
	mayHaveRun bool
	resolved   bool // has its end
	served     bool
	data       []byte // of a read that was served
}

// New returns a planner that holds nothing.
func New(settings Settings) *Planner {
	return &Planner{
		settings: settings,
		requests: map[uint64]*request{},
		pieces:   map[uint32]*piece{},
		queued:   btree.NewG(btreeDegree, func(a, b *piece) bool { return a.compare(b) < 0 }),
	}
}

// Counts returns how many requests and pieces are known.
func (p *Planner) Counts() (requests, pieces int) { return len(p.requests), len(p.pieces) }

// Add splits a request into the pieces that the scheduler is to see, in the order of their offsets; nextID
// returns their IDs. An error is the request's answer: it is rejected, and nothing of it is known.
func (p *Planner) Add(incoming Request, nextID func() uint32) ([]Piece, error) {
	if p.requests[incoming.ID] != nil {
		return nil, fmt.Errorf("%w: %d", ErrDuplicate, incoming.ID)
	}
	pieces, err := Split(p.settings, incoming)
	if err != nil {
		return nil, err
	}
	r := &request{Request: incoming, unserved: len(pieces)}
	p.requests[incoming.ID] = r
	p.Stats.Pieces += uint64(len(pieces))
	if len(pieces) > 1 {
		p.Stats.Split++
	}
	for i := range pieces {
		pieces[i].ID = nextID()
		added := &piece{Piece: pieces[i], request: r, queued: true}
		r.pieces = append(r.pieces, added)
		p.pieces[added.ID] = added
		if p.settings.MaxMembers > 1 {
			p.queued.ReplaceOrInsert(added)
		}
	}
	return pieces, nil
}

func (p *Planner) dequeue(x *piece) {
	if x.queued {
		x.queued = false
		p.queued.Delete(x)
	}
}

// AttemptSent notes that an attempt of a piece is sent.
func (p *Planner) AttemptSent(id uint32) {
	if x := p.pieces[id]; x != nil {
		p.dequeue(x)
		x.inFlight++
	}
}

// AttemptEnded notes that an attempt of a piece ended, and whether it may have run.
func (p *Planner) AttemptEnded(id uint32, mayHaveRun bool) {
	x := p.pieces[id]
	if x == nil {
		return
	}
	x.inFlight--
	x.mayHaveRun = x.mayHaveRun || mayHaveRun
}

// Forget drops a piece that has its end and of which no attempt is in flight any more.
func (p *Planner) Forget(id uint32) {
	x := p.pieces[id]
	if x == nil {
		return
	}
	p.dequeue(x)
	delete(p.pieces, id)
	for _, other := range x.request.pieces {
		if p.pieces[other.ID] == other {
			return
		}
	}
	delete(p.requests, x.request.ID)
}
