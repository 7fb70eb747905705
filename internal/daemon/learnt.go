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

// learntMagic begins a file of what was learnt; another number in it is another form.
const statisticsMagic = "LPLEARN1"

// facts are the settings on which the meaning of figures hangs.
func (i *Instance) facts() checkpoint.Fingerprint {
	s := checkpoint.Fingerprint{
		Instance:  i.cfg.Number,
		MeanUnits: i.cfg.Site.MeanUnits,
		MaxUnits:  i.cfg.Site.MaxUnits,
	}
	for _, c := range i.cfg.Site.Classes {
		s.Classes = append(s.Classes, checkpoint.Class{Name: c.Name, Writes: c.Writes})
	}
	return s
}

// loadLearnt reads what an earlier life left. What cannot be believed is told in one line and treated as
// none.
func (l *loop) loadLearnt() {
	path := l.c.cfg.StatisticsFile
	if path == "" {
		return
	}
	var r checkpoint.Record
	err := statefile.Read(path, statisticsMagic, &r)
	if errors.Is(err, fs.ErrNotExist) {
		l.c.log.Info("no learnt figures", "path", path)
		return
	}
	if err == nil {
		err = r.Validate(l.c.clock().Wall, l.c.cfg.Fingerprint)
	}
	if err != nil {
		l.c.log.Warn("learnt figures left out", "path", path, "error", err)
		return
	}
	l.before = &r
}

// recall hands the module what still means the same by a list. Nodes of which it has heard since keep what it
// learnt of them itself.
func (l *loop) recall(listed []endpoints.Endpoint) {
	if l.before == nil || len(listed) == 0 {
		return
	}
	learnt := l.before.Restore(l.c.cfg.Fingerprint, listed)
	nodes := l.module.RestoreStatistics(learnt)
	classes := slices.DeleteFunc(
		learnt.Classes,
		func(c scheduler.ClassStatistics) bool { return c.Count == 0 },
	)
	l.c.log.Info("learnt figures taken over", "nodes", nodes, "of", len(l.before.Nodes),
		"classes", len(classes), "usual", learnt.AllClasses.Count > 0)
}

// saveLearnt keeps what was learnt for the next life. A disk that is full costs that life its head start.
func (l *loop) saveLearnt() {
	path := l.c.cfg.StatisticsFile
	if path == "" {
		return
	}
	r := checkpoint.Capture(
		l.c.clock().Wall,
		l.c.cfg.Fingerprint,
		l.module.Statistics(),
		l.view.Snapshot().Endpoints,
	)
	if len(r.Nodes) == 0 {
		return // a life that heard of no node must not void what an earlier one left
	}
	data, err := statefile.Encode(statisticsMagic, r)
	if err == nil {
		err = statefile.Replace(path, data)
	}
	if err != nil {
		l.c.log.Warn("learnt figures not written", "path", path, "error", err)
		return
	}
	l.c.log.Info("learnt figures written", "path", path, "nodes", len(r.Nodes))
}
