package daemon

import (
	"fmt"
	"testing"
	"time"

	"landingpaddle/internal/config"
	"landingpaddle/internal/proto"
)

// Eight overlapping reads at once are one operation, and each gets its own bytes, uncopied. With merging
// disabled they are eight.
func TestMerging_ReadsNeighboursInOneOperation(t *testing.T) {
	for _, alone := range []bool{false, true} {
		t.Run(fmt.Sprint("alone ", alone), func(t *testing.T) {
			x := newRangedEnvironment(t, func(cfg *Config) { cfg.Site.Extents.MergingDisabled = alone })
			v := x.volumeAt(0, 0)
			var ids []uint64
			for i := range uint64(8) {
				ids = append(ids, x.read(v, i*2000, 2000+uint32(i%2)*100, nil))
			}
			for i, id := range ids {
				x.got(id, v, uint64(i)*2000, 2000+i%2*100)
			}
			ops, st, want := x.disks[0].ranged(), &x.inst.Stats, 1
			if alone {
				want = 8
			}
			if len(ops) != want || st.Operations.Load() != uint64(want) {
				t.Errorf("%d operations, %d counted; want %d", len(ops), st.Operations.Load(), want)
			}
			if !alone && (len(ops[0].Members) != 8 || ops[0].Length != 16100 || st.Saved.Load() != 7) {
				t.Errorf("%d members, %d saved: %+v", len(ops[0].Members), st.Saved.Load(), ops[0])
			}
			if st.Copied.Load() != 0 {
				t.Errorf("%d bytes copied", st.Copied.Load())
			}
			x.c.once()
		})
	}
}

// A merged read is late. The member with the short time-out is answered at its time, the other gets its
// bytes, and the node is told the shorter time.
func TestMerging_MembersKeepTheirDeadlines(t *testing.T) {
	x := newRangedEnvironment(t, nil)
	v, d := x.volumeAt(0, 0), x.disks[0]
	late := make(chan func(), 8)
	d.first = func(n int, c *proto.Conn, f proto.Frame, q proto.Request) bool {
		if q.Ranged {
			late <- func() { _ = d.do(c, f, q, nil) }
		}
		return q.Ranged
	}
	patient := x.read(v, 0, 1000, nil)
	short := x.read(v, 1000, 1000, func(q *proto.Request) { q.Timeout = 700 * time.Millisecond })
	start := time.Now()
	if a := x.c.wait(short); a.Code == proto.OK || time.Since(start) > 1500*time.Millisecond {
		t.Errorf("the hasty one got %+v after %v", a, time.Since(start))
	}
	if len(x.c.all(patient)) != 0 {
		t.Error("the patient one was answered with it")
	}
	(<-late)()
	x.got(patient, v, 0, 1000)
	if ops := d.ranged(); len(ops[0].Members) != 2 || ops[0].Timeout > 700*time.Millisecond {
		t.Errorf("the node saw %+v", ops[0])
	}
	for x.inst.Stats.Late.Load() == 0 { // the hasty one's part came after its client's time
		time.Sleep(time.Millisecond)
	}
	x.c.once()
}

// Requests with a time-out below the usual latency are not merged with others.
func TestMerging_LeavesOutRequestsWithShortDeadline(t *testing.T) {
	x := newRangedEnvironment(t, func(cfg *Config) { cfg.Site.Limits.BatchInterval = 0 })
	v, d := x.volumeAt(0, 0), x.disks[0]
	d.first = func(n int, c *proto.Conn, f proto.Frame, q proto.Request) bool {
		time.AfterFunc(60*time.Millisecond, func() { _ = d.do(c, f, q, nil) })
		return true
	}
	for range 24 { // until the module knows what a read takes here
		x.c.wait(x.read(v, 0, 10, nil))
	}
	var ids []uint64
	for i := range uint64(40) {
		ids = append(ids, x.read(v, i*10, 10, func(q *proto.Request) {
			if i%2 == 1 {
				q.Timeout = 40 * time.Millisecond
			}
		}))
	}
	for i, id := range ids {
		if a := x.c.wait(id); (a.Code == proto.OK) != (i%2 == 0) {
			t.Errorf("read %d got %+v", i, a)
		}
	}
	for _, q := range d.ranged()[24:] {
		for _, m := range q.Members {
			if m.Offset/10%2 != 0 && q.Offset/10%2 == 0 {
				t.Errorf("a hasty one left with others: %+v", q)
			}
		}
	}
	x.c.once()
}

// A thousand reads of the same 4 KiB are a few operations. Each client gets the bytes, and none are copied.
func TestMerging_ServesThousandReadersOfSameBytes(t *testing.T) {
	x := newRangedEnvironment(t, func(cfg *Config) { cfg.Site.Extents.MaxMembers = 64 })
	v := x.volumeAt(0, 0)
	var ids []uint64
	for range 1000 {
		ids = append(ids, x.read(v, 4096, 4096, nil))
	}
	for _, id := range ids {
		x.got(id, v, 4096, 4096)
	}
	if n := len(x.disks[0].ranged()); n > 100 {
		t.Errorf("%d operations", n)
	} else {
		t.Logf("1000 requests, %d operations", n)
	}
	if n := x.inst.Stats.Copied.Load(); n != 0 {
		t.Errorf("%d bytes copied", n)
	}
	x.c.once()
}

// Volumes read the same bytes, and one of them is over its limit: it is not merged with the others, and
// these are not held up.
func TestMerging_LeavesOutVolumeOverItsLimit(t *testing.T) {
	x := newRangedEnvironment(t, func(cfg *Config) {
		cfg.Site.Plans = append(cfg.Site.Plans, config.Plan{Name: "limited", Rate: 1, Limit: 0.001, Burst: 1,
			Weight: 1, PriorityWeight: 1})
	})
	v := x.volumeAt(0, 0)
	free := x.read(v, 0, 1000, nil)
	limited := x.read(v+1, 1000, 1000, func(q *proto.Request) { q.Data, q.Plan = v, 1 })
	other := x.read(v+2, 2000, 1000, func(q *proto.Request) { q.Data = v })
	again := x.read(v+3, 0, 2000, func(q *proto.Request) { q.Data = v })
	x.got(free, v, 0, 1000)
	x.got(again, v, 0, 2000)
	x.got(other, v, 2000, 1000)
	if a := x.c.wait(limited); a.Code != proto.Rejected {
		t.Errorf("over its limit: %+v", a)
	}
	for _, q := range x.disks[0].ranged() {
		for _, m := range q.Members {
			if m.Volume == v+1 {
				t.Error("the one at its limit was sent")
			}
		}
	}
	if ops := x.disks[0].ranged(); len(ops) != 1 || len(ops[0].Members) != 3 {
		t.Errorf("the node saw %d operations", len(ops))
	}
	x.c.once()
}
