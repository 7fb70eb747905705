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

// notifiedWithin is how long after a watch misses something the scheduler counts as notified of it.
const notifiedWithin = 6 * time.Second

// silentWatch is the script of a discovery whose first call, a watch, falls silent; the second call fails, if
// fail is given, and further ones bring version 9 of the list.
type silentWatch struct {
	said string // before the watch falls silent
	fail discoveryScript
	list string

	mu          sync.Mutex
	silentSince time.Time
}

func (w *silentWatch) script(n int, target string, connection net.Conn, ended <-chan struct{}) {
	switch {
	case n == 0:
		io.WriteString(connection, w.said)
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

// awaitSilence waits until the watch has fallen silent and returns when that was.
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

// A watch that falls silent, at whatever point of its answer, is opened again in time for what it misses to
// be known before the scheduler counts as notified, also when the first call after it fails in whatever
// way.
func TestDiscovery_ReopensSilentWatch(t *testing.T) {
	silences := map[string]string{
		"before its head":    "",
		"before its body":    chunkedHead,
		"within a chunk":     chunkedHead + "40\r\n{\"generation\":8,",
		"within a message":   chunkedHead + chunk(`{"generation":8,"reset":true,"instances":[`),
		"behind a message":   chunkedHead + chunk(listDocument(7, true)+"\n"),
		"behind a heartbeat": chunkedHead + chunk("\n"),
	}
	failures := map[string]discoveryScript{
		"none":    nil,
		"silent":  neverAnswer,
		"refused": answerUnavailable,
		"a reset": func(_ int, _ string, connection net.Conn, _ <-chan struct{}) {
			connection.(*net.TCPConn).SetLinger(0)
		},
		"nonsense": func(_ int, _ string, connection net.Conn, _ <-chan struct{}) {
			io.WriteString(connection, chunkedHead+chunk("{["))
		},
		"half a go": func(_ int, _ string, connection net.Conn, _ <-chan struct{}) {
			io.WriteString(connection, chunkedHead+chunk("{"))
		},
	}
	for where, said := range silences {
		for how, fail := range failures {
			if where != "behind a message" && how != "none" && how != "silent" {
				continue // where the watch fell silent has no bearing on these
			}
			t.Run(where+", then "+how, func(t *testing.T) {
				t.Parallel()
				diskServer := newOKDiskServer(t)
				list := listDocument(9, true, listedServer("s-0", diskServer, 0))
				watch := &silentWatch{said: said, fail: fail, list: list}
				discovery := newScriptedDiscovery(t, watch.script)
				fixture := startGatewayAt(t, discovery.address(), diskServer, nil)
				fixture.awaitListVersion(9, watch.awaitSilence(t).Add(notifiedWithin))
			})
		}
	}
}

// indent is a JSON document as it might be written for a reader.
func indent(t *testing.T, document string) string {
	t.Helper()
	var value any
	if err := json.Unmarshal([]byte(document), &value); err != nil {
		t.Fatal(err)
	}
	indented, _ := json.MarshalIndent(value, "", "  ")
	return string(indented) + "\n"
}

// Lists come in every form that the protocol allows: full, as changes, indented, several in one piece, one in
// many, twice, and out of order.
func TestDiscovery_ReadsEveryFormOfList(t *testing.T) {
	diskServer := newOKDiskServer(t)
	change := listDocument(9, false, drainingServer("s-0", diskServer, 0))
	full := listDocument(9, true, drainingServer("s-0", diskServer, 0))
	older := listDocument(8, true, listedServer("s-0", diskServer, 0))
	for name, pieces := range map[string][]string{
		"indented":             {indent(t, change)},
		"in pieces":            strings.SplitAfter(indent(t, change), ","),
		"byte by byte":         strings.Split(change+"\n", ""),
		"several at once":      {listDocument(8, false) + "\n\n" + change + "\n"},
		"again":                {change + "\n" + change + "\n"},
		"an older one after":   {full + "\n" + older + "\n"},
		"after heartbeats":     {"\n", "\r\n", " \n", change + "\n"},
		"without its last end": {change},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			discovery := newScriptedDiscovery(t, writePieces(pieces))
			fixture := startGatewayAt(t, discovery.address(), diskServer, nil)
			fixture.awaitListVersion(9, time.Now().Add(time.Second))
			client := fixture.dial()
			client.send(payText("a1", ""))
			if status, _, _ := client.readAnswer(); status != 503 {
				t.Errorf("%d from a shard whose one disk server drains", status)
			}
			if n := discovery.calls(); n != 1 {
				t.Errorf("%d calls", n)
			}
		})
	}
}

// writePieces is the script of a watch that brings a text in pieces, a chunk for each, and then nothing more.
func writePieces(pieces []string) discoveryScript {
	return func(_ int, _ string, connection net.Conn, ended <-chan struct{}) {
		io.WriteString(connection, chunkedHead)
		for _, piece := range pieces {
			io.WriteString(connection, chunk(piece))
		}
		<-ended
	}
}

// withoutInitialList removes the initial list from a configuration file.
func withoutInitialList(t *testing.T) func(string) string {
	return func(config string) string { return replaceOnce(t, config, `"known":{`, `"unknown":{`) }
}

// A change that builds on a list that the scheduler does not have is a gap: the full list is fetched.
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

// A disk server that the watch reports as draining is sent nothing more.
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
			t.Fatalf("%d %q", status, body)
		}
	}
	if n := len(old.received()); n != 0 {
		t.Errorf("%d requests went to the draining disk server", n)
	}
}
