package testbed

import (
	"sync"

	"landingpaddle/internal/proto"
)

// pattern is what a byte of a volume reads as before it is written for the first time.
func pattern(volume, at uint64) byte {
	return byte((volume*0x9e3779b97f4a7c15 ^ at*0xff51afd7ed558ccd) >> 56)
}

// writtenByte is what a stand-in client's write puts at a place.
func writtenByte(token, at uint64) byte { return pattern(token^1<<63, at) }

// sumOf is a checksum of bytes and where they lie. Sums of a range's parts add up to the whole's, so that
// what a client got can be compared with what several nodes gave.
func sumOf(at uint64, data []byte) (sum uint64) {
	for i, b := range data {
		sum += sumByte(at+uint64(i), b)
	}
	return sum
}

// patternSum is sumOf a range that was never written.
func patternSum(volume, at, length uint64) (sum uint64) {
	for i := range length {
		sum += sumByte(at+i, pattern(volume, at+i))
	}
	return sum
}

func sumByte(at uint64, b byte) uint64 {
	x := (at<<8 | uint64(b)) * 0xff51afd7ed558ccd
	return x ^ x>>29
}

const diskBlock = 4 << 10

// disk holds the bytes that were written to a node's machine; it outlasts its processes.
type disk struct {
	mu     sync.Mutex
	blocks map[[2]uint64][]byte // by volume and number
}

// each calls f for the part of a range in each block.
func (d *disk) each(volume, at uint64, data []byte, f func(block, part []byte)) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for len(data) > 0 {
		from := at % diskBlock
		n := min(uint64(len(data)), diskBlock-from)
		id := [2]uint64{volume, at / diskBlock}
		block := d.blocks[id]
		if block == nil {
			block = make([]byte, diskBlock)
			for i := range block {
				block[i] = pattern(volume, at-from+uint64(i))
			}
			d.blocks[id] = block
		}
		f(block[from:from+n], data[:n])
		at, data = at+n, data[n:]
	}
}

func (d *disk) read(volume, at, length uint64) []byte {
	out := make([]byte, length)
	d.each(volume, at, out, func(block, part []byte) { copy(part, block) })
	return out
}

func (d *disk) write(volume, at uint64, data []byte) {
	d.each(volume, at, data, func(block, part []byte) { copy(block, part) })
}

// member is one request's part of an operation at a node.
type member struct {
	proto.Member
	repeat bool // dropped: its group remembers it, or it was called off while it waited
}

// members lists whose an operation is; a request of one has one. Its bounds are checked.
func members(q *proto.Request) ([]member, bool) {
	if len(q.Members) == 0 {
		return []member{{Member: proto.Member{Token: q.Token, Volume: q.Volume, Key: q.Key, Plan: q.Plan,
			Units: q.Units, Length: q.Length, Piece: q.Piece, Try: q.Try, Client: q.Client}}}, true
	}
	out := make([]member, len(q.Members))
	for i, m := range q.Members {
		if uint64(m.Offset)+uint64(m.Length) > uint64(q.Length) {
			return nil, false
		}
		out[i].Member = m
	}
	return out, true
}

// effect is what a group remembers a piece of a request by.
func (m *member) effect() uint64 { return m.Token ^ uint64(m.Piece)<<48 }

// carry reads or writes the bytes of an operation and returns those of a read.
func (l *life) carry(o *op) []byte {
	q := &o.req
	if !q.Ranged {
		return nil
	}
	var data []byte
	if !q.Write {
		data = l.n.disk.read(q.DataVolume(), q.Offset, uint64(q.Length))
	}
	o.sums = make([]uint64, len(o.members))
	for i := range o.members {
		m := &o.members[i]
		from, to := m.Offset, m.Offset+m.Length
		switch {
		case !q.Write:
			o.sums[i] = sumOf(q.Offset+uint64(from), data[from:to])
		case !m.repeat && int(to) <= len(o.payload):
			l.n.disk.write(q.DataVolume(), q.Offset+uint64(from), o.payload[from:to])
			o.sums[i] = sumOf(q.Offset+uint64(from), o.payload[from:to])
		}
	}
	return data
}
