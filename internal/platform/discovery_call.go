package platform

import (
	"context"
	"fmt"
	"net/http"
	"time"
)

// discoveryCall is a call to discovery, for the watch or for a fetch. If it has no response within
// slowCallTime, it is reported as failed, and goes on.
type discoveryCall struct {
	ctx       context.Context
	cancel    context.CancelFunc
	purpose   string // prefix of its errors
	slowTimer *time.Timer

	// The following fields are guarded by discovery.mu.
	isWaiting  bool // for a response
	isReported bool // as failed
}

// newCall returns a call, whose time counts from now.
func (d *discovery) newCall(purpose string) *discoveryCall {
	call := &discoveryCall{purpose: purpose, isWaiting: true}
	call.ctx, call.cancel = context.WithCancel(d.ctx)
	call.slowTimer = time.AfterFunc(slowCallTime, func() { d.reportSlow(call) })
	return call
}

// reportSlow reports a call without a response as failed, so that the scheduler calls again.
func (d *discovery) reportSlow(call *discoveryCall) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if call.isWaiting && call.ctx.Err() == nil {
		call.isReported = true
		d.reportFailure(call, errDiscoverySilent)
	}
}

// stopWaiting records that discovery has responded to a call or that the call has ended, so that it is not
// reported as slow any more. The caller holds discovery.mu.
func (call *discoveryCall) stopWaiting() {
	call.isWaiting = false
	call.slowTimer.Stop()
}

// discoveryResponse is the response to a call. Reading it fails with errDiscoverySilent if the call's time is
// over, and with errListTooLong if a message exceeds bytesLeft. It has one reader, which closes it.
type discoveryResponse struct {
	ctx            context.Context
	cancel         func()
	response       *http.Response
	timer          *time.Timer   // ends the call
	silenceTimeout time.Duration // to which each byte resets timer; 0: bytes do not reset it
	bytesLeft      int           // that the current message may still contain
}

// call starts a call, which ends after timeout unless the reader of its response resets the timer.
func (d *discovery) call(ctx context.Context, url string, timeout time.Duration) (*discoveryResponse, error) {
	ctx, cancel := context.WithCancelCause(ctx)
	c := &discoveryResponse{ctx: ctx, cancel: func() { cancel(nil) }}
	c.timer = time.AfterFunc(timeout, func() { cancel(errDiscoverySilent) })
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err == nil {
		c.response, err = d.client.Do(request)
	}
	if err != nil {
		err = c.cause(err)
		c.close()
		return nil, err
	}
	if c.response.StatusCode != http.StatusOK {
		c.close()
		return nil, fmt.Errorf("%w: %s", errUnexpectedStatus, c.response.Status)
	}
	return c, nil
}

// Read reads a part of the response body.
func (c *discoveryResponse) Read(buffer []byte) (int, error) {
	n, err := c.response.Body.Read(buffer)
	if n > 0 {
		if c.silenceTimeout > 0 {
			c.timer.Reset(c.silenceTimeout)
		}
		if c.bytesLeft -= n; c.bytesLeft < 0 {
			return 0, errListTooLong
		}
	}
	return n, c.cause(err)
}

// cause returns why this side cancelled the call, if it did, in place of the error that resulted.
func (c *discoveryResponse) cause(err error) error {
	if cause := context.Cause(c.ctx); err != nil && cause != nil {
		return cause
	}
	return err
}

func (c *discoveryResponse) close() {
	c.timer.Stop()
	if c.response != nil {
		c.response.Body.Close()
	}
	c.cancel()
}
