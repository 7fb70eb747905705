package daemon

import (
	"testing"

	"landingpaddle/internal/proto"
)

// A read across the edge of an extent goes to two nodes, and its bytes come back as one.
func TestRangedCall_ReadsAcrossExtents(t *testing.T) {
	x := newRangedEnvironment(t, nil)
	v := x.volumeAt(0, 0)
	x.got(x.read(v, 16<<10-100, 300, nil), v, 16<<10-100, 300)
	if a, b := x.disks[0].ranged(), x.disks[1].ranged(); len(a) != 1 || len(b) != 1 || a[0].Length != 100 ||
		b[0].Offset != 16<<10 || a[0].Piece != 0 || b[0].Piece != 1 {
		t.Errorf("the nodes saw %+v and %+v", a, b)
	}
	x.c.once()
}

// Invalid ranges are rejected at once with a reason, and nothing reaches a node.
func TestRangedCall_RejectsInvalidRanges(t *testing.T) {
	x := newRangedEnvironment(t, nil)
	v := x.volumeAt(0, 0)
	for name, id := range map[string]uint64{
		"empty":          x.read(v, 10, 0, nil),
		"overflow":       x.read(v, 1<<64-5, 10, nil),
		"too many":       x.read(v, 0, 80<<10, nil),
		"over payload":   x.read(v, 0, 9<<20, nil),
		"short payload":  x.write(v, 0, 10, 1, func(q *proto.Request) { q.Length = 11 }),
		"payload on get": x.write(v, 0, 10, 1, func(q *proto.Request) { q.Write, q.Class = false, 0 }),
	} {
		if a := x.c.wait(id); a.Code != proto.Rejected || a.Reason != ReasonBadRange {
			t.Errorf("%s: %+v", name, a)
		}
	}
	x.got(x.read(v, 1, 1, nil), v, 1, 1)
	if n := len(x.disks[0].ranged()) + len(x.disks[1].ranged()); n != 1 {
		t.Errorf("%d operations reached nodes", n)
	}
	x.c.once()
}
