package platform

import (
	"net/http"
	"runtime"
	"strings"
	"time"

	"landingpaddle/internal/http1"
)

const (
	// maxUnreadAnswers bounds the bytes written to a client that it has not received when its next request
	// begins, if that arrived before the answer to the last one was written.
	maxUnreadAnswers = 16 << 10
	// minUnreadWait and maxUnreadWait are the first and the longest interval between two checks of that.
	minUnreadWait = 500 * time.Microsecond
	maxUnreadWait = 32 * time.Millisecond
)

// runSession serves one connection, one request after another, and closes it.
func (f *frontend) runSession(client *clientConn) {
	defer f.unregister(client)
	defer client.conn.Close()
	for f.awaitRequest(client) {
		head, err := client.reader.ReadRequest()
		if err != nil {
			f.answerError(client, err)
			return
		}
		if isHealthRequest(head) {
			if !f.serveHealth(client, head.Close) || !f.awaitReadAnswers(client) {
				return
			}
			continue
		}
		request, err := f.readRequest(client, head)
		if err != nil {
			f.answerError(client, err)
			return
		}
		if !f.process(request) || !f.awaitReadAnswers(client) {
			return
		}
	}
}

// awaitReadAnswers waits, if the next request has arrived already, until the client has read most of what was
// written to it, and reports false if it does not within writeTimeout. Otherwise a client that reads nothing
// would have request after request served, until its answers fill the kernel's buffers and ours.
func (f *frontend) awaitReadAnswers(client *clientConn) bool {
	if client.reader.Buffered() == 0 {
		return true
	}
	runtime.Gosched() // a client that sends much at once leaves nothing to wait for while it is rejected
	if unsentBytes(client.conn) <= maxUnreadAnswers {
		return true
	}
	f.beginUnread(client)
	deadline := time.Now().Add(writeTimeout)
	wait := minUnreadWait
	for ; unsentBytes(client.conn) > maxUnreadAnswers; wait = min(2*wait, maxUnreadWait) {
		if time.Now().After(deadline) || f.isCloseRequested(client) {
			f.counters.unread.Add(1)
			return false
		}
		time.Sleep(wait)
	}
	return true
}

func isHealthRequest(head *http1.Request) bool {
	path, _, _ := strings.Cut(head.Target, "?")
	return path == pathHealth && head.Method == http.MethodGet
}

// awaitRequest waits until a part of the next request has arrived. It reports false if the connection must
// end or has ended: a close was requested, nothing arrived in time, or the client has disconnected.
func (f *frontend) awaitRequest(client *clientConn) bool {
	for client.reader.Buffered() == 0 {
		client.reader.Shrink()
		f.accountBuffer(client)
		if f.prepareToWait(client) && isOpenAndEmpty(client.conn) {
			f.countIfSilent(client)
			f.linger(client)
			return false
		}
		err := client.reader.WaitReadable()
		if isTimeout(err) {
			f.requestClose(client) // the connection ends unless data arrived at the same moment
		} else if err != nil {
			f.countIfSilent(client)
			return false // the client has disconnected
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

func (f *frontend) isCloseRequested(client *clientConn) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return client.closeRequested
}

func (f *frontend) requestClose(client *clientConn) {
	f.mu.Lock()
	client.closeRequested = true
	f.mu.Unlock()
}

// prepareToWait sets how long a connection with nothing buffered may wait for a request: a new one must send
// data within requestTimeout, others wait until they are evicted. It reports whether the connection must end.
func (f *frontend) prepareToWait(client *clientConn) (isClosing bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	deadline := time.Time{}
	switch {
	case client.closeRequested || f.closing:
		deadline = time.Now().Add(lingerTimeout) // data that arrived before the close may be a request
	case client.requests == 0:
		deadline = client.stateSince.Add(requestTimeout)
	}
	client.conn.SetReadDeadline(deadline)
	return client.closeRequested || f.closing
}
