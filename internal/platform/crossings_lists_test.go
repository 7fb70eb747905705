package platform

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"
)

// toldWithin is after how long what a watch misses counts as told, and toldAfterReload what a new discovery
// has.
const (
	toldWithin      = 6 * time.Second
	toldAfterReload = 4 * time.Second
)

// rawLists is a discovery written byte by byte: script answers the n-th call, and the connection ends with
// it.
type rawLists struct {
	ln  net.Listener
	wg  sync.WaitGroup
	mu  sync.Mutex
	at  []time.Time // of calls
	end chan struct{}
}

func newRawLists(t *testing.T,
	script func(n int, target string, w net.Conn, ended <-chan struct{})) *rawLists {
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	l := &rawLists{ln: ln, end: make(chan struct{})}
	l.wg.Go(func() {
		for n := 0; ; n++ {
			conn, err := ln.Accept()
			if err != nil {
				return
			}
			l.mu.Lock()
			l.at = append(l.at, time.Now())
			l.mu.Unlock()
			l.wg.Go(func() {
				defer conn.Close()
				q, err := http.ReadRequest(bufio.NewReader(conn))
				if err == nil {
					script(n, q.URL.String(), conn, l.end)
				}
			})
		}
	})
	t.Cleanup(func() { close(l.end); ln.Close(); l.wg.Wait() })
	return l
}

func (l *rawLists) calls() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.at)
}

const chunkedHead = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"

func chunk(text string) string { return fmt.Sprintf("%x\r\n%s\r\n", len(text), text) }

// doc is a list in discovery's form.
func doc(generation uint64, whole bool, entries ...ListedServer) string {
	b, err := json.Marshal(List{Generation: generation, Reset: whole, Instances: entries})
	if err != nil {
		panic(err)
	}
	return string(b)
}

// startAt starts a scheduler whose discovery is at an address; its list of the start names one disk server.
func startAt(t *testing.T, discovery string, d *disk, change func(string) string) *rig {
	l := List{Generation: 7, Reset: true, Instances: []ListedServer{listed("s-0", d, 0)}}
	text := string(configDoc(discovery, &l, 256))
	if change != nil {
		text = change(text)
	}
	return launch(t, []byte(text))
}

func (r *rig) holds(version uint64, by time.Time) {
	r.t.Helper()
	for {
		if _, v := r.s.core.ListVersion(); v == version {
			return
		}
		if time.Now().After(by) {
			_, v := r.s.core.ListVersion()
			r.t.Fatalf("version %d is held, not %d", v, version)
		}
		time.Sleep(2 * time.Millisecond)
	}
}

// A watch that falls silent, wherever in what it says, is opened anew in time for what it misses to be known
// before it counts as told, also when the first call after it fails, in whatever way.
func TestSilentWatch(t *testing.T) {
	forever := func(_ net.Conn, ended <-chan struct{}) { <-ended }
	silences := map[string]string{
		"before its head":    "",
		"before its body":    chunkedHead,
		"within a chunk":     chunkedHead + "40\r\n{\"generation\":8,",
		"within a message":   chunkedHead + chunk(`{"generation":8,"reset":true,"instances":[`),
		"behind a message":   chunkedHead + chunk(doc(7, true)+"\n"),
		"behind a heartbeat": chunkedHead + chunk("\n"),
	}
	failures := map[string]func(net.Conn, <-chan struct{}){
		"none":      nil,
		"silent":    forever,
		"refused":   func(w net.Conn, _ <-chan struct{}) { io.WriteString(w, "HTTP/1.1 503 x\r\n\r\n") },
		"a reset":   func(w net.Conn, _ <-chan struct{}) { w.(*net.TCPConn).SetLinger(0) },
		"nonsense":  func(w net.Conn, _ <-chan struct{}) { io.WriteString(w, chunkedHead+chunk("{[")) },
		"half a go": func(w net.Conn, _ <-chan struct{}) { io.WriteString(w, chunkedHead+chunk("{")) },
	}
	for where, said := range silences {
		for how, fail := range failures {
			if where != "behind a message" && how != "none" && how != "silent" {
				continue // the two have nothing to do with each other
			}
			t.Run(where+", then "+how, func(t *testing.T) {
				t.Parallel()
				d := newDisk(t, func(int, *got) []byte { return ok("ok") })
				var mu sync.Mutex
				var silent time.Time
				l := newRawLists(t, func(n int, _ string, w net.Conn, ended <-chan struct{}) {
					switch {
					case n == 0:
						io.WriteString(w, said)
						mu.Lock()
						silent = time.Now()
						mu.Unlock()
						<-ended
					case n == 1 && fail != nil:
						fail(w, ended)
					default:
						io.WriteString(w, chunkedHead+chunk(doc(9, true, listed("s-0", d, 0))+"\n"))
						<-ended
					}
				})
				r := startAt(t, l.ln.Addr().String(), d, nil)
				var by time.Time
				eventually(t, "the first call", func() bool {
					mu.Lock()
					defer mu.Unlock()
					by = silent.Add(toldWithin)
					return !silent.IsZero()
				})
				r.holds(9, by)
			})
		}
	}
}

