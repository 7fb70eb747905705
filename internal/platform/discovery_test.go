package platform

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"testing"
	"time"
)

// notifiedWithin is the time after a watch misses an update within which the scheduler must receive it: after
// that it counts as notified of the update.
const notifiedWithin = 6 * time.Second

// silentWatch is the script of a discovery service whose first call, a watch, falls silent. The second call
// runs fail unless that is nil, and further calls return the list.
type silentWatch struct {
	sent string // sent before the watch falls silent
	fail discoveryScript
	list string // as JSON

	mu          sync.Mutex
	silentSince time.Time
}

func (w *silentWatch) script(n int, target string, connection net.Conn, ended <-chan struct{}) {
	switch {
	case n == 0:
		io.WriteString(connection, w.sent)
		w.mu.Lock()
		w.silentSince = time.Now()
		w.mu.Unlock()
		<-ended
	case n == 1 && w.fail != nil:
		w.fail(n, target, connection, ended)
	default:
		writeMessage(connection, w.list)
		<-ended
	}
}

// awaitSilence waits until the watch has fallen silent and returns the time at which it did.
func (w *silentWatch) awaitSilence(t *testing.T) (since time.Time) {
	t.Helper()
	eventually(t, "the watch has fallen silent", func() bool {
		w.mu.Lock()
		defer w.mu.Unlock()
		since = w.silentSince
		return !since.IsZero()
	})
	return since
}

// A watch that falls silent at any point of its response is reopened early enough that the scheduler receives
// the updates missed before it counts as notified of them, also if the first call after the silence fails in
// any way.
func TestDiscovery_ReopensSilentWatch(t *testing.T) {
	silences := map[string]string{
		"before the head":   "",
		"before the body":   chunkedHead,
		"within a chunk":    chunkedHead + "40\r\n{\"generation\":8,",
		"within a message":  chunkedHead + chunk(`{"generation":8,"reset":true,"instances":[`),
		"after a message":   chunkedHead + chunk(listDocument(7, true)+"\n"),
		"after a heartbeat": chunkedHead + chunk("\n"),
	}
	failures := map[string]discoveryScript{
		"none":        nil,
		"silent":      neverAnswer,
		"unavailable": answerUnavailable,
		"connection reset": func(_ int, _ string, connection net.Conn, _ <-chan struct{}) {
			connection.(*net.TCPConn).SetLinger(0)
		},
		"invalid JSON": func(_ int, _ string, connection net.Conn, _ <-chan struct{}) {
			io.WriteString(connection, chunkedHead+chunk("{["))
		},
		"incomplete JSON": func(_ int, _ string, connection net.Conn, _ <-chan struct{}) {
			io.WriteString(connection, chunkedHead+chunk("{"))
		},
	}
	for silence, sent := range silences {
		for failure, fail := range failures {
			if silence != "after a message" && failure != "none" && failure != "silent" {
				continue // these failures do not depend on where the watch fell silent
			}
			t.Run(silence+", then "+failure, func(t *testing.T) {
				t.Parallel()
				diskServer := newOKDiskServer(t)
				list := listDocument(9, true, listedServer("s-0", diskServer, 0))
				watch := &silentWatch{sent: sent, fail: fail, list: list}
				discovery := newScriptedDiscovery(t, watch.script)
				fixture := startGatewayAt(t, discovery.address(), diskServer, nil)
				fixture.awaitListVersion(9, watch.awaitSilence(t).Add(notifiedWithin))
			})
		}
	}
}

// indent returns a JSON document with indentation and a final newline.
func indent(t *testing.T, document string) string {
	t.Helper()
	var value any
	if err := json.Unmarshal([]byte(document), &value); err != nil {
		t.Fatal(err)
	}
	indented, _ := json.MarshalIndent(value, "", "  ")
	return string(indented) + "\n"
}

