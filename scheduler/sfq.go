package scheduler

import (
	"cmp"
	"math"
	"slices"
)

// maxSlotCost is the maximum slot cost of a request.
const maxSlotCost = 4.0

// shardQueue is the SFQ queue of one cell: requests by start tag, and the virtual time.
type shardQueue struct {
	cell        int
	node        *node // that holds the cell; nil: none is listed as ready
	virtualTime float64
	requests    []*request // in dispatch order, by compareTags
	queuedUnits float64
}

// backlog tracks the shards that have requests queued.
type backlog struct {
	shards []*shardQueue // by cell
	batch  []*shardQueue // copy of shards at the start of a batch; its memory is reused
}

// snapshot returns the shards with requests queued. It is valid until the next call.
func (b *backlog) snapshot() []*shardQueue {
	b.batch = append(b.batch[:0], b.shards...)
	return b.batch
}

// enqueue puts a request into its shard's queue.
func (b *backlog) enqueue(r *request) {
	queue := r.shard
	i, _ := slices.BinarySearchFunc(queue.requests, r, compareTags)
	queue.requests = slices.Insert(queue.requests, i, r)
	if len(queue.requests) == 1 {
		at, _ := slices.BinarySearchFunc(b.shards, queue, compareCells)
		b.shards = slices.Insert(b.shards, at, queue)
	}
	queue.queuedUnits += r.Units
	r.queued = true
}

// dequeue removes a request from its shard's queue, if it is there.
func (b *backlog) dequeue(r *request) {
	if !r.queued {
		return
	}
	queue := r.shard
	if i := slices.Index(queue.requests, r); i >= 0 {
		queue.requests = slices.Delete(queue.requests, i, i+1)
	}
	if len(queue.requests) == 0 {
		at, _ := slices.BinarySearchFunc(b.shards, queue, compareCells)
		b.shards = slices.Delete(b.shards, at, at+1)
	}
	queue.queuedUnits -= r.Units
	r.queued = false
}

// compareTags orders requests by start tag. At equal tags, requests wholly inside their reserve come first,
// then the order of arrival decides.
func compareTags(a, b *request) int {
	return cmp.Or(cmp.Compare(a.startTag, b.startTag), cmp.Compare(a.beyondReserve(), b.beyondReserve()),
		cmp.Compare(a.sequence, b.sequence))
}

// beyondReserve returns 0 for a request wholly inside its volume's reserve, else 1.
func (r *request) beyondReserve() int {
	if r.tagAdvance > 0 {
		return 1
	}
	return 0
}

// assignTags gives a request its start tag and advances its volume's finish tag. Units inside the reserve do
// not advance it, and the start tag of a request wholly inside is the virtual time: the reserve is served
// before the fair share.
func (s *Scheduler) assignTags(r *request) {
	queue := r.shard
	r.reservedUnits = s.takeReserve(r.volume, r.Units)
	r.tagAdvance = (r.Units - r.reservedUnits) / r.volume.plan.Weight
	r.startTag = queue.virtualTime
	if r.tagAdvance > 0 {
		r.startTag = max(queue.virtualTime, r.volume.finishTags[queue])
		r.volume.finishTags[queue] = r.startTag + r.tagAdvance
	}
	s.sequence++
	r.sequence = s.sequence
}

// refundTags returns to the volume what a request that was never sent has taken from it: its advance of the
// finish tag and its units of the reserve.
func (r *request) refundTags() {
	r.volume.finishTags[r.shard] -= r.tagAdvance
	r.volume.reserve.level += r.reservedUnits
	r.tagAdvance, r.reservedUnits = 0, 0
}

// chargeElsewhere counts units that were served for a volume through other instances as if they had been sent
// here, so that tags and the reserve follow the volume's total service (as in distributed SFQ, DSFQ).
func (s *Scheduler) chargeElsewhere(r *request, units float64) {
	beyond := units - s.takeReserve(r.volume, units)
	queue := r.shard
	tag := max(queue.virtualTime, r.volume.finishTags[queue])
	r.volume.finishTags[queue] = tag + beyond/r.volume.plan.Weight
}

// slotCost returns the slots that a request of a size uses: 1 up to the running mean of the class's sizes;
// above it, the ratio to that mean, rounded up, maxSlotCost at most.
func (c *class) slotCost(units float64) float64 {
	if c.count > 0 && units > c.meanUnits {
		return min(maxSlotCost, math.Ceil(units/c.meanUnits))
	}
	return 1
}
