package platform

import (
	"context"
	"errors"
	"net"
	"slices"
	"time"

	"landingpaddle/internal/arrival"
	"landingpaddle/internal/http1"
	"landingpaddle/scheduler"
)

const (
	// idleFraction is the part of the disk servers' idle timeout for which a connection may stay idle in the
	// pool, so that it is closed before the disk server closes it.
	idleFraction = 0.8
	// settleTime is the time after a response within which unsolicited bytes, such as a late second copy of
	// it, are assumed to arrive. A
	// connection is settled once it has been idle for that time, or if it has not been used yet.
	settleTime = 50 * time.Millisecond
	// defaultIdleTimeout is how long a connection may idle if the settings specify no idle timeout.
	defaultIdleTimeout    = time.Minute
	defaultConnectTimeout = time.Second
	upstreamSweepInterval = time.Second
)

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

// acquire takes an idle connection without unsolicited bytes from the pool: of those that have settled, the
// one released last; nil if there is none. On a connection that has not settled, bytes that belong to no
// request may still arrive and would be read as the next response.
func (p *upstreamPool) acquire(server scheduler.Server) *upstreamConn {
	for {
		connection := p.takeSettled(server)
		if connection == nil {
			return nil
		}
		if time.Since(connection.idleSince) < p.idleTimeout() && isOpenAndEmpty(connection.conn) {
			p.counters.reused.Add(1)
			return connection
		}
		p.counters.stale.Add(1)
		p.discard(connection)
	}
}

// takeSettled removes the settled idle connection that was released last from the pool; nil if there is none.
func (p *upstreamPool) takeSettled(server scheduler.Server) *upstreamConn {
	p.mu.Lock()
	defer p.mu.Unlock()
	idle := p.idle[server]
	found := -1
	for i, connection := range idle {
		if connection.isUnused || time.Since(connection.idleSince) >= p.settleTime {
			found = i
		}
	}
	if found < 0 {
		return nil
	}
	connection := idle[found]
	p.setIdle(server, slices.Delete(idle, found, found+1))
	return connection
}

// setIdle replaces a disk server's idle connections. The caller holds p.mu.
func (p *upstreamPool) setIdle(server scheduler.Server, connections []*upstreamConn) {
	if len(connections) == 0 {
		delete(p.idle, server)
		return
	}
	p.idle[server] = connections
}

func (p *upstreamPool) idleTimeout() time.Duration {
	if timeout := p.config.Site.IdleTimeout; timeout > 0 {
		return time.Duration(idleFraction * float64(timeout))
	}
	return defaultIdleTimeout
}

// releaseAfterAnswer returns a connection to the pool after a response. If its attempt was cancelled before
// that, the connection is closed already and is discarded.
func (p *upstreamPool) releaseAfterAnswer(a *attempt, connection *upstreamConn) {
	a.mu.Lock()
	isOver := a.isOver
	a.conn = nil
	a.mu.Unlock()
	if isOver {
		p.discard(connection)
		return
	}
	connection.idleSince, connection.isUnused = time.Now(), false
	p.release(a.operation.Server(), connection)
}

// release returns a connection to the pool for the next attempt. It does not set idleSince: for its disk
// server, a connection that was not written to is still idle.
func (p *upstreamPool) release(server scheduler.Server, connection *upstreamConn) {
	if p.ctx.Err() != nil {
		p.discard(connection)
		return
	}
	connection.conn.SetReadDeadline(time.Time{})
	connection.reader.Shrink()
	p.mu.Lock()
	p.idle[server] = append(p.idle[server], connection)
	p.mu.Unlock()
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

// evictLongestIdle compares the connections that were released first, one for each disk server, and closes
// the one that has been idle for the longest. It reports false if none is idle. The caller holds p.mu.
func (p *upstreamPool) evictLongestIdle() bool {
	var server scheduler.Server
	var oldest *upstreamConn
	for owner, connections := range p.idle {
		if oldest == nil || connections[0].idleSince.Before(oldest.idleSince) {
			server, oldest = owner, connections[0]
		}
	}
	if oldest == nil {
		return false
	}
	p.setIdle(server, p.idle[server][1:])
	oldest.conn.Close()
	p.connections--
	return true
}

// sweepIdle closes idle connections before the idle timeout of disk servers, and those to disk servers that
// were removed. When ctx ends it closes all idle connections.
func (p *upstreamPool) sweepIdle(ctx context.Context) {
	runPeriodically(ctx, upstreamSweepInterval, func() {
		p.closeIdleWhere(func(server scheduler.Server, connection *upstreamConn) bool {
			entry, known := p.addresses.find(server)
			return time.Since(connection.idleSince) >= p.idleTimeout() || !known || entry.isRemoved()
		})
	})
	p.closeIdleWhere(func(scheduler.Server, *upstreamConn) bool { return true })
}

func (p *upstreamPool) closeIdleWhere(shouldClose func(scheduler.Server, *upstreamConn) bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for server, connections := range p.idle {
		p.setIdle(server, slices.DeleteFunc(connections, func(connection *upstreamConn) bool {
			if !shouldClose(server, connection) {
				return false
			}
			connection.conn.Close()
			p.connections--
			return true
		}))
	}
}
