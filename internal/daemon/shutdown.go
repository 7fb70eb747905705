package daemon

import (
	"time"

	"landingpaddle/internal/proto"
)

const (
	// maxHandOver is how long a call may be between Admit and Submit.
	maxHandOver = 50 * time.Millisecond
	// handOverPoll is how often the loop looks for such calls.
	handOverPoll = time.Millisecond
)

// failOpenCalls answers all open calls when the shutdown timeout is over. Among them are calls that were
// admitted before the stop and not submitted yet, as they would wait for ever.
func (l *loop) failOpenCalls() {
	stopping := proto.Answer{Code: proto.Failed, Reason: ReasonStopping}
	for _, r := range l.requests {
		l.finish(r.call, stopping, nil)
	}
	for end := l.shared.Now() + maxHandOver; ; time.Sleep(handOverPoll) {
		for _, m := range l.shared.inbox.takeAll(nil) {
			if submitted, ok := m.(callSubmitted); ok {
				l.finish(submitted.call, stopping, nil)
			}
		}
		if l.shared.openCalls.Load() == 0 || l.shared.Now() >= end {
			return
		}
	}
}
