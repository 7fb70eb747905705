package platform

import (
	"bytes"
	"fmt"
	"log/slog"
	"net"
	"runtime"
	"strings"
	"sync"
	"testing"
	"time"

	"landingpaddle/internal/http1"
	"landingpaddle/scheduler"
)

func TestServedUnchanged(t *testing.T) {
	answer := string([]byte{0, 1, 2, '\r', '\n', 255})
	diskServer := newFakeDiskServer(t, func(int, *receivedRequest) []byte { return okResponse(answer) })
	fixture := startGateway(t, 256, diskServer)
	client := fixture.dial()
	client.send("GET /healthz HTTP/1.1\r\nHost: a\r\n\r\n")
	if status, _, _ := client.readAnswer(); status != 200 {
		t.Fatalf("healthz: %d", status)
	}
	client.send(requestText("GET", "read", "a1", 0, ""))
	if status, _, body := client.readAnswer(); status != 200 || body != answer {
		t.Fatalf("read: %d %q", status, body)
	}
	time.Sleep(2 * settleTime) // so that the connection may be used again
	body := strings.Repeat("x\x00\r\n", 16<<10)
	client.send(requestText("PUT", "write", "a2", 0, body, "Idempotency-Key: k"))
	if status, _, got := client.readAnswer(); status != 200 || got != answer {
		t.Fatalf("write: %d %q", status, got)
	}
	for i, want := range []struct{ method, body, id, key string }{{"GET", "", "a1", ""}, {"PUT", body, "a2",
		"k"}} {
		request := diskServer.received()[i]
		id, _ := request.request.Header.Get("X-Call-Id")
		key, _ := request.request.Header.Get("Idempotency-Key")
		if request.request.Method != want.method ||
			request.request.Target != "/api?extent=7f3a9c21e0b4d655" ||
			string(request.body) != want.body ||
			id != want.id ||
			key != want.key {
			t.Errorf("request %d came as %+v with %d bytes", i, request.request, len(request.body))
		}
		if v, n := request.request.Header.Get("X-Budget"); n != 1 || !(v > "0.3" && v < "1.6") {
			t.Errorf("request %d: X-Budget %q", i, v)
		}
	}
	if g := diskServer.received(); len(g) != 2 || g[0].connection != g[1].connection {
		t.Errorf("%d requests; the connection was not kept", len(g))
	}
}

// What proves that it never ran is sent again; what may have run is, where its class allows, and an unsafe
// request never.
func TestAgain(t *testing.T) {
	for name, c := range map[string]struct {
		first  []byte // nil: the connection breaks after the whole request
		class  string
		status int
		sends  int
	}{
		"read turned away": {http1.AppendResponse(nil, 503, "x",
			http1.Header{{Name: "X-Rejected", Value: "1"}}, nil), "read", 200, 2},
		"pay turned away": {http1.AppendResponse(nil, 504, "x",
			http1.Header{{Name: "X-Rejected", Value: "1"}}, nil), "pay", 200, 2},
		"503 without the mark": {http1.AppendResponse(nil, 503, "x", nil, nil), "pay", 502, 1},
		"read broken":          {nil, "read", 200, 2},
		"keyed write broken":   {nil, "write", 200, 2},
		"unsafe broken":        {nil, "pay", 502, 1},
		"unsafe error":         {http1.AppendResponse(nil, 500, "x", nil, nil), "pay", 502, 1},
		"read spoilt":          {[]byte("\x00\x01 noise"), "read", 200, 2},
		"unsafe spoilt": {[]byte("HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\n" +
			strings.Repeat("a", 9000)), "pay", 502, 1},
		"unsafe, two framings": {[]byte("HTTP/1.1 200 OK\r\nContent-Length: 1\r\nContent-Length: 2\r\n" +
			"\r\naa"), "pay", 502, 1},
		"unreadable figures": {http1.AppendResponse(nil, 200, "x",
			http1.Header{{Name: "X-Meter", Value: "-7z"}, {Name: "X-Delta", Value: "1e99"}}, []byte("ok")),
			"pay", 200, 1},
		"interim answers ahead": {append([]byte("HTTP/1.1 102 x\r\n\r\n"), okResponse("ok")...),
			"pay", 200, 1},
		"chunked, then unsafe": {[]byte("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\n" +
			"ok\r\n0\r\n\r\n"), "pay", 200, 1},
		"not known, for nothing": {http1.AppendResponse(nil, 404, "x", nil, nil), "pay", 502, 1},
	} {
		t.Run(name, func(t *testing.T) {
			diskServer := newFakeDiskServer(t, func(n int, _ *receivedRequest) []byte {
				if n == 0 {
					return c.first
				}
				return okResponse("ok")
			})
			client := startGateway(t, 256, diskServer).dial()
			method, more := "PUT", []string(nil)
			if c.class == "read" {
				method = "GET"
			}
			if c.class == "write" {
				more = []string{"Idempotency-Key: k"}
			}
			client.send(requestText(method, c.class, "a1", 0, "", more...))
			status, _, body := client.readAnswer()
			if status != c.status || (status == 200 && body != "ok") ||
				len(diskServer.received()) != c.sends {
				t.Errorf(
					"%d %q after %d sends; want %d after %d",
					status,
					body,
					len(diskServer.received()),
					c.status,
					c.sends,
				)
			}
		})
	}
}

