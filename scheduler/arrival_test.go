package scheduler

import (
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// orderSlack is by how much a request may overtake an earlier one of its key on sockets.
const orderSlack = 50 * ms

// startOrderedDriver returns a driver whose class 0 is ordered by key and class 1 is not. The first batch is
// over, and the scheduler may collect arrivals.
func startOrderedDriver(t *testing.T) *testDriver {
	t.Helper()
	settings := smallSiteSettings()
	unordered := settings.Classes[0]
	settings.Classes[0].OrderedByKey = true
	settings.Classes[0].LatencyObjective = 2 * maxCollectTime
	settings.Classes = append(settings.Classes, unordered)
	driver := startDriver(t, settings, 1)
	driver.scheduler.EnableArrivalCollection()
	driver.fixDepth(100)
	driver.handle(driver.newRequest(withKey(99, 0))) // collects once, for the start
	driver.finishCollection()
	return driver
}

// finishCollection reports the last collection as over and returns the resulting actions.
func (d *testDriver) finishCollection() []Action {
	requested := collections(d.actions)
	return d.handle(ArrivalsCollected{Before: requested[len(requested)-1].Before})
}

// withKey gives a request a key and the time since its arrival.
func withKey(key uint64, age time.Duration) func(*Request) {
	return func(r *Request) { r.Key, r.ArrivedAt = key, r.ExpiresAt-4*time.Second-age }
}

// collections returns the collections that the actions request.
func collections(actions []Action) (requested []CollectArrivals) {
	for _, action := range actions {
		if collection, ok := action.(CollectArrivals); ok {
			requested = append(requested, collection)
		}
	}
	return requested
}

// Requests of one key are sent in the order of their arrival, not of their events.
func TestOrdering_SendsInOrderOfArrival(t *testing.T) {
	driver := startOrderedDriver(t)
	var events []Event
	for _, age := range []time.Duration{3 * ms, 9 * ms, 0, 6 * ms} { // requests 2 to 5
		events = append(events, driver.newRequest(withKey(7, age)))
	}
	wantEqual(t, "first", sentIDs(driver.handle(events...)), 3)
	wantEqual(t, "second", sentIDs(driver.finishAttempt(3, 0, 0, OK, ms)), 5)
	wantEqual(t, "third", sentIDs(driver.finishAttempt(5, 0, 0, OK, ms)), 2)
	wantEqual(t, "last", sentIDs(driver.finishAttempt(2, 0, 0, OK, ms)), 4)
}

// A request that arrived before one that was sent already follows it, also while that one waits for a retry.
func TestOrdering_KeepsPlaceOfSentRequest(t *testing.T) {
	driver := startOrderedDriver(t)
	wantEqual(t, "first", sentIDs(driver.handle(driver.newRequest(withKey(7, ms)))), 2)
	wantEqual(t, "earlier arrival", sentIDs(driver.handle(driver.newRequest(withKey(7, 9*ms)))))
	wantEqual(t, "retry", sentIDs(driver.finishAttempt(2, 0, 0, Error, ms)), 2)
	wantEqual(t, "after it", sentIDs(driver.finishAttempt(2, 1, 0, OK, ms)), 3)
}

// Guards against a request that is sent while an earlier one of its key is unread: after a time in which this
// process may not have run, ordered requests wait until the unread ones are collected.
func TestArrivals_CollectAfterPause(t *testing.T) {
	for name, report := range map[string]bool{"collected": true, "not reported": false} {
		t.Run(name, func(t *testing.T) {
			driver := startOrderedDriver(t)
			driver.now += 140 * ms
			actions := driver.handle(driver.newRequest(withKey(7, 0)))
			wantEqual(t, "collections", collections(actions),
				CollectArrivals{Before: driver.now - unreadThreshold, StallTimeout: collectStallTimeout,
					Timeout: maxCollectTime})
			wantEqual(t, "sent before", sentIDs(actions))
			driver.now += 2 * ms
			wantEqual(t, "sent meanwhile", sentIDs(driver.handle(driver.newRequest(withKey(7, 130*ms)))))
			if report {
				wantEqual(t, "sent after", sentIDs(driver.finishCollection()), 3)
				return
			}
			for range maxCollectTime/(5*ms) - 1 {
				wantEqual(t, "sent before the time-out", sentIDs(driver.advance(5*ms)))
			}
			wantEqual(t, "sent at the end of the time-out", sentIDs(driver.advance(3*ms)), 3)
		})
	}
}

// A request that was read late is a sign of others that are unread, also if it is not ordered itself.
func TestArrivals_CollectAfterLateRequest(t *testing.T) {
	for name, late := range map[string]func(*Request){
		"ordered":   withKey(8, 30*ms),
		"unordered": func(r *Request) { r.Class, r.ArrivedAt = 1, r.ExpiresAt-4*time.Second-30*ms },
	} {
		t.Run(name, func(t *testing.T) {
			driver := startOrderedDriver(t)
			for range 10 { // no pause, but time passes since the last collection
				driver.advance(5 * ms)
			}
			actions := driver.handle(driver.newRequest(late), driver.newRequest(withKey(7, 0)))
			if count := len(collections(actions)); count != 1 {
				t.Errorf("got %d collections, want 1", count)
			}
			if slices.Contains(sentIDs(actions), 3) {
				t.Error("got the ordered request sent before the collection, want it to wait")
			}
			if !slices.Contains(sentIDs(driver.finishCollection()), 3) {
				t.Error("got the ordered request not sent after the collection, want it sent")
			}
		})
	}
}

// Guards against a request that is sent while an earlier one of its key lies in a connection that is not
// accepted yet, though batches follow each other: behind hundreds of silent clients it was overtaken.
func TestArrivals_CollectBehindOldBacklog(t *testing.T) {
	for name, test := range map[string]struct {
		age  time.Duration // of the backlog
		want int           // collections
	}{
		"old":    {unreadThreshold + ms, 1},
		"recent": {unreadThreshold, 0},
	} {
		t.Run(name, func(t *testing.T) {
			driver := startOrderedDriver(t)
			for range 10 { // no pause, but time passes since the last collection
				driver.advance(5 * ms)
			}
			request := driver.newRequest(withKey(7, 0))
			request.BacklogSince = driver.now - test.age
			actions := driver.handle(request)
			if count := len(collections(actions)); count != test.want {
				t.Errorf("got %d collections, want %d", count, test.want)
			}
			if isSent := slices.Contains(sentIDs(actions), request.ID); isSent != (test.want == 0) {
				t.Errorf("got the request sent at once: %v, want %v", isSent, test.want == 0)
			}
		})
	}
}

// Nothing waits where nothing was held up, and nothing but ordered requests waits ever.
func TestArrivals_NothingElseWaits(t *testing.T) {
	for name, test := range map[string]struct {
		pause  time.Duration
		change func(*Request)
	}{
		"ordered, no pause":            {unreadThreshold, withKey(7, unreadThreshold)},
		"unordered class, after pause": {140 * ms, func(r *Request) { r.Class, r.Key = 1, 7 }},
		"no key, after pause":          {140 * ms, nil},
	} {
		t.Run(name, func(t *testing.T) {
			driver := startOrderedDriver(t)
			driver.now += test.pause
			actions := driver.handle(driver.newRequest(test.change))
			wantEqual(t, "sent", sentIDs(actions), 2)
			wantEqual(t, "collections", collections(actions))
		})
	}
}

func TestArrivals_NeverCollectWhileBatchesFollow(t *testing.T) {
	driver := startOrderedDriver(t)
	for range 40 {
		driver.advance(5 * ms)
	}
	actions := driver.handle(driver.newRequest(withKey(7, 0)))
	wantEqual(t, "sent", sentIDs(actions), 2)
	wantEqual(t, "collections", collections(actions))
}

func TestArrivals_NeverCollectUnlessEnabled(t *testing.T) {
	driver := startOrderedDriver(t)
	driver.scheduler.arrivals.enabled = false
	driver.now += 140 * ms
	actions := driver.handle(driver.newRequest(withKey(7, 130*ms)))
	wantEqual(t, "sent", sentIDs(actions), 2)
	wantEqual(t, "collections", collections(actions))
}

// Time in which the process does not run does not count as waiting for unread requests, up to a bound in all.
func TestArrivals_PauseProlongsCollection(t *testing.T) {
	driver := startOrderedDriver(t)
	driver.now += 140 * ms
	began := driver.now
	driver.handle(driver.newRequest(withKey(7, 0)))
	for driver.now+140*ms < began+maxCollectTime {
		wantEqual(t, "sent after another pause", sentIDs(driver.advance(140*ms)))
	}
	driver.now = began + maxCollectTime
	wantEqual(t, "sent after the longest time", sentIDs(driver.advance(0)), 2)
}

// Guards against the report of a collection that was given up and ends the next one.
func TestArrivals_IgnoreLateReport(t *testing.T) {
	driver := startOrderedDriver(t)
	driver.now += 140 * ms
	driver.handle(driver.newRequest(withKey(7, 0)))
	late := ArrivalsCollected{Before: collections(driver.actions)[1].Before}
	for range 2 * maxCollectTime / (5 * ms) {
		driver.advance(5 * ms)
	}
	driver.now += 140 * ms
	wantEqual(t, "before reports", sentIDs(driver.handle(driver.newRequest(withKey(8, 0)))))
	wantEqual(t, "after the late report", sentIDs(driver.handle(late)))
	wantEqual(t, "after its own report", sentIDs(driver.finishCollection()), 3)
}

// A pause during a collection is followed by another collection, for the requests that arrived in it.
func TestArrivals_CollectAgainAfterPauseDuringCollection(t *testing.T) {
	driver := startOrderedDriver(t)
	driver.now += 140 * ms
	driver.handle(driver.newRequest(withKey(7, 0)))
	driver.now += 40 * ms // less than maxCollectTime
	wantEqual(t, "during the first", sentIDs(driver.handle(driver.newRequest(withKey(8, 0)))))
	actions := driver.finishCollection()
	if count := len(collections(actions)); count != 1 {
		t.Fatalf("got %d collections after the first, want 1", count)
	}
	wantEqual(t, "before the second", sentIDs(actions))
	wantEqual(t, "after the second", sentIDs(driver.finishCollection()), 2, 3)
	wantEqual(t, "late report", sentIDs(driver.finishCollection()))
}

// Where every request is read late, there is at most one collection in each unreadThreshold of arrivals.
func TestArrivals_BoundCollectionsUnderLoad(t *testing.T) {
	driver := startOrderedDriver(t)
	const batches = 400
	for key := range uint64(batches) {
		driver.now += ms
		driver.handle(driver.newRequest(withKey(100+key, 60*ms)))
		driver.finishCollection()
	}
	limit := batches*int(ms)/int(unreadThreshold) + 1
	if count := len(collections(driver.actions)) - 1; count == 0 || count > limit { // one at the start
		t.Errorf("got %d collections in %d ms, want 1 to %d", count, batches, limit)
	}
}

// pendingCollection is a collection that waits for requests to be read.
type pendingCollection struct {
	before  time.Duration
	waitFor []uint32
}

// batchesToRead is the number of batches within which the modelled process reads what has arrived.
const batchesToRead = 4

// heldUpClients models clients that send ordered requests to a process that is held up now and then and whose
// goroutines read in any order.
type heldUpClients struct {
	driver  *testDriver
	unread  []Request
	pending []pendingCollection
	arrived map[uint32]time.Duration
	keys    map[uint32]uint64
	missed  map[uint32]int // batches in which a request was not read
}

// Whatever the order in which requests are read after hold-ups of up to 0.15 s, also of two in a row, of one
// key none is sent before another that arrived earlier by more than the slack.
func TestArrivals_KeepOrderAcrossHoldUps(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		clients := &heldUpClients{driver: startOrderedDriver(t), arrived: map[uint32]time.Duration{},
			keys: map[uint32]uint64{}, missed: map[uint32]int{}}
		running, heldUp := batchesToRead, 0 // batches since the last hold-up; hold-ups in a row
		for range rapid.IntRange(2, 60).Draw(rt, "steps") {
			duration := ms
			if running++; running > batchesToRead {
				heldUp = 0
			}
			if heldUp < 2 && rapid.IntRange(0, 4).Draw(rt, "held") == 0 {
				duration = time.Duration(rapid.IntRange(0, 150).Draw(rt, "hold")) * ms
				running, heldUp = 0, heldUp+1
			}
			clients.arriveDuring(rt, duration)
			clients.runBatch(rt)
		}
		clients.checkOrder(rt)
	})
}

