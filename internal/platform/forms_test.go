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

// wireRecorder records the bytes that clients receive.
type wireRecorder struct {
	frontend *frontend
	out      strings.Builder
}

func newWireRecorder(loop *daemon.EventLoop) *wireRecorder {
	limits := resourceLimits{clients: 1, lingering: 1, openRequests: 1}
	return &wireRecorder{frontend: newFrontend(loop, &wire.Site{}, slog.New(slog.DiscardHandler), limits)}
}

// record records the bytes that send writes to a client's connection.
func (r *wireRecorder) record(label string, send func(client *clientConn)) {
	local, remote := net.Pipe()
	sent := make(chan []byte)
	go func() {
		content, _ := io.ReadAll(remote)
		sent <- content
	}()
	limits := http1.Limits{MaxHead: maxClientHead, MaxBody: maxBody}
	send(&clientConn{conn: local, reader: http1.NewReader(local, limits)})
	local.Close()
	fmt.Fprintf(&r.out, "%s: %q\n", label, <-sent)
}

func (r *wireRecorder) recordHealth(label string) {
	r.record(label, func(client *clientConn) { r.frontend.answerHealth(client, true) })
}

func (r *wireRecorder) recordAnswer(answer proto.Answer, isLast bool) {
	label := fmt.Sprintf("answer %d %q after %v, last %t", answer.Code, answer.Reason, answer.RetryAfter,
		isLast)
	r.record(label, func(client *clientConn) {
		request := &inFlightRequest{frontend: r.frontend, client: client, closeAfterAnswer: isLast,
			answered: make(chan struct{})}
		request.writeAnswer(answer, []byte("payload"))
	})
}

// The bytes that clients and disk servers receive must not change: answers by outcome and reason, answers of
// the health endpoint, and the names of header fields, query parameters and paths. testdata/forms.txt
// contains them.
func TestWireFormat_MatchesGoldenFile(t *testing.T) {
	loop := daemon.NewEventLoop(daemon.EventLoopConfig{})
	recorder := newWireRecorder(loop)
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
