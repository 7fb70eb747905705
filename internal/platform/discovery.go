package platform

import (
	"bufio"
	"bytes"
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

	"landingpaddle/internal/sched"
	"landingpaddle/internal/wire"
)

const (
	beatWithin  = 2800 * time.Millisecond // a watch says something every 2 s; silent for longer it is dead
	callWithin  = 2 * time.Second         // until discovery's answer begins
	maxList     = 1 << 20                 // bytes of a list, or of one line of a watch
	watchBuffer = 4 << 10
	pathServers = "/v1/servers"
)

// discovery watches and fetches the list. When to ask again after a failure is the module's to say.
type discovery struct {
	core   *sched.Core
	site   *wire.Site
	book   *book
	client *http.Client

	mu     sync.Mutex
	ctx    context.Context
	addr   string
	cancel context.CancelFunc // of the watch that stands; nil: none does
	wg     sync.WaitGroup
}

func newDiscovery(ctx context.Context, core *sched.Core, site *wire.Site, addr string,
	book *book) *discovery {
	dial := &net.Dialer{Timeout: callWithin}
	client := &http.Client{Transport: &http.Transport{DialContext: dial.DialContext, DisableKeepAlives: true,
		ResponseHeaderTimeout: callWithin, MaxResponseHeaderBytes: 16 << 10}}
	client.CheckRedirect = func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }
	return &discovery{core: core, site: site, book: book, ctx: ctx, addr: addr, client: client}
}

// Watch opens the standing watch anew, or ends it.
func (d *discovery) Watch(on bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.cancel != nil {
		d.cancel()
		d.cancel = nil
	}
	if on {
		d.open()
	}
}

// open starts a watch. The lock is held.
func (d *discovery) open() {
	ctx, cancel := context.WithCancel(d.ctx)
	d.cancel = cancel
	addr := d.addr
	d.wg.Go(func() {
		defer cancel()
		err := d.watch(ctx, addr)
		if ctx.Err() == nil {
			d.core.ListFailed(fmt.Errorf("watch: %w", err))
		}
	})
}

// MoveTo lets all calls from now on go to another address; a watch that stands moves there at once.
func (d *discovery) MoveTo(addr string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if addr == d.addr {
		return
	}
	d.addr = addr
	if d.cancel != nil {
		d.cancel()
		d.open()
	}
}

// Fetch asks for the whole list once.
func (d *discovery) Fetch() {
	d.mu.Lock()
	defer d.mu.Unlock()
	addr := d.addr
	d.wg.Go(func() {
		ctx, cancel := context.WithTimeout(d.ctx, callWithin)
		defer cancel()
		if err := d.fetch(ctx, addr); err != nil && d.ctx.Err() == nil {
			d.core.ListFailed(fmt.Errorf("fetch: %w", err))
		}
	})
}

// FetchWhole is Fetch: every fetch is of the whole list.
func (d *discovery) FetchWhole() { d.Fetch() }

func (d *discovery) get(ctx context.Context, url string) (*http.Response, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return nil, err
	}
	resp, err := d.client.Do(req)
	if err != nil {
		return nil, err
	}
	if resp.StatusCode != http.StatusOK {
		resp.Body.Close()
		return nil, fmt.Errorf("discovery answered %s", resp.Status)
	}
	return resp, nil
}

func (d *discovery) fetch(ctx context.Context, addr string) error {
	resp, err := d.get(ctx, "http://"+addr+pathServers)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	doc, err := io.ReadAll(io.LimitReader(resp.Body, maxList+1))
	if err != nil {
		return err
	}
	if len(doc) > maxList {
		return errors.New("the list is too long")
	}
	_, err = d.hear(doc, 0, true)
	return err
}

// hear hands a list or a change of it on; what was fetched is whole whatever it says of itself.
func (d *discovery) hear(doc []byte, since uint64, whole bool) (uint64, error) {
	var l List
	if err := json.Unmarshal(doc, &l); err != nil {
		return 0, err
	}
	l.Reset = l.Reset || whole
	news, err := d.book.news(l, since, d.site)
	if err != nil {
		return 0, err
	}
	d.core.Hear(news)
	return l.Generation, nil
}

// watch follows the list until the watch breaks or falls silent.
func (d *discovery) watch(ctx context.Context, addr string) error {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	_, version := d.core.Held()
	resp, err := d.get(ctx, "http://"+addr+pathServers+"?stream=1&index="+strconv.FormatUint(version, 10))
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	silent := time.AfterFunc(beatWithin, func() { cancel(errors.New("silent for " + beatWithin.String())) })
	defer silent.Stop()
	lines := bufio.NewScanner(resp.Body)
	lines.Buffer(make([]byte, 0, watchBuffer), maxList)
	for lines.Scan() {
		silent.Reset(beatWithin)
		line := bytes.TrimSpace(lines.Bytes())
		if len(line) == 0 {
			continue
		}
		if version, err = d.hear(line, version, false); err != nil {
			return err
		}
	}
	if cause := context.Cause(ctx); cause != nil {
		return cause
	}
	if err := lines.Err(); err != nil {
		return err
	}
	return errors.New("discovery ended it")
}
