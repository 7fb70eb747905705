package platform

import (
	"encoding/json"
	"io"

	"landingpaddle/scheduler"
)

// fetchCall is a fetch of the full list that is in progress.
type fetchCall struct {
	*discoveryCall
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
	fetch := &fetchCall{discoveryCall: d.newCall("fetch")}
	d.fetch = fetch
	address := d.address
	d.calls.Go(func() {
		defer fetch.cancel()
		err := d.fetchList(fetch, address)
		if d.endFetch(fetch, err) {
			d.reportFailure(fetch.discoveryCall, err)
		}
	})
}

// endFetch ends a fetch and starts the one that was requested meanwhile, unless discovery failed: then the
// scheduler decides when to call again. It returns whether a failure has to be reported: not if the fetch was
// replaced or reported already, or the gateway ends.
func (d *discovery) endFetch(fetch *fetchCall, err error) (mustReport bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	fetch.stopWaiting()
	if fetch.ctx.Err() != nil {
		return false
	}
	d.fetch = nil
	if err == nil && fetch.isOutdated {
		d.startFetch()
	}
	return err != nil && !fetch.isReported
}

// fetchList fetches the full list and applies it.
func (d *discovery) fetchList(fetch *fetchCall, address string) error {
	response, err := d.call(fetch.ctx, "http://"+address+pathServers, scheduler.FetchResponseTimeout)
	if err != nil {
		return err
	}
	defer response.close()
	d.mu.Lock()
	fetch.stopWaiting()
	d.mu.Unlock()
	response.timer.Reset(transferTimeout)
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
