package daemon

import (
	"errors"
	"io/fs"
	"slices"

	"landingpaddle/checkpoint"
	"landingpaddle/endpoints"
	"landingpaddle/internal/statefile"
	"landingpaddle/scheduler"
)

// statisticsMagic begins a checkpoint of statistics. The number in it identifies the format.
const statisticsMagic = "LPLEARN1"

// fingerprint returns the settings on which the meaning of statistics depends.
func (i *Instance) fingerprint() checkpoint.Fingerprint {
	fingerprint := checkpoint.Fingerprint{
		Instance:  i.cfg.Number,
		MeanUnits: i.cfg.Site.MeanUnits,
		MaxUnits:  i.cfg.Site.MaxUnits,
	}
	for _, class := range i.cfg.Site.Classes {
		fingerprint.Classes = append(fingerprint.Classes,
			checkpoint.Class{Name: class.Name, Writes: class.Writes})
	}
	return fingerprint
}

// loadStatistics reads the checkpoint that the previous incarnation saved. An invalid one is logged in one
// line and ignored.
func (l *loop) loadStatistics() {
	path := l.shared.cfg.StatisticsFile
	if path == "" {
		return
	}
	var record checkpoint.Record
	err := statefile.Read(path, statisticsMagic, &record)
	if errors.Is(err, fs.ErrNotExist) {
		l.shared.log.Info("no saved statistics", keyPath, path)
		return
	}
	if err == nil {
		err = record.Validate(l.shared.clock().Wall, l.shared.cfg.Fingerprint)
	}
	if err != nil {
		l.shared.log.Warn("saved statistics ignored", keyPath, path, keyError, err)
		return
	}
	l.savedStatistics = &record
}

// restoreStatistics passes the scheduler the saved statistics that are still valid for the listed endpoints.
// The scheduler keeps its own statistics of nodes from which it has received results since the start.
func (l *loop) restoreStatistics(listed []endpoints.Endpoint) {
	if l.savedStatistics == nil || len(listed) == 0 {
		return
	}
	statistics := l.savedStatistics.Restore(l.shared.cfg.Fingerprint, listed)
	nodes := l.scheduler.RestoreStatistics(statistics)
	isEmpty := func(class scheduler.ClassStatistics) bool { return class.Count == 0 }
	classes := slices.DeleteFunc(statistics.Classes, isEmpty)
	l.shared.log.Info("saved statistics restored", keyNodes, nodes,
		keySavedNodes, len(l.savedStatistics.Nodes), keyClasses, len(classes),
		keyAllClasses, statistics.AllClasses.Count > 0)
}

// saveStatistics writes the checkpoint for the next incarnation. If the disk is full, that one lacks these
// statistics; nothing else fails.
func (l *loop) saveStatistics() {
	path := l.shared.cfg.StatisticsFile
	if path == "" {
		return
	}
	record := checkpoint.Capture(l.shared.clock().Wall, l.shared.cfg.Fingerprint, l.scheduler.Statistics(),
		l.view.Snapshot().Endpoints)
	if len(record.Nodes) == 0 {
		return // an incarnation without results must not overwrite the statistics of an earlier one
	}
	data, err := statefile.Encode(statisticsMagic, record)
	if err == nil {
		err = statefile.Replace(path, data)
	}
	if err != nil {
		l.shared.log.Warn("statistics not saved", keyPath, path, keyError, err)
		return
	}
	l.shared.log.Info("statistics saved", keyPath, path, keyNodes, len(record.Nodes))
}
