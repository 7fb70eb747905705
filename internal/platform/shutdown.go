package platform

import (
	"context"
	"net"
	"time"

	"landingpaddle/scheduler"
)

// A graceful shutdown counts from the signal. The platform kills the process no sooner than killGrace after
// the longest deadline. Clients go on using their connections for as long as these stay open, so requests
// are accepted for as long as they can still be answered.
const (
	minAcceptTime      = 550 * time.Millisecond // clients learn late of a shutdown
	minAnswerTime      = 200 * time.Millisecond // for what was accepted last
	maxDeadlineCounted = 3 * time.Second        // a longer deadline counts as this
	killGrace          = 700 * time.Millisecond
	killMargin         = 100 * time.Millisecond // before the kill all requests are answered
	exitMargin         = killMargin / 2         // before the kill the process ends
)

// shutdownCauseRequested is how the log names the one cause of a graceful shutdown: a call of Shutdown.
const shutdownCauseRequested = "requested"

// shutdownSchedule is the course of a graceful shutdown; both times count from its start.
type shutdownSchedule struct {
	acceptFor    time.Duration // then no more requests are accepted
	answerWithin time.Duration // then every open request has been answered
}

// answerTime is the time between the last request that is accepted and the last answer.
func (s shutdownSchedule) answerTime() time.Duration { return s.answerWithin - s.acceptFor }

// shutdownScheduleFor works the schedule out from the classes' deadlines and latency objectives.
func shutdownScheduleFor(settings *scheduler.Settings) shutdownSchedule {
	var deadline, objective time.Duration
	for _, class := range settings.Classes {
		deadline = max(deadline, class.Deadline)
		objective = max(objective, class.LatencyObjective)
	}
	answerWithin := max(min(deadline, maxDeadlineCounted)+killGrace-killMargin, minAcceptTime+minAnswerTime)
	// Half of the objective is enough for most requests, and a request that is refused here is lost to its
	// client either way.
	acceptFor := max(minAcceptTime, answerWithin-max(objective/2, minAnswerTime))
	return shutdownSchedule{acceptFor: acceptFor, answerWithin: answerWithin}
}

// Shutdown begins a graceful shutdown, after which Run returns. It does not wait for that; further calls do
// nothing.
func (g *Gateway) Shutdown() {
	g.shutdownOnce.Do(func() {
		g.shutdownAt = time.Now()
		close(g.shutdown)
	})
}

// exitDeadline is when a scheduler that is shutting down has to have ended, lingering connections included.
func (g *Gateway) exitDeadline() time.Time {
	schedule := shutdownScheduleFor(&g.config.Site.Settings)
	return g.shutdownAt.Add(schedule.answerWithin + exitMargin)
}

// runShutdown carries a graceful shutdown out once it is asked for: clients are served for as long as there
// is time, then idle connections close, and the loop ends when every request has its answer.
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
