package platform

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"time"

	"landingpaddle/scheduler"
)

// fetchCall is a fetch of the full list that is in progress.
type fetchCall struct {
	ctx    context.Context
	cancel context.CancelFunc
	// slowTimer reports a fetch whose response has not begun within slowCallTime.
	slowTimer *time.Timer
	// isOutdated is set if another fetch was requested meanwhile: the list may be older than that request.
	isOutdated bool // guarded by discovery.mu
}

// Fetch requests the full list once. If a fetch is in progress, another one follows it.
func (d *discovery) Fetch() {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.fetch != nil {
		d.fetch.isOutdated = true
		return
	}
	d.startFetch()
}

// FetchFull is the same as Fetch: every fetch returns the full list.
func (d *discovery) FetchFull() { d.Fetch() }

// startFetch requests the full list. The caller holds d.mu.
func (d *discovery) startFetch() {
	fetch := &fetchCall{}
	fetch.ctx, fetch.cancel = context.WithCancel(d.ctx)
	d.fetch = fetch
	fetch.slowTimer = time.AfterFunc(slowCallTime, func() {
		if fetch.ctx.Err() == nil {
			d.reportFailure(fmt.Errorf("fetch: %w", errDiscoverySilent))
		}
	})
	address := d.address
	d.calls.Go(func() {
		defer fetch.cancel()
		isSlow, err := d.fetchList(fetch, address)
		if isReplaced := d.endFetch(fetch, err); err != nil && !isReplaced && !isSlow {
			d.reportFailure(fmt.Errorf("fetch: %w", err))
		}
	})
}

// endFetch ends a fetch and starts the one that was requested meanwhile, unless discovery failed: then the
// scheduler decides when to call again. It reports whether the fetch was replaced or the gateway ends.
func (d *discovery) endFetch(fetch *fetchCall, err error) (isReplaced bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if fetch.ctx.Err() != nil {
		return true
	}
	d.fetch = nil
	if fetch.isOutdated && err == nil {
		d.startFetch()
	}
	return false
}

// fetchList fetches the full list and applies it. It returns whether the fetch was reported as slow.
func (d *discovery) fetchList(fetch *fetchCall, address string) (isSlow bool, err error) {
	response, err := d.call(fetch.ctx, "http://"+address+pathServers, scheduler.WatchResponseTimeout)
	isSlow = !fetch.slowTimer.Stop()
	if err != nil {
		return isSlow, err
	}
	defer response.close()
	response.timer.Reset(transferTimeout)
	response.bytesLeft = maxListBytes
	document, err := io.ReadAll(response)
	if err != nil {
		return isSlow, err
	}
	var list List
	if err := json.Unmarshal(document, &list); err != nil {
		return isSlow, err
	}
	list.Reset = true // a fetch returns the full list, whatever the document states
	return isSlow, d.applyList(list, 0)
}
