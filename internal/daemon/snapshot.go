package daemon

import (
	"context"

	"landingpaddle/endpoints"
)

// queueSnapshot queues the current list for saving and discards an older one that is not saved yet.
func (l *loop) queueSnapshot() {
	select {
	case <-l.shared.snapshots:
	default:
	}
	l.shared.snapshots <- l.view.Snapshot()
}

// loadSnapshot returns the endpoint list of the previous incarnation. An invalid file is logged and ignored.
func (l *loop) loadSnapshot() endpoints.Snapshot {
	cfg := &l.shared.cfg
	if cfg.Snapshot.Path == "" {
		return cfg.InitialList
	}
	snapshot, err := cfg.Snapshot.Load()
	if err != nil {
		l.shared.log.Warn("endpoint snapshot ignored", keyError, err)
	}
	return snapshot
}

// saveSnapshots writes queued endpoint lists to disk until ctx ends, on a goroutine outside the request path.
// If the disk is full, the next incarnation lacks this initial list; nothing else fails.
func (i *Instance) saveSnapshots(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case snapshot := <-i.snapshots:
			if i.cfg.Snapshot.Path == "" {
				continue
			}
			if err := i.cfg.Snapshot.Save(snapshot); err != nil {
				i.Stats.SnapshotFailures.Add(1)
				i.log.Warn("endpoint snapshot not saved", keyError, err)
			}
		}
	}
}