// arriveDuring lets up to three requests arrive while time passes.
func (c *heldUpClients) arriveDuring(rt *rapid.T, duration time.Duration) {
	began := c.driver.now
	c.driver.now += duration
	for range rapid.IntRange(0, 3).Draw(rt, "arrivals") {
		request := c.driver.newRequest(withKey(uint64(rapid.IntRange(1, 2).Draw(rt, "key")), 0))
		request.ArrivedAt = began + time.Duration(rapid.Int64Range(0, int64(duration)).Draw(rt, "at"))
		c.arrived[request.ID], c.keys[request.ID] = request.ArrivedAt, request.Key
		c.unread = append(c.unread, request)
	}
}

// runBatch reads some requests, all that have been readable for several batches, and carries out the actions.
func (c *heldUpClients) runBatch(rt *rapid.T) {
	events := []Event{TimerFired{Token: tokenReview}}
	for _, i := range rapid.Permutation(indices(c.unread)).Draw(rt, "order") {
		r := &c.unread[i]
		if c.missed[r.ID]++; c.missed[r.ID] == batchesToRead || rapid.Bool().Draw(rt, "read") {
			events = append(events, *r)
			r.ID = 0
		}
	}
	c.unread = slices.DeleteFunc(c.unread, func(r Request) bool { return r.ID == 0 })
	c.pending = slices.DeleteFunc(c.pending, func(collection pendingCollection) bool {
		isAwaited := func(r Request) bool { return slices.Contains(collection.waitFor, r.ID) }
		if slices.ContainsFunc(c.unread, isAwaited) {
			return false
		}
		events = append(events, ArrivalsCollected{Before: collection.before})
		return true
	})
	c.carryOut(c.driver.handle(events...))
}

