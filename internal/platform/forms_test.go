package platform

import (
	"fmt"
	"io"
	"log/slog"
	"net"
	"os"
	"strings"
	"testing"
	"time"

	"landingpaddle/internal/daemon"
	"landingpaddle/internal/http1"
	"landingpaddle/internal/proto"
	"landingpaddle/internal/wire"
)

// formsRecorder writes down what clients are sent.
type formsRecorder struct {
	frontend *frontend
	out      strings.Builder
}

func newFormsRecorder(loop *daemon.EventLoop) *formsRecorder {
	limits := resourceLimits{clients: 1, lingering: 1, openRequests: 1}
	return &formsRecorder{frontend: newFrontend(loop, &wire.Site{}, slog.New(slog.DiscardHandler), limits)}
}

// record writes down what a function sends on a client's connection.
func (r *formsRecorder) record(what string, send func(client *clientConn)) {
	here, there := net.Pipe()
	sent := make(chan []byte)
	go func() {
		content, _ := io.ReadAll(there)
		sent <- content
	}()
	limits := http1.Limits{MaxHead: maxClientHead, MaxBody: maxBody}
	send(&clientConn{conn: here, reader: http1.NewReader(here, limits)})
	here.Close()
	fmt.Fprintf(&r.out, "%s: %q\n", what, <-sent)
}

func (r *formsRecorder) recordHealth(what string) {
	r.record(what, func(client *clientConn) { r.frontend.answerHealth(client, true) })
}

func (r *formsRecorder) recordAnswer(answer proto.Answer, isLast bool) {
	what := fmt.Sprintf("answer %d %q after %v, last %t", answer.Code, answer.Reason, answer.RetryAfter,
		isLast)
	r.record(what, func(client *clientConn) {
		request := &inFlightRequest{frontend: r.frontend, client: client, closeWanted: isLast,
			answered: make(chan struct{})}
		request.writeAnswer(answer, []byte("payload"))
	})
}

// What reaches clients and disk servers is spelt out in testdata/forms.txt: answers by outcome and reason,
// what the health endpoint answers, and the names of header fields.
func TestForms_AreWrittenAsPinned(t *testing.T) {
	loop := daemon.NewEventLoop(daemon.EventLoopConfig{})
	recorder := newFormsRecorder(loop)
	recorder.recordHealth("health before the list is there")
	recorder.recordAnswer(proto.Answer{Code: proto.OK}, false)
	recorder.recordAnswer(proto.Answer{Code: proto.OK}, true)
	recorder.recordAnswer(proto.Answer{Code: proto.Rejected, Reason: daemon.ReasonNotInTime,
		RetryAfter: 250 * time.Millisecond}, false)
	recorder.recordAnswer(proto.Answer{Code: proto.Rejected, Reason: daemon.ReasonOverload}, true)
	for _, reason := range []string{daemon.ReasonNodeTimeout, daemon.ReasonNotInTime, daemon.ReasonOverdue,
		daemon.ReasonNodeReset, daemon.ReasonNodeUnreachable, daemon.ReasonNodeError,
		daemon.ReasonNodeOverloaded, daemon.ReasonNotApplicable, daemon.ReasonStopping} {
		recorder.recordAnswer(proto.Answer{Code: proto.Failed, Reason: reason}, false)
	}
	loop.Stop()
	recorder.recordHealth("health while stopping")
	for _, name := range []string{fieldID, fieldClass, fieldPlan, fieldBudget, fieldExtent, fieldRetry,
		fieldKey, queryExtent, pathHealth, fieldMeter, fieldDelta, fieldRejected, pathServers} {
		fmt.Fprintln(&recorder.out, name)
	}
	const path = "testdata/forms.txt"
	want, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	if got := recorder.out.String(); got != string(want) {
		t.Errorf("%s: got\n%s\nwant\n%s", path, got, want)
	}
}