// A watch accepts lists in every encoding that the protocol allows: full, as a change, indented, several in
// one chunk, one in many chunks, duplicated, and out of order.
func TestDiscovery_AcceptsEveryEncodingOfList(t *testing.T) {
	diskServer := newOKDiskServer(t)
	change := listDocument(9, false, drainingServer("s-0", diskServer, 0))
	full := listDocument(9, true, drainingServer("s-0", diskServer, 0))
	older := listDocument(8, true, listedServer("s-0", diskServer, 0))
	for name, pieces := range map[string][]string{
		"indented":                {indent(t, change)},
		"in several chunks":       strings.SplitAfter(indent(t, change), ","),
		"byte by byte":            strings.Split(change+"\n", ""),
		"several in one chunk":    {listDocument(8, false) + "\n\n" + change + "\n"},
		"duplicated":              {change + "\n" + change + "\n"},
		"an older version last":   {full + "\n" + older + "\n"},
		"after heartbeats":        {"\n", "\r\n", " \n", change + "\n"},
		"without a final newline": {change},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			discovery := newScriptedDiscovery(t, writePieces(pieces))
			fixture := startGatewayAt(t, discovery.address(), diskServer, nil)
			fixture.awaitListVersion(9, time.Now().Add(time.Second))
			client := fixture.dial()
			client.send(payText("a1", ""))
			if status, _, _ := client.readAnswer(); status != 503 {
				t.Errorf("got status %d from a shard whose only disk server drains, want 503", status)
			}
			if n := discovery.calls(); n != 1 {
				t.Errorf("got %d calls, want 1", n)
			}
		})
	}
}

// writePieces is the script of a watch that sends each piece as one chunk and then stays silent.
func writePieces(pieces []string) discoveryScript {
	return func(_ int, _ string, connection net.Conn, ended <-chan struct{}) {
		io.WriteString(connection, chunkedHead)
		for _, piece := range pieces {
			io.WriteString(connection, chunk(piece))
		}
		<-ended
	}
}

// withoutInitialList returns a function that removes the initial list from a configuration file.
func withoutInitialList(t *testing.T) func(string) string {
	return func(config string) string { return replaceOnce(t, config, `"known":{`, `"unknown":{`) }
}

// A change whose base version the scheduler does not have is a gap: the scheduler fetches the full list.
func TestDiscovery_FetchesFullListAfterGap(t *testing.T) {
	diskServer := newOKDiskServer(t)
	script := func(_ int, target string, connection net.Conn, ended <-chan struct{}) {
		if !isWatch(target) {
			writeDocument(connection, listDocument(9, false, listedServer("s-0", diskServer, 0)))
			return
		}
		writeMessage(connection, listDocument(8, false))
		<-ended
	}
	discovery := newScriptedDiscovery(t, script)
	fixture := startGatewayAt(t, discovery.address(), diskServer, withoutInitialList(t))
	fixture.awaitListVersion(9, time.Now().Add(2*time.Second))
}

// A disk server that the watch reports as draining receives no more requests.
func TestDiscovery_WatchReportsDraining(t *testing.T) {
	old := newFakeDiskServer(t, func(int, *receivedRequest) []byte { return okResponse("old") })
	next := newFakeDiskServer(t, func(int, *receivedRequest) []byte { return okResponse("next") })
	fixture := startGateway(t, 256, old)
	fixture.discovery.awaitWatches(t, 1)
	fixture.discovery.push(drainingServer("s-0", old, 0), listedServer("s-9", next, 0))
	fixture.awaitListVersion(8, time.Now().Add(eventualTimeout))
	client := fixture.dial()
	for i := range 10 {
		client.send(readText(fmt.Sprintf("a%d", i)))
		if status, _, body := client.readAnswer(); status != 200 || body != "next" {
			t.Fatalf("got %d %q, want 200 from the ready disk server", status, body)
		}
	}
	if n := len(old.received()); n != 0 {
		t.Errorf("got %d requests at the draining disk server, want 0", n)
	}
}
