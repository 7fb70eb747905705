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
	d := newDisk(t, func(int, *got) []byte { return ok(answer) })
	r := start(t, 256, d)
	c := r.dial()
	c.send("GET /healthz HTTP/1.1\r\nHost: a\r\n\r\n")
	if status, _, _ := c.answer(); status != 200 {
		t.Fatalf("healthz: %d", status)
	}
	c.send(ask("GET", "read", "a1", 0, ""))
	if status, _, body := c.answer(); status != 200 || body != answer {
		t.Fatalf("read: %d %q", status, body)
	}
	time.Sleep(2 * settled) // so that the connection may be used again
	body := strings.Repeat("x\x00\r\n", 16<<10)
	c.send(ask("PUT", "write", "a2", 0, body, "Idempotency-Key: k"))
	if status, _, got := c.answer(); status != 200 || got != answer {
		t.Fatalf("write: %d %q", status, got)
	}
	for i, want := range []struct{ method, body, id, key string }{{"GET", "", "a1", ""}, {"PUT", body, "a2",
		"k"}} {
		g := d.seen()[i]
		id, _ := g.req.Header.Get("X-Call-Id")
		key, _ := g.req.Header.Get("Idempotency-Key")
		if g.req.Method != want.method || g.req.Target != "/api?extent=7f3a9c21e0b4d655" ||
			string(g.body) != want.body ||
			id != want.id || key != want.key {
			t.Errorf("request %d came as %+v with %d bytes", i, g.req, len(g.body))
		}
		if v, n := g.req.Header.Get("X-Budget"); n != 1 || !(v > "0.3" && v < "1.6") {
			t.Errorf("request %d: X-Budget %q", i, v)
		}
	}
	if g := d.seen(); len(g) != 2 || g[0].conn != g[1].conn {
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
		"interim answers ahead": {append([]byte("HTTP/1.1 102 x\r\n\r\n"), ok("ok")...), "pay", 200, 1},
		"chunked, then unsafe": {[]byte("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\n" +
			"ok\r\n0\r\n\r\n"), "pay", 200, 1},
		"not known, for nothing": {http1.AppendResponse(nil, 404, "x", nil, nil), "pay", 502, 1},
	} {
		t.Run(name, func(t *testing.T) {
			d := newDisk(t, func(n int, _ *got) []byte {
				if n == 0 {
					return c.first
				}
				return ok("ok")
			})
			cl := start(t, 256, d).dial()
			method, more := "PUT", []string(nil)
			if c.class == "read" {
				method = "GET"
			}
			if c.class == "write" {
				more = []string{"Idempotency-Key: k"}
			}
			cl.send(ask(method, c.class, "a1", 0, "", more...))
			status, _, body := cl.answer()
			if status != c.status || (status == 200 && body != "ok") || len(d.seen()) != c.sends {
				t.Errorf("%d %q after %d sends; want %d after %d", status, body, len(d.seen()), c.status,
					c.sends)
			}
		})
	}
}

// An answer that brings more than belongs to it is served, and the next client gets its own answer, not the
// rest of that one.
func TestOverfullAnswer(t *testing.T) {
	d := newDisk(t, func(n int, g *got) []byte {
		id, _ := g.req.Header.Get("X-Call-Id")
		return append(ok(id), ok("second copy of "+id)...)
	})
	c := start(t, 256, d).dial()
	for i := range 5 {
		id := fmt.Sprintf("a%d", i)
		c.send(ask("GET", "read", id, 0, ""))
		if status, _, body := c.answer(); status != 200 || body != id {
			t.Fatalf("%s got %d %q", id, status, body)
		}
		time.Sleep(15 * time.Millisecond)
	}
	for i, g := range d.seen() {
		if g.conn != i {
			t.Errorf("request %d came on connection %d, on which something came unasked", i, g.conn)
		}
	}
}

// A disk server of another shard is never sent the request, and one that cannot be reached counts as never
// run.
func TestOutOfReach(t *testing.T) {
	d := newDisk(t, func(int, *got) []byte { return ok("ok") })
	r := start(t, 256, d)
	d.ln.Close()
	c := r.dial()
	c.send(ask("PUT", "pay", "a1", 0, ""))
	status, h, _ := c.answer()
	if status != 503 || h.Get("X-Reason") == "" || len(d.seen()) != 0 {
		t.Errorf("%d %v; refused with a reason is what is true of a request that never ran", status, h)
	}
}

