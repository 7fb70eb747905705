package platform

import (
	"fmt"
	"runtime"
	"testing"
	"time"
)

// serveOnce has one request served on a connection of its own.
func (f *gatewayFixture) serveOnce(i int) {
	f.t.Helper()
	client := f.dial()
	client.send(readText(fmt.Sprintf("a%d", i)))
	if status, _, _ := client.readAnswer(); status != 200 {
		f.t.Fatalf("client %d: %d", i, status)
	}
	client.conn.Close()
}

func heapBytes() uint64 {
	var memory runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&memory)
	return memory.HeapAlloc
}

// Ever new clients, ids and disk servers leave nothing behind.
func TestGateway_ReleasesAllResources(t *testing.T) {
	diskServer := newOKDiskServer(t)
	fixture := startGateway(t, 256, diskServer)
	frontend, upstream := fixture.gateway.frontend, fixture.gateway.upstream
	fixture.discovery.awaitWatches(t, 1)
	for i := range 50 { // until there are as many connections to the disk server as take turns
		fixture.serveOnce(-1 - i)
	}
	openBefore, _ := upstream.countConnections()
	eventually(t, "the first have gone", func() bool {
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
	eventually(t, "all clients have gone", func() bool {
		return frontend.countByState() == connectionCounts{} && runtime.NumGoroutine() <= goroutinesBefore+2
	})
	diskServer.forgetRequests()
	if heapAfter := heapBytes(); heapAfter > heapBefore+(3<<20) {
		t.Errorf("%d bytes of heap before, %d after", heapBefore, heapAfter)
	}
	frontend.mu.Lock()
	defer frontend.mu.Unlock()
	if len(frontend.openIDs) != 0 || frontend.bodyBytes.Load() != 0 {
		t.Errorf("%d ids and %d bytes are still held", len(frontend.openIDs), frontend.bodyBytes.Load())
	}
	if open, _ := upstream.countConnections(); open > openBefore+2 {
		t.Errorf("%d connections to disk servers before, then %d", openBefore, open)
	}
}

// A scheduler that polls for its lists is ready at once, whatever its discovery does.
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
				t.Fatalf("discovery %s: %d after %v", name, status, time.Since(began))
			}
		}
		client.send(readText("a1"))
		if status, _, _ := client.readAnswer(); status != 200 {
			t.Errorf("discovery %s: %d", name, status)
		}
	}
}
