package platform

import (
	"fmt"
	"runtime"
	"testing"
	"time"
)

// serveOnce sends one request on a new connection, and fails the test if it is not served.
func (f *gatewayFixture) serveOnce(i int) {
	f.t.Helper()
	client := f.dial()
	client.send(readText(fmt.Sprintf("a%d", i)))
	if status, _, _ := client.readAnswer(); status != 200 {
		f.t.Fatalf("client %d: got status %d, want 200", i, status)
	}
	client.conn.Close()
}

func heapBytes() uint64 {
	var memory runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&memory)
	return memory.HeapAlloc
}

// Many clients, ids and disk servers, one after another, leave no memory, goroutines or connections in use.
func TestGateway_ReleasesAllResources(t *testing.T) {
	diskServer := newOKDiskServer(t)
	fixture := startGateway(t, 256, diskServer)
	frontend, upstream := fixture.gateway.frontend, fixture.gateway.upstream
	fixture.discovery.awaitWatches(t, 1)
	// The pool alternates between connections, the more the faster requests follow each other. All are opened
	// before: the first answers are slower, and the connections rest for so short a time that they are few.
	upstream.settleTime = 10 * time.Millisecond
	for i := range 400 {
		fixture.serveOnce(-1 - i)
	}
	openBefore, _ := upstream.countConnections()
	eventually(t, "no connection of the first clients is idle or working", func() bool {
		counts := frontend.countByState()
		return counts.idle+counts.working == 0
	})
	goroutinesBefore, heapBefore := runtime.NumGoroutine(), heapBytes()
	for i := range 2000 {
		fixture.serveOnce(i)
		if i%100 == 0 {
			listed := listedServer(fmt.Sprintf("t-%d", i), diskServer, 1)
			fixture.discovery.push(listed)
			listed.Lifecycle = "gone"
			fixture.discovery.push(listed)
		}
	}
	eventually(t, "all clients have disconnected and their goroutines have ended", func() bool {
		return frontend.countByState() == connectionCounts{} && runtime.NumGoroutine() <= goroutinesBefore+2
	})
	diskServer.clearRequests()
	if heapAfter := heapBytes(); heapAfter > heapBefore+(3<<20) {
		t.Errorf("heap before: %d bytes; got %d after, want at most 3 MiB more", heapBefore, heapAfter)
	}
	frontend.ids.mu.Lock()
	defer frontend.ids.mu.Unlock()
	if len(frontend.ids.open) != 0 || frontend.bodyBytes.Load() != 0 {
		t.Errorf("got %d open ids and %d bytes of bodies, want none", len(frontend.ids.open),
			frontend.bodyBytes.Load())
	}
	if open, _ := upstream.countConnections(); open > openBefore+2 {
		t.Errorf("disk server connections before: %d; got %d after, want at most 2 more", openBefore, open)
	}
}

// A scheduler that polls for its lists is ready within 1 s, whatever the state of its discovery service.
func TestGateway_IsReadyWithoutDiscovery(t *testing.T) {
	diskServer := newOKDiskServer(t)
	for name, script := range map[string]discoveryScript{
		"silent":     neverAnswer,
		"overloaded": answerUnavailable,
		"down":       nil,
	} {
		discovery := newScriptedDiscovery(t, script)
		if script == nil {
			discovery.listener.Close()
		}
		began := time.Now()
		client := startGatewayAt(t, discovery.address(), diskServer, nil).dial()
		for status := 0; status != 200; {
			client.send(healthRequest)
			if status, _, _ = client.readAnswer(); status != 200 && time.Since(began) > time.Second {
				t.Fatalf("discovery %s: got status %d after %v, want 200", name, status, time.Since(began))
			}
		}
		client.send(readText("a1"))
		if status, _, _ := client.readAnswer(); status != 200 {
			t.Errorf("discovery %s: got status %d, want 200", name, status)
		}
	}
}
