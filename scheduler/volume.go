package scheduler

const (
	maxVolumes      = 1 << 16 // above this number, idle ones are deleted with their finish tags
	volumesPerSweep = 2       // inspected for each request admitted
)

// volume is a flow in the sense of SFQ: its requests share tags, reserve and quota.
type volume struct {
	id           uint64
	plan         Plan
	instances    float64 // through which its requests arrive: the largest number stated so far
	reserve      tokenBucket
	quotaBucket  tokenBucket             // of the quota
	finishTags   map[*shardQueue]float64 // of its last request in each shard
	openRequests int
}

// volumeTable holds the volumes that have open requests or whose state differs from that of a new one, and
// others until a sweep deletes them.
type volumeTable struct {
	byID       map[uint64]*volume
	order      []*volume // the same, in the order in which sweeps inspect them
	sweepIndex int
}

func (t *volumeTable) add(v *volume) {
	t.byID[v.id] = v
	t.order = append(t.order, v)
}

// sweep inspects the next volumesPerSweep volumes and deletes those that isEvictable selects.
func (t *volumeTable) sweep(isEvictable func(*volume) bool) {
	for range min(volumesPerSweep, len(t.order)) {
		if t.sweepIndex >= len(t.order) {
			t.sweepIndex = 0
		}
		v := t.order[t.sweepIndex]
		if !isEvictable(v) {
			t.sweepIndex++
			continue
		}
		last := len(t.order) - 1
		t.order[t.sweepIndex], t.order[last] = t.order[last], nil
		t.order = t.order[:last]
		delete(t.byID, v.id)
	}
}

// volumeFor returns a request's volume and creates it on first use. The bucket of its quota is empty at the
// start of this instance: an earlier incarnation that was killed may have spent it, and units that other
// instances rely on must not be granted twice.
func (s *Scheduler) volumeFor(r Request) *volume {
	v := s.volumes.byID[r.Volume]
	if v == nil {
		v = &volume{id: r.Volume, finishTags: map[*shardQueue]float64{},
			quotaBucket: tokenBucket{filledAt: s.startedAt}, reserve: tokenBucket{filledAt: s.now}}
		if r.Plan < len(s.settings.Plans) {
			v.plan = s.settings.Plans[r.Plan]
		}
		if v.plan.Weight <= 0 {
			v.plan.Weight = 1
		}
		v.reserve.level = v.reserveCapacity(s.settings.MaxUnits)
		s.volumes.add(v)
	}
	v.instances = max(1, float64(r.VolumeInstances), v.instances)
	return v
}

// evictIdleVolumes deletes volumes whose state equals that of a new one, so that volumes seen once do not
// accumulate. Where very many volumes send one request each, the virtual time hardly passes their finish
// tags: above maxVolumes, idle ones are deleted all the same, and one that returns soon may get more than its
// share.
func (s *Scheduler) evictIdleVolumes() { s.volumes.sweep(s.isEvictable) }

func (s *Scheduler) isEvictable(v *volume) bool {
	if v.openRequests > 0 {
		return false
	}
	// A new bucket must contain as many units as this one, so both must be full.
	rate, burst := v.quota()
	fresh := tokenBucket{filledAt: s.startedAt}
	if v.plan.Limit > 0 &&
		!(v.quotaBucket.isFullAt(s.now, rate, burst) && fresh.isFullAt(s.now, rate, burst)) {
		return false
	}
	if !v.reserve.isFullAt(s.now, v.plan.Reserve, v.reserveCapacity(s.settings.MaxUnits)) {
		return false
	}
	return len(s.volumes.order) > maxVolumes || !v.isAhead()
}

// isAhead reports whether a finish tag of the volume is beyond its shard's virtual time.
func (v *volume) isAhead() bool {
	for queue, tag := range v.finishTags {
		if tag > queue.virtualTime {
			return true
		}
	}
	return false
}
