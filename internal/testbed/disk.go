package testbed

import "sync"

const diskBlockSize = 4 << 10 // bytes

// blockKey identifies a block of a volume by its number.
type blockKey struct{ volume, number uint64 }

// disk stores the bytes that were written to a node; its content survives restarts of the node's process. Any
// goroutine may use it.
type disk struct {
	mu     sync.Mutex
	blocks map[blockKey][]byte
}

func newDisk() *disk { return &disk{blocks: map[blockKey][]byte{}} }

// eachBlock calls copyPart for each block of a range, with the part of the block that is in the range and the
// corresponding part of data.
func (d *disk) eachBlock(volume, offset uint64, data []byte, copyPart func(block, part []byte)) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for len(data) > 0 {
		from := offset % diskBlockSize
		length := min(uint64(len(data)), diskBlockSize-from)
		block := d.block(volume, offset/diskBlockSize)
		copyPart(block[from:from+length], data[:length])
		offset, data = offset+length, data[length:]
	}
}

// block returns a block's bytes, initially those of the pattern. The caller holds d.mu.
func (d *disk) block(volume, number uint64) []byte {
	key := blockKey{volume, number}
	block := d.blocks[key]
	if block == nil {
		block = make([]byte, diskBlockSize)
		for i := range block {
			block[i] = patternByte(volume, number*diskBlockSize+uint64(i))
		}
		d.blocks[key] = block
	}
	return block
}

func (d *disk) read(volume, offset, length uint64) []byte {
	data := make([]byte, length)
	d.eachBlock(volume, offset, data, func(block, part []byte) { copy(part, block) })
	return data
}

func (d *disk) write(volume, offset uint64, data []byte) {
	d.eachBlock(volume, offset, data, func(block, part []byte) { copy(block, part) })
}
