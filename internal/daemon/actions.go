package daemon

import (
	"slices"

	"landingpaddle/internal/proto"
	"landingpaddle/scheduler"
)

// execute executes one action of the scheduler.
func (l *loop) execute(action scheduler.Action) {
	switch action := action.(type) {
	case scheduler.Send:
		l.startAttempt(action)
	case scheduler.Reject:
		l.endUnserved(action.ID, proto.Answer{Code: proto.Rejected, RetryAfter: action.RetryAfter})
	case scheduler.Fail:
		l.endUnserved(action.ID, proto.Answer{Code: proto.Failed})
	case scheduler.Cancel:
		l.cancelAttempt(action)
	case scheduler.SetTimer:
		l.timers.set(l.now+action.After, func() { l.notify(scheduler.TimerFired{Token: action.Token}) })
	case scheduler.CheckHealth:
		l.drivers.Upstream.CheckHealth(action.Server)
	case scheduler.CloseIdle:
		l.drivers.Upstream.CloseIdle(action.Server)
	case scheduler.SendToPeer:
		l.sendToPeer(action)
	case scheduler.WriteLog:
		l.shared.log.Info("scheduler message", keyText, action.Text)
	case scheduler.WatchEndpoints:
		l.drivers.Endpoints.Watch(action)
	case scheduler.FetchEndpoints:
		l.drivers.Endpoints.Fetch()
	case scheduler.CollectArrivals:
		if l.drivers.Arrivals.Collect(action) {
			l.collected = append(l.collected, scheduler.ArrivalsCollected{Before: action.Before})
		}
	}
}

// endUnserved answers a request that was not served, as the scheduler decided, with the reason of its last
// attempt.
func (l *loop) endUnserved(id uint32, answer proto.Answer) {
	r := l.requests[id]
	if r == nil {
		return
	}
	answer.Reason = r.reason()
	l.resolve(r, answer, nil)
	l.release(r)
}

func (l *loop) cancelAttempt(action scheduler.Cancel) {
	r := l.requests[action.ID]
	if r == nil {
		return
	}
	for _, a := range slices.Clone(r.inFlight) { // abort removes the attempt from r.inFlight
		if a.number == action.Attempt {
			l.abort(a, scheduler.Cancelled)
		}
	}
}

func (l *loop) sendToPeer(action scheduler.SendToPeer) {
	if l.drivers.Peers == nil {
		return
	}
	if err := l.drivers.Peers.Send(action.To, action.Body); err != nil {
		l.shared.log.Debug("peer message not sent", keyError, err)
	}
}
