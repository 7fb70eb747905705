package scheduler

import (
	"math"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// greedyBatcher proposes all requests added to it, in that order. Each adds its units to the operation.
type greedyBatcher struct {
	ids        []uint32
	units      map[uint32]float64
	maxMembers int // limit per operation, including its leader
}

func newGreedyBatcher(maxMembers int) *greedyBatcher {
	return &greedyBatcher{units: map[uint32]float64{}, maxMembers: maxMembers}
}

// Propose proposes every other request added until the operation has maxMembers members.
func (b *greedyBatcher) Propose(id uint32, join func(uint32, float64) bool) {
	units, members := b.units[id], 1
	for _, other := range b.ids {
		if other != id && members < b.maxMembers && join(other, units+b.units[other]) {
			units += b.units[other]
			members++
		}
	}
}

// add registers a request with the batcher and returns it.
func (b *greedyBatcher) add(r Request) Request {
	b.ids = append(b.ids, r.ID)
	b.units[r.ID] = r.Units
	return r
}

// batchingDriver is a testDriver whose scheduler has a batcher and one node, with a depth of one slot.
type batchingDriver struct {
	*testDriver
	batcher  *greedyBatcher
	soleNode *node
}

func startBatchingDriver(t *testing.T, settings Settings) batchingDriver {
	t.Helper()
	driver := startDriver(t, settings, 1)
	batcher := newGreedyBatcher(64)
	driver.scheduler.SetBatcher(batcher)
	n := driver.node(0)
	n.depth, n.deviation = 1, time.Second
	return batchingDriver{driver, batcher, n}
}

// newBatchable returns a request that the batcher proposes.
func (d batchingDriver) newBatchable(change func(*Request)) Request {
	return d.batcher.add(d.newRequest(change))
}

// membersByLeader returns the members of the operations among actions, by the ID of the leader.
func membersByLeader(actions []Action) map[uint32][]uint32 {
	members := map[uint32][]uint32{}
	for _, action := range actions {
		if send, ok := action.(Send); ok && send.Leader == 0 {
			members[send.ID] = []uint32{}
		} else if ok {
			members[send.Leader] = append(members[send.Leader], send.ID)
		}
	}
	return members
}

// Queued requests are sent as one operation with the request that is dispatched. The operation is charged the
// slot cost of its total size, its latency is recorded once, and each member ends separately.
func TestBatching_QueuedRequestsFormOneOperation(t *testing.T) {
	driver := startBatchingDriver(t, smallSiteSettings())
	scheduler, n := driver.scheduler, driver.soleNode
	var requests []Event
	for range 4 {
		requests = append(requests, driver.newBatchable(nil))
	}
	wantEqual(t, "members", membersByLeader(driver.handle(requests...))[1], 2, 3, 4)
	wantEqual(t, "slots used, operations in flight, attempts in flight, queue length",
		[]float64{n.slotsUsed, float64(len(n.inFlight)), float64(scheduler.inFlight),
			float64(len(driver.queue(0).requests))}, 4, 1, 4, 0)
	recordedBefore := scheduler.classes[0].latency.count
	for id := uint32(1); id <= 3; id++ {
		driver.handle(AttemptResult{ID: id, Server: testServer(0), Code: OK, Latency: 10 * ms,
			RequestDone: true})
	}
	recorded := scheduler.classes[0].latency.count - recordedBefore
	wantEqual(t, "slots used, latencies recorded", []float64{n.slotsUsed, recorded}, 0, 1)
	wantEqual(t, "retries", sentIDs(driver.finishAttempt(4, 0, 0, Error, 10*ms)), 4)
	if _, open := scheduler.requests[1]; open || len(scheduler.requests) != 1 {
		t.Errorf("got %d open requests, want only the last", len(scheduler.requests))
	}
}

// A lost operation counts as one lost attempt: only the leader's result changes the node's latency.
func TestBatching_LostOperationUpdatesLatencyOnce(t *testing.T) {
	driver := startBatchingDriver(t, smallSiteSettings())
	driver.soleNode.latency = 100 * ms
	driver.handle(driver.newBatchable(nil), driver.newBatchable(nil), driver.newBatchable(nil))
	driver.now += time.Second
	for id := uint32(1); id <= 3; id++ {
		driver.scheduler.review.pending = false // else the clock jump counts as a stall
		driver.scheduler.Handle(driver.now, AttemptResult{ID: id, Server: testServer(0), Code: TimedOut,
			Latency: time.Second})
	}
	if want := 100*ms + time.Duration(lossGain*float64(time.Second)); driver.soleNode.latency != want {
		t.Errorf("got latency %v, want %v", driver.soleNode.latency, want)
	}
}

// A failed operation counts as one failure of its node, and its requests are retried separately.
func TestBatching_RequestsOfFailedOperationAreRetriedSeparately(t *testing.T) {
	driver := startBatchingDriver(t, smallSiteSettings())
	n := driver.soleNode
	driver.handle(driver.newBatchable(nil), driver.newBatchable(nil), driver.newBatchable(nil))
	for id := uint32(1); id <= 3; id++ {
		driver.scheduler.Handle(driver.now, AttemptResult{ID: id, Server: testServer(0), Code: Overloaded,
			Latency: ms})
	}
	if n.failures != 1 {
		t.Errorf("got %d failures of the node, want 1", n.failures)
	}
	n.failures, n.depth = 0, 8
	for leader, members := range membersByLeader(driver.handle()) {
		if len(members) > 0 {
			t.Errorf("members of the retry of request %d: got %v, want none", leader, members)
		}
	}
}

// Each member must be within its own volume's quota, its own deadline and the order of its own key.
func TestBatching_LimitsApplyToEachMember(t *testing.T) {
	t.Run("quota", func(t *testing.T) {
		settings := limitSettings()
		settings.Plans = append(settings.Plans, Plan{Rate: 10, Weight: 1})
		driver := startBatchingDriver(t, settings)
		unlimited := func(r *Request) { r.Plan, r.Volume = 1, 9 }
		driver.handle(driver.newBatchable(unlimited))
		overQuota := driver.newBatchable(func(r *Request) { r.Units = 1e6 })
		actions := driver.handle(overQuota, driver.newBatchable(unlimited))
		actions = append(actions, driver.finishAttempt(1, 0, 0, OK, ms)...)
		if got := membersByLeader(actions); len(got) != 1 || len(got[2]) != 0 {
			t.Errorf("members by leader: got %v, want none of a volume over its quota", got)
		}
	})
	t.Run("deadline", func(t *testing.T) {
		driver := startBatchingDriver(t, smallSiteSettings())
		driver.soleNode.latency, driver.soleNode.deviation = 100*ms, 10*time.Second
		for range 20 {
			driver.scheduler.latency.allClasses.add(1, 0.1)
		}
		driver.scheduler.latency.recentMean = 100 * ms
		withShortDeadline := func(r *Request) { r.ExpiresAt = driver.now + 40*ms }
		driver.handle(driver.newBatchable(nil), driver.newBatchable(withShortDeadline))
		if got := membersByLeader(driver.actions); len(got[1]) != 0 {
			t.Errorf("members by leader: got %v, want none, as 100 ms do not fit into 40 ms", got)
		}
	})
	t.Run("key", func(t *testing.T) {
		settings := smallSiteSettings()
		settings.Classes[0].OrderedByKey, settings.Classes[0].Idempotency = true, IdempotentByKey
		settings.Classes[0].DedupWindow = time.Second
		driver := startBatchingDriver(t, settings)
		withKey := func(key uint64) Request {
			return driver.newRequest(func(r *Request) { r.Key = key })
		}
		first, second, third := withKey(5), withKey(5), withKey(5)
		driver.batcher.add(first)
		driver.batcher.add(third) // proposed before the second, which it must not overtake
		driver.batcher.add(second)
		driver.batcher.add(withKey(6))
		wantEqual(t, "members", membersByLeader(driver.handle(first, second, third))[1], 2)
	})
}

// A request joins only if the operation is expected to end no later than it and the leader would each end
// alone, plus the node's mean deviation.
func TestBatching_MemberIsNotDelayed(t *testing.T) {
	driver := startBatchingDriver(t, smallSiteSettings())
	for i := range 64 { // each unit takes 10 ms
		units := float64(1 + i%4)
		driver.scheduler.latency.allClasses.add(units, 0.01*units)
		driver.scheduler.classes[0].latency.add(units, 0.01*units)
	}
	driver.scheduler.latency.recentMean = seconds(driver.scheduler.latency.allClasses.meanTime)
	driver.soleNode.deviation = 15 * ms
	var requests []Event
	for range 6 {
		requests = append(requests, driver.newBatchable(nil))
	}
	// Two units end 10 ms later than one, which is within the deviation; three end 20 ms later.
	wantEqual(t, "members", membersByLeader(driver.handle(requests...))[1], 2)
}

// During a long backlog, merging shifts the service between two volumes by less than one request of the
// largest size beyond the bound of start-time fair queueing, even if the batcher proposes the requests of one
// volume only.
func TestBatching_KeepsSharesOfVolumes(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		backlog := newFullBacklog(t)
		for range 150 {
			backlog.refill(t)
			backlog.serveBatch()
			backlog.checkShares(t)
		}
		if math.IsNaN(backlog.scheduler.endpoints.shards[0].virtualTime) {
			t.Fatal("virtual time: got NaN, want a number")
		}
	})
}

