package daemon

import (
	"fmt"
	"testing"
	"time"

	"landingpaddle/internal/config"
	"landingpaddle/internal/proto"
)

// Eight overlapping reads that are queued together become one operation, and each gets its own bytes without
// a copy. With merging disabled they are eight operations.
func TestMerging_SendsOverlappingReadsAsOneOperation(t *testing.T) {
	for _, mergingDisabled := range []bool{false, true} {
		t.Run(fmt.Sprint("merging disabled ", mergingDisabled), func(t *testing.T) {
			env := newRangedEnvironment(t, func(cfg *Config) {
				cfg.Site.Extents.MergingDisabled = mergingDisabled
			})
			volume := env.volumeAt(0, 0)
			var ids []uint64
			for i := range uint64(8) {
				ids = append(ids, env.sendRead(volume, i*2000, 2000+uint32(i%2)*100, nil))
			}
			for i, id := range ids {
				env.expectRead(id, volume, uint64(i)*2000, 2000+i%2*100)
			}
			ops, stats, want := env.disks[0].rangedOperations(), &env.instance.Stats, 1
			if mergingDisabled {
				want = 8
			}
			if len(ops) != want || stats.Operations.Load() != uint64(want) {
				t.Errorf("got %d operations, %d counted; want %d", len(ops), stats.Operations.Load(), want)
			}
			if !mergingDisabled &&
				(len(ops[0].Members) != 8 || ops[0].Length != 16100 || stats.Saved.Load() != 7) {
				t.Errorf("got %d members, %d saved: %+v; want 8, 7 and length 16100",
					len(ops[0].Members), stats.Saved.Load(), ops[0])
			}
			if stats.Copied.Load() != 0 {
				t.Errorf("got %d bytes copied; want 0", stats.Copied.Load())
			}
			env.defaultClient.expectOneAnswerEach()
		})
	}
}

// A merged read is delayed. The member with the short time-out is answered when that expires, the other gets
// its bytes, and the operation carries the shorter time-out.
func TestMerging_MembersKeepTheirDeadlines(t *testing.T) {
	env := newRangedEnvironment(t, nil)
	volume, disk := env.volumeAt(0, 0), env.disks[0]
	delayed := make(chan func(), 8)
	disk.intercept = func(n int, conn *proto.Conn, frame proto.Frame, request proto.Request) bool {
		if request.Ranged {
			delayed <- func() { _ = disk.execute(conn, frame, request, nil) }
		}
		return request.Ranged
	}
	long := env.sendRead(volume, 0, 1000, nil)
	short := env.sendRead(volume, 1000, 1000, func(q *proto.Request) { q.Timeout = 700 * time.Millisecond })
	start := time.Now()
	answer := env.defaultClient.awaitAnswer(short)
	if answer.Code == proto.OK || time.Since(start) > 1500*time.Millisecond {
		t.Errorf("got %+v after %v for the short time-out; want a failure within 1.5s", answer,
			time.Since(start))
	}
	if len(env.defaultClient.answersTo(long)) != 0 {
		t.Error("got an answer to the other request as well; want none yet")
	}
	(<-delayed)()
	env.expectRead(long, volume, 0, 1000)
	if ops := disk.rangedOperations(); len(ops[0].Members) != 2 || ops[0].Timeout > 700*time.Millisecond {
		t.Errorf("got operation %+v; want 2 members and a time-out of at most 700ms", ops[0])
	}
	for env.instance.Stats.LateResults.Load() == 0 { // the short member's part arrives after its time-out
		time.Sleep(time.Millisecond)
	}
	env.defaultClient.expectOneAnswerEach()
}

