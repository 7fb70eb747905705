package platform

import (
	"errors"
	"net/http"
	"strings"
	"time"

	"landingpaddle/internal/http1"
)

// maxReadAhead bounds what is read of a client's connection while a request of it is in flight, in bytes.
const maxReadAhead = 128 << 10

// runSession serves one connection, one request after another, and closes it.
func (f *frontend) runSession(client *clientConn) {
	defer f.unregister(client)
	defer client.conn.Close()
	for f.awaitRequest(client) {
		head, err := client.reader.ReadRequest()
		if err != nil {
			f.refuse(client, err)
			return
		}
		if isHealthRequest(head) {
			if !f.serveHealth(client, head.Close) {
				return
			}
			continue
		}
		request, err := f.readRequest(client, head)
		if err != nil {
			f.refuse(client, err)
			return
		}
		if !f.process(request) {
			return
		}
	}
}

func isHealthRequest(head *http1.Request) bool {
	path, _, _ := strings.Cut(head.Target, "?")
	return path == pathHealth && head.Method == http.MethodGet
}

// awaitRequest waits until something of the next request is there. It reports false when the connection has
// ended: its end was asked for, nothing came in time, or the client has gone.
func (f *frontend) awaitRequest(client *clientConn) bool {
	for client.reader.Buffered() == 0 {
		client.reader.Shrink()
		f.accountBuffer(client)
		if f.prepareToWait(client) && isOpenAndEmpty(client.conn) {
			f.countIfSilent(client)
			f.linger(client)
			return false
		}
		switch err := client.reader.WaitReadable(); {
		case err == nil:
			client.bufferedAt = f.loop.Now()
		case isTimeout(err):
			// The connection ends unless something came in that very moment.
			f.requestClose(client)
		default:
			f.countIfSilent(client)
			return false // the client has gone
		}
	}
	f.beginReading(client)
	return true
}

func (f *frontend) countIfSilent(client *clientConn) {
	if client.requests == 0 {
		f.counters.silent.Add(1)
	}
}

func (f *frontend) requestClose(client *clientConn) {
	f.mu.Lock()
	client.closeRequested = true
	f.mu.Unlock()
}

// prepareToWait sets how long a connection with nothing buffered may wait for a request: a new one must send
// something in time, others wait until they are evicted. It reports whether the connection is to end.
func (f *frontend) prepareToWait(client *clientConn) (isClosing bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	deadline := time.Time{}
	switch {
	case client.closeRequested || f.closing:
		deadline = time.Now().Add(lingerTimeout) // for what came before the end and may be a request
	case client.requests == 0:
		deadline = client.stateSince.Add(requestTimeout)
	}
	client.conn.SetReadDeadline(deadline)
	return client.closeRequested || f.closing
}

// readAheadUntilAnswered reads ahead while a request is in flight, so that the client's departure is
// noticed whatever else came on the connection before it. It returns true when the answer is written or
// nothing more can be read ahead, and false when the client has gone.
func (f *frontend) readAheadUntilAnswered(client *clientConn) bool {
	for {
		if isAnswered := f.notePipelined(client); isAnswered {
			return true
		}
		buffered := client.reader.Buffered()
		if buffered > 0 && f.bodyBytes.Load() > f.limits.bodyBytes {
			return true // no memory is left to look beyond what is there
		}
		err := client.reader.ReadAhead(maxReadAhead)
		switch {
		case err == nil:
			if buffered == 0 {
				client.bufferedAt = f.loop.Now()
			}
			f.accountBuffer(client)
		case errors.Is(err, http1.ErrBufferFull), isTimeout(err):
			return true
		default:
			return false
		}
	}
}

// notePipelined notes whether something of a next request has come, and reports whether the one in flight has
// been answered.
func (f *frontend) notePipelined(client *clientConn) (isAnswered bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	client.hasPipelined = client.reader.Buffered() > 0
	return client.state != stateWorking
}
