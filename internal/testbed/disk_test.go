package testbed

import "testing"

// Written bytes are read back, and bytes that were never written are read as the pattern. The checksums of
// the parts of a range add up to that of the range.
func TestDisk_ReadsBackWhatWasWritten(t *testing.T) {
	const text, start = "written over the edge of a block, and then some", 4000
	disk := newDisk()
	disk.write(7, start, []byte(text))
	got := disk.read(7, 3990, 80)
	for i, b := range got {
		offset := uint64(3990 + i)
		want := patternByte(7, offset)
		if offset >= start && offset < start+uint64(len(text)) {
			want = text[offset-start]
		}
		if b != want {
			t.Fatalf("byte %d is %d, want %d", offset, b, want)
		}
	}
	if checksum(3990, got[:30])+checksum(4020, got[30:]) != checksum(3990, got) {
		t.Error("the checksums of the parts do not add up to that of the whole")
	}
	if checksum(5000, disk.read(7, 5000, 100)) != patternSum(7, 5000, 100) {
		t.Error("an unwritten range does not read as the pattern")
	}
}