// An answer that brings more than belongs to it is served, and the next client gets its own answer, not the
// rest of that one.
func TestOverfullAnswer(t *testing.T) {
	diskServer := newFakeDiskServer(t, func(n int, request *receivedRequest) []byte {
		id, _ := request.request.Header.Get("X-Call-Id")
		return append(okResponse(id), okResponse("second copy of "+id)...)
	})
	client := startGateway(t, 256, diskServer).dial()
	for i := range 5 {
		id := fmt.Sprintf("a%d", i)
		client.send(requestText("GET", "read", id, 0, ""))
		if status, _, body := client.readAnswer(); status != 200 || body != id {
			t.Fatalf("%s got %d %q", id, status, body)
		}
		time.Sleep(15 * time.Millisecond)
	}
	for i, request := range diskServer.received() {
		if request.connection != i {
			t.Errorf(
				"request %d came on connection %d, on which something came unasked",
				i,
				request.connection,
			)
		}
	}
}

// A disk server of another shard is never sent the request, and one that cannot be reached counts as never
// run.
func TestOutOfReach(t *testing.T) {
	diskServer := newFakeDiskServer(t, func(int, *receivedRequest) []byte { return okResponse("ok") })
	fixture := startGateway(t, 256, diskServer)
	diskServer.listener.Close()
	client := fixture.dial()
	client.send(requestText("PUT", "pay", "a1", 0, ""))
	status, header, _ := client.readAnswer()
	if status != 503 || header.Get("X-Reason") == "" || len(diskServer.received()) != 0 {
		t.Errorf("%d %v; refused with a reason is what is true of a request that never ran", status, header)
	}
}

// A connection that breaks before a request's last byte is written proves that it never ran: what may not be
// repeated is sent again too.
func TestBrokenBeforeTheLastByte(t *testing.T) {
	for class, more := range map[string][]string{"pay": nil, "write": {"Idempotency-Key: k"}} {
		diskServer := newFakeDiskServer(t, func(int, *receivedRequest) []byte { return okResponse("ok") })
		fixture := startGateway(t, 256, diskServer)
		ours, theirs := net.Pipe()
		pool := fixture.gateway.upstream
		pool.mu.Lock()
		pool.idle[serverOf("s-0")] = []*upstreamConn{{conn: ours, idleSince: time.Now().Add(-time.Second),
			reader: http1.NewReader(ours, http1.Limits{MaxHead: maxUpstreamHead, MaxBody: maxBody})}}
		pool.connections++
		pool.mu.Unlock()
		var wg sync.WaitGroup
		wg.Go(func() {
			theirs.Read(make([]byte, 20))
			theirs.Close()
		})
		client := fixture.dial()
		client.send(requestText("PUT", class, "a1", 0, "hello", more...))
		if status, _, body := client.readAnswer(); status != 200 || body != "ok" ||
			len(diskServer.received()) != 1 {
			t.Errorf("%s: %d %q after %d whole sends", class, status, body, len(diskServer.received()))
		}
		wg.Wait()
		if got := fixture.gateway.loop.Stats.ConnectFailed.Load(); got != 1 {
			t.Errorf("%s: %d attempts counted as never made", class, got)
		}
	}
}