// Lists come in every form that the protocol allows: whole, as changes, indented, several in one piece, one
// in many, again, and out of turn.
func TestFormsOfLists(t *testing.T) {
	d := newDisk(t, func(int, *got) []byte { return ok("ok") })
	indent := func(text string) string {
		var v any
		if err := json.Unmarshal([]byte(text), &v); err != nil {
			panic(err)
		}
		b, _ := json.MarshalIndent(v, "", "  ")
		return string(b) + "\n"
	}
	drains := listed("s-0", d, 0)
	drains.Lifecycle = "draining"
	for name, pieces := range map[string][]string{
		"indented":             {indent(doc(9, false, drains))},
		"in pieces":            strings.SplitAfter(indent(doc(9, false, drains)), ","),
		"byte by byte":         strings.Split(doc(9, false, drains)+"\n", ""),
		"several at once":      {doc(8, false) + "\n\n" + doc(9, false, drains) + "\n"},
		"again":                {doc(9, false, drains) + "\n" + doc(9, false, drains) + "\n"},
		"an older one after":   {doc(9, true, drains) + "\n" + doc(8, true, listed("s-0", d, 0)) + "\n"},
		"after heartbeats":     {"\n", "\r\n", " \n", doc(9, false, drains) + "\n"},
		"without its last end": {doc(9, false, drains)},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			l := newRawLists(t, func(_ int, _ string, w net.Conn, ended <-chan struct{}) {
				io.WriteString(w, chunkedHead)
				for _, p := range pieces {
					io.WriteString(w, chunk(p))
				}
				<-ended
			})
			r := startAt(t, l.ln.Addr().String(), d, nil)
			r.holds(9, time.Now().Add(time.Second))
			c := r.dial()
			c.send(ask("PUT", "pay", "a1", 0, ""))
			if status, _, _ := c.answer(); status != 503 {
				t.Errorf("%d from a shard whose one disk server drains", status)
			}
			if n := l.calls(); n != 1 {
				t.Errorf("%d calls", n)
			}
		})
	}
}

// A change that builds on a list that is not held is a gap: the whole list is fetched, and a fetch that is
// too long or too slow fails.
func TestGapIsFetched(t *testing.T) {
	d := newDisk(t, func(int, *got) []byte { return ok("ok") })
	l := newRawLists(t, func(_ int, target string, w net.Conn, ended <-chan struct{}) {
		if !strings.Contains(target, "stream") {
			text := doc(9, false, listed("s-0", d, 0))
			fmt.Fprintf(w, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(text), text)
			return
		}
		io.WriteString(w, chunkedHead+chunk(doc(8, false)+"\n"))
		<-ended
	})
	r := startAt(t, l.ln.Addr().String(), d, func(s string) string { // nothing is known at the start
		return replaceOnce(t, s, `"known":{`, `"unknown":{`)
	})
	r.holds(9, time.Now().Add(2*time.Second))
}

