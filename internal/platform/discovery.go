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
	heartbeatTimeout = 2500 * time.Millisecond // a heartbeat comes every 2 s; else it is dead
	callTimeout      = 1200 * time.Millisecond // until discovery's answer to a call begins
	fetchTimeout     = 2 * time.Second         // until a whole list is there
	maxListBytes     = 1 << 20                 // bytes of a list, or of one message of a watch
	pathServers      = "/v1/servers"
)

// discovery watches and fetches the list. When to ask again after a failure is the module's to say.
type discovery struct {
	loop         *daemon.EventLoop
	site         *wire.Site
	addresses    *addressTable
	client       *http.Client
	firstOutcome chan struct{} // closed once a call has brought a list, or failed
	firstOnce    sync.Once

	mu          sync.Mutex
	ctx         context.Context
	address     string
	watchWanted bool               // a watch is to stand
	cancelWatch context.CancelFunc // of the watch that was opened last
	cancelFetch context.CancelFunc // of the fetch that is under way; nil: none is
	wg          sync.WaitGroup
}

func newDiscovery(ctx context.Context, core *daemon.EventLoop, site *wire.Site, addr string,
	book *addressTable) *discovery {
	client := &http.Client{Transport: &http.Transport{DialContext: (&net.Dialer{}).DialContext,
		DisableKeepAlives: true, DisableCompression: true, MaxResponseHeaderBytes: 16 << 10}}
	client.CheckRedirect = func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }
	return &discovery{loop: core, site: site, addresses: book, ctx: ctx, address: addr, client: client,
		firstOutcome: make(chan struct{})}
}

// Watch opens the standing watch anew, or ends it.
func (d *discovery) Watch(on bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.watchWanted = on
	d.openWatch()
}

// open ends the watch that stands and starts another if one is wanted. The lock is held.
func (d *discovery) openWatch() {
	if d.cancelWatch != nil {
		d.cancelWatch()
		d.cancelWatch = nil
	}
	if !d.watchWanted {
		return
	}
	ctx, cancel := context.WithCancel(d.ctx)
	d.cancelWatch = cancel
	addr := d.address
	d.wg.Go(func() {
		defer cancel()
		err := d.followList(ctx, addr)
		if ctx.Err() == nil { // else another has taken its place
			d.reportFailure(fmt.Errorf("watch: %w", err))
		}
	})
}

func (d *discovery) reportFailure(err error) {
	d.loop.ReportListFailure(err)
	d.markFirstOutcome()
}

// MoveTo lets all calls go to another address from now on. What was asked of the old one is asked anew,
// whether a watch stands there, is being opened, or has failed and waits to be opened again.
func (d *discovery) MoveTo(addr string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if addr == d.address {
		return
	}
	d.address = addr
	d.openWatch()
	if d.cancelFetch != nil {
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
	if d.cancelFetch != nil {
		d.cancelFetch()
	}
	ctx, cancel := context.WithCancel(d.ctx)
	d.cancelFetch = cancel
	addr := d.address
	d.wg.Go(func() {
		defer cancel()
		err := d.fetchList(ctx, addr)
		d.mu.Lock()
		replaced := ctx.Err() != nil
		if !replaced {
			d.cancelFetch = nil
		}
		d.mu.Unlock()
		if err != nil && !replaced {
			d.reportFailure(fmt.Errorf("fetch: %w", err))
		}
	})
}

// FetchWhole is Fetch: every fetch is of the whole list.
func (d *discovery) FetchFull() { d.Fetch() }

// call begins a call; its answer must begin in time. From then on each byte of the answer gives it life more.
func (d *discovery) call(ctx context.Context, url string, life time.Duration) (*callResponse, error) {
	ctx, cancel := context.WithCancelCause(ctx)
	a := &callResponse{ctx: ctx, silenceTimeout: life, cancel: func() { cancel(nil) }}
	a.silenceTimer = time.AfterFunc(callTimeout, func() { cancel(errDiscoverySilent) })
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err == nil {
		a.response, err = d.client.Do(req)
	}
	if err != nil {
		err = a.cause(err)
		a.close()
		return nil, err
	}
	a.silenceTimer.Reset(life)
	if a.response.StatusCode != http.StatusOK {
		a.close()
		return nil, fmt.Errorf("discovery answered %s", a.response.Status)
	}
	return a, nil
}

// answer is a call's answer. Reading it fails once nothing has come for its life, or when one message of it
// is too long.
type callResponse struct {
	ctx            context.Context
	cancel         func()
	response       *http.Response
	silenceTimeout time.Duration
	silenceTimer   *time.Timer
	bytesLeft      int // bytes that the present message may still have
}

var (
	errDiscoverySilent = errors.New("discovery fell silent")
	errListTooLong     = errors.New("the list is too long")
)

func (a *callResponse) Read(b []byte) (int, error) {
	n, err := a.response.Body.Read(b)
	if n > 0 {
		a.silenceTimer.Reset(a.silenceTimeout)
		if a.bytesLeft -= n; a.bytesLeft < 0 {
			return 0, errListTooLong
		}
	}
	return n, a.cause(err)
}

// cause is why a call really failed, where this side gave it up.
func (a *callResponse) cause(err error) error {
	if cause := context.Cause(a.ctx); err != nil && cause != nil {
		return cause
	}
	return err
}

func (a *callResponse) close() {
	a.silenceTimer.Stop()
	if a.response != nil {
		a.response.Body.Close()
	}
	a.cancel()
}

// whole fetches the whole list.
func (d *discovery) fetchList(ctx context.Context, addr string) error {
	ctx, cancel := context.WithTimeoutCause(ctx, fetchTimeout, errDiscoverySilent)
	defer cancel()
	a, err := d.call(ctx, "http://"+addr+pathServers, fetchTimeout)
	if err != nil {
		return err
	}
	defer a.close()
	a.bytesLeft = maxListBytes
	doc, err := io.ReadAll(a)
	if err != nil {
		return err
	}
	var l List
	if err := json.Unmarshal(doc, &l); err != nil {
		return err
	}
	l.Reset = true // whatever it says of itself
	return d.applyList(l, 0)
}

// hear hands a list or a change of it on.
func (d *discovery) applyList(l List, since uint64) error {
	news, err := d.addresses.applyList(l, since, d.site)
	if err != nil {
		return err
	}
	d.loop.ReceiveUpdate(news)
	d.markFirstOutcome()
	return nil
}

func (d *discovery) markFirstOutcome() { d.firstOnce.Do(func() { close(d.firstOutcome) }) }

// watch follows the list until the watch breaks or falls silent. Its messages are told by their form, not by
// lines: they may come indented.
func (d *discovery) followList(ctx context.Context, addr string) error {
	_, version := d.loop.ListVersion()
	a, err := d.call(ctx, "http://"+addr+pathServers+"?stream=1&index="+strconv.FormatUint(version, 10),
		heartbeatTimeout)
	if err != nil {
		return err
	}
	defer a.close()
	if version > 0 { // the watch stands: if it has nothing to tell, its heartbeat is all that comes
		d.loop.ReceiveUpdate(endpoints.Update{Version: version, BaseVersion: version})
	}
	for messages := json.NewDecoder(a); ; {
		a.bytesLeft = maxListBytes
		var l List
		switch err := messages.Decode(&l); {
		case errors.Is(err, io.EOF):
			return errors.New("discovery ended it")
		case err != nil:
			return err
		}
		if err := d.applyList(l, version); err != nil {
			return err
		}
		version = l.Generation
	}
}
