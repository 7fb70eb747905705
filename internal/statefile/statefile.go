// Package statefile reads and writes the small files that an instance saves for its next incarnation.
//
// A file consists of a magic string of eight bytes, the length of the body and its CRC-32C (u32 each,
// little-endian), and the body in CBOR. It is replaced atomically: a crash at any moment leaves either the
// old file or the new one.
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

// Layout of a file.
const (
	magicSize      = 8
	lengthOffset   = magicSize
	checksumOffset = magicSize + 4
	headerSize     = magicSize + 8
	maxBody        = 8 << 20 // bytes
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// ErrCorrupt is wrapped by the errors of files whose content is invalid, whose texts it prefixes.
var ErrCorrupt = errors.New("state file")

// Encode returns the content of a file that stores a value. magic must have eight bytes.
func Encode(magic string, value any) ([]byte, error) {
	body, err := cbor.Marshal(value)
	if err != nil {
		return nil, err
	}
	data := make([]byte, headerSize, headerSize+len(body))
	copy(data, magic)
	binary.LittleEndian.PutUint32(data[lengthOffset:], uint32(len(body)))
	binary.LittleEndian.PutUint32(data[checksumOffset:], crc32.Checksum(body, castagnoli))
	return append(data, body...), nil
}

// Decode decodes the content of a file into value, a pointer. An error wraps ErrCorrupt and states the offset
// at which the header is truncated, or at which the invalid magic string or body begins.
func Decode(magic string, data []byte, value any) error {
	if len(data) < headerSize {
		return fmt.Errorf("%w: truncated at byte %d of its %d-byte header", ErrCorrupt, len(data), headerSize)
	}
	if string(data[:magicSize]) != magic {
		return fmt.Errorf("%w: byte 0: file does not begin with %q", ErrCorrupt, magic)
	}
	length, body := binary.LittleEndian.Uint32(data[lengthOffset:]), data[headerSize:]
	if length > maxBody || int(length) != len(body) {
		return fmt.Errorf("%w: byte %d: %d bytes follow; header states %d", ErrCorrupt, headerSize, len(body),
			length)
	}
	if crc32.Checksum(body, castagnoli) != binary.LittleEndian.Uint32(data[checksumOffset:]) {
		return fmt.Errorf("%w: byte %d: checksum does not match", ErrCorrupt, headerSize)
	}
	if err := cbor.Unmarshal(body, value); err != nil {
		return fmt.Errorf("%w: byte %d: %w", ErrCorrupt, headerSize, err)
	}
	return nil
}

// Read decodes a file into value, a pointer. The error of a file that does not exist wraps fs.ErrNotExist;
// for invalid content see Decode.
func Read(path, magic string, value any) error {
	data, err := os.ReadFile(path)
	if err != nil {
		return err
	}
	return Decode(magic, data, value)
}

// Replace writes a temporary file in the directory of path, makes it durable, renames it to path and makes
// the rename durable.
func Replace(path string, data []byte) error {
	directory := filepath.Dir(path)
	temporary, err := writeTemporary(directory, filepath.Base(path)+".new-*", data)
	if err != nil {
		return err
	}
	if err := os.Rename(temporary, path); err != nil {
		os.Remove(temporary)
		return err
	}
	return syncDirectory(directory)
}

// writeTemporary writes a durable temporary file and returns its path. It removes the file on failure.
func writeTemporary(directory, pattern string, data []byte) (path string, err error) {
	file, err := os.CreateTemp(directory, pattern)
	if err != nil {
		return "", err
	}
	defer func() {
		if err != nil {
			file.Close()
			os.Remove(file.Name())
		}
	}()
	if _, err = file.Write(data); err != nil {
		return "", err
	}
	if err = file.Sync(); err != nil {
		return "", err
	}
	return file.Name(), file.Close()
}

// syncDirectory makes a rename within a directory durable.
func syncDirectory(path string) error {
	directory, err := os.Open(path)
	if err != nil {
		return err
	}
	defer directory.Close()
	return directory.Sync()
}