// A configuration that moves discovery: the new one is asked at once, whether a watch stood at the old, was
// being opened there, had failed and waited, or a fetch was under way; what the old one still says changes
// nothing.
func TestReloadCrossesCalls(t *testing.T) {
	for name, old := range map[string]func(n int, target string, w net.Conn, ended <-chan struct{}){
		"a watch stands": func(_ int, _ string, w net.Conn, ended <-chan struct{}) {
			io.WriteString(w, chunkedHead+chunk(doc(7, true)+"\n"))
			<-ended
		},
		"a watch is being opened": func(_ int, _ string, _ net.Conn, ended <-chan struct{}) { <-ended },
		"a watch has failed": func(_ int, _ string, w net.Conn, _ <-chan struct{}) {
			io.WriteString(w, "HTTP/1.1 503 x\r\n\r\n")
		},
		"a fetch is under way": func(_ int, target string, w net.Conn, ended <-chan struct{}) {
			if strings.Contains(target, "stream") {
				io.WriteString(w, chunkedHead+chunk(doc(8, false)+"\n"))
			}
			<-ended
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			d := newDisk(t, func(int, *got) []byte { return ok("ok") })
			from := newRawLists(t, old)
			to := newRawLists(t, func(n int, target string, w net.Conn, ended <-chan struct{}) {
				if n == 0 { // the first call to the new one fails
					io.WriteString(w, "HTTP/1.1 503 x\r\n\r\n")
					return
				}
				if !strings.Contains(target, "stream") {
					text := doc(9, true, listed("s-0", d, 0))
					fmt.Fprintf(w, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(text), text)
					return
				}
				io.WriteString(w, chunkedHead+chunk(doc(9, true, listed("s-0", d, 0))+"\n"))
				<-ended
			})
			unknown := func(s string) string { return s }
			if name == "a fetch is under way" {
				unknown = func(s string) string { return replaceOnce(t, s, `"known":{`, `"unknown":{`) }
			}
			r := startAt(t, from.ln.Addr().String(), d, unknown)
			calls := 1
			if name == "a fetch is under way" {
				calls = 2
			}
			eventually(t, "the old one is asked", func() bool { return from.calls() >= calls })
			cfg, err := parse(configDoc(to.ln.Addr().String(), nil, 256), noEnv)
			if err != nil {
				t.Fatal(err)
			}
			reloaded := time.Now()
			r.s.Reload(cfg)
			r.holds(9, reloaded.Add(toldAfterReload))
			before := from.calls()
			r.s.disc.Fetch()
			eventually(t, "the new one is asked again", func() bool { return to.calls() >= 3 })
			if n := from.calls(); n != before {
				t.Errorf("the old one was asked %d times more", n-before)
			}
		})
	}
}

// Where lists are pushed, what the agent has counts as told from the first moment: nothing is served before
// its list is there. An agent that is silent, or not there, holds nobody up for long.
func TestPushedListsComeFirst(t *testing.T) {
	push := func(s string) string {
		return replaceOnce(t, s, `"registry_mode":"ask"`, `"registry_mode":"push"`)
	}
	for name, said := range map[string]string{"an agent": "list", "a silent agent": "",
		"an agent with nothing new": "head", "no agent": "503"} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			d := newDisk(t, func(int, *got) []byte { return ok("ok") })
			let := make(chan struct{})
			drains := listed("s-0", d, 0)
			drains.Lifecycle = "draining"
			l := newRawLists(t, func(_ int, _ string, w net.Conn, ended <-chan struct{}) {
				switch said {
				case "list":
					<-let
					io.WriteString(w, chunkedHead+chunk(doc(8, true, drains)+"\n"))
				case "head":
					io.WriteString(w, chunkedHead)
				case "503":
					io.WriteString(w, "HTTP/1.1 503 x\r\n\r\n")
					return
				}
				<-ended
			})
			r := startAt(t, l.ln.Addr().String(), d, push)
			c := r.dial()
			c.send("GET /healthz HTTP/1.1\r\nHost: a\r\n\r\n" + ask("PUT", "pay", "a1", 0, ""))
			eventually(t, "the agent is asked", func() bool { return l.calls() > 0 })
			if said == "list" && r.s.front.counts.accepted.Load() > 0 {
				t.Error("a client was accepted before the list")
			}
			close(let)
			want := 200
			if said == "list" {
				want = 503
			}
			began := time.Now()
			if status, _, _ := c.answer(); status != 200 {
				t.Errorf("healthz: %d", status)
			}
			if status, _, _ := c.answer(); status != want || time.Since(began) > 3*time.Second {
				t.Errorf("%d after %v; want %d", status, time.Since(began), want)
			}
		})
	}
}

