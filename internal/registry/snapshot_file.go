package registry

import (
	"errors"
	"fmt"
	"io/fs"
	"os"

	"landingpaddle/endpoints"
	"landingpaddle/internal/statefile"
)

// snapshotMagic starts a snapshot file; its digit is the version of the format.
const snapshotMagic = "LPLIST1\n"

// SnapshotFile stores the last endpoint list of an instance, for its next incarnation.
type SnapshotFile struct {
	Path string // empty: the instance saves and loads no list; to be checked by the caller
	// Write replaces the file durably; nil means statefile.Replace. Tests use it to simulate a full disk.
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
		return fmt.Errorf("saving the endpoint list: %w", err)
	}
	return nil
}

// Load reads the snapshot, which is empty if the file does not exist. The error of a truncated or changed
// file wraps statefile.ErrCorrupt; the instance then starts without a list.
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
