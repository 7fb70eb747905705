package proto

import (
	"cmp"
	"time"
)

// Defaults of the timeouts in Config.
const (
	defaultHandshakeTimeout = time.Second
	defaultIdleTimeout      = time.Minute
	defaultSilenceTimeout   = 30 * time.Second
	defaultWriteTimeout     = 10 * time.Second
)

// Config configures a connection. Defaults apply to zero limits and timeouts.
type Config struct {
	Hello  Hello  // sent in the handshake; Defaults sets its version and limits
	Limits Limits // zero means DefaultLimits
	// HandshakeTimeout limits the duration of the handshake.
	HandshakeTimeout time.Duration
	// IdleTimeout limits the time in which a connection without requests in flight receives nothing.
	IdleTimeout time.Duration
	// SilenceTimeout limits the time in which a connection with requests in flight receives nothing.
	SilenceTimeout time.Duration
	// WriteTimeout limits the duration of one write of queued frames to the socket.
	WriteTimeout time.Duration
	// Gate, if not nil, is called before each read and write and may block: the testbed uses it to suspend a
	// process.
	Gate func()
}

// Defaults returns the configuration with defaults in place of zero values.
func (c Config) Defaults() Config {
	c.HandshakeTimeout = cmp.Or(c.HandshakeTimeout, defaultHandshakeTimeout)
	c.IdleTimeout = cmp.Or(c.IdleTimeout, defaultIdleTimeout)
	c.SilenceTimeout = cmp.Or(c.SilenceTimeout, defaultSilenceTimeout)
	c.WriteTimeout = cmp.Or(c.WriteTimeout, defaultWriteTimeout)
	c.Limits = cmp.Or(c.Limits, DefaultLimits)
	c.Hello.Version = Version
	c.Hello.Header = uint32(c.Limits.MaxHeader)
	c.Hello.Payload = uint32(c.Limits.MaxPayload)
	c.Hello.Streams = uint32(c.Limits.MaxStreams)
	return c
}