func TestDrainByWatch(t *testing.T) {
	old := newFakeDiskServer(t, func(int, *receivedRequest) []byte { return okResponse("old") })
	next := newFakeDiskServer(t, func(int, *receivedRequest) []byte { return okResponse("next") })
	fixture := startGateway(t, 256, old)
	fixture.discovery.awaitWatches(t, 1)
	gone, ready := listedServer("s-0", old, 0), listedServer("s-9", next, 0)
	gone.Lifecycle = "draining"
	fixture.discovery.push(gone, ready)
	eventually(
		t,
		"the change is held",
		func() bool { _, v := fixture.gateway.loop.ListVersion(); return v == 8 },
	)
	client := fixture.dial()
	for i := range 10 {
		client.send(requestText("GET", "read", fmt.Sprintf("a%d", i), 0, ""))
		if status, _, body := client.readAnswer(); status != 200 || body != "next" {
			t.Fatalf("%d %q", status, body)
		}
	}
	if n := len(old.received()); n != 0 {
		t.Errorf("%d requests went to the draining disk server", n)
	}
}

func TestReloadMovesDiscovery(t *testing.T) {
	diskServer := newFakeDiskServer(t, func(int, *receivedRequest) []byte { return okResponse("ok") })
	fixture := startGateway(t, 256, diskServer)
	fixture.discovery.awaitWatches(t, 1)
	other := newFakeDiscovery(t, fixture.discovery.current)
	cfg, err := parseConfig(configDocument(other.address(), nil, 256), noEnvironment)
	if err != nil {
		t.Fatal(err)
	}
	var wg sync.WaitGroup
	for n := range 4 {
		client := fixture.dial()
		wg.Go(func() {
			for i := range 50 {
				client.send(requestText("GET", "read", fmt.Sprintf("c%d-%d", n, i), 0, ""))
				if status, _, _ := client.readAnswer(); status != 200 {
					t.Errorf("%d during the reload", status)
				}
			}
		})
	}
	fixture.gateway.Reload(cfg)
	wg.Wait()
	other.awaitWatches(t, 1)
	fixture.discovery.awaitWatches(t, 0)
}

// After Term clients are served on their connections for as long as there is time before the kill; then all
// that came is answered and the scheduler ends by itself.
func TestTermServesThenEnds(t *testing.T) {
	diskServer := newFakeDiskServer(
		t,
		func(int, *receivedRequest) []byte { time.Sleep(20 * time.Millisecond); return okResponse("ok") },
	)
	fixture := startGateway(t, 256, diskServer)
	schedule := shutdownScheduleFor(&fixture.gateway.config.Site.Settings)
	client := fixture.dial()
	began := time.Now()
	fixture.gateway.Shutdown()
	served := 0
	for i := 0; ; i++ {
		text := requestText("GET", "read", fmt.Sprintf("a%d", i), 0, "")
		if _, err := client.conn.Write([]byte(text)); err != nil {
			break
		}
		head, err := client.reader.Peek(12)
		if err != nil {
			break // it was closed between requests
		}
		if string(head) == "HTTP/1.1 503" && time.Since(began) >= schedule.acceptFor {
			break // it came as the scheduler had just stopped taking
		}
		if string(head) != "HTTP/1.1 200" {
			t.Fatalf("%q, %v after the signal", head, time.Since(began))
		}
		_, header, _ := client.readAnswer()
		served++
		if header.Get("Connection") == "close" {
			break
		}
	}
	if d := time.Since(began); served < 10 || d < schedule.acceptFor-50*time.Millisecond {
		t.Errorf("served %d requests over %v after the signal, not until %v", served, d, schedule.acceptFor)
	}
	if err := <-fixture.done; err != nil || time.Since(began) > schedule.answerWithin+time.Second {
		t.Errorf("ended with %v after %v; all should be over by %v", err, time.Since(began),
			schedule.answerWithin)
	}
	fixture.done <- nil
}

