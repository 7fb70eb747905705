package platform

import (
	"io"
	"net"
	"sync/atomic"
	"testing"
	"time"
)

// afterDelay is the script of a discovery service that runs another script for each call after a delay.
func afterDelay(delay time.Duration, script discoveryScript) discoveryScript {
	return func(n int, target string, connection net.Conn, ended <-chan struct{}) {
		select {
		case <-time.After(delay):
			script(n, target, connection, ended)
		case <-ended:
		}
	}
}

// Guards against a discovery service that is never heard because each call is given up before its response,
// for a newer call that is as slow. The scheduler must receive the list before it counts as notified of it.
func TestDiscovery_HearsSlowService(t *testing.T) {
	for name, test := range map[string]struct {
		delay  time.Duration // of each call
		change func(string) string
	}{
		"pushed, longer than half of the drain grace": {700 * time.Millisecond, withPushedList(t)},
		"pushed, longer than the drain grace":         {1500 * time.Millisecond, withPushedList(t)},
		"pushed, half of the notification time":       {3 * time.Second, withPushedList(t)},
		"asked for":                                   {1500 * time.Millisecond, nil},
		"asked for, half of the notification time":    {3 * time.Second, nil},
		"asked for, without an initial list":          {1500 * time.Millisecond, withoutInitialList(t)},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			diskServer := newOKDiskServer(t)
			list := listDocument(8, true, drainingServer("s-0", diskServer, 0))
			discovery := newScriptedDiscovery(t, afterDelay(test.delay, watchWithMessage(list)))
			began := time.Now()
			fixture := startGatewayAt(t, discovery.address(), diskServer, test.change)
			fixture.awaitListVersion(8, began.Add(notifiedWithin))
		})
	}
}

// Guards against a discovery service that is never heard as it takes 5 s for each call: writes went on to a
// disk server that had been draining for long. Changes that come once the watch is open are heard at once.
func TestDiscovery_HearsServiceThatTakesSeconds(t *testing.T) {
	const delay, changeAfter = 5 * time.Second, 8 * time.Second
	for name, change := range map[string]func(string) string{"pushed": withPushedList(t), "asked for": nil} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			diskServer := newOKDiskServer(t)
			began := time.Now()
			script := func(_ int, _ string, connection net.Conn, ended <-chan struct{}) {
				writeMessage(connection, listDocument(8, true, listedServer("s-0", diskServer, 0)))
				for isChanged := false; ; {
					select {
					case <-ended:
						return
					case <-time.After(time.Second):
						io.WriteString(connection, chunk("\n"))
					case <-time.After(time.Until(began.Add(changeAfter))):
						if !isChanged {
							change := listDocument(9, false, drainingServer("s-0", diskServer, 0))
							io.WriteString(connection, chunk(change+"\n"))
							isChanged = true
						}
						time.Sleep(time.Second)
					}
				}
			}
			discovery := newScriptedDiscovery(t, afterDelay(delay, script))
			fixture := startGatewayAt(t, discovery.address(), diskServer, change)
			drainGrace := fixture.gateway.config.Site.Settings.DrainGrace
			fixture.awaitListVersion(9, began.Add(changeAfter+drainGrace))
		})
	}
}

// After a reload, a new discovery service that is slow is heard before the scheduler counts as notified of
// its list.
func TestReload_HearsSlowService(t *testing.T) {
	for name, change := range map[string]func(string) string{"pushed": withPushedList(t), "asked for": nil} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			diskServer := newOKDiskServer(t)
			list := listDocument(9, true, listedServer("s-0", diskServer, 0))
			from := newScriptedDiscovery(t, watchWithMessage(listDocument(8, true)))
			to := newScriptedDiscovery(t, afterDelay(1500*time.Millisecond, watchWithMessage(list)))
			fixture := startGatewayAt(t, from.address(), diskServer, change)
			fixture.awaitListVersion(8, time.Now().Add(eventualTimeout))
			reloaded := time.Now()
			fixture.gateway.Reload(parseTestConfig(t, to.address()))
			fixture.awaitListVersion(9, reloaded.Add(notifiedAfterReload))
		})
	}
}