// queuedPerVolume is the number of requests that a fullBacklog keeps queued for each volume.
const queuedPerVolume = 24

// fullBacklog drives a scheduler with three volumes that always have requests queued. The batcher proposes
// only those of volume 0.
type fullBacklog struct {
	settings  Settings
	scheduler *Scheduler
	batcher   *greedyBatcher
	now       time.Duration
	lastID    uint32
	volumes   map[uint32]int // by request
	queued    [3]int         // requests by volume
	served    [3]float64     // units by volume
}

func newFullBacklog(t *rapid.T) *fullBacklog {
	settings := smallSiteSettings()
	settings.Plans = []Plan{{Rate: 10, Weight: 1},
		{Rate: 10, Weight: float64(rapid.IntRange(1, 4).Draw(t, "weight"))}, {Rate: 10, Weight: 2}}
	b := &fullBacklog{settings: settings, scheduler: New(rapid.Uint64().Draw(t, "seed"), settings),
		now: time.Hour, volumes: map[uint32]int{}}
	update := EndpointUpdate{Kind: UpdateFull, Endpoints: []Endpoint{testEndpoint(0, Ready)}}
	b.scheduler.Handle(b.now, update)
	b.batcher = newGreedyBatcher(rapid.IntRange(1, 12).Draw(t, "members"))
	b.scheduler.SetBatcher(b.batcher)
	// Each request costs one slot, so that none is backfilled: backfill lets a volume get further ahead,
	// which is not tested here.
	b.scheduler.classes[0].count, b.scheduler.classes[0].meanUnits = 1e9, settings.MaxUnits
	return b
}

