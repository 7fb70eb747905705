package platform

import (
	"net/http"
	"time"

	"landingpaddle/internal/http1"
	"landingpaddle/scheduler"
)

// CheckHealth sends a health check to a disk server on a separate connection and reports the result to the
// loop. It does not wait for the result.
func (p *upstreamPool) CheckHealth(server scheduler.Server) {
	startedAt := p.loop.Now()
	go func() {
		code := p.checkHealth(server)
		p.loop.ReportHealthCheck(scheduler.HealthCheckResult{Server: server, Code: code,
			Latency: p.loop.Now() - startedAt})
	}()
}

func (p *upstreamPool) checkHealth(server scheduler.Server) scheduler.ResultCode {
	entry, known := p.addresses.find(server)
	if !known {
		return scheduler.ConnectFailed
	}
	connection, err := p.dial(p.ctx, entry.address)
	if err != nil {
		return scheduler.ConnectFailed
	}
	defer p.discard(connection)
	connection.conn.SetDeadline(time.Now().Add(p.connectTimeout()))
	header := http1.Header{
		{Name: fieldHost, Value: entry.address},
		{Name: fieldConnection, Value: connectionClose},
	}
	request := http1.AppendRequest(nil, http.MethodGet, pathHealth, header, nil)
	if _, err := connection.conn.Write(request); err != nil {
		return scheduler.ConnectFailed
	}
	response, err := connection.reader.ReadResponse()
	switch {
	case isTimeout(err):
		return scheduler.TimedOut
	case err != nil:
		return scheduler.Reset
	case response.Status == http.StatusOK:
		return scheduler.OK
	}
	return scheduler.Error
}