// A connection that breaks before a request's last byte is written proves that it never ran: what may not be
// repeated is sent again too.
func TestBrokenBeforeTheLastByte(t *testing.T) {
	for class, more := range map[string][]string{"pay": nil, "write": {"Idempotency-Key: k"}} {
		d := newDisk(t, func(int, *got) []byte { return ok("ok") })
		r := start(t, 256, d)
		ours, theirs := net.Pipe()
		n := r.s.nodes
		n.mu.Lock()
		n.idle[serverOf("s-0")] = []*nodeConn{{conn: ours, since: time.Now().Add(-time.Second),
			rd: http1.NewReader(ours, http1.Limits{MaxHead: nodeHead, MaxBody: maxBody})}}
		n.held++
		n.mu.Unlock()
		var wg sync.WaitGroup
		wg.Go(func() {
			theirs.Read(make([]byte, 20))
			theirs.Close()
		})
		c := r.dial()
		c.send(ask("PUT", class, "a1", 0, "hello", more...))
		if status, _, body := c.answer(); status != 200 || body != "ok" || len(d.seen()) != 1 {
			t.Errorf("%s: %d %q after %d whole sends", class, status, body, len(d.seen()))
		}
		wg.Wait()
		if got := r.s.core.Stats.ConnectFailed.Load(); got != 1 {
			t.Errorf("%s: %d attempts counted as never made", class, got)
		}
	}
}

func TestDrainByWatch(t *testing.T) {
	old := newDisk(t, func(int, *got) []byte { return ok("old") })
	next := newDisk(t, func(int, *got) []byte { return ok("next") })
	r := start(t, 256, old)
	r.list.watching(t, 1)
	gone, ready := listed("s-0", old, 0), listed("s-9", next, 0)
	gone.Lifecycle = "draining"
	r.list.change(gone, ready)
	eventually(t, "the change is held", func() bool { _, v := r.s.core.ListVersion(); return v == 8 })
	c := r.dial()
	for i := range 10 {
		c.send(ask("GET", "read", fmt.Sprintf("a%d", i), 0, ""))
		if status, _, body := c.answer(); status != 200 || body != "next" {
			t.Fatalf("%d %q", status, body)
		}
	}
	if n := len(old.seen()); n != 0 {
		t.Errorf("%d requests went to the draining disk server", n)
	}
}

func TestReloadMovesDiscovery(t *testing.T) {
	d := newDisk(t, func(int, *got) []byte { return ok("ok") })
	r := start(t, 256, d)
	r.list.watching(t, 1)
	other := newLists(t, r.list.cur)
	cfg, err := parse(configDoc(other.addr(), nil, 256), noEnv)
	if err != nil {
		t.Fatal(err)
	}
	var wg sync.WaitGroup
	for n := range 4 {
		c := r.dial()
		wg.Go(func() {
			for i := range 50 {
				c.send(ask("GET", "read", fmt.Sprintf("c%d-%d", n, i), 0, ""))
				if status, _, _ := c.answer(); status != 200 {
					t.Errorf("%d during the reload", status)
				}
			}
		})
	}
	r.s.Reload(cfg)
	wg.Wait()
	other.watching(t, 1)
	r.list.watching(t, 0)
}

// After Term clients are served on their connections for as long as there is time before the kill; then all
// that came is answered and the scheduler ends by itself.
func TestTermServesThenEnds(t *testing.T) {
	d := newDisk(t, func(int, *got) []byte { time.Sleep(20 * time.Millisecond); return ok("ok") })
	r := start(t, 256, d)
	last, end := stopTimes(&r.s.cfg.Site.Settings)
	c := r.dial()
	began := time.Now()
	r.s.Shutdown()
	served := 0
	for i := 0; ; i++ {
		if _, err := c.conn.Write([]byte(ask("GET", "read", fmt.Sprintf("a%d", i), 0, ""))); err != nil {
			break
		}
		head, err := c.br.Peek(12)
		if err != nil {
			break // it was closed between requests
		}
		if string(head) == "HTTP/1.1 503" && time.Since(began) >= last {
			break // it came as the scheduler had just stopped taking
		}
		if string(head) != "HTTP/1.1 200" {
			t.Fatalf("%q, %v after the signal", head, time.Since(began))
		}
		_, h, _ := c.answer()
		served++
		if h.Get("Connection") == "close" {
			break
		}
	}
	if d := time.Since(began); served < 10 || d < last-50*time.Millisecond {
		t.Errorf("served %d requests over %v after the signal, not until %v", served, d, last)
	}
	if err := <-r.done; err != nil || time.Since(began) > end+time.Second {
		t.Errorf("ended with %v after %v; all should be over by %v", err, time.Since(began), end)
	}
	r.done <- nil
}

