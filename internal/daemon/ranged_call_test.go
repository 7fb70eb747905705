package daemon

import (
	"testing"

	"landingpaddle/internal/proto"
)

// A read across an extent boundary is split between two nodes and answered with all its bytes.
func TestRangedCall_ReadsAcrossExtents(t *testing.T) {
	env := newRangedEnvironment(t, nil)
	volume := env.volumeAt(0, 0)
	env.expectRead(env.sendRead(volume, 16<<10-100, 300, nil), volume, 16<<10-100, 300)
	first, second := env.disks[0].rangedOperations(), env.disks[1].rangedOperations()
	if len(first) != 1 || len(second) != 1 || first[0].Length != 100 || second[0].Offset != 16<<10 ||
		first[0].Piece != 0 || second[0].Piece != 1 {
		t.Errorf("got operations %+v and %+v; want piece 0 and piece 1 of the read, one at each node",
			first, second)
	}
	env.defaultClient.expectOneAnswerEach()
}

// Invalid ranges are rejected immediately with a reason, and nothing is sent to a node.
func TestRangedCall_RejectsInvalidRanges(t *testing.T) {
	env := newRangedEnvironment(t, nil)
	volume := env.volumeAt(0, 0)
	for name, id := range map[string]uint64{
		"empty":                env.sendRead(volume, 10, 0, nil),
		"overflow":             env.sendRead(volume, 1<<64-5, 10, nil),
		"too many pieces":      env.sendRead(volume, 0, 80<<10, nil),
		"over maximum payload": env.sendRead(volume, 0, 9<<20, nil),
		"short payload":        env.sendWrite(volume, 0, 10, 1, func(q *proto.Request) { q.Length = 11 }),
		"payload on read": env.sendWrite(volume, 0, 10, 1, func(q *proto.Request) {
			q.Write, q.Class = false, 0
		}),
	} {
		answer := env.defaultClient.awaitAnswer(id)
		if answer.Code != proto.Rejected || answer.Reason != ReasonBadRange {
			t.Errorf("%s: got %+v; want Rejected, bad-range", name, answer)
		}
	}
	env.expectRead(env.sendRead(volume, 1, 1, nil), volume, 1, 1)
	if n := len(env.disks[0].rangedOperations()) + len(env.disks[1].rangedOperations()); n != 1 {
		t.Errorf("got %d operations at the nodes; want 1", n)
	}
	env.defaultClient.expectOneAnswerEach()
}
