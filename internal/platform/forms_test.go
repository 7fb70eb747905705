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

// What reaches clients and disk servers is spelt out in testdata/forms.txt: answers by outcome and reason,
// what the health path says, and the names of header fields.
func TestForms_AreWrittenAsPinned(t *testing.T) {
	var out strings.Builder
	core := daemon.NewEventLoop(daemon.EventLoopConfig{})
	frontend := newFrontend(
		core,
		&wire.Site{},
		slog.New(slog.DiscardHandler),
		resourceLimits{clients: 1, lingering: 1, openRequests: 1},
	)
	// written is what a connection is sent by do.
	written := func(what string, do func(connection *clientConn)) {
		here, there := net.Pipe()
		read := make(chan []byte)
		go func() {
			b, _ := io.ReadAll(there)
			read <- b
		}()
		connection := &clientConn{
			conn:   here,
			reader: http1.NewReader(here, http1.Limits{MaxHead: maxClientHead, MaxBody: maxBody}),
		}
		do(connection)
		here.Close()
		fmt.Fprintf(&out, "%s: %q\n", what, <-read)
	}
	written(
		"health before the list is there",
		func(connection *clientConn) { frontend.answerHealth(connection, true) },
	)
	answer := func(a proto.Answer, last bool) {
		what := fmt.Sprintf("answer %d %q after %v, last %t", a.Code, a.Reason, a.RetryAfter, last)
		written(what, func(connection *clientConn) {
			request := &inFlightRequest{
				frontend:    frontend,
				client:      connection,
				closeWanted: last,
				answered:    make(chan struct{}),
			}
			request.writeAnswer(a, []byte("payload"))
		})
	}
	answer(proto.Answer{Code: proto.OK}, false)
	answer(proto.Answer{Code: proto.OK}, true)
	answer(
		proto.Answer{
			Code:       proto.Rejected,
			Reason:     daemon.ReasonNotInTime,
			RetryAfter: 250 * time.Millisecond,
		},
		false,
	)
	answer(proto.Answer{Code: proto.Rejected, Reason: daemon.ReasonOverload}, true)
	for _, reason := range []string{daemon.ReasonNodeTimeout, daemon.ReasonNotInTime, daemon.ReasonOverdue,
		daemon.ReasonNodeReset,
		daemon.ReasonNodeUnreachable, daemon.ReasonNodeError, daemon.ReasonNodeOverloaded,
		daemon.ReasonNotApplicable,
		daemon.ReasonStopping} {
		answer(proto.Answer{Code: proto.Failed, Reason: reason}, false)
	}
	core.Stop()
	written(
		"health while stopping",
		func(connection *clientConn) { frontend.answerHealth(connection, true) },
	)
	for _, name := range []string{fieldID, fieldClass, fieldPlan, fieldBudget, fieldExtent, fieldRetry,
		fieldKey,
		queryExtent, pathHealth, fieldMeter, fieldDelta, fieldRejected, pathServers} {
		fmt.Fprintln(&out, name)
	}
	const path = "testdata/forms.txt"
	want, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	if got := out.String(); got != string(want) {
		t.Errorf("%s: got\n%s\nwant\n%s", path, got, want)
	}
}
