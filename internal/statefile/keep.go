// Package keep reads and writes the small files that an instance keeps across its lives. A file is a magic of
// eight bytes, the length of the body and its CRC-32C (u32 each, little-endian), and the body in CBOR. It is
// replaced whole, so that a stop at any moment leaves either the old or the new one.
package statefile

import (
	"encoding/binary"
	"errors"
	"fmt"
	"hash/crc32"
	"os"
	"path/filepath"

	"github.com/fxamacker/cbor/v2"
)

const (
	magicSize  = 8
	headerSize = magicSize + 8
	maxBody    = 8 << 20
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// ErrBad is a file that cannot be believed.
var ErrCorrupt = errors.New("kept file")

// Encode makes a file's bytes.
func Encode(magic string, v any) ([]byte, error) {
	body, err := cbor.Marshal(v)
	if err != nil {
		return nil, err
	}
	data := make([]byte, headerSize, headerSize+len(body))
	copy(data, magic)
	binary.LittleEndian.PutUint32(data[magicSize:], uint32(len(body)))
	binary.LittleEndian.PutUint32(data[magicSize+4:], crc32.Checksum(body, castagnoli))
	return append(data, body...), nil
}

// Decode reads a file's bytes. What is cut short, changed or of another kind is an error that tells where.
func Decode(magic string, data []byte, to any) error {
	if len(data) < headerSize {
		return fmt.Errorf("%w: cut at byte %d of its first %d", ErrCorrupt, len(data), headerSize)
	}
	if string(data[:magicSize]) != magic {
		return fmt.Errorf("%w: byte 0: it does not begin with %q", ErrCorrupt, magic)
	}
	size, body := binary.LittleEndian.Uint32(data[magicSize:]), data[headerSize:]
	if size > maxBody || int(size) != len(body) {
		return fmt.Errorf(
			"%w: byte %d: %d bytes follow, %d are stated",
			ErrCorrupt,
			headerSize,
			len(body),
			size,
		)
	}
	if crc32.Checksum(body, castagnoli) != binary.LittleEndian.Uint32(data[magicSize+4:]) {
		return fmt.Errorf("%w: byte %d: checksum does not match", ErrCorrupt, headerSize)
	}
	if err := cbor.Unmarshal(body, to); err != nil {
		return fmt.Errorf("%w: byte %d: %w", ErrCorrupt, headerSize, err)
	}
	return nil
}

// Read reads a file. One that is not there is an error by errors.Is(err, fs.ErrNotExist).
func Read(path, magic string, to any) error {
	data, err := os.ReadFile(path)
	if err != nil {
		return err
	}
	return Decode(magic, data, to)
}

// Replace writes a file beside the old one, makes it durable and puts it in the old one's place.
func Replace(path string, data []byte) (err error) {
	f, err := os.CreateTemp(filepath.Dir(path), filepath.Base(path)+".new-*")
	if err != nil {
		return err
	}
	defer func() {
		if err != nil {
			f.Close()
			os.Remove(f.Name())
		}
	}()
	if _, err = f.Write(data); err != nil {
		return err
	}
	if err = f.Sync(); err != nil {
		return err
	}
	if err = f.Close(); err != nil {
		return err
	}
	if err = os.Rename(f.Name(), path); err != nil {
		return err
	}
	dir, err := os.Open(filepath.Dir(path))
	if err != nil {
		return err
	}
	defer dir.Close()
	return dir.Sync()
}