// Requests with a time-out below the usual latency are not merged into the operations of others.
func TestMerging_LeavesOutRequestsWithShortDeadline(t *testing.T) {
	env := newRangedEnvironment(t, func(cfg *Config) { cfg.Site.Limits.BatchInterval = 0 })
	volume, disk := env.volumeAt(0, 0), env.disks[0]
	disk.intercept = func(n int, conn *proto.Conn, frame proto.Frame, request proto.Request) bool {
		time.AfterFunc(60*time.Millisecond, func() { _ = disk.execute(conn, frame, request, nil) })
		return true
	}
	for range 24 { // until the scheduler has statistics of the latency of reads
		env.defaultClient.awaitAnswer(env.sendRead(volume, 0, 10, nil))
	}
	var ids []uint64
	for i := range uint64(40) {
		ids = append(ids, env.sendRead(volume, i*10, 10, func(q *proto.Request) {
			if i%2 == 1 {
				q.Timeout = 40 * time.Millisecond
			}
		}))
	}
	for i, id := range ids {
		if answer := env.defaultClient.awaitAnswer(id); (answer.Code == proto.OK) != (i%2 == 0) {
			t.Errorf("read %d: got %+v; want OK for even reads, a failure for odd ones", i, answer)
		}
	}
	for _, request := range disk.rangedOperations()[24:] {
		for _, member := range request.Members {
			if member.Offset/10%2 != 0 && request.Offset/10%2 == 0 {
				t.Errorf("got %+v; want no member with a short time-out in it", request)
			}
		}
	}
	env.defaultClient.expectOneAnswerEach()
}

// A thousand reads of the same 4 KiB become at most a hundred operations. Each read gets the bytes, and none
// are copied.
func TestMerging_ServesThousandReadersOfSameBytes(t *testing.T) {
	env := newRangedEnvironment(t, func(cfg *Config) { cfg.Site.Extents.MaxMembers = 64 })
	volume := env.volumeAt(0, 0)
	var ids []uint64
	for range 1000 {
		ids = append(ids, env.sendRead(volume, 4096, 4096, nil))
	}
	for _, id := range ids {
		env.expectRead(id, volume, 4096, 4096)
	}
	if n := len(env.disks[0].rangedOperations()); n > 100 {
		t.Errorf("got %d operations; want at most 100", n)
	} else {
		t.Logf("1000 requests, %d operations", n)
	}
	if n := env.instance.Stats.Copied.Load(); n != 0 {
		t.Errorf("got %d bytes copied; want 0", n)
	}
	env.defaultClient.expectOneAnswerEach()
}

// Four volumes read from the same data volume, and one of them is over its plan's limit: its read is not
// merged with the others and does not delay them.
func TestMerging_LeavesOutVolumeOverItsLimit(t *testing.T) {
	env := newRangedEnvironment(t, func(cfg *Config) {
		cfg.Site.Plans = append(cfg.Site.Plans, config.Plan{Name: "limited", Rate: 1, Limit: 0.001, Burst: 1,
			Weight: 1, PriorityWeight: 1})
	})
	volume := env.volumeAt(0, 0)
	first := env.sendRead(volume, 0, 1000, nil)
	limited := env.sendRead(volume+1, 1000, 1000,
		func(q *proto.Request) { q.DataVolumeID, q.Plan = volume, 1 })
	third := env.sendRead(volume+2, 2000, 1000, func(q *proto.Request) { q.DataVolumeID = volume })
	fourth := env.sendRead(volume+3, 0, 2000, func(q *proto.Request) { q.DataVolumeID = volume })
	env.expectRead(first, volume, 0, 1000)
	env.expectRead(fourth, volume, 0, 2000)
	env.expectRead(third, volume, 2000, 1000)
	if answer := env.defaultClient.awaitAnswer(limited); answer.Code != proto.Rejected {
		t.Errorf("got %+v for the volume over its limit; want Rejected", answer)
	}
	for _, request := range env.disks[0].rangedOperations() {
		for _, member := range request.Members {
			if member.Volume == volume+1 {
				t.Error("got a member of the volume over its limit; want none")
			}
		}
	}
	if ops := env.disks[0].rangedOperations(); len(ops) != 1 || len(ops[0].Members) != 3 {
		t.Errorf("got %d operations; want 1 with 3 members", len(ops))
	}
	env.defaultClient.expectOneAnswerEach()
}