// Clients that cannot be understood get an error at once, and nothing of them reaches a disk server.
func TestMalformedClients(t *testing.T) {
	d := newDisk(t, func(int, *got) []byte { return ok("ok") })
	r := start(t, 256, d)
	good := ask("GET", "read", "a1", 0, "")
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
		"keyed without key": {ask("PUT", "write", "a1", 0, "x"), 400},
		"POST":              {strings.Replace(good, "GET", "POST", 1), 405},
		"GET with a body": {strings.Replace(good, "\r\n\r\n", "\r\nContent-Length: 5\r\n\r\nhello", 1),
			400},
		"body too long": {strings.Replace(ask("PUT", "pay", "a1", 0, ""), "Length: 0",
			"Length: 60000000", 1), 413},
		"hidden request": {strings.Replace(ask("PUT", "pay", "a1", 0, ""), "Length: 0",
			"Length: 4\r\nTransfer-Encoding: chunked", 1) + "0\r\n\r\n" + good, 400},
		"head without end": {"GET /api HTTP/1.1\r\n" +
			strings.Repeat("X-A: aaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa\r\n", 300), 431},
	} {
		cl := r.dial()
		cl.send(c.text)
		status, h, _ := cl.answer()
		if status != c.status || h.Get("Connection") != "close" {
			t.Errorf("%s: %d %v; want %d and a close", name, status, h, c.status)
		}
		if !cl.ended() {
			t.Errorf("%s: the connection goes on", name)
		}
	}
	if n := len(d.seen()); n != 0 {
		t.Errorf("%d of them reached a disk server: %+v", n, d.seen()[0].req)
	}
	c := r.dial()
	c.send(good)
	if status, _, _ := c.answer(); status != 200 {
		t.Errorf("a good client afterwards: %d", status)
	}
}

// The id of an open request is not taken a second time, and the open one goes on.
func TestIDOfOpenRequest(t *testing.T) {
	hold := make(chan struct{})
	d := newDisk(t, func(int, *got) []byte { <-hold; return ok("ok") })
	r := start(t, 256, d)
	a, b := r.dial(), r.dial()
	a.send(ask("GET", "read", "a1", 0, ""))
	eventually(t, "the first is out", func() bool { return len(d.seen()) == 1 })
	b.send(ask("GET", "read", "a1", 0, ""))
	if status, _, _ := b.answer(); status != 409 {
		t.Errorf("the same id: %d", status)
	}
	close(hold)
	if status, _, _ := a.answer(); status != 200 || len(d.seen()) != 1 {
		t.Errorf("the open one: %d after %d sends", status, len(d.seen()))
	}
}

// Requests that come one behind the other on a connection are served in turn.
func TestPipelined(t *testing.T) {
	d := newDisk(t, func(_ int, g *got) []byte {
		id, _ := g.req.Header.Get("X-Call-Id")
		return ok(id)
	})
	c := start(t, 256, d).dial()
	c.send(ask("GET", "read", "a1", 0, "") + ask("PUT", "pay", "a2", 0, "xyz") + ask("GET", "read", "a3", 0,
		""))
	for _, id := range []string{"a1", "a2", "a3"} {
		if status, _, body := c.answer(); status != 200 || body != id {
			t.Fatalf("%s got %d %q", id, status, body)
		}
	}
}

// A client that closes has gone away: its attempt is cancelled by closing the connection to the disk server.
func TestClientLeaves(t *testing.T) {
	broke := make(chan struct{})
	d := newDisk(t, func(int, *got) []byte { <-broke; return nil })
	r := start(t, 256, d)
	defer close(broke)
	c := r.dial()
	c.send(ask("GET", "read", "a1", 0, ""))
	eventually(t, "it is out", func() bool { return len(d.seen()) == 1 })
	c.conn.Close()
	eventually(t, "it has left", func() bool { return r.s.core.Stats.ClientGone.Load() == 1 })
	eventually(t, "no connection is held for it", func() bool {
		r.s.nodes.mu.Lock()
		defer r.s.nodes.mu.Unlock()
		return r.s.nodes.held == 0 && len(r.s.nodes.work) == 0
	})
}

// Hundreds that connect and say nothing, and clients that ask once and keep their connections for good,
// hold up nobody, and all is given back.
func TestCrowd(t *testing.T) {
	d := newDisk(t, func(int, *got) []byte { return ok("ok") })
	r := start(t, 64, d)
	for range 3 * r.s.lim.clients {
		conn, err := net.Dial("tcp4", r.addr)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { conn.Close() })
	}
	time.Sleep(20 * time.Millisecond)
	for i := range 3 * r.s.lim.clients {
		c := r.dial()
		c.send(ask("GET", "read", fmt.Sprintf("a%d", i), 0, ""))
		if status, _, _ := c.answer(); status != 200 {
			t.Fatalf("client %d: %d", i, status)
		}
		if i%(r.s.lim.clients/2) == 0 {
			time.Sleep(idleAtLeast + 50*time.Millisecond)
		}
	}
	eventually(t, "those that idle are closed", func() bool {
		_, _, idle,
			_ := r.s.front.crowd()
		return idle == 0
	})
	eventually(t, "the silent are closed", func() bool {
		silent, _, _,
			_ := r.s.front.crowd()
		return silent == 0
	})
}

