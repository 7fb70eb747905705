package proto

import (
	"cmp"
	"time"
)

// Time spans that hold where Config states none.
const (
	defaultHandshake = time.Second
	defaultIdle      = time.Minute
	defaultSilence   = 30 * time.Second
	defaultWrite     = 10 * time.Second
)

// Config configures a connection.
type Config struct {
	Hello  Hello  // the greeting to send; Defaults fills its version and limits
	Limits Limits // zero: DefaultLimits
	// HandshakeTimeout bounds the greeting.
	HandshakeTimeout time.Duration
	// IdleTimeout is how long a connection without requests in flight stays open.
	IdleTimeout time.Duration
	// SilenceTimeout is how long nothing may be received on a connection with requests in flight.
	SilenceTimeout time.Duration
	// WriteTimeout is how long a write may make no progress.
	WriteTimeout time.Duration
	// Gate, where set, is called before each read and write and may block: the testbed suspends a process by
	// it.
	Gate func()
}

// Defaults returns the configuration with defaults for what is not set.
func (c Config) Defaults() Config {
	c.HandshakeTimeout = cmp.Or(c.HandshakeTimeout, defaultHandshake)
	c.IdleTimeout = cmp.Or(c.IdleTimeout, defaultIdle)
	c.SilenceTimeout = cmp.Or(c.SilenceTimeout, defaultSilence)
	c.WriteTimeout = cmp.Or(c.WriteTimeout, defaultWrite)
	c.Limits = cmp.Or(c.Limits, DefaultLimits)
	c.Hello.Version = Version
	c.Hello.Header = uint32(c.Limits.MaxHeader)
	c.Hello.Payload = uint32(c.Limits.MaxPayload)
	c.Hello.Streams = uint32(c.Limits.MaxStreams)
	return c
}
