package registry

import (
	"errors"
	"fmt"
	"io/fs"
	"os"

	"landingpaddle/endpoints"
	"landingpaddle/internal/statefile"
)

const snapshotMagic = "LPLIST1\n"

// File keeps the last list heard.
type SnapshotFile struct {
	Path string
	// Write replaces the file durably; nil: the usual way. Tests fill the disk by it.
	Write func(path string, data []byte) error
}

// Save keeps a list.
func (f SnapshotFile) Save(k endpoints.Snapshot) error {
	m := Message{Epoch: k.Epoch, Version: k.Version, Full: true, Endpoints: recordsOf(k.Endpoints)}
	data, err := statefile.Encode(snapshotMagic, m)
	if err != nil {
		return fmt.Errorf("%s: %w", f.Path, err)
	}
	write := f.Write
	if write == nil {
		write = statefile.Replace
	}
	if err := write(f.Path, data); err != nil {
		return fmt.Errorf("keeping the list: %w", err)
	}
	return nil
}

// Load reads the kept list. No file is an empty list. A file cut short or changed is an error that tells
// where; the instance then starts as if it had none.
func (f SnapshotFile) Load() (endpoints.Snapshot, error) {
	data, err := os.ReadFile(f.Path)
	if errors.Is(err, fs.ErrNotExist) {
		return endpoints.Snapshot{}, nil
	}
	if err != nil {
		return endpoints.Snapshot{}, err
	}
	k, err := parseSnapshot(data)
	if err != nil {
		return endpoints.Snapshot{}, fmt.Errorf("%s: %w", f.Path, err)
	}
	return k, nil
}

func parseSnapshot(data []byte) (endpoints.Snapshot, error) {
	var m Message
	if err := statefile.Decode(snapshotMagic, data, &m); err != nil {
		return endpoints.Snapshot{}, err
	}
	entries, err := m.endpoints()
	if err != nil {
		return endpoints.Snapshot{}, fmt.Errorf("%w: %w", statefile.ErrCorrupt, err)
	}
	return endpoints.Snapshot{Epoch: m.Epoch, Version: m.Version, Endpoints: entries}, nil
}
