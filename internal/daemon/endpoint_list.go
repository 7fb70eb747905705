package daemon

import (
	"landingpaddle/endpoints"
	"landingpaddle/scheduler"
)

// updateEndpoints passes a change of the endpoints to the scheduler and to the check of preconditions.
func (l *loop) updateEndpoints(update scheduler.EndpointUpdate) {
	l.shared.notifiedEndpoints.apply(update)
	l.notify(update)
}

// updateFromNode applies and logs an update that a node itself reported, if it changes anything.
func (l *loop) updateFromNode(logMessage string, server scheduler.Server, update scheduler.EndpointUpdate,
	changed bool) {
	if !changed {
		return
	}
	l.shared.log.Info(logMessage, keyNode, l.shared.cfg.NodeName(server), keySource, "node")
	l.updateEndpoints(update)
}

// applyUpdate applies an update of the endpoint list. After a gap it fetches the full list.
func (l *loop) applyUpdate(update endpoints.Update) {
	change, result := l.view.Apply(l.shared.clock(), update)
	switch result {
	case endpoints.Gap:
		l.shared.log.Info("endpoint list has a gap", keyVersion, update.Version,
			keyBaseVersion, update.BaseVersion)
		l.shared.listVersion.Store(&listVersion{})
		l.drivers.Endpoints.FetchFull()
	case endpoints.Applied:
		l.updateEndpoints(change)
		if change.Kind == scheduler.UpdateFull { // an incarnation's first full list completes the restore
			l.restoreStatistics(l.view.Snapshot().Endpoints)
			l.savedStatistics = nil
		}
		l.publishListVersion()
		for _, endpoint := range change.Endpoints {
			l.shared.log.Info("node listed", keyNode, l.shared.cfg.NodeName(endpoint.Server),
				keyStatus, endpoint.Status.String(), keyCell, endpoint.Cell)
		}
		l.queueSnapshot()
	}
}

// publishListVersion makes the version of the current list available to other goroutines.
func (l *loop) publishListVersion() {
	epoch, version := l.view.Version()
	l.shared.listVersion.Store(&listVersion{epoch, version})
}
