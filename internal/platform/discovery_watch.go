package platform

import (
	"encoding/json"
	"errors"
	"io"
	"strconv"
	"time"

	"landingpaddle/endpoints"
	"landingpaddle/scheduler"
)

// Watch opens the watch, or ends it. An open watch ends once the new one is established, and calls that wait
// for a response go on until one of them is.
func (d *discovery) Watch(call scheduler.WatchEndpoints) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.isWatchEnabled = call.On
	if !call.On {
		d.endWatchCalls()
		return
	}
	d.openWatch(call.ResponseTimeout)
}

// endWatchCalls ends the open watch and all calls that wait. The caller holds d.mu.
func (d *discovery) endWatchCalls() {
	if d.established != nil {
		d.established.cancel()
		d.established = nil
	}
	for call := range d.waiting {
		call.cancel()
	}
	clear(d.waiting)
}

// openWatch starts a call for the watch, which waits until it is established. The caller holds d.mu.
func (d *discovery) openWatch(responseTimeout time.Duration) {
	call := d.newCall("watch")
	d.waiting[call] = struct{}{}
	address := d.address
	d.calls.Go(func() {
		defer call.cancel()
		err := d.followList(call, address, responseTimeout)
		if d.endWatch(call, err) {
			d.reportFailure(call, err)
		}
	})
}

// endWatch removes a call that has ended with an error, and returns whether that has to be reported. It has
// not if the call was replaced or the gateway ends, nor if the call waited in vain or was reported as slow:
// the scheduler has set a time for the next one.
func (d *discovery) endWatch(call *discoveryCall, err error) (mustReport bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	call.stopWaiting()
	delete(d.waiting, call)
	if call.ctx.Err() != nil {
		return false
	}
	if d.established == call {
		d.established = nil
		return true
	}
	return !errors.Is(err, errDiscoverySilent) && !call.isReported
}

// establish makes a call the open watch and ends all others. It returns an error if the call itself was
// ended.
func (d *discovery) establish(call *discoveryCall) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	if err := call.ctx.Err(); err != nil || d.established == call {
		return err
	}
	call.stopWaiting()
	delete(d.waiting, call)
	d.endWatchCalls()
	d.established = call
	return nil
}

// followList applies the messages of a watch until it breaks or nothing arrives for heartbeatTimeout, and
// returns the reason. A message ends with its JSON value, not with a line: it may be indented.
func (d *discovery) followList(call *discoveryCall, address string, responseTimeout time.Duration) error {
	_, version := d.loop.ListVersion()
	url := "http://" + address + pathServers + "?stream=1&index=" + strconv.FormatUint(version, 10)
	response, err := d.call(call.ctx, url, responseTimeout)
	if err != nil {
		return err
	}
	defer response.close()
	response.silenceTimeout = heartbeatTimeout
	if version > 0 { // without changes, only heartbeats arrive
		if err := d.establish(call); err != nil {
			return err
		}
		response.timer.Reset(heartbeatTimeout)
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
		if err := d.establish(call); err != nil {
			return err
		}
		if err := d.applyList(list, version); err != nil {
			return err
		}
		version = list.Generation
	}
}
