package testbed

import "landingpaddle/internal/proto"

// recordedWrites records the writes that arrived at nodes and those that took effect.
type recordedWrites struct {
	volumes map[uint64]bool           // volumes for which a write arrived
	sums    map[uint64]map[int]uint64 // checksums of the writes that took effect, by token and piece
}

// checkBytes compares the bytes that clients received and sent with those that nodes read and wrote. The
// checksums of a range's pieces add up to that of the range. Volumes without writes must read as the pattern.
func (c *invariantChecker) checkBytes() {
	writes := c.collectWrites()
	for _, request := range c.requests.sent {
		answer, answered := request.answer()
		if !answered || answer.Code != proto.OK || request.sent.DataVolume == 0 {
			continue
		}
		c.verdicts[RuleBytes].Checked++
		if request.sent.Write {
			c.checkWrittenBytes(request, answer, writes)
		} else {
			c.checkReadBytes(request, answer, writes)
		}
	}
}

func (c *invariantChecker) collectWrites() recordedWrites {
	writes := recordedWrites{volumes: map[uint64]bool{}, sums: map[uint64]map[int]uint64{}}
	for _, request := range c.requests.sent {
		for _, attempt := range request.attempts {
			arrive := attempt.arrive
			if arrive.DataVolume == 0 || !arrive.Write {
				continue
			}
			writes.volumes[arrive.DataVolume] = true
			if !attempt.tookEffect {
				continue
			}
			if writes.sums[arrive.Token] == nil {
				writes.sums[arrive.Token] = map[int]uint64{}
			}
			writes.sums[arrive.Token][arrive.Piece] = attempt.sum
		}
	}
	return writes
}

func (c *invariantChecker) checkWrittenBytes(request *requestTrace, answer Event, writes recordedWrites) {
	sum := uint64(0)
	for _, pieceSum := range writes.sums[request.sent.Token] {
		sum += pieceSum
	}
	if sum != request.sent.Checksum {
		c.recordViolation(RuleBytes, answer, "the nodes wrote other bytes than the client sent")
	}
}

func (c *invariantChecker) checkReadBytes(request *requestTrace, answer Event, writes recordedWrites) {
	sent := request.sent
	switch {
	case answer.Length != sent.Length:
		c.recordViolation(RuleBytes, answer, "the answer has %d bytes of %d", answer.Length, sent.Length)
	case !request.possibleReadSums()[answer.Checksum]:
		c.recordViolation(RuleBytes, answer, "the answer has other bytes than the nodes read")
	case !writes.volumes[sent.DataVolume] &&
		answer.Checksum != patternSum(sent.DataVolume, sent.Offset, sent.Length):
		c.recordViolation(RuleBytes, answer, "the answer has bytes that were never written")
	}
}

// possibleReadSums returns the checksums that a request's answer can have: a piece that several attempts read
// may come from any one of them.
func (t *requestTrace) possibleReadSums() map[uint64]bool {
	sumsByPiece := map[int][]uint64{}
	for _, attempt := range t.attempts {
		if attempt.ended {
			piece := attempt.arrive.Piece
			sumsByPiece[piece] = append(sumsByPiece[piece], attempt.sum)
		}
	}
	possible := map[uint64]bool{0: true}
	for _, pieceSums := range sumsByPiece {
		next := map[uint64]bool{}
		for sum := range possible {
			for _, pieceSum := range pieceSums {
				next[sum+pieceSum] = true
			}
		}
		possible = next
	}
	return possible
}
