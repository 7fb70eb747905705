package scheduler

import (
	"testing"
	"time"
)

func limitSettings() Settings {
	set := settings()
	set.Plans[0].Limit, set.Plans[0].Burst = 10, 40
	return set
}

func TestQuota_IsEvenShareAndStartsEmpty(t *testing.T) {
	r := start(t, limitSettings(), 1)
	q := func() Event { return r.ask(func(q *Request) { q.VolumeInstances, q.Units = 2, 4 }) }
	want(t, "nothing at the start: it may have been spent before", sends(r.do(q())))
	want(t, "10 a second for 2 hosts fill 4 units in 0.8 s", sends(r.pass(790*ms)))
	want(t, "then it leaves", sends(r.pass(10*ms)), 1)
	r.done(1, 0, 0, OK, 10*ms)
	r.now += time.Minute
	var evs []Event
	for range 8 {
		evs = append(evs, q())
	}
	if got := len(sends(r.do(evs...))); got != 5 {
		t.Errorf("%d of 4 units at once, want 5: 40 for 2 hosts", got)
	}
}

func TestQuota_RetryIsNotChargedAgain(t *testing.T) {
	r := start(t, limitSettings(), 1)
	r.now += time.Second
	r.do(r.ask(nil))
	r.done(1, 0, 0, Error, ms)
	if got := r.h.volumes.byID[1].limit.level; got != 9 {
		t.Errorf("the store holds %v after two attempts of one request, want 9", got)
	}
}

// The same for a limit: hosts that use their parts to the last unit never send more than the store holds.
func TestQuota_AllInstancesStayWithinLimit(t *testing.T) {
	const hosts = 8
	set := settings()
	set.Plans[0].Limit, set.Plans[0].Burst = 20, 100
	total, level := 0.0, 100.0
	var all []*rig
	for range hosts {
		all = append(all, start(t, set, 1))
	}
	begin := all[0].now
	for now := begin; now < begin+30*time.Second; now += 20 * ms {
		level = min(100, level+20*0.02)
		for i, r := range all {
			if now == begin+10*time.Second && i%2 == 0 { // killed and back: its store starts empty
				all[i] = start(t, set, 1)
				r = all[i]
				r.h.startedAt, r.h.now = now, now
			}
			r.h.now = now
			v := r.h.volumeFor(Request{Volume: 1, VolumeInstances: hosts})
			for u := float64(1 + i); r.h.quotaRemaining(v) >= u; {
				v.limit.level -= u
				level -= u
				total += u
			}
		}
		if level < -1e-6 {
			t.Fatalf("the store is at %v after %v", level, now-begin)
		}
	}
	if total < 400 {
		t.Errorf("starved: %v units", total)
	}
}
