package config

import (
	"time"

	"landingpaddle/internal/sexpr"
	"landingpaddle/scheduler"
)

// Limits are the bounds and the optional features of a site's instances, nodes and clients: (limits …).
//
// Streams, ConnectTimeout, IdleTimeout and SilenceTimeout apply to each connection from an instance to a
// node, NodeConnections to an instance's connections to one node, ClientConnections and MaxOpenRequests to
// one instance. MaxPayload is the largest payload of one request or response. ResponseMargin is the part of a
// client's timeout that is reserved for the return latency, ClockSkew the largest difference between the
// clocks of a node and an instance. The fields that scheduler.Settings has too are described there.
type Limits struct {
	MaxAttempts       int           `s:"attempts" min:"1" max:"16"`
	MaxOpenRequests   int           `s:"open" min:"1" max:"1000000"`
	Cancellation      bool          `s:"cancel"`
	HealthChecks      bool          `s:"probes"`
	HedgedRequests    bool          `s:"second-copies"`
	PeerMessages      bool          `s:"peers"` // instances may send messages to one another
	RetryAfter        bool          `s:"retry-after"`
	MaxRetryAfter     time.Duration `s:"max-retry-after" min:"0s" max:"10m"`
	ConnectTimeout    time.Duration `s:"connect-timeout" min:"1ms" max:"1m"`
	IdleTimeout       time.Duration `s:"idle-close" min:"100ms" max:"24h"`
	SilenceTimeout    time.Duration `s:"silence" min:"100ms" max:"1h"`
	Streams           int           `s:"streams" min:"1" max:"65536"`
	NodeConnections   int           `s:"node-connections" min:"1" max:"1024"`
	ClientConnections int           `s:"client-connections" min:"1" max:"65536"`
	MaxPayload        sexpr.Size    `s:"payload" min:"0B" max:"1GiB"`
	BatchInterval     time.Duration `s:"tick" min:"0s" max:"1s"`
	ResponseMargin    time.Duration `s:"transit" min:"0s" max:"1s"`
	ClockSkew         time.Duration `s:"clock-skew" min:"0s" max:"1m"`
}

func defaultLimits() Limits {
	return Limits{
		MaxAttempts:       3,
		MaxOpenRequests:   20_000,
		Cancellation:      true,
		PeerMessages:      true,
		RetryAfter:        true,
		MaxRetryAfter:     500 * time.Millisecond,
		ConnectTimeout:    250 * time.Millisecond,
		IdleTimeout:       15 * time.Second,
		SilenceTimeout:    10 * time.Second,
		Streams:           128,
		NodeConnections:   4,
		ClientConnections: 1024,
		MaxPayload:        8 << 20,
		ResponseMargin:    5 * time.Millisecond,
		ClockSkew:         100 * time.Millisecond,
	}
}

// applyTo copies the limits that are also settings of the scheduler. PeerMessages is not copied, as it also
// depends on the instance.
func (l *Limits) applyTo(settings *scheduler.Settings) {
	settings.MaxAttempts = l.MaxAttempts
	settings.Cancellation = l.Cancellation
	settings.HealthChecks = l.HealthChecks
	settings.HedgedRequests = l.HedgedRequests
	settings.RetryAfter = l.RetryAfter
	settings.MaxRetryAfter = l.MaxRetryAfter
	settings.ConnectTimeout = l.ConnectTimeout
	settings.BatchInterval = l.BatchInterval
}
