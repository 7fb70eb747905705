package platform

import (
	"context"
	"errors"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"landingpaddle/internal/arrival"
	"landingpaddle/internal/daemon"
	"landingpaddle/internal/http1"
	"landingpaddle/internal/proto"
	"landingpaddle/scheduler"
)

const (
	// minReadTimeout is the least timeout for reading a response; the scheduler ends an attempt long before
	// that.
	minReadTimeout = time.Minute
	// budgetDecimals is the precision of X-Budget, in decimals of a second.
	budgetDecimals = 4
	// maxUsageValue bounds the usage values that disk servers report.
	maxUsageValue = 1e6
)

// attempt sends a request to a disk server once; it is the driver's state of an operation. Its goroutine runs
// it; the loop may cancel it.
type attempt struct {
	pool      *upstreamPool
	operation *daemon.Operation
	request   *inFlightRequest
	ctx       context.Context
	cancel    context.CancelFunc

	mu        sync.Mutex
	conn      net.Conn // nil: no connection is bound to the attempt
	hasResult bool     // its result is known, though not reported yet
	isOver    bool     // it was cancelled, or its result is about to be reported
}

// attemptResult is the result of an attempt. By the protocol, a request whose last byte was not written has
// not run; one whose last byte was written may have.
type attemptResult struct {
	code   scheduler.ResultCode
	answer proto.Answer // of the disk server; the zero value: none
	body   []byte
}

// run executes the attempt and reports its one result, unless it was cancelled.
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

// execute acquires or dials a connection and sends the request once over it.
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
		a.pool.release(server, connection) // nothing was written: the next attempt can use it
		return attemptResult{code: code}
	}
	return a.roundTrip(connection, entry)
}

// bind assigns a connection to an attempt if the attempt preconditions are still true, as dialing may have
// taken long. They are not checked again before the first byte is written.
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

// roundTrip writes the request and reads the response. The connection is kept if another attempt can use it.
func (a *attempt) roundTrip(connection *upstreamConn, entry addressEntry) attemptResult {
	timeLeft := a.operation.Deadline() - a.pool.loop.Now()
	connection.beginResponse()
	if _, err := connection.conn.Write(a.encodeRequest(entry.address, timeLeft)); err != nil {
		a.pool.discard(connection)
		return attemptResult{code: scheduler.ConnectFailed} // the request's last byte was not written
	}
	connection.conn.SetReadDeadline(time.Now().Add(max(2*timeLeft, minReadTimeout)))
	response, err := connection.reader.ReadResponse()
	a.recordResult()
	if err != nil {
		a.pool.discard(connection)
		a.reportInvalid(entry, err)
		return attemptResult{code: scheduler.Reset}
	}
	trailing := a.awaitTrailing(connection, len(response.Body))
	if len(trailing) > 0 {
		a.pool.counters.unsolicited.Add(1)
	}
	if response.Close || len(trailing) > 0 {
		a.pool.discard(connection)
	} else {
		a.pool.releaseAfterAnswer(a, connection)
	}
	result := resultOf(response)
	if result.code != scheduler.OK {
		return result // its body is not used
	}
	if err := http1.CheckTrailing(trailing); err != nil {
		a.reportInvalid(entry, err)
		return attemptResult{code: scheduler.Reset}
	}
	return result
}

// awaitTrailing returns what has arrived behind a response: the rest of its body, if the stated length is too
// short. Where the pieces of responses arrive apart, it waits for as long as the next piece may take.
func (a *attempt) awaitTrailing(connection *upstreamConn, bodyBytes int) []byte {
	a.pool.spread.observe(connection.responseSpread(), bodyBytes)
	trailing := trailingBytes(connection.conn, connection.reader, maxUpstreamHead)
	wait := a.pool.spread.trailingWait()
	if len(trailing) > 0 || wait == 0 {
		return trailing
	}
	connection.conn.SetReadDeadline(time.Now().Add(wait))
	_ = connection.reader.WaitReadable() // it fails if nothing arrives in time, or the connection has ended
	return trailingBytes(connection.conn, connection.reader, maxUpstreamHead)
}

// recordResult records that the attempt's response was read, or that reading it failed.
func (a *attempt) recordResult() {
	a.mu.Lock()
	a.hasResult = true
	a.mu.Unlock()
}

// hasUnreadAnswer reports whether the loop may not know yet of a response that has arrived.
func (a *attempt) hasUnreadAnswer() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.hasResult {
		return true
	}
	conn, ok := a.conn.(*arrival.Conn)
	return ok && conn.HasUnhandled(time.Time{})
}

func (a *attempt) encodeRequest(host string, timeLeft time.Duration) []byte {
	header := append(http1.Header{
		{Name: fieldHost, Value: host},
		{Name: fieldBudget, Value: formatSeconds(timeLeft, budgetDecimals)},
	}, a.request.forwarded...)
	return http1.AppendRequest(nil, a.request.method, a.request.target, header, a.request.body)
}

// reportInvalid counts and logs a response that violates the protocol. A connection that merely ended is
// neither counted nor logged.
func (a *attempt) reportInvalid(entry addressEntry, err error) {
	var invalid *http1.Error
	if errors.As(err, &invalid) {
		a.pool.counters.invalid.Add(1)
		a.pool.log.Debug(messageInvalidResponse, attrNode, entry.id, attrReason, invalid.Reason)
	}
}

// resultOf converts a response into a result as the protocol specifies.
func resultOf(response *http1.Response) attemptResult {
	result := attemptResult{code: scheduler.Error}
	if value, ok := parseUsageField(response.Header, fieldMeter); ok {
		result.answer.MeteredRate = 1 + value
	}
	if value, ok := parseUsageField(response.Header, fieldDelta); ok {
		result.answer.ElsewhereUnits = value
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

// parseUsageField parses a usage value and rounds it. A value that is invalid or too large counts as missing.
func parseUsageField(header http1.Header, name string) (uint32, bool) {
	text, count := header.Get(name)
	if count != 1 || text == "" || !isDecimal(text) {
		return 0, false
	}
	value, err := strconv.ParseFloat(text, 64)
	if err != nil || value > maxUsageValue {
		return 0, false
	}
	return uint32(value + 0.5), true
}
