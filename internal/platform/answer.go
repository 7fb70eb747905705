package platform

import (
	"errors"
	"net/http"
	"strconv"
	"time"

	"landingpaddle/internal/daemon"
	"landingpaddle/internal/http1"
	"landingpaddle/internal/proto"
)

// retryAfterDecimals is the precision of Retry-After: milliseconds.
const retryAfterDecimals = 3

var _ daemon.Responder = (*inFlightRequest)(nil)

// Respond starts writing the request's one final answer. It is called on the loop's goroutine and returns
// before the answer is written.
func (r *inFlightRequest) Respond(answer proto.Answer, payload []byte) {
	r.frontend.releaseID(r, answer.Code)
	go r.writeAnswer(answer, payload)
}

// writeAnswer writes the answer to the client's connection and wakes the session.
func (r *inFlightRequest) writeAnswer(answer proto.Answer, payload []byte) {
	f := r.frontend
	r.isLast = f.isLastAnswer(r.client, r.closeAfterAnswer) || answer.Reason == daemon.ReasonBadRequest
	status, header := statusOf(answer), answerHeader(answer)
	if answer.Code != proto.OK {
		payload = nil
	}
	if r.client.writeResponse(status, withConnectionClose(header, r.isLast), payload) != nil {
		r.isLast = true
	}
	f.endProcessing(r.client, r.isLast)
	close(r.answered)
}

// statusOf returns the HTTP status of an answer.
func statusOf(answer proto.Answer) int {
	switch answer.Code {
	case proto.OK:
		return http.StatusOK
	case proto.Rejected:
		return http.StatusServiceUnavailable
	}
	switch answer.Reason {
	case daemon.ReasonBadRequest:
		return http.StatusBadRequest
	case daemon.ReasonNodeTimeout, daemon.ReasonNotInTime, daemon.ReasonOverdue:
		return http.StatusGatewayTimeout
	}
	return http.StatusBadGateway
}

// answerHeader returns the fields of an answer that is not OK: the reason, and Retry-After of a rejection.
func answerHeader(answer proto.Answer) (header http1.Header) {
	if answer.Code == proto.OK {
		return nil
	}
	if answer.Code == proto.Rejected && answer.RetryAfter > 0 {
		retryAfter := formatSeconds(answer.RetryAfter, retryAfterDecimals)
		header = append(header, http1.Field{Name: fieldRetryAfter, Value: retryAfter})
	}
	return append(header, http1.Field{Name: fieldReason, Value: answer.Reason})
}

// answerError answers a request with an HTTP error and ends the connection. The cause is an *http1.Error, or
// a timeout while the request was read; after any other error the client has disconnected and gets no answer.
func (f *frontend) answerError(client *clientConn, cause error) {
	var invalid *http1.Error
	switch {
	case errors.As(cause, &invalid):
	case isTimeout(cause):
		invalid = &http1.Error{Status: http.StatusRequestTimeout, Reason: "the request did not come in time"}
	default:
		return
	}
	client.finishHandling() // before the answer, as the client may not read it
	f.counters.invalid.Add(1)
	f.log.Debug(messageInvalidRequest, attrStatus, invalid.Status, attrReason, invalid.Reason)
	body := []byte(invalid.Reason + "\n")
	if client.writeResponse(invalid.Status, withConnectionClose(nil, true), body) == nil {
		f.linger(client)
	}
}

func formatSeconds(duration time.Duration, decimals int) string {
	return strconv.FormatFloat(duration.Seconds(), 'f', decimals, 64)
}
