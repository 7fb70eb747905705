package nodelist

import (
	"encoding/binary"
	"errors"
	"fmt"
	"hash/crc32"
	"io/fs"
	"os"
	"path/filepath"

	"github.com/fxamacker/cbor/v2"

	"landingpaddle/roster"
)

// A kept list is: the magic, the length of the body and its CRC-32C (u32 each, little-endian), the body in
// CBOR.
const (
	keptMagic = "LPLIST1\n"
	keptFixed = len(keptMagic) + 8
	keptMost  = 8 << 20
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// ErrKept is a kept list that cannot be believed.
var ErrKept = errors.New("kept list")

// File keeps the last list heard. A file is replaced whole, so that a stop at any moment leaves either list.
type File struct {
	Path string
	// Write replaces the file durably; nil: the usual way. Tests fill the disk by it.
	Write func(path string, data []byte) error
}

// Save keeps a list.
func (f File) Save(k roster.Kept) error {
	m := Message{Epoch: k.Epoch, Version: k.Version, Whole: true, Items: itemsOf(k.Entries)}
	body, err := cbor.Marshal(m)
	if err != nil {
		return fmt.Errorf("%s: %w", f.Path, err)
	}
	data := make([]byte, keptFixed, keptFixed+len(body))
	copy(data, keptMagic)
	binary.LittleEndian.PutUint32(data[len(keptMagic):], uint32(len(body)))
	binary.LittleEndian.PutUint32(data[len(keptMagic)+4:], crc32.Checksum(body, castagnoli))
	write := f.Write
	if write == nil {
		write = replace
	}
	if err := write(f.Path, append(data, body...)); err != nil {
		return fmt.Errorf("keeping the list: %w", err)
	}
	return nil
}

// Load reads the kept list. No file is an empty list. A file cut short or changed is an error that tells
// where; the instance then starts as if it had none.
func (f File) Load() (roster.Kept, error) {
	data, err := os.ReadFile(f.Path)
	if errors.Is(err, fs.ErrNotExist) {
		return roster.Kept{}, nil
	}
	if err != nil {
		return roster.Kept{}, err
	}
	k, err := parseKept(data)
	if err != nil {
		return roster.Kept{}, fmt.Errorf("%s: %w", f.Path, err)
	}
	return k, nil
}

func parseKept(data []byte) (roster.Kept, error) {
	if len(data) < keptFixed {
		return roster.Kept{}, fmt.Errorf("%w: cut at byte %d of its first %d", ErrKept, len(data), keptFixed)
	}
	if string(data[:len(keptMagic)]) != keptMagic {
		return roster.Kept{}, fmt.Errorf("%w: byte 0: it does not begin with %q", ErrKept, keptMagic)
	}
	size, body := binary.LittleEndian.Uint32(data[len(keptMagic):]), data[keptFixed:]
	if size > keptMost || int(size) != len(body) {
		return roster.Kept{}, fmt.Errorf("%w: byte %d: %d bytes follow, %d are stated", ErrKept,
			keptFixed, len(body), size)
	}
	if crc32.Checksum(body, castagnoli) != binary.LittleEndian.Uint32(data[len(keptMagic)+4:]) {
		return roster.Kept{}, fmt.Errorf("%w: byte %d: checksum does not match", ErrKept, keptFixed)
	}
	var m Message
	if err := cbor.Unmarshal(body, &m); err != nil {
		return roster.Kept{}, fmt.Errorf("%w: byte %d: %w", ErrKept, keptFixed, err)
	}
	entries, err := m.entries()
	if err != nil {
		return roster.Kept{}, fmt.Errorf("%w: %w", ErrKept, err)
	}
	return roster.Kept{Epoch: m.Epoch, Version: m.Version, Entries: entries}, nil
}

// replace writes a file beside the old one, makes it durable and puts it in the old one's place.
func replace(path string, data []byte) (err error) {
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
