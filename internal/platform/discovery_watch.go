package platform

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"strconv"
	"time"

	"landingpaddle/endpoints"
	"landingpaddle/scheduler"
)

// watchCall is one call for the watch of the endpoint list. It waits until discovery's response shows that
// the watch is established, and then replaces all older calls.
type watchCall struct {
	ctx             context.Context
	cancel          context.CancelFunc
	address         string
	responseTimeout time.Duration // until it is established
	slowTimer       *time.Timer   // reports the call if it is not established within slowCallTime
	isReported      bool          // as failed; guarded by discovery.mu
}

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

// openWatch starts a call for the watch. The caller holds d.mu.
func (d *discovery) openWatch(responseTimeout time.Duration) {
	call := &watchCall{address: d.address, responseTimeout: responseTimeout}
	call.ctx, call.cancel = context.WithCancel(d.ctx)
	d.waiting[call] = struct{}{}
	call.slowTimer = time.AfterFunc(slowCallTime, func() { d.reportSlow(call) })
	d.calls.Go(func() {
		defer call.cancel()
		err := d.followList(call)
		if d.endWatch(call, err) {
			d.reportFailure(fmt.Errorf("watch: %w", err))
		}
	})
}

// reportSlow reports a call that still waits as failed, so that the scheduler calls again.
func (d *discovery) reportSlow(call *watchCall) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if _, isWaiting := d.waiting[call]; isWaiting {
		call.isReported = true
		d.reportFailure(fmt.Errorf("watch: %w", errDiscoverySilent))
	}
}

// endWatch removes a call that has ended with an error, and returns whether that has to be reported. It has
// not if the call was replaced or the gateway ends, nor if the call waited in vain or was reported as slow:
// the scheduler has set a time for the next one.
func (d *discovery) endWatch(call *watchCall, err error) (mustReport bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if call.ctx.Err() != nil {
		delete(d.waiting, call)
		return false
	}
	if d.established == call {
		d.established = nil
		return true
	}
	delete(d.waiting, call)
	call.slowTimer.Stop()
	return !errors.Is(err, errDiscoverySilent) && !call.isReported
}

// establish makes a call the open watch and ends all others. It reports false if the call itself was ended.
func (d *discovery) establish(call *watchCall) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if call.ctx.Err() != nil {
		return false
	}
	if d.established == call {
		return true
	}
	call.slowTimer.Stop()
	delete(d.waiting, call)
	d.endWatchCalls()
	d.established = call
	return true
}

// followList applies the messages of a watch until it breaks or nothing arrives for heartbeatTimeout, and
// returns the reason. A message ends with its JSON value, not with a line: it may be indented.
func (d *discovery) followList(call *watchCall) error {
	_, version := d.loop.ListVersion()
	url := "http://" + call.address + pathServers + "?stream=1&index=" + strconv.FormatUint(version, 10)
	response, err := d.call(call.ctx, url, call.responseTimeout)
	if err != nil {
		return err
	}
	defer response.close()
	response.silenceTimeout = heartbeatTimeout
	if version > 0 { // without changes, only heartbeats arrive
		if !d.establish(call) {
			return context.Canceled
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
		if !d.establish(call) {
			return context.Canceled
		}
		if err := d.applyList(list, version); err != nil {
			return err
		}
		version = list.Generation
	}
}
