package daemon

import (
	"time"

	"landingpaddle/internal/proto"
)

const (
	// maxSubmitDelay is the longest time expected between Admit and Submit of a call.
	maxSubmitDelay = 50 * time.Millisecond
	// submitPollInterval is the interval at which the loop polls the inbox for such calls.
	submitPollInterval = time.Millisecond
)

// failOpenCalls answers all open calls as failed after the shutdown timeout has expired. These include calls
// that were admitted before the stop and are not submitted yet, which would otherwise never be answered.
func (l *loop) failOpenCalls() {
	stopping := proto.Answer{Code: proto.Failed, Reason: ReasonStopping}
	for _, r := range l.requests {
		l.finish(r.call, stopping, nil)
	}
	for end := l.shared.Now() + maxSubmitDelay; ; time.Sleep(submitPollInterval) {
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
