package daemon

import (
	"landingpaddle/endpoints"
	"landingpaddle/scheduler"
)

// updateEndpoints notifies the scheduler, and the check of preconditions, of a change of the endpoints.
func (l *loop) updateEndpoints(update scheduler.EndpointUpdate) {
	l.shared.notifiedEndpoints.apply(update)
	l.notify(update)
}

// updateFromNode takes in what a node has said of itself, if that changes anything.
func (l *loop) updateFromNode(event string, server scheduler.Server, update scheduler.EndpointUpdate,
	changed bool) {
	if !changed {
		return
	}
	l.shared.log.Info(event, keyNode, l.shared.cfg.NodeName(server), keySource, "node")
	l.updateEndpoints(update)
}

// applyUpdate takes an update of the endpoint list in. After a gap the full list is fetched.
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
		if change.Kind == scheduler.UpdateFull { // the first full list of an incarnation ends the restoring
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

// publishListVersion lets other goroutines see the version of the current list.
func (l *loop) publishListVersion() {
	epoch, version := l.view.Version()
	l.shared.listVersion.Store(&listVersion{epoch, version})
}