// Clients that cannot be understood get an error at once, and nothing of them reaches a disk server.
func TestMalformedClients(t *testing.T) {
	diskServer := newFakeDiskServer(t, func(int, *receivedRequest) []byte { return okResponse("ok") })
	fixture := startGateway(t, 256, diskServer)
	good := requestText("GET", "read", "a1", 0, "")
	for name, c := range map[string]struct {
		text   string
		status int
	}{
		"noise":               {"\x00\x01\x02\r\n\r\n", 400},
		"unknown class":       {strings.Replace(good, "Class: read", "Class: none", 1), 400},
		"unknown plan":        {strings.Replace(good, "gold", "tin", 1), 400},
		"budget no number":    {strings.Replace(good, "1.500", "soon", 1), 400},
		"budget not a number": {strings.Replace(good, "1.500", "NaN", 1), 400},
		"budget endless":      {strings.Replace(good, "1.500", "Inf", 1), 400},
		"budget negative":     {strings.Replace(good, "1.500", "-1", 1), 400},
		"budget nought":       {strings.Replace(good, "1.500", "0.0", 1), 400},
		"budget hex":          {strings.Replace(good, "1.500", "0x1p3", 1), 400},
		"no id":               {strings.Replace(good, "X-Call-Id: a1\r\n", "", 1), 400},
		"two ids": {strings.Replace(good, "X-Call-Id: a1\r\n",
			"X-Call-Id: a1\r\nX-Call-Id: a2\r\n", 1), 400},
		"extent short":      {strings.Replace(good, "7f3a9c21e0b4d655", "7f", 1), 400},
		"extent twice":      {strings.Replace(good, "d655 ", "d655&extent=7f3a9c21e0b4d655 ", 1), 400},
		"units none":        {strings.Replace(good, "units=2", "units=0", 1), 400},
		"units too many":    {strings.Replace(good, "units=2", "units=7", 1), 400},
		"shard not there":   {strings.Replace(good, "shard=0", "shard=2", 1), 400},
		"hosts too many":    {strings.Replace(good, "hosts=1", "hosts=99", 1), 400},
		"volume twice":      {strings.Replace(good, "units=2", "units=2,units=2", 1), 400},
		"no volume":         {strings.Replace(good, "volume=00000003b4d60021,", "", 1), 400},
		"keyed without key": {requestText("PUT", "write", "a1", 0, "x"), 400},
		"POST":              {strings.Replace(good, "GET", "POST", 1), 405},
		"GET with a body": {strings.Replace(good, "\r\n\r\n", "\r\nContent-Length: 5\r\n\r\nhello", 1),
			400},
		"body too long": {strings.Replace(requestText("PUT", "pay", "a1", 0, ""), "Length: 0",
			"Length: 60000000", 1), 413},
		"hidden request": {strings.Replace(requestText("PUT", "pay", "a1", 0, ""), "Length: 0",
			"Length: 4\r\nTransfer-Encoding: chunked", 1) + "0\r\n\r\n" + good, 400},
		"head without end": {"GET /api HTTP/1.1\r\n" +
			strings.Repeat("X-A: aaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa\r\n", 300), 431},
	} {
		client := fixture.dial()
		client.send(c.text)
		status, header, _ := client.readAnswer()
		if status != c.status || header.Get("Connection") != "close" {
			t.Errorf("%s: %d %v; want %d and a close", name, status, header, c.status)
		}
		if !client.isClosed() {
			t.Errorf("%s: the connection goes on", name)
		}
	}
	if n := len(diskServer.received()); n != 0 {
		t.Errorf("%d of them reached a disk server: %+v", n, diskServer.received()[0].request)
	}
	client := fixture.dial()
	client.send(good)
	if status, _, _ := client.readAnswer(); status != 200 {
		t.Errorf("a good client afterwards: %d", status)
	}
}

// The id of an open request is not taken a second time, and the open one goes on.
func TestIDOfOpenRequest(t *testing.T) {
	hold := make(chan struct{})
	diskServer := newFakeDiskServer(
		t,
		func(int, *receivedRequest) []byte { <-hold; return okResponse("ok") },
	)
	fixture := startGateway(t, 256, diskServer)
	first, second := fixture.dial(), fixture.dial()
	first.send(requestText("GET", "read", "a1", 0, ""))
	eventually(t, "the first is out", func() bool { return len(diskServer.received()) == 1 })
	second.send(requestText("GET", "read", "a1", 0, ""))
	if status, _, _ := second.readAnswer(); status != 409 {
		t.Errorf("the same id: %d", status)
	}
	close(hold)
	if status, _, _ := first.readAnswer(); status != 200 || len(diskServer.received()) != 1 {
		t.Errorf("the open one: %d after %d sends", status, len(diskServer.received()))
	}
}

// Requests that come one behind the other on a connection are served in turn.
func TestPipelined(t *testing.T) {
	diskServer := newFakeDiskServer(t, func(_ int, request *receivedRequest) []byte {
		id, _ := request.request.Header.Get("X-Call-Id")
		return okResponse(id)
	})
	client := startGateway(t, 256, diskServer).dial()
	client.send(
		requestText(
			"GET",
			"read",
			"a1",
			0,
			"",
		) + requestText(
			"PUT",
			"pay",
			"a2",
			0,
			"xyz",
		) + requestText(
			"GET",
			"read",
			"a3",
			0,
			"",
		),
	)
	for _, id := range []string{"a1", "a2", "a3"} {
		if status, _, body := client.readAnswer(); status != 200 || body != id {
			t.Fatalf("%s got %d %q", id, status, body)
		}
	}
}

