package platform

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"landingpaddle/endpoints"
	"landingpaddle/internal/daemon"
	"landingpaddle/internal/wire"
)

// A watch that falls silent, and a first call after it that fails, must both be noticed early enough that a
// second call brings the list within the 6 s after which what the watch missed counts as told. The waits
// between are the module's, under a second in all.
const (
	heartbeatWithin = 2500 * time.Millisecond // a heartbeat comes every 2 s; else it is dead
	callWithin      = 1200 * time.Millisecond // until discovery's answer to a call begins
	fetchWithin     = 2 * time.Second         // until a whole list is there
	maxList         = 1 << 20                 // bytes of a list, or of one message of a watch
	pathServers     = "/v1/servers"
)

// discovery watches and fetches the list. When to ask again after a failure is the module's to say.
type discovery struct {
	core   *daemon.EventLoop
	site   *wire.Site
	book   *book
	client *http.Client
	first  chan struct{} // closed once a call has brought a list, or failed
	once   sync.Once

	mu     sync.Mutex
	ctx    context.Context
	addr   string
	wanted bool               // a watch is to stand
	cancel context.CancelFunc // of the watch that was opened last
	fetch  context.CancelFunc // of the fetch that is under way; nil: none is
	wg     sync.WaitGroup
}

func newDiscovery(ctx context.Context, core *daemon.EventLoop, site *wire.Site, addr string,
	book *book) *discovery {
	client := &http.Client{Transport: &http.Transport{DialContext: (&net.Dialer{}).DialContext,
		DisableKeepAlives: true, DisableCompression: true, MaxResponseHeaderBytes: 16 << 10}}
	client.CheckRedirect = func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }
	return &discovery{core: core, site: site, book: book, ctx: ctx, addr: addr, client: client,
		first: make(chan struct{})}
}

// Watch opens the standing watch anew, or ends it.
func (d *discovery) Watch(on bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.wanted = on
	d.open()
}

// open ends the watch that stands and starts another if one is wanted. The lock is held.
func (d *discovery) open() {
	if d.cancel != nil {
		d.cancel()
		d.cancel = nil
	}
	if !d.wanted {
		return
	}
	ctx, cancel := context.WithCancel(d.ctx)
	d.cancel = cancel
	addr := d.addr
	d.wg.Go(func() {
		defer cancel()
		err := d.watch(ctx, addr)
		if ctx.Err() == nil { // else another has taken its place
			d.failed(fmt.Errorf("watch: %w", err))
		}
	})
}

func (d *discovery) failed(err error) {
	d.core.ReportListFailure(err)
	d.heard()
}

// MoveTo lets all calls go to another address from now on. What was asked of the old one is asked anew,
// whether a watch stands there, is being opened, or has failed and waits to be opened again.
func (d *discovery) MoveTo(addr string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if addr == d.addr {
		return
	}
	d.addr = addr
	d.open()
	if d.fetch != nil {
		d.startFetch()
	}
}

// Fetch asks for the whole list once.
func (d *discovery) Fetch() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.startFetch()
}

// startFetch asks for the whole list, in place of a call that is under way. The lock is held.
func (d *discovery) startFetch() {
	if d.fetch != nil {
		d.fetch()
	}
	ctx, cancel := context.WithCancel(d.ctx)
	d.fetch = cancel
	addr := d.addr
	d.wg.Go(func() {
		defer cancel()
		err := d.whole(ctx, addr)
		d.mu.Lock()
		replaced := ctx.Err() != nil
		if !replaced {
			d.fetch = nil
		}
		d.mu.Unlock()
		if err != nil && !replaced {
			d.failed(fmt.Errorf("fetch: %w", err))
		}
	})
}

// FetchWhole is Fetch: every fetch is of the whole list.
func (d *discovery) FetchFull() { d.Fetch() }

// call begins a call; its answer must begin in time. From then on each byte of the answer gives it life more.
func (d *discovery) call(ctx context.Context, url string, life time.Duration) (*answer, error) {
	ctx, cancel := context.WithCancelCause(ctx)
	a := &answer{ctx: ctx, life: life, cancel: func() { cancel(nil) }}
	a.silence = time.AfterFunc(callWithin, func() { cancel(errSilent) })
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err == nil {
		a.resp, err = d.client.Do(req)
	}
	if err != nil {
		err = a.cause(err)
		a.close()
		return nil, err
	}
	a.silence.Reset(life)
	if a.resp.StatusCode != http.StatusOK {
		a.close()
		return nil, fmt.Errorf("discovery answered %s", a.resp.Status)
	}
	return a, nil
}

// answer is a call's answer. Reading it fails once nothing has come for its life, or when one message of it
// is too long.
type answer struct {
	ctx     context.Context
	cancel  func()
	resp    *http.Response
	life    time.Duration
	silence *time.Timer
	left    int // bytes that the present message may still have
}

var (
	errSilent = errors.New("discovery fell silent")
	errLong   = errors.New("the list is too long")
)

func (a *answer) Read(b []byte) (int, error) {
	n, err := a.resp.Body.Read(b)
	if n > 0 {
		a.silence.Reset(a.life)
		if a.left -= n; a.left < 0 {
			return 0, errLong
		}
	}
	return n, a.cause(err)
}

// cause is why a call really failed, where this side gave it up.
func (a *answer) cause(err error) error {
	if cause := context.Cause(a.ctx); err != nil && cause != nil {
		return cause
	}
	return err
}

func (a *answer) close() {
	a.silence.Stop()
	if a.resp != nil {
		a.resp.Body.Close()
	}
	a.cancel()
}

// whole fetches the whole list.
func (d *discovery) whole(ctx context.Context, addr string) error {
	ctx, cancel := context.WithTimeoutCause(ctx, fetchWithin, errSilent)
	defer cancel()
	a, err := d.call(ctx, "http://"+addr+pathServers, fetchWithin)
	if err != nil {
		return err
	}
	defer a.close()
	a.left = maxList
	doc, err := io.ReadAll(a)
	if err != nil {
		return err
	}
	var l List
	if err := json.Unmarshal(doc, &l); err != nil {
		return err
	}
	l.Reset = true // whatever it says of itself
	return d.hear(l, 0)
}

// hear hands a list or a change of it on.
func (d *discovery) hear(l List, since uint64) error {
	news, err := d.book.news(l, since, d.site)
	if err != nil {
		return err
	}
	d.core.ReceiveUpdate(news)
	d.heard()
	return nil
}

func (d *discovery) heard() { d.once.Do(func() { close(d.first) }) }

// watch follows the list until the watch breaks or falls silent. Its messages are told by their form, not by
// lines: they may come indented.
func (d *discovery) watch(ctx context.Context, addr string) error {
	_, version := d.core.ListVersion()
	a, err := d.call(ctx, "http://"+addr+pathServers+"?stream=1&index="+strconv.FormatUint(version, 10),
		heartbeatWithin)
	if err != nil {
		return err
	}
	defer a.close()
	if version > 0 { // the watch stands: if it has nothing to tell, its heartbeat is all that comes
		d.core.ReceiveUpdate(endpoints.Update{Version: version, BaseVersion: version})
	}
	for messages := json.NewDecoder(a); ; {
		a.left = maxList
		var l List
		switch err := messages.Decode(&l); {
		case errors.Is(err, io.EOF):
			return errors.New("discovery ended it")
		case err != nil:
			return err
		}
		if err := d.hear(l, version); err != nil {
			return err
		}
		version = l.Generation
	}
}
