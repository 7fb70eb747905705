package platform

import (
	"context"
	"errors"
	"net"
	"time"

	"landingpaddle/internal/arrival"
	"landingpaddle/internal/http1"
)

// defaultConnectTimeout is the connect timeout if the settings specify none.
const defaultConnectTimeout = time.Second

var errPoolExhausted = errors.New("connection limit reached and no connection is idle")

// upstreamConn is one connection to a disk server. While it is idle it belongs to the pool, else to one
// attempt or health check.
type upstreamConn struct {
	conn      net.Conn
	reader    *http1.Reader
	idleSince time.Time // when the last response arrived; before the first one, when it was dialed
	isUnused  bool      // no response has arrived on it yet
}

// beginResponse states that a request is about to be written, whose response is the next message.
func (c *upstreamConn) beginResponse() {
	if conn, ok := c.conn.(*arrival.Conn); ok {
		conn.BeginSpread()
	}
}

// responseSpread returns the time between the first and the last read of the present response; 0 if the
// connection does not tell.
func (c *upstreamConn) responseSpread() time.Duration {
	if conn, ok := c.conn.(*arrival.Conn); ok {
		return conn.Spread()
	}
	return 0
}

// discard closes a connection that is not idle in the pool.
func (p *upstreamPool) discard(connection *upstreamConn) {
	connection.conn.Close()
	p.freeConnection()
}

func (p *upstreamPool) freeConnection() {
	p.mu.Lock()
	p.connections--
	p.mu.Unlock()
}

// dial opens a connection, in place of an idle one if the limit of connections is reached. If none is idle
// then, the error is errPoolExhausted.
func (p *upstreamPool) dial(ctx context.Context, address string) (*upstreamConn, error) {
	if !p.reserveConnection() {
		p.counters.exhausted.Add(1)
		return nil, errPoolExhausted
	}
	ctx, cancel := context.WithTimeout(ctx, p.connectTimeout())
	defer cancel()
	p.counters.dialed.Add(1)
	conn, err := p.connect(ctx, "tcp4", address)
	if err == nil {
		conn, err = withArrivals(conn)
	}
	if err != nil {
		p.freeConnection()
		return nil, err
	}
	limits := http1.Limits{MaxHead: maxUpstreamHead, MaxBody: maxBody}
	return &upstreamConn{conn: conn, reader: http1.NewReader(conn, limits), idleSince: time.Now(),
		isUnused: true}, nil
}

// withArrivals lets a TCP connection tell whether it has unread data. Other connections are returned
// unchanged.
func withArrivals(conn net.Conn) (net.Conn, error) {
	tcp, ok := conn.(*net.TCPConn)
	if !ok {
		return conn, nil
	}
	return arrival.NewConn(tcp)
}

func (p *upstreamPool) reserveConnection() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.connections >= p.maxConnections && !p.evictLongestIdle() {
		return false
	}
	p.connections++
	return true
}

func (p *upstreamPool) connectTimeout() time.Duration {
	if timeout := p.config.Site.Settings.ConnectTimeout; timeout > 0 {
		return timeout
	}
	return defaultConnectTimeout
}