func indices(requests []Request) []int {
	list := make([]int, len(requests))
	for i := range list {
		list[i] = i
	}
	return list
}

// carryOut answers attempts at once and begins collections.
func (c *heldUpClients) carryOut(actions []Action) {
	for _, action := range actions {
		switch action := action.(type) {
		case Send:
			c.carryOut(c.driver.finishAttempt(action.ID, 0, 0, OK, ms))
		case CollectArrivals:
			c.collect(action.Before)
		}
	}
}

func (c *heldUpClients) collect(before time.Duration) {
	collection := pendingCollection{before: before}
	for _, r := range c.unread {
		if r.ArrivedAt < before {
			collection.waitFor = append(collection.waitFor, r.ID)
		}
	}
	if len(collection.waitFor) > 0 {
		c.pending = append(c.pending, collection)
		return
	}
	c.carryOut(c.driver.handle(ArrivalsCollected{Before: before}))
}

// checkOrder compares each request sent with those sent after it.
func (c *heldUpClients) checkOrder(rt *rapid.T) {
	sent := sentIDs(c.driver.actions)
	for i, id := range sent {
		for _, later := range sent[i+1:] {
			if c.keys[id] != 0 && c.keys[id] == c.keys[later] && c.arrived[id] > c.arrived[later]+orderSlack {
				rt.Errorf("request %d, arrived at %v, was sent before request %d, arrived at %v", id,
					c.arrived[id], later, c.arrived[later])
			}
		}
	}
}
