package platform

import (
	"net/http"
	"strings"
	"time"

	"landingpaddle/internal/daemon"
	"landingpaddle/internal/http1"
	"landingpaddle/internal/proto"
)

const continueResponse = "HTTP/1.1 100 Continue\r\n\r\n"

// inFlightRequest is one client's request from its last byte to the end of its answer. It is the responder
// of its call.
type inFlightRequest struct {
	frontend         *frontend
	client           *clientConn
	call             *daemon.Call
	id               string
	method           string
	target           string
	forwarded        http1.Header // fields that are forwarded to the disk server unchanged
	body             []byte
	closeAfterAnswer bool          // the client sends no more requests on its connection
	answered         chan struct{} // closed once the answer is written
	isLast           bool          // it was the connection's last answer; valid once answered is closed
}

// readRequest validates a request's head, which has arrived, and then reads the body. The error of an invalid
// request is an *http1.Error.
func (f *frontend) readRequest(client *clientConn, head *http1.Request) (*inFlightRequest, error) {
	if head.Method != http.MethodGet && head.Method != http.MethodPut {
		return nil, &http1.Error{Status: http.StatusMethodNotAllowed, Reason: "reads are GET, writes are PUT"}
	}
	request := &inFlightRequest{frontend: f, client: client, method: head.Method, target: head.Target,
		closeAfterAnswer: head.Close, answered: make(chan struct{}), call: &daemon.Call{}}
	if err := f.validate(request, head); err != nil {
		return nil, err
	}
	if head.Length > 0 {
		body, err := f.readBody(client, head)
		if err != nil {
			return nil, err
		}
		request.body = body
	}
	if err := checkPipelined(client); err != nil {
		f.bodyBytes.Add(-int64(len(request.body)))
		return nil, err
	}
	request.call.Responder = request
	request.call.ReceivedAt = f.loop.ArrivalTime(client.reader.ConsumedAt())
	request.call.BacklogSince = time.Duration(f.accepting.backlogSince.Load())
	return request, nil
}

// readBody reads a request's body and counts its bytes as in flight; process subtracts them again.
func (f *frontend) readBody(client *clientConn, head *http1.Request) ([]byte, error) {
	if f.bodyBytes.Add(head.Length) > f.limits.bodyBytes {
		f.bodyBytes.Add(-head.Length)
		f.counters.overLimit.Add(1)
		return nil, &http1.Error{Status: http.StatusServiceUnavailable, Reason: daemon.ReasonOverload}
	}
	if expected, _ := head.Header.Get(fieldExpect); strings.EqualFold(expected, "100-continue") {
		client.hasWritten = true
		_, _ = client.conn.Write([]byte(continueResponse)) // if this fails, reading the body does too
	}
	body, err := client.reader.ReadBody(head.Length)
	if err != nil {
		f.bodyBytes.Add(-head.Length)
		return nil, err
	}
	return body, nil
}

// pipelinedPrefix is the number of bytes by which the beginning of another request is recognized.
const pipelinedPrefix = len(http.MethodGet + " ")

// checkPipelined returns an error if the bytes behind a request, with or without a body, cannot begin another
// request: its body may be longer than stated, and the first part of it must not be served as the whole.
func checkPipelined(client *clientConn) error {
	return checkPipelinedBytes(trailingBytes(client.conn, client.reader, pipelinedPrefix))
}

func checkPipelinedBytes(trailing []byte) error {
	return http1.CheckPipelined(trailing, http.MethodGet, http.MethodPut)
}

// process passes a request to the loop and waits for its answer. It reports whether the connection stays
// open.
func (f *frontend) process(request *inFlightRequest) bool {
	client := request.client
	defer f.bodyBytes.Add(-int64(len(request.body)))
	presence := clientPresent
	if client.reader.Buffered() > 0 {
		presence = f.observePresence(client)
	}
	if presence == clientDisconnected {
		return false
	}
	if !f.ids.reserve(request.id, time.Now()) {
		f.counters.duplicateIDs.Add(1)
		f.answerError(client, &http1.Error{
			Status: http.StatusConflict,
			Reason: "a request of this id is open or may have run",
		})
		return false
	}
	f.beginProcessing(client)
	isConnected := true
	if reason := f.admit(presence); reason != "" {
		client.finishHandling() // before the answer, as the client may not read it
		f.reject(request, reason)
	} else {
		isConnected = f.submit(request)
	}
	<-request.answered
	if isConnected && request.isLast {
		f.linger(client)
	}
	return isConnected && !request.isLast
}

// admit returns "" if a request of a client may be submitted, else the reason of its rejection.
func (f *frontend) admit(presence clientPresence) (reason string) {
	if presence == clientUnseen {
		return daemon.ReasonOverload
	}
	return f.loop.Admit(f.limits.openRequests)
}

// submit submits an admitted request to the loop and watches its client until it is answered. If the client
// disconnects, or turns out to have sent an invalid request, the loop ends the call. submit reports whether
// the client is still connected.
func (f *frontend) submit(request *inFlightRequest) (isConnected bool) {
	f.loop.Submit(request.call)
	request.client.finishHandling()
	switch f.readAheadUntilAnswered(request) {
	case readAheadDisconnected:
		f.loop.CancelCall(request.call)
		return false
	case readAheadInvalid:
		f.counters.invalid.Add(1)
		f.loop.FailCall(request.call, daemon.ReasonBadRequest)
	}
	return true
}

// reject answers a request that the loop did not admit.
func (f *frontend) reject(request *inFlightRequest, reason string) {
	f.releaseID(request, proto.Rejected)
	f.counters.overLimit.Add(1)
	f.log.Debug(messageRequestRejected, attrReason, reason, attrRequestID, request.id)
	request.writeAnswer(daemon.Rejection(&f.site.Settings, reason), nil)
}

// releaseID ends the reservation of a request's id with its answer. A request that was rejected has not run,
// and a read that was served may run again.
func (f *frontend) releaseID(request *inFlightRequest, code proto.Code) {
	mayHaveRun := code == proto.Failed || code == proto.OK && request.call.Request.Write
	f.ids.release(request.id, mayHaveRun, time.Now())
}
