package testbed

// patternByte returns the initial value of a byte of a volume, before its first write. This pattern is a hash
// of the volume and the offset, so that bytes read from another volume or offset are detected.
func patternByte(volume, offset uint64) byte {
	return byte((volume*0x9e3779b97f4a7c15 ^ offset*0xff51afd7ed558ccd) >> 56)
}

// writtenByte returns the byte that a stand-in client's write stores at an offset. Bit 63 of the token is
// inverted, so that the bytes differ from the pattern of the volume with the token's number.
func writtenByte(token, offset uint64) byte { return patternByte(token^1<<63, offset) }

// checksum returns a checksum of bytes and their offsets. The checksums of a range's parts add up to that of
// the range, so that a client's answer can be compared with the data of several nodes.
func checksum(offset uint64, data []byte) (sum uint64) {
	for i, b := range data {
		sum += byteChecksum(offset+uint64(i), b)
	}
	return sum
}

// patternSum returns the checksum of a range that was never written: that of the pattern.
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
