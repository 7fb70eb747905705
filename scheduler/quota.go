package scheduler

import "time"

// tokenBucket is a bucket of units that refills at a rate.
type tokenBucket struct {
	level    float64
	filledAt time.Duration
}

// refill brings the bucket up to now. The rate is in units per second.
func (b *tokenBucket) refill(now time.Duration, rate, capacity float64) {
	b.level = min(capacity, b.level+rate*(now-b.filledAt).Seconds())
	b.filledAt = now
}

// isFullAt reports whether the bucket would be full if it were refilled now.
func (b tokenBucket) isFullAt(now time.Duration, rate, capacity float64) bool {
	return b.level+rate*(now-b.filledAt).Seconds() >= capacity
}

// reserveCapacity is how many units a volume's reserve holds: one second's and one largest request's.
func (v *volume) reserveCapacity(maxUnits float64) float64 {
	if v.plan.Reserve <= 0 {
		return 0
	}
	return v.plan.Reserve + maxUnits
}

// takeReserve takes units from a volume's reserve and returns how many it held.
func (s *Scheduler) takeReserve(v *volume, units float64) float64 {
	v.reserve.refill(s.now, v.plan.Reserve, v.reserveCapacity(s.settings.MaxUnits))
	taken := min(units, max(0, v.reserve.level))
	v.reserve.level -= taken
	return taken
}

// quota is this instance's even share of a volume's limit: units per second, and units that the bucket holds.
func (v *volume) quota() (rate, burst float64) {
	return v.plan.Limit / v.instances, v.plan.Burst / v.instances
}

// quotaRemaining is how many units of its quota a volume has left here now.
func (s *Scheduler) quotaRemaining(v *volume) float64 {
	rate, burst := v.quota()
	v.limit.refill(s.now, rate, burst)
	return v.limit.level
}

// chargeQuota charges a request to its volume's quota, once over all its attempts.
func (s *Scheduler) chargeQuota(r *request) {
	if !r.quotaCharged {
		r.quotaCharged = true
		r.volume.limit.level -= r.Units
	}
}