// A client that closes has gone away: its attempt is cancelled by closing the connection to the disk server.
func TestClientLeaves(t *testing.T) {
	broke := make(chan struct{})
	diskServer := newFakeDiskServer(t, func(int, *receivedRequest) []byte { <-broke; return nil })
	fixture := startGateway(t, 256, diskServer)
	defer close(broke)
	client := fixture.dial()
	client.send(requestText("GET", "read", "a1", 0, ""))
	eventually(t, "it is out", func() bool { return len(diskServer.received()) == 1 })
	client.conn.Close()
	eventually(t, "it has left", func() bool { return fixture.gateway.loop.Stats.ClientGone.Load() == 1 })
	eventually(t, "no connection is held for it", func() bool {
		fixture.gateway.upstream.mu.Lock()
		defer fixture.gateway.upstream.mu.Unlock()
		return fixture.gateway.upstream.connections == 0 && len(fixture.gateway.upstream.attempts) == 0
	})
}

// Hundreds that connect and say nothing, and clients that ask once and keep their connections for good,
// hold up nobody, and all is given back.
func TestCrowd(t *testing.T) {
	diskServer := newFakeDiskServer(t, func(int, *receivedRequest) []byte { return okResponse("ok") })
	fixture := startGateway(t, 64, diskServer)
	for range 3 * fixture.gateway.limits.clients {
		conn, err := net.Dial("tcp4", fixture.address)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { conn.Close() })
	}
	time.Sleep(20 * time.Millisecond)
	for i := range 3 * fixture.gateway.limits.clients {
		client := fixture.dial()
		client.send(requestText("GET", "read", fmt.Sprintf("a%d", i), 0, ""))
		if status, _, _ := client.readAnswer(); status != 200 {
			t.Fatalf("client %d: %d", i, status)
		}
		if i%(fixture.gateway.limits.clients/2) == 0 {
			time.Sleep(evictIdleAfter + 50*time.Millisecond)
		}
	}
	eventually(t, "those that idle are closed", func() bool {
		return fixture.gateway.frontend.countByState().idle == 0
	})
	eventually(t, "the silent are closed", func() bool {
		return fixture.gateway.frontend.countByState().silent == 0
	})
}

// Ever new clients, ids and disk servers leave nothing behind.
func TestNothingStays(t *testing.T) {
	diskServer := newFakeDiskServer(t, func(int, *receivedRequest) []byte { return okResponse("ok") })
	fixture := startGateway(t, 256, diskServer)
	fixture.discovery.awaitWatches(t, 1)
	ask1 := func(i int) {
		client := fixture.dial()
		client.send(requestText("GET", "read", fmt.Sprintf("a%d", i), 0, ""))
		if status, _, _ := client.readAnswer(); status != 200 {
			t.Fatalf("client %d: %d", i, status)
		}
		client.conn.Close()
	}
	for i := range 50 { // until there are as many connections to the disk server as take turns
		ask1(-1 - i)
	}
	fixture.gateway.upstream.mu.Lock()
	held := fixture.gateway.upstream.connections
	fixture.gateway.upstream.mu.Unlock()
	eventually(t, "the first have gone", func() bool {
		counts := fixture.gateway.frontend.countByState()
		return counts.idle+counts.working == 0
	})
	heap := func() uint64 {
		var m runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&m)
		return m.HeapAlloc
	}
	before, bytes := runtime.NumGoroutine(), heap()
	for i := range 2000 {
		ask1(i)
		if i%100 == 0 {
			gone := listedServer(fmt.Sprintf("t-%d", i), diskServer, 1)
			fixture.discovery.push(gone)
			gone.Lifecycle = "gone"
			fixture.discovery.push(gone)
		}
	}
	eventually(t, "all clients have gone", func() bool {
		return fixture.gateway.frontend.countByState() == connectionCounts{} &&
			runtime.NumGoroutine() <= before+2
	})
	diskServer.mu.Lock()
	diskServer.requests = nil
	diskServer.mu.Unlock()
	if after := heap(); after > bytes+(3<<20) {
		t.Errorf("%d bytes of heap before, %d after", bytes, after)
	}
	fixture.gateway.frontend.mu.Lock()
	defer fixture.gateway.frontend.mu.Unlock()
	if len(fixture.gateway.frontend.openIDs) != 0 || fixture.gateway.frontend.bodyBytes.Load() != 0 {
		t.Errorf(
			"%d ids and %d bytes are still held",
			len(fixture.gateway.frontend.openIDs),
			fixture.gateway.frontend.bodyBytes.Load(),
		)
	}
	if fixture.gateway.upstream.connections > held+2 {
		t.Errorf(
			"%d connections to disk servers were held, then %d",
			held,
			fixture.gateway.upstream.connections,
		)
	}
}

