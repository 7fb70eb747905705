package platform

import (
	"context"
	"errors"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"landingpaddle/internal/daemon"
	"landingpaddle/internal/http1"
	"landingpaddle/internal/proto"
	"landingpaddle/scheduler"
)

const (
	// minReadTimeout is how long an answer is read for at least; the scheduler ends an attempt long before
	// that.
	minReadTimeout = time.Minute
	budgetDecimals = 4
	// maxUsageFigure bounds the figures on use that disk servers report.
	maxUsageFigure = 1e6
)

// attempt is one sending of a request to a disk server, the driver's state of an operation. Its goroutine
// runs it; the loop may cancel it.
type attempt struct {
	pool      *upstreamPool
	operation *daemon.Operation
	request   *inFlightRequest
	ctx       context.Context
	cancel    context.CancelFunc

	mu     sync.Mutex
	conn   net.Conn // nil: none is bound to the attempt
	isOver bool     // it was cancelled, or its result is about to be reported
}

// attemptResult is how an attempt ended, by the protocol's table: until the last byte of the request is
// written it has never run, after that it may have.
type attemptResult struct {
	code   scheduler.ResultCode
	answer proto.Answer // of the disk server; the zero value: there is none
	body   []byte
}

// run carries the attempt out and reports its one result, unless it was cancelled.
func (a *attempt) run() {
	defer a.cancel()
	a.pool.countAttempt(a.operation.Server(), 1)
	result := a.execute()
	a.pool.countAttempt(a.operation.Server(), -1)
	a.mu.Lock()
	wasOver := a.isOver
	a.isOver = true
	a.mu.Unlock()
	if !wasOver {
		a.pool.loop.OperationEnded(a.operation, result.code, result.answer, result.body)
	}
}

// execute finds a connection and sends the request once over it.
func (a *attempt) execute() attemptResult {
	server := a.operation.Server()
	entry, known := a.pool.addresses.find(server)
	if !known {
		return attemptResult{code: scheduler.ConnectFailed}
	}
	if cell := a.request.call.Request.Cell; cell >= 0 && int(entry.cell) != cell {
		return attemptResult{code: scheduler.NotApplicable}
	}
	connection := a.pool.acquire(server)
	if connection == nil {
		var err error
		if connection, err = a.pool.dial(a.ctx, entry.address); err != nil {
			a.pool.log.Debug(messageConnectFailed, attrNode, entry.id, attrError, err)
			return attemptResult{code: scheduler.ConnectFailed}
		}
	}
	if code := a.bind(connection); code != scheduler.OK {
		a.pool.release(server, connection) // nothing was written: it serves the next attempt
		return attemptResult{code: code}
	}
	return a.roundTrip(connection, entry)
}

// bind ties an attempt to its connection, unless what it was decided on no longer holds: finding a connection
// may have taken long. It is the one check before the first byte.
func (a *attempt) bind(connection *upstreamConn) scheduler.ResultCode {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.isOver {
		return scheduler.NotApplicable
	}
	code := a.pool.loop.CheckPreconditions(a.operation)
	if code == scheduler.OK {
		a.conn = connection.conn
	}
	return code
}

// roundTrip writes the request and reads the response. The connection is kept if it can serve another
// attempt.
func (a *attempt) roundTrip(connection *upstreamConn, entry addressEntry) attemptResult {
	timeLeft := a.operation.Deadline() - a.pool.loop.Now()
	if _, err := connection.conn.Write(a.encodeRequest(entry.address, timeLeft)); err != nil {
		a.pool.discard(connection)
		return attemptResult{code: scheduler.ConnectFailed} // its last byte was not written
	}
	connection.conn.SetReadDeadline(time.Now().Add(max(2*timeLeft, minReadTimeout)))
	response, err := connection.reader.ReadResponse()
	if err != nil {
		a.pool.discard(connection)
		a.reportInvalid(entry, err)
		return attemptResult{code: scheduler.Reset}
	}
	isUnsolicited := connection.reader.Buffered() > 0
	if isUnsolicited {
		a.pool.counters.unsolicited.Add(1)
	}
	if response.Close || isUnsolicited {
		a.pool.discard(connection)
	} else {
		a.pool.releaseAfterAnswer(a, connection)
	}
	return resultOf(response)
}

func (a *attempt) encodeRequest(host string, timeLeft time.Duration) []byte {
	header := append(http1.Header{
		{Name: fieldHost, Value: host},
		{Name: fieldBudget, Value: formatSeconds(timeLeft, budgetDecimals)},
	}, a.request.forwarded...)
	return http1.AppendRequest(nil, a.request.method, a.request.target, header, a.request.body)
}

// reportInvalid counts and logs a response that broke the protocol. A connection that just ended is neither.
func (a *attempt) reportInvalid(entry addressEntry, err error) {
	var invalid *http1.Error
	if errors.As(err, &invalid) {
		a.pool.counters.invalid.Add(1)
		a.pool.log.Debug(messageInvalidResponse, attrNode, entry.id, attrReason, invalid.Reason)
	}
}

// resultOf reads a response by the protocol's table.
func resultOf(response *http1.Response) attemptResult {
	result := attemptResult{code: scheduler.Error}
	if figure, ok := parseUsageField(response.Header, fieldMeter); ok {
		result.answer.MeteredRate = 1 + figure
	}
	if figure, ok := parseUsageField(response.Header, fieldDelta); ok {
		result.answer.ElsewhereUnits = figure
	}
	rejected, _ := response.Header.Get(fieldRejected)
	switch response.Status {
	case http.StatusOK:
		result.code, result.body = scheduler.OK, response.Body
	case http.StatusServiceUnavailable, http.StatusGatewayTimeout:
		if rejected == "1" {
			result.code = scheduler.Overloaded
		}
	}
	return result
}

// parseUsageField reads a figure on use, rounded. One that cannot be read counts as not stated.
func parseUsageField(header http1.Header, name string) (uint32, bool) {
	text, count := header.Get(name)
	if count != 1 || text == "" || !isDecimal(text) {
		return 0, false
	}
	figure, err := strconv.ParseFloat(text, 64)
	if err != nil || figure > maxUsageFigure {
		return 0, false
	}
	return uint32(figure + 0.5), true
}
