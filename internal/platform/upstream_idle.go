package platform

import (
	"context"
	"slices"
	"time"

	"landingpaddle/scheduler"
)

const (
	// idleFraction is the part of the disk servers' idle timeout for which a connection may stay idle in the
	// pool, so that it is closed before the disk server closes it.
	idleFraction = 0.8
	// settleTime is the time after a response within which unsolicited bytes, such as a late second copy of
	// it, are assumed to arrive. A connection is settled once it has been idle for that time, or if it has
	// not been used yet.
	settleTime = 50 * time.Millisecond
	// defaultIdleTimeout is how long a connection may idle if the settings specify no idle timeout.
	defaultIdleTimeout    = time.Minute
	upstreamSweepInterval = time.Second
)

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