// Once a slow call is answered, its watch is the only one: the calls that wait behind it end, and no others
// follow.
func TestDiscovery_EndsWaitingCallsOnceOneIsAnswered(t *testing.T) {
	diskServer := newOKDiskServer(t)
	var open atomic.Int32
	script := func(n int, _ string, connection net.Conn, ended <-chan struct{}) {
		open.Add(1)
		defer open.Add(-1)
		if n == 0 {
			time.Sleep(700 * time.Millisecond)
			writeMessage(connection, listDocument(8, true, listedServer("s-0", diskServer, 0)))
			<-ended
			return
		}
		io.ReadFull(connection, make([]byte, 1)) // returns once the scheduler ends the call
	}
	discovery := newScriptedDiscovery(t, script)
	fixture := startGatewayAt(t, discovery.address(), diskServer, withPushedList(t))
	eventually(t, "a second call waits", func() bool { return open.Load() == 2 })
	fixture.awaitListVersion(8, time.Now().Add(eventualTimeout))
	eventually(t, "one call is open", func() bool { return open.Load() == 1 })
	calls := discovery.calls()
	time.Sleep(fixture.gateway.config.Site.Settings.DrainGrace)
	if got := discovery.calls(); got != calls || open.Load() != 1 {
		t.Errorf("got %d more calls and %d open, want 0 and 1", got-calls, open.Load())
	}
}

// An open watch keeps reporting while the calls that were made to replace it wait for a slow service.
func TestDiscovery_KeepsWatchUntilNextIsEstablished(t *testing.T) {
	diskServer := newOKDiskServer(t)
	opened, change := make(chan struct{}), make(chan struct{})
	script := func(n int, _ string, connection net.Conn, ended <-chan struct{}) {
		if n == 0 {
			writeMessage(connection, listDocument(8, true, listedServer("s-0", diskServer, 0)))
			<-change
			message := listDocument(9, false, drainingServer("s-0", diskServer, 0))
			io.WriteString(connection, chunk(message+"\n"))
		} else if n == 1 {
			close(opened)
		}
		<-ended
	}
	discovery := newScriptedDiscovery(t, script)
	fixture := startGatewayAt(t, discovery.address(), diskServer, nil)
	fixture.awaitListVersion(8, time.Now().Add(eventualTimeout))
	fixture.gateway.loop.ReportListFailure(errDiscoverySilent) // as that of a fetch
	<-opened
	close(change)
	fixture.awaitListVersion(9, time.Now().Add(eventualTimeout))
}

// Guards against a full list that is never received because each change that does not build on the held list
// cancels the fetch in progress: a service that takes longer for a fetch than between changes must be heard.
// A fetch that began before the last of the changes is followed by another one.
func TestDiscovery_FetchesWhileChangesArrive(t *testing.T) {
	const fetchTime = 1500 * time.Millisecond
	diskServer := newOKDiskServer(t)
	var fetches atomic.Int32
	script := func(_ int, target string, connection net.Conn, ended <-chan struct{}) {
		if !isWatch(target) {
			version := uint64(100 + fetches.Add(1))
			select {
			case <-time.After(fetchTime):
				writeDocument(connection, listDocument(version, true, listedServer("s-0", diskServer, 0)))
			case <-ended:
			}
			return
		}
		io.WriteString(connection, chunkedHead)
		for version := uint64(8); ; version++ {
			if fetches.Load() < 2 { // each change lacks a base until a second fetch has begun
				io.WriteString(connection, chunk(listDocument(version, false)+"\n"))
			}
			select {
			case <-time.After(200 * time.Millisecond):
			case <-ended:
				return
			}
		}
	}
	discovery := newScriptedDiscovery(t, script)
	began := time.Now()
	fixture := startGatewayAt(t, discovery.address(), diskServer, withoutInitialList(t))
	fixture.awaitListVersion(102, began.Add(notifiedWithin))
	if got := fetches.Load(); got != 2 {
		t.Errorf("got %d fetches, want 2", got)
	}
}

// Guards against a failure that nobody reports: a call fails just as its slow timer fires, which then finds
// that the call has ended. The scheduler would call again only after half of its polling time.
func TestDiscovery_ReportsFailureWhenSlowTimerHasFired(t *testing.T) {
	discovery := newDiscovery(t.Context(), nil, nil, "", nil)
	fired := make(chan struct{})
	call := &discoveryCall{ctx: t.Context(), slowTimer: time.AfterFunc(0, func() { close(fired) })}
	discovery.waiting[call] = struct{}{}
	<-fired
	if !discovery.endWatch(call, errWatchEnded) {
		t.Error("got a failure that must not be reported, want one that must")
	}
	fetch := &fetchCall{discoveryCall: &discoveryCall{ctx: t.Context(),
		slowTimer: time.AfterFunc(0, func() {})}}
	discovery.fetch = fetch
	if !discovery.endFetch(fetch, errWatchEnded) {
		t.Error("fetch: got a failure that must not be reported, want one that must")
	}
}
