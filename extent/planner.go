package extent

import (
	"errors"
	"fmt"

	"github.com/google/btree"
)

const btreeDegree = 16

// ErrDuplicate is returned for a request whose ID is already in use.
var ErrDuplicate = errors.New("request ID is already in use")

// Planner tracks all requests in progress: which pieces are queued and could be sent together, to which
// request a piece belongs, and when a request's single answer is complete. It is a scheduler.Batcher: when a
// piece is sent, the scheduler queries the planner for pieces to send with it.
//
// The caller reports the events of each piece in this order: Add, then any number of AttemptSent and
// AttemptEnded, then Resolve once the scheduler has returned the final result, or Abandon for the whole
// request, then AttemptEnded for the attempts that are still in flight; finally Forget, when none is.
type Planner struct {
	settings Settings
	requests map[uint64]*request
	pieces   map[uint32]*piece
	queued   *btree.BTreeG[*piece] // by kind, then offset
	Stats    Stats
}

// Stats counts decisions of the planner.
type Stats struct {
	Split      uint64 // requests that were split
	Pieces     uint64 // of all requests
	Operations uint64 // sent, retries included
	Merged     uint64 // operations of two members or more
	Members    uint64 // pieces in merged operations
	Saved      uint64 // operations saved by merging
	Withdrawn  uint64 // pieces never executed, as their request failed or was abandoned first
	Partial    uint64 // writes that were not served as a whole although some pieces were
}

// request is a client's request and the state of its pieces.
type request struct {
	Request
	pieces   []*piece
	unserved int // pieces not served yet
	answered bool
}

type piece struct {
	Piece
	request    *request
	queued     bool // waits for its first attempt
	inFlight   int  // attempts in flight
	mayHaveRun bool // an attempt that has ended may have run
	resolved   bool // its outcome is final
	served     bool
	data       []byte // of a read that was served
}

// New returns an empty planner.
func New(settings Settings) *Planner {
	return &Planner{
		settings: settings,
		requests: map[uint64]*request{},
		pieces:   map[uint32]*piece{},
		queued:   btree.NewG(btreeDegree, func(a, b *piece) bool { return a.compare(b) < 0 }),
	}
}

// Counts returns the numbers of requests and pieces that the planner tracks.
func (p *Planner) Counts() (requests, pieces int) { return len(p.requests), len(p.pieces) }

// Add splits a request into pieces for the scheduler, in the order of their offsets; nextID returns their
// IDs. After an error nothing of the request is stored, and the caller must reject it.
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

// AttemptSent records that an attempt of a piece was sent.
func (p *Planner) AttemptSent(id uint32) {
	if x := p.pieces[id]; x != nil {
		p.dequeue(x)
		x.inFlight++
	}
}

// AttemptEnded records that an attempt of a piece ended, and whether it may have run.
func (p *Planner) AttemptEnded(id uint32, mayHaveRun bool) {
	x := p.pieces[id]
	if x == nil {
		return
	}
	x.inFlight--
	x.mayHaveRun = x.mayHaveRun || mayHaveRun
}

// Forget removes a resolved piece of which no attempt is in flight, and with the last piece its request.
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