// Ever new clients, ids and disk servers leave nothing behind.
func TestNothingStays(t *testing.T) {
	d := newDisk(t, func(int, *got) []byte { return ok("ok") })
	r := start(t, 256, d)
	r.list.watching(t, 1)
	ask1 := func(i int) {
		c := r.dial()
		c.send(ask("GET", "read", fmt.Sprintf("a%d", i), 0, ""))
		if status, _, _ := c.answer(); status != 200 {
			t.Fatalf("client %d: %d", i, status)
		}
		c.conn.Close()
	}
	for i := range 50 { // until there are as many connections to the disk server as take turns
		ask1(-1 - i)
	}
	r.s.nodes.mu.Lock()
	held := r.s.nodes.held
	r.s.nodes.mu.Unlock()
	eventually(t, "the first have gone", func() bool {
		_, _, idle,
			work := r.s.front.crowd()
		return idle+work == 0
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
			gone := listed(fmt.Sprintf("t-%d", i), d, 1)
			r.list.change(gone)
			gone.Lifecycle = "gone"
			r.list.change(gone)
		}
	}
	eventually(t, "all clients have gone", func() bool {
		silent, saying, idle, work := r.s.front.crowd()
		return silent+saying+idle+work == 0 && runtime.NumGoroutine() <= before+2
	})
	d.mu.Lock()
	d.got = nil
	d.mu.Unlock()
	if after := heap(); after > bytes+(3<<20) {
		t.Errorf("%d bytes of heap before, %d after", bytes, after)
	}
	r.s.front.mu.Lock()
	defer r.s.front.mu.Unlock()
	if len(r.s.front.open) != 0 || r.s.front.bodies.Load() != 0 {
		t.Errorf("%d ids and %d bytes are still held", len(r.s.front.open), r.s.front.bodies.Load())
	}
	if r.s.nodes.held > held+2 {
		t.Errorf("%d connections to disk servers were held, then %d", held, r.s.nodes.held)
	}
}

func TestBookForgets(t *testing.T) {
	b, site := newBook(), start(t, 256, newDisk(t, func(int, *got) []byte { return nil })).s.cfg.Site
	e := ListedServer{ID: "s-1", HostPort: "127.0.0.1:1", Zone: "a", MachineType: "m", Lifecycle: "ready"}
	if _, err := b.news(List{Reset: true, Instances: []ListedServer{e}}, 0, &site); err != nil {
		t.Fatal(err)
	}
	if _, err := b.news(List{Reset: true}, 0, &site); err != nil {
		t.Fatal(err)
	}
	if p, known := b.find(serverOf("s-1")); !known || p.goneAt.IsZero() {
		t.Fatalf("%+v, %v: attempts on their way must still find it", p, known)
	}
	p := b.pages[serverOf("s-1")]
	p.goneAt = p.goneAt.Add(-2 * bookKeep)
	b.pages[serverOf("s-1")] = p
	if _, err := b.news(List{Reset: true}, 0, &site); err != nil || len(b.pages) != 0 {
		t.Errorf("%d pages, %v", len(b.pages), err)
	}
	for _, bad := range []ListedServer{{}, {ID: "a", Lifecycle: "odd"}, {ID: "a", Lifecycle: "ready"},
		{ID: "a", HostPort: "b", Lifecycle: "ready", Cell: 1 << 16}, {ID: "a", HostPort: "b",
			Lifecycle: "ready", StartedAtMS: -1}} {
		if _, err := b.news(List{Instances: []ListedServer{bad}}, 0, &site); err == nil {
			t.Errorf("%+v was taken", bad)
		}
	}
	if serverOf("s-1") == serverOf("s-2") || serverOf("s-1") == (scheduler.Server{}) {
		t.Error("ids are not told apart")
	}
}

func TestConfigErrors(t *testing.T) {
	doc := string(configDoc("127.0.0.1:1", nil, 256))
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
		_, err := parse([]byte(strings.Replace(doc, from, to, 1)), noEnv)
		if err == nil || !strings.Contains(err.Error(), want) || strings.Contains(err.Error(), "\n") {
			t.Errorf("%s: %v; want one line with %s", to, err, want)
		}
	}
	env := func(name string) string { return map[string]string{"BALANCER_NAME": "n1"}[name] }
	if _, err := parse([]byte(doc), env); err == nil || !strings.Contains(err.Error(), "BALANCER_NAME") {
		t.Errorf("contradicting variables: %v", err)
	}
	if _, err := Load(noEnv); err == nil || !strings.Contains(err.Error(), "BALANCER_CONFIG") {
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
