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

// A watch that falls silent, and a first call after it that fails, must both be detected early enough that a
// second call returns the list within the 6 s after which the scheduler counts as notified of the changes
// that the watch missed. The scheduler sets the delays between the calls, under a second in total.
const (
	heartbeatTimeout     = 2500 * time.Millisecond // heartbeats arrive every 2 s; a late one ends the watch
	discoveryCallTimeout = 1200 * time.Millisecond // until discovery's response to a call begins
	fetchTimeout         = 2 * time.Second         // until the full list has arrived
	maxListBytes         = 1 << 20                 // of a full list, or of one message of a watch
	maxResponseHead      = 16 << 10                // bytes of a response's head
	pathServers          = "/v1/servers"
)

var (
	errDiscoverySilent  = errors.New("discovery did not respond in time")
	errListTooLong      = errors.New("endpoint list exceeds the size limit")
	errWatchEnded       = errors.New("discovery ended the watch")
	errUnexpectedStatus = errors.New("discovery answered with an unexpected status")
)

// discovery watches and fetches the endpoint list: one watch and one fetch at a time, each in its own
// goroutine. The scheduler decides when to call again after a failure.
type discovery struct {
	ctx       context.Context // of the gateway; calls end with it
	loop      *daemon.EventLoop
	site      *wire.Site
	addresses *addressTable
	client    *http.Client
	calls     sync.WaitGroup

	firstOutcome     chan struct{} // closed once a call has returned a list or failed
	firstOutcomeOnce sync.Once

	mu             sync.Mutex
	address        string // host:port
	isWatchEnabled bool
	cancelWatch    context.CancelFunc // of the watch that was opened last
	cancelFetch    context.CancelFunc // of the fetch in progress; nil: none
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

// Watch opens the watch, in place of one that is open, or ends it.
func (d *discovery) Watch(on bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.isWatchEnabled = on
	d.openWatch()
}

// Fetch requests the full list once, in place of a fetch in progress.
func (d *discovery) Fetch() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.startFetch()
}

// FetchFull is the same as Fetch: every fetch returns the full list.
func (d *discovery) FetchFull() { d.Fetch() }

// MoveTo directs all further calls to another address. Requests to the old address are sent again to the new
// one, whether a watch is open there, is being opened, or has failed and waits to be opened again.
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

// wait blocks until all calls have ended. They end with the gateway's context.
func (d *discovery) wait() { d.calls.Wait() }

// openWatch ends the current watch and starts another if isWatchEnabled is set. The caller holds d.mu.
func (d *discovery) openWatch() {
	if d.cancelWatch != nil {
		d.cancelWatch()
		d.cancelWatch = nil
	}
	if !d.isWatchEnabled {
		return
	}
	ctx, cancel := context.WithCancel(d.ctx)
	d.cancelWatch = cancel
	address := d.address
	d.calls.Go(func() {
		defer cancel()
		err := d.followList(ctx, address)
		if ctx.Err() == nil { // else it was replaced, or the gateway ends
			d.reportFailure(fmt.Errorf("watch: %w", err))
		}
	})
}

// startFetch requests the full list, in place of a fetch in progress. The caller holds d.mu.
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

// fetchList fetches the full list and applies it.
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
	list.Reset = true // a fetch returns the full list, whatever the document states
	return d.applyList(list, 0)
}

// followList applies the messages of a watch until it breaks or nothing arrives for heartbeatTimeout, and
// returns the reason. A message ends with its JSON value, not with a line: it may be indented.
func (d *discovery) followList(ctx context.Context, address string) error {
	_, version := d.loop.ListVersion()
	url := "http://" + address + pathServers + "?stream=1&index=" + strconv.FormatUint(version, 10)
	response, err := d.call(ctx, url, heartbeatTimeout)
	if err != nil {
		return err
	}
	defer response.close()
	if version > 0 { // reports that the watch is established: without changes, only heartbeats arrive
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

// applyList records the addresses of a list, or of a change of it, and passes it to the loop.
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

func (d *discovery) markFirstOutcome() { d.firstOutcomeOnce.Do(func() { close(d.firstOutcome) }) }
