package platform

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"

	"landingpaddle/internal/daemon"
	"landingpaddle/internal/wire"
	"landingpaddle/scheduler"
)

// A watch that falls silent, and a first call after it that fails, must both be detected early enough that a
// second call returns the list within the 6 s after which the scheduler counts as notified of the changes
// that the watch missed. The scheduler sets the delays between the calls, under a second in total.
const (
	heartbeatTimeout = 2500 * time.Millisecond // heartbeats arrive every 2 s; a late one ends the watch
	// slowCallTime is the time after which a call without a response is reported as failed, so that the
	// scheduler calls again. The call itself goes on: discovery may be slow.
	slowCallTime    = 1200 * time.Millisecond
	transferTimeout = 2 * time.Second // from the begin of the response to a fetch to its end
	maxListBytes    = 1 << 20         // of a full list, or of one message of a watch
	maxResponseHead = 16 << 10        // bytes of a response's head
	pathServers     = "/v1/servers"
)

var (
	errDiscoverySilent  = errors.New("discovery did not respond in time")
	errListTooLong      = errors.New("endpoint list exceeds the size limit")
	errWatchEnded       = errors.New("discovery ended the watch")
	errUnexpectedStatus = errors.New("discovery answered with an unexpected status")
)

// discovery watches and fetches the endpoint list. The scheduler decides when to open the watch again and how
// long a call may take; a call that still waits for its response is not ended by a later one.
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
	established    *discoveryCall              // the open watch; nil: none
	waiting        map[*discoveryCall]struct{} // calls for the watch that are not established yet
	fetch          *fetchCall                  // in progress; nil: none
}

var _ daemon.EndpointSource = (*discovery)(nil)

func newDiscovery(ctx context.Context, loop *daemon.EventLoop, site *wire.Site, address string,
	addresses *addressTable) *discovery {
	client := &http.Client{Transport: &http.Transport{DialContext: (&net.Dialer{}).DialContext,
		DisableKeepAlives: true, DisableCompression: true, MaxResponseHeaderBytes: maxResponseHead}}
	client.CheckRedirect = func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }
	return &discovery{ctx: ctx, loop: loop, site: site, address: address, addresses: addresses,
		client: client, firstOutcome: make(chan struct{}), waiting: map[*discoveryCall]struct{}{}}
}

// MoveTo directs all further calls to another address. Requests to the old address are sent again to the new
// one, whether a watch is open there, is being opened, or has failed and waits to be opened again.
func (d *discovery) MoveTo(address string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if address == d.address {
		return
	}
	d.address = address
	d.endWatchCalls()
	if d.isWatchEnabled {
		d.openWatch(scheduler.WatchResponseTimeout)
	}
	if d.fetch != nil {
		d.fetch.cancel()
		d.startFetch()
	}
}

// wait blocks until all calls have ended. They end with the gateway's context.
func (d *discovery) wait() { d.calls.Wait() }

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

func (d *discovery) reportFailure(call *discoveryCall, err error) {
	d.loop.ReportListFailure(fmt.Errorf("%s: %w", call.purpose, err))
	d.markFirstOutcome()
}

func (d *discovery) markFirstOutcome() { d.firstOutcomeOnce.Do(func() { close(d.firstOutcome) }) }
