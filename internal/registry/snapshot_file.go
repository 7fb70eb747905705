package registry

import (
	"errors"
	"fmt"
	"io/fs"
	"os"

	"landingpaddle/endpoints"
	"landingpaddle/internal/statefile"
)

// snapshotMagic begins a snapshot file; another number in it would be another form.
const snapshotMagic = "LPLIST1\n"

// SnapshotFile holds the last list that an instance knew, for its next incarnation.
type SnapshotFile struct {
	Path string // "": nothing is saved
	// Write replaces the file durably; nil is statefile.Replace. Tests simulate a full disk by it.
	Write func(path string, data []byte) error
}

// Save writes a snapshot.
func (f SnapshotFile) Save(snapshot endpoints.Snapshot) error {
	data, err := statefile.Encode(snapshotMagic, Message{
		Epoch:     snapshot.Epoch,
		Version:   snapshot.Version,
		Full:      true,
		Endpoints: recordsOf(snapshot.Endpoints),
	})
	if err != nil {
		return fmt.Errorf("%s: %w", f.Path, err)
	}
	write := f.Write
	if write == nil {
		write = statefile.Replace
	}
	if err := write(f.Path, data); err != nil {
		return fmt.Errorf("saving the list: %w", err)
	}
	return nil
}

// Load reads the snapshot. No file is an empty list. The error of a file that is truncated or changed wraps
// statefile.ErrCorrupt; the instance then starts as if there were none.
func (f SnapshotFile) Load() (endpoints.Snapshot, error) {
	data, err := os.ReadFile(f.Path)
	if errors.Is(err, fs.ErrNotExist) {
		return endpoints.Snapshot{}, nil
	}
	if err != nil {
		return endpoints.Snapshot{}, err
	}
	snapshot, err := parseSnapshot(data)
	if err != nil {
		return endpoints.Snapshot{}, fmt.Errorf("%s: %w", f.Path, err)
	}
	return snapshot, nil
}

func parseSnapshot(data []byte) (endpoints.Snapshot, error) {
	var message Message
	if err := statefile.Decode(snapshotMagic, data, &message); err != nil {
		return endpoints.Snapshot{}, err
	}
	listed, err := message.endpoints()
	if err != nil {
		return endpoints.Snapshot{}, fmt.Errorf("%w: %w", statefile.ErrCorrupt, err)
	}
	return endpoints.Snapshot{Epoch: message.Epoch, Version: message.Version, Endpoints: listed}, nil
}
