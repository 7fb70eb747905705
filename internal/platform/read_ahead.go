package platform

import (
	"errors"
	"time"

	"landingpaddle/internal/http1"
)

const (
	// maxReadAhead bounds the data buffered from a client's connection while a request is in flight, in
	// bytes.
	maxReadAhead = 128 << 10
	// maxUnseenTime is how long a client may be out of sight before no attempt for it may begin any more. By
	// the platform's rules none may begin over 0.1 s after the client's disconnect.
	maxUnseenTime = 50 * time.Millisecond
)

// clientPresence states what is known of a client that has sent more than its request.
type clientPresence uint8

const (
	clientPresent clientPresence = iota // all that it sent is read, or it was seen maxUnseenTime ago at most
	clientUnseen                        // it has sent more than may be read ahead, for longer than that
	clientDisconnected
)

// observePresence reads ahead what a client has sent behind its request. A disconnect shows in the socket
// only behind all data, unless the kernel holds all of that.
func (f *frontend) observePresence(client *clientConn) clientPresence {
	for !isOpenAndEmpty(client.conn) {
		if client.hasHungUp() {
			return clientDisconnected
		}
		err := f.readAhead(client)
		switch {
		case errors.Is(err, http1.ErrBufferFull):
			if time.Now().After(client.unseenDeadline()) {
				return clientUnseen
			}
			return clientPresent
		case isTimeout(err): // the request is complete, whatever deadline it had
			return clientPresent
		case err != nil:
			return clientDisconnected
		}
	}
	return clientPresent
}

// readAhead blocks until more bytes have been read ahead. It returns http1.ErrBufferFull if no more may be
// buffered for this connection, or for all.
func (f *frontend) readAhead(client *clientConn) error {
	if client.reader.Buffered() > 0 && f.bodyBytes.Load() > f.limits.bodyBytes {
		return http1.ErrBufferFull
	}
	err := client.reader.ReadAhead(maxReadAhead)
	if err == nil {
		f.accountBuffer(client)
	}
	return err
}

// readAheadResult states how reading ahead ended.
type readAheadResult uint8

const (
	readAheadEnded        readAheadResult = iota // the answer is written
	readAheadDisconnected                        // the client has disconnected
	readAheadInvalid                             // what follows the request cannot begin another one
)

// readAheadUntilAnswered reads ahead while a request is in flight, so that a disconnect of the client is
// detected whatever data arrived before it.
func (f *frontend) readAheadUntilAnswered(request *inFlightRequest) readAheadResult {
	client := request.client
	for {
		if isAnswered := f.recordPipelined(client); isAnswered {
			return readAheadEnded
		}
		if checkPipelinedBytes(client.reader.Unread(pipelinedPrefix)) != nil {
			return readAheadInvalid
		}
		err := f.readAhead(client)
		switch {
		case err == nil:
		case errors.Is(err, http1.ErrBufferFull):
			return f.watchUntilAnswered(request)
		case isTimeout(err):
			return readAheadEnded
		default:
			return readAheadDisconnected
		}
	}
}

// watchUntilAnswered waits until a request is answered whose client has sent more than may be read ahead, or
// until the client disconnects. As its disconnect may not show, no attempt begins once it has not been seen
// for maxUnseenTime.
func (f *frontend) watchUntilAnswered(request *inFlightRequest) readAheadResult {
	client := request.client
	for deadline := client.unseenDeadline(); f.setWatchDeadline(client, deadline); {
		err := client.awaitHangup()
		switch {
		case err == nil:
			return readAheadDisconnected
		case !isTimeout(err):
			return readAheadEnded // its end cannot be watched; the session notices it after the answer
		case deadline.IsZero() || time.Now().Before(deadline): // woken, as the answer is written
		default:
			deadline = client.unseenDeadline()
			if !time.Now().Before(deadline) {
				f.loop.StopAttempts(request.call)
				deadline = time.Time{}
			}
		}
	}
	return readAheadEnded
}

// unseenDeadline returns when a client will not have been seen for maxUnseenTime.
func (c *clientConn) unseenDeadline() time.Time {
	if isOpenAndEmpty(c.conn) {
		return time.Now().Add(maxUnseenTime)
	}
	return c.lastSeen().Add(maxUnseenTime)
}

// setWatchDeadline sets until when a client is watched; the zero time stands for until the answer is written.
// It reports false if that is so.
func (f *frontend) setWatchDeadline(client *clientConn, deadline time.Time) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if client.state != stateWorking {
		return false
	}
	client.conn.SetReadDeadline(deadline)
	return true
}

// recordPipelined records whether a part of a next request has arrived, and reports whether the one in flight
// has been answered.
func (f *frontend) recordPipelined(client *clientConn) (isAnswered bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	client.hasPipelined = client.reader.Buffered() > 0
	return client.state != stateWorking
}
