package daemon

import (
	"context"

	"landingpaddle/internal/proto"
	"landingpaddle/scheduler"
)

// healthCheckStream is the one stream of a health check's connection.
const healthCheckStream = 1

// CheckHealth sends a health check to a node, on a separate connection and goroutine. The loop receives the
// result, unless the pool's context ends first.
func (p *upstreamPool) CheckHealth(server scheduler.Server) {
	startedAt := p.instance.Now()
	p.group.Go(func() error {
		code, load := p.exchangeHealthCheck(server)
		if p.ctx.Err() == nil {
			p.instance.ReportHealthCheck(scheduler.HealthCheckResult{
				Server:  server,
				Code:    code,
				Latency: p.instance.Now() - startedAt,
				Load:    load,
			})
		}
		return nil
	})
}

// exchangeHealthCheck connects to a node and returns the result and the load report of its answer.
func (p *upstreamPool) exchangeHealthCheck(server scheduler.Server) (scheduler.ResultCode, []float64) {
	ctx, cancel := context.WithTimeout(p.ctx, p.instance.cfg.Site.Limits.ConnectTimeout)
	defer cancel()
	conn, err := proto.Dial(ctx, serverAddress(server), p.config)
	if err != nil {
		return scheduler.ConnectFailed, nil
	}
	code, load := scheduler.TimedOut, []float64(nil)
	// After an error of the connection the result is TimedOut, as no answer arrived.
	_ = conn.OpenStream(healthCheckStream)
	_ = conn.Send(proto.TypeHealthCheck, healthCheckStream, nil, nil)
	_ = conn.Run(ctx, func(frame proto.Frame) error {
		if frame.Type != proto.TypeHealthCheckResult {
			return nil
		}
		var answer proto.Answer
		if frame.Decode(&answer) == nil {
			code, load = scheduler.OK, answer.Load
		}
		return proto.ErrClosed
	})
	return code, load
}