// refill adds requests until each volume has queuedPerVolume of them queued.
func (b *fullBacklog) refill(t *rapid.T) {
	for volume := range b.queued {
		for ; b.queued[volume] < queuedPerVolume; b.queued[volume]++ {
			b.lastID++
			units := float64(rapid.IntRange(1, 8).Draw(t, "units"))
			b.volumes[b.lastID], b.batcher.units[b.lastID] = volume, units
			if volume == 0 {
				b.batcher.ids = append(b.batcher.ids, b.lastID)
			}
			b.scheduler.Handle(b.now, Request{ID: b.lastID, VolumeInstances: 1, Volume: uint64(volume + 1),
				Plan: volume, Units: units, ExpiresAt: b.now + time.Hour})
		}
	}
}

// serveBatch lets the scheduler send one batch and answers all of its attempts at once.
func (b *fullBacklog) serveBatch() {
	n := b.scheduler.endpoints.nodes[testServer(0)]
	n.depth, n.deviation, n.latency = 3, time.Hour, ms
	sent := sentIDs(b.scheduler.Decide(b.now))
	for _, id := range sent {
		volume := b.volumes[id]
		b.queued[volume]--
		b.served[volume] += b.batcher.units[id]
	}
	for _, id := range sent {
		b.scheduler.Handle(b.now, AttemptResult{ID: id, Server: testServer(0), Code: OK, Latency: ms,
			RequestDone: true})
	}
	b.now += ms
}

// checkShares compares the service of each pair of volumes, divided by their weights. SFQ lets two backlogged
// flows differ by a largest request of each; merging adds less than one such request of the volume that is
// ahead.
func (b *fullBacklog) checkShares(t *rapid.T) {
	for v := range b.served {
		for w := range b.served {
			weightV, weightW := b.settings.Plans[v].Weight, b.settings.Plans[w].Weight
			allowed := 2*b.settings.MaxUnits/weightV + b.settings.MaxUnits/weightW
			if lead := b.served[v]/weightV - b.served[w]/weightW; lead > allowed+1e-9 {
				t.Fatalf("lead of volume %d over %d: got %.1f, want %.1f at most; served %v", v, w, lead,
					allowed, b.served)
			}
		}
	}
}