// A scheduler is ready at once where lists are asked for, whatever its discovery does.
func TestReadyWithoutDiscovery(t *testing.T) {
	d := newDisk(t, func(int, *got) []byte { return ok("ok") })
	for name, script := range map[string]func(w net.Conn, ended <-chan struct{}){
		"silent":     func(_ net.Conn, ended <-chan struct{}) { <-ended },
		"overloaded": func(w net.Conn, _ <-chan struct{}) { io.WriteString(w, "HTTP/1.1 503 x\r\n\r\n") },
		"down":       nil,
	} {
		l := newRawLists(t, func(_ int, _ string, w net.Conn, ended <-chan struct{}) { script(w, ended) })
		if script == nil {
			l.ln.Close()
		}
		began := time.Now()
		c := startAt(t, l.ln.Addr().String(), d, nil).dial()
		for status := 0; status != 200; {
			c.send("GET /healthz HTTP/1.1\r\nHost: a\r\n\r\n")
			if status, _, _ = c.answer(); status != 200 && time.Since(began) > time.Second {
				t.Fatalf("discovery %s: %d after %v", name, status, time.Since(began))
			}
		}
		c.send(ask("GET", "read", "a1", 0, ""))
		if status, _, _ := c.answer(); status != 200 {
			t.Errorf("discovery %s: %d", name, status)
		}
	}
}

// Whatever the limit, clients, those that linger, disk servers and what is set aside fit into it together.
func TestBoundsFitTheDescriptors(t *testing.T) {
	for sockets := leastSockets; sockets <= 4096; sockets++ {
		b := boundsOf(&Config{Limits: Limits{Sockets: sockets, MemoryMB: 64}})
		if b.clients+b.lingering+b.nodes+spareSockets > sockets || b.clients < 1 || b.nodes < 1 ||
			b.lingering < 2 {
			t.Fatalf("%d descriptors: %+v and %d set aside", sockets, b, spareSockets)
		}
	}
}

// An agent that is silent while discovery is down, to the calls of that time for good, and has a drain to
// tell the moment discovery is back: it is known within the drain's grace.
func TestPushedListsAfterAnOutage(t *testing.T) {
	d := newDisk(t, func(int, *got) []byte { return ok("ok") })
	back := make(chan struct{})
	drains := listed("s-0", d, 0)
	drains.Lifecycle = "draining"
	l := newRawLists(t, func(n int, _ string, w net.Conn, ended <-chan struct{}) {
		select {
		case <-back:
			io.WriteString(w, chunkedHead+chunk(doc(9, true, drains)+"\n"))
		default:
		}
		<-ended
	})
	r := startAt(t, l.ln.Addr().String(), d, func(s string) string {
		return replaceOnce(t, s, `"registry_mode":"ask"`, `"registry_mode":"push"`)
	})
	eventually(t, "it has been asked for some time", func() bool { return l.calls() > 5 })
	close(back)
	r.holds(9, time.Now().Add(r.s.cfg.Site.Settings.DrainGrace))
}
