package platform

import (
	"context"
	"net"
	"time"

	"landingpaddle/scheduler"
)

// The times of a graceful shutdown count from the signal. The platform kills the process after the longest
// deadline of a class plus killGrace, or later. Clients continue to use their connections while these stay
// open, so requests are accepted while they can still be answered.
const (
	minAcceptTime      = 550 * time.Millisecond // clients are notified late of a shutdown
	minAnswerTime      = 200 * time.Millisecond // for the requests accepted last
	maxDeadlineCounted = 3 * time.Second        // a longer deadline counts as this
	killGrace          = 700 * time.Millisecond
	killMargin         = 200 * time.Millisecond // from the last answer to the kill; the longest hold-up fits
	exitMargin         = 50 * time.Millisecond  // the process exits this long before the kill
)

// shutdownCauseRequested is the logged cause of a graceful shutdown; the only cause is a call of Shutdown.
const shutdownCauseRequested = "requested"

// shutdownSchedule holds the times of a graceful shutdown, both counted from its start.
type shutdownSchedule struct {
	acceptFor    time.Duration // after this no more requests are accepted
	answerWithin time.Duration // by then every open request has been answered
}

// answerTime returns the time between the last request that is accepted and the last answer.
func (s shutdownSchedule) answerTime() time.Duration { return s.answerWithin - s.acceptFor }

// shutdownScheduleFor derives the schedule from the classes' deadlines and latency objectives.
func shutdownScheduleFor(settings *scheduler.Settings) shutdownSchedule {
	var deadline, objective time.Duration
	for _, class := range settings.Classes {
		deadline = max(deadline, class.Deadline)
		objective = max(objective, class.LatencyObjective)
	}
	answerWithin := max(min(deadline, maxDeadlineCounted)+killGrace-killMargin, minAcceptTime+minAnswerTime)
	// Half of the objective is long enough for most requests, and a request that is rejected here fails for
	// its client either way.
	acceptFor := max(minAcceptTime, answerWithin-max(objective/2, minAnswerTime))
	return shutdownSchedule{acceptFor: acceptFor, answerWithin: answerWithin}
}

// Shutdown starts a graceful shutdown, after which Run returns. It does not wait for that; further calls have
// no effect.
func (g *Gateway) Shutdown() {
	g.shutdownOnce.Do(func() {
		g.shutdownAt = time.Now()
		close(g.shutdown)
	})
}

// exitDeadline returns when a scheduler that is shutting down must have ended, with its lingering
// connections.
func (g *Gateway) exitDeadline() time.Time {
	schedule := shutdownScheduleFor(&g.config.Site.Settings)
	return g.shutdownAt.Add(schedule.answerWithin + killMargin - exitMargin)
}

// runShutdown performs a graceful shutdown once it is requested: clients are served until acceptFor has
// passed, then idle connections close, and the loop ends when every request has its answer.
func (g *Gateway) runShutdown(ctx context.Context, listener net.Listener) {
	select {
	case <-ctx.Done():
		return
	case <-g.shutdown:
	}
	schedule := shutdownScheduleFor(&g.config.Site.Settings)
	g.frontend.keepIdle.Store(true)
	g.log.Info(messageShutdownStarted, attrCause, shutdownCauseRequested,
		attrAcceptFor, schedule.acceptFor, attrAnswerWithin, schedule.answerWithin)
	select {
	case <-ctx.Done():
		return
	case <-time.After(schedule.acceptFor):
	}
	listener.Close()
	g.frontend.closeGracefully()
	g.loop.Stop()
}