func TestBookForgets(t *testing.T) {
	table, site := newAddressTable(), startGateway(
		t,
		256,
		newFakeDiskServer(t, func(int, *receivedRequest) []byte { return nil }),
	).gateway.config.Site
	server := ListedServer{
		ID:          "s-1",
		HostPort:    "127.0.0.1:1",
		Zone:        "a",
		MachineType: "m",
		Lifecycle:   "ready",
	}
	if _, err := table.applyList(List{Reset: true, Instances: []ListedServer{server}}, 0, &site); err != nil {
		t.Fatal(err)
	}
	if _, err := table.applyList(List{Reset: true}, 0, &site); err != nil {
		t.Fatal(err)
	}
	if p, known := table.find(serverOf("s-1")); !known || p.goneAt.IsZero() {
		t.Fatalf("%+v, %v: attempts on their way must still find it", p, known)
	}
	p := table.entries[serverOf("s-1")]
	p.goneAt = p.goneAt.Add(-2 * goneRetention)
	table.entries[serverOf("s-1")] = p
	if _, err := table.applyList(List{Reset: true}, 0, &site); err != nil || len(table.entries) != 0 {
		t.Errorf("%d pages, %v", len(table.entries), err)
	}
	for _, bad := range []ListedServer{{}, {ID: "a", Lifecycle: "odd"}, {ID: "a", Lifecycle: "ready"},
		{ID: "a", HostPort: "b", Lifecycle: "ready", Cell: 1 << 16}, {ID: "a", HostPort: "b",
			Lifecycle: "ready", StartedAtMS: -1}} {
		if _, err := table.applyList(List{Instances: []ListedServer{bad}}, 0, &site); err == nil {
			t.Errorf("%+v was taken", bad)
		}
	}
	if serverOf("s-1") == serverOf("s-2") || serverOf("s-1") == (scheduler.Server{}) {
		t.Error("ids are not told apart")
	}
}

func TestConfigErrors(t *testing.T) {
	doc := string(configDocument("127.0.0.1:1", nil, 256))
	for change, want := range map[string]string{
		`"listen":"127.0.0.1:0"|"listen":"here"`:      `"listen"`,
		`"discovery":"127.0.0.1:1"|"discovery":"x"`:   `"discovery"`,
		`"seed":"1f"|"seed":"zz"`:                     `"seed"`,
		`"sockets":256|"sockets":8`:                   `limits.sockets`,
		`"worth":2|"worth":"much"`:                    `classes.0.worth`,
		`"settings":|"other":`:                        `"settings"`,
		`"name":"n0"|"name":5`:                        `name`,
		`"registry_mode":"ask"|"registry_mode":"say"`: `registry_mode`,
	} {
		from, to, _ := strings.Cut(change, "|")
		if !strings.Contains(doc, from) {
			t.Fatalf("%s is not in the document", from)
		}
		_, err := parseConfig([]byte(strings.Replace(doc, from, to, 1)), noEnvironment)
		if err == nil || !strings.Contains(err.Error(), want) || strings.Contains(err.Error(), "\n") {
			t.Errorf("%s: %v; want one line with %s", to, err, want)
		}
	}
	env := func(name string) string { return map[string]string{"BALANCER_NAME": "n1"}[name] }
	if _, err := parseConfig([]byte(doc), env); err == nil ||
		!strings.Contains(err.Error(), "BALANCER_NAME") {
		t.Errorf("contradicting variables: %v", err)
	}
	if _, err := Load(noEnvironment); err == nil || !strings.Contains(err.Error(), "BALANCER_CONFIG") {
		t.Errorf("no variable: %v", err)
	}
	if !bytes.Contains([]byte(doc), []byte("limits")) {
		t.Error("the document names no limits")
	}
}

func TestExampleLoads(t *testing.T) {
	cfg, err := Load(func(name string) string {
		return map[string]string{"BALANCER_CONFIG": "../../examples/platform.json"}[name]
	})
	if err != nil {
		t.Fatal(err)
	}
	if _, err := New(cfg, slog.New(slog.DiscardHandler)); err != nil {
		t.Fatal(err)
	}
}
