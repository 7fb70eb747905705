package daemon

import (
	"context"

	"landingpaddle/endpoints"
)

// queueSnapshot hands the current list to who saves it, in place of an older one that is not saved yet.
func (l *loop) queueSnapshot() {
	select {
	case <-l.shared.snapshots:
	default:
	}
	l.shared.snapshots <- l.view.Snapshot()
}

// loadSnapshot returns the endpoint list from before the start. A file that cannot be trusted is logged and
// ignored.
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

// saveSnapshots writes endpoint lists to disk until ctx ends, away from the path of requests. A full disk
// costs the next incarnation its first list, and nothing else.
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
