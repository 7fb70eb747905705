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
// second call brings the list within the 6 s after which the scheduler counts as notified of what the watch
// missed. The waits between are the scheduler's, under a second in all.
const (
	heartbeatTimeout = 2500 * time.Millisecond // a heartbeat comes every 2 s; without one the watch is dead
	callTimeout      = 1200 * time.Millisecond // until discovery's answer to a call begins
	fetchTimeout     = 2 * time.Second         // until the full list is there
	maxListBytes     = 1 << 20                 // of a list, or of one message of a watch
	maxResponseHead  = 16 << 10                // bytes
	pathServers      = "/v1/servers"
)

var (
	errDiscoverySilent  = errors.New("discovery fell silent")
	errListTooLong      = errors.New("the list is too long")
	errWatchEnded       = errors.New("discovery ended the watch")
	errUnexpectedStatus = errors.New("discovery answered with an unexpected status")
)

// discovery watches and fetches the endpoint list: one watch and one fetch at a time, each in a goroutine
// of its own. When to call again after a failure is the scheduler's to say.
type discovery struct {
	ctx       context.Context // of the gateway; calls end with it
	loop      *daemon.EventLoop
	site      *wire.Site
	addresses *addressTable
	client    *http.Client
	calls     sync.WaitGroup

	firstOutcome chan struct{} // closed once a call has brought a list, or failed
	firstOnce    sync.Once

	mu          sync.Mutex
	address     string // host:port
	watchWanted bool
	cancelWatch context.CancelFunc // of the watch that was opened last
	cancelFetch context.CancelFunc // of the fetch that is under way; nil: there is none
}

var _ daemon.EndpointSource = (*discovery)(nil)

func newDiscovery(ctx context.Context, loop *daemon.EventLoop, site *wire.Site, address string,
	addresses *addressTable) *discovery {
	client := &http.Client{Transport: &http.Transport{DialContext: (&net.Dialer{}).DialContext,
		DisableKeepAlives: true, DisableCompression: true, MaxResponseHeaderBytes: maxResponseHead}}
	client.CheckRedirect = func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }
	return &discovery{ctx: ctx, loop: loop, site: site, address: address, addresses: addresses,
		client: client, firstOutcome: make(chan struct{})}
}

// Watch opens the watch anew, or ends it.
func (d *discovery) Watch(on bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.watchWanted = on
	d.openWatch()
}

// Fetch asks for the full list once, in place of a fetch that is under way.
func (d *discovery) Fetch() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.startFetch()
}

// FetchFull is Fetch: every fetch is of the full list.
func (d *discovery) FetchFull() { d.Fetch() }

// MoveTo directs all calls to another address from now on. What was asked of the old one is asked anew,
// whether a watch stands there, is being opened, or has failed and waits to be opened again.
func (d *discovery) MoveTo(address string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if address == d.address {
		return
	}
	d.address = address
	d.openWatch()
	if d.cancelFetch != nil {
		d.startFetch()
	}
}

// wait returns when all calls have ended, which they do once the gateway's context has.
func (d *discovery) wait() { d.calls.Wait() }

// openWatch ends the watch that stands and starts another if one is wanted. The caller holds d.mu.
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
	address := d.address
	d.calls.Go(func() {
		defer cancel()
		err := d.followList(ctx, address)
		if ctx.Err() == nil { // else another watch has taken its place
			d.reportFailure(fmt.Errorf("watch: %w", err))
		}
	})
}

// startFetch asks for the full list, in place of a fetch that is under way. The caller holds d.mu.
func (d *discovery) startFetch() {
	if d.cancelFetch != nil {
		d.cancelFetch()
	}
	ctx, cancel := context.WithCancel(d.ctx)
	d.cancelFetch = cancel
	address := d.address
	d.calls.Go(func() {
		defer cancel()
		err := d.fetchList(ctx, address)
		d.mu.Lock()
		isReplaced := ctx.Err() != nil
		if !isReplaced {
			d.cancelFetch = nil
		}
		d.mu.Unlock()
		if err != nil && !isReplaced {
			d.reportFailure(fmt.Errorf("fetch: %w", err))
		}
	})
}

// fetchList fetches the full list.
func (d *discovery) fetchList(ctx context.Context, address string) error {
	ctx, cancel := context.WithTimeoutCause(ctx, fetchTimeout, errDiscoverySilent)
	defer cancel()
	response, err := d.call(ctx, "http://"+address+pathServers, fetchTimeout)
	if err != nil {
		return err
	}
	defer response.close()
	response.bytesLeft = maxListBytes
	document, err := io.ReadAll(response)
	if err != nil {
		return err
	}
	var list List
	if err := json.Unmarshal(document, &list); err != nil {
		return err
	}
	list.Reset = true // whatever it states of itself
	return d.applyList(list, 0)
}

// followList follows the list until the watch breaks or falls silent. Messages end with their JSON value, not
// with a line: they may be indented.
func (d *discovery) followList(ctx context.Context, address string) error {
	_, version := d.loop.ListVersion()
	url := "http://" + address + pathServers + "?stream=1&index=" + strconv.FormatUint(version, 10)
	response, err := d.call(ctx, url, heartbeatTimeout)
	if err != nil {
		return err
	}
	defer response.close()
	if version > 0 { // the watch stands: if there is nothing new, heartbeats are all that comes
		d.loop.ReceiveUpdate(endpoints.Update{Version: version, BaseVersion: version})
	}
	for messages := json.NewDecoder(response); ; {
		response.bytesLeft = maxListBytes
		var list List
		switch err := messages.Decode(&list); {
		case errors.Is(err, io.EOF):
			return errWatchEnded
		case err != nil:
			return err
		}
		if err := d.applyList(list, version); err != nil {
			return err
		}
		version = list.Generation
	}
}

// applyList notes a list or a change of it and hands it to the loop.
func (d *discovery) applyList(list List, baseVersion uint64) error {
	update, err := d.addresses.applyList(list, baseVersion, d.site)
	if err != nil {
		return err
	}
	d.loop.ReceiveUpdate(update)
	d.markFirstOutcome()
	return nil
}

func (d *discovery) reportFailure(err error) {
	d.loop.ReportListFailure(err)
	d.markFirstOutcome()
}

func (d *discovery) markFirstOutcome() { d.firstOnce.Do(func() { close(d.firstOutcome) }) }
