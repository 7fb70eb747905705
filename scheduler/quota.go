package scheduler

import "time"

// tokenBucket is a bucket of units that refills at a rate.
type tokenBucket struct {
	level    float64
	filledAt time.Duration
}

// refill adds the units accrued since the last refill. The rate is in units per second.
func (b *tokenBucket) refill(now time.Duration, rate, capacity float64) {
	b.level = min(capacity, b.level+rate*(now-b.filledAt).Seconds())
	b.filledAt = now
}

// isFullAt reports whether the bucket would be full if it were refilled now.
func (b tokenBucket) isFullAt(now time.Duration, rate, capacity float64) bool {
	return b.level+rate*(now-b.filledAt).Seconds() >= capacity
}

// reserveCapacity returns the units that a volume's reserve can hold: those of one second and of one request
// of maximum size.
func (v *volume) reserveCapacity(maxUnits float64) float64 {
	if v.plan.Reserve <= 0 {
		return 0
	}
	return v.plan.Reserve + maxUnits
}

// takeReserve takes units from a volume's reserve and returns the number taken, at most what it held.
func (s *Scheduler) takeReserve(v *volume, units float64) float64 {
	v.reserve.refill(s.now, v.plan.Reserve, v.reserveCapacity(s.settings.MaxUnits))
	taken := min(units, max(0, v.reserve.level))
	v.reserve.level -= taken
	return taken
}

// quota returns this instance's even share of a volume's quota: its rate, in units per second, and the units
// that its bucket can hold.
func (v *volume) quota() (rate, burst float64) {
	return v.plan.Limit / v.instances, v.plan.Burst / v.instances
}

// quotaRemaining returns the units of a volume's quota that remain at this instance.
func (s *Scheduler) quotaRemaining(v *volume) float64 {
	rate, burst := v.quota()
	v.quotaBucket.refill(s.now, rate, burst)
	return v.quotaBucket.level
}

// chargeQuota charges a request to its volume's quota, once for all its attempts.
func (s *Scheduler) chargeQuota(r *request) {
	if !r.quotaCharged {
		r.quotaCharged = true
		r.volume.quotaBucket.level -= r.Units
	}
}
