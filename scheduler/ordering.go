package scheduler

import (
	"slices"
	"time"
)

// keyQueue holds the requests of one ordering key in the order in which they are sent.
type keyQueue struct {
	requests     []*request
	blockedUntil time.Duration // earliest time of the next first attempt, as an earlier request may still run
}

// keyTable keeps requests with the same key in arrival order.
type keyTable struct {
	byKey   map[uint64]*keyQueue
	emptied []uint64 // keys whose queue became empty, oldest first
}

func (r *request) isOrdered() bool { return r.class.OrderedByKey && r.Key != 0 }

// add puts a request into its key's queue: behind all that arrived before it, and behind those already sent.
func (t *keyTable) add(r *request) {
	if !r.isOrdered() {
		return
	}
	queue := t.byKey[r.Key]
	if queue == nil {
		queue = &keyQueue{}
		t.byKey[r.Key] = queue
	}
	position := len(queue.requests)
	for position > 0 && queue.requests[position-1].mayFollow(r) {
		position--
	}
	queue.requests = slices.Insert(queue.requests, position, r)
}

// mayFollow reports whether a request of the same key as another one can be sent after it, as it arrived
// later and was not sent yet.
func (r *request) mayFollow(other *request) bool {
	return r.attempts == 0 && r.ArrivedAt > other.ArrivedAt
}

// isTurn reports whether the order of its key allows a request to be sent. A member of an operation may
// follow earlier requests of its key that are in the same operation, unless the class is idempotent: a retry
// of one of those could then run after it.
func (t *keyTable) isTurn(r, leader *request, now time.Duration) bool {
	if !r.isOrdered() {
		return true
	}
	queue, position := t.byKey[r.Key], 0
	if leader != nil && r.class.Idempotency != Idempotent {
		for position < len(queue.requests) && queue.requests[position].isMemberOf(leader) {
			position++
		}
	}
	if position == len(queue.requests) || queue.requests[position] != r {
		return false
	}
	return r.attempts > 0 || now >= queue.blockedUntil
}

// remove removes a finished request from its key's queue. If an attempt of it may still be running, the next
// request is not sent until the pause has passed since the attempt ended here.
func (t *keyTable) remove(r *request, pause, now time.Duration) {
	queue := t.byKey[r.Key]
	if !r.isOrdered() || queue == nil {
		return
	}
	queue.requests = slices.DeleteFunc(queue.requests, func(other *request) bool { return other == r })
	if r.uncertainAt > 0 {
		queue.blockedUntil = max(queue.blockedUntil, r.uncertainAt+pause)
	}
	if len(queue.requests) == 0 {
		t.emptied = append(t.emptied, r.Key)
	}
	t.evictIdle(now)
}

// evictIdle deletes queues that are empty and not blocked, so that keys seen once do not accumulate.
func (t *keyTable) evictIdle(now time.Duration) {
	for len(t.emptied) > 0 {
		key := t.emptied[0]
		if queue := t.byKey[key]; queue != nil && len(queue.requests) == 0 {
			if queue.blockedUntil > now {
				return
			}
			delete(t.byKey, key)
		}
		t.emptied = t.emptied[1:]
	}
}
