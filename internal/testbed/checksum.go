package testbed

// patternByte is what a byte of a volume reads as before it is written for the first time.
func patternByte(volume, offset uint64) byte {
	return byte((volume*0x9e3779b97f4a7c15 ^ offset*0xff51afd7ed558ccd) >> 56)
}

// writtenByte is what a stand-in client's write puts at an offset.
func writtenByte(token, offset uint64) byte { return patternByte(token^1<<63, offset) }

// checksum is a checksum of bytes and where they lie. Those of a range's parts add up to the whole's, so
// that what a client got can be compared with what several nodes gave.
func checksum(offset uint64, data []byte) (sum uint64) {
	for i, b := range data {
		sum += byteChecksum(offset+uint64(i), b)
	}
	return sum
}

// patternSum is the checksum of a range that was never written.
func patternSum(volume, offset, length uint64) (sum uint64) {
	for i := range length {
		sum += byteChecksum(offset+i, patternByte(volume, offset+i))
	}
	return sum
}

func byteChecksum(offset uint64, b byte) uint64 {
	mixed := (offset<<8 | uint64(b)) * 0xff51afd7ed558ccd
	return mixed ^ mixed>>29
}
