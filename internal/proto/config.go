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
	// Handshake bounds the greeting, Idle how long a connection without requests in flight stays open,
	// Silence how long nothing may be received on one with requests in flight, Write how long a write may
	// make no progress.
	HandshakeTimeout, IdleTimeout, SilenceTimeout, WriteTimeout time.Duration
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
