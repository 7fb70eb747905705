package testbed

import (
	"context"
	"sync"
	"time"

	"landingpaddle/internal/proto"
)

// Timeouts and limits of a client's connections.
const (
	dialTimeout            = 250 * time.Millisecond
	clientHandshakeTimeout = time.Second
	clientSilenceTimeout   = 5 * time.Minute
	clientMaxHeader        = 4 << 10   // bytes
	clientMaxPayload       = 64 << 20  // bytes
	clientMaxBacklog       = 256 << 20 // bytes
	clientMaxRequests      = 1 << 16
)

// lateMargin is how long a stand-in client waits beyond its timeout, so that a late answer is logged. The
// invariant checker decides by the site's answer slack whether an answer is late.
const lateMargin = 200 * time.Millisecond

// noCell represents an unknown cell.
const noCell = -1

// ClientBehavior specifies how clients retry a request that was not served.
type ClientBehavior struct {
	Retries         int           // maximum number for one request
	RetryDelay      time.Duration // minimum delay before a retry
	HonorRetryAfter bool          // wait at least for an answer's Retry-After before a retry
	FailOver        bool          // retry at another instance when one is not reachable or disconnects
}

// Client is a stand-in client with one connection to each instance that it uses, opened on demand. Any
// goroutine may use it.
type Client struct {
	number   int
	log      *Log
	addrs    []string // of the instances, by number
	behavior ClientBehavior

	mu        sync.Mutex
	conns     map[int]*clientConn // by instance
	connsMade uint64              // number of connections dialed so far
	readers   sync.WaitGroup      // goroutines that read from connections
}

// NewClient returns a client of the instances at addrs, which are indexed by instance number.
func NewClient(number int, log *Log, addrs []string, behavior ClientBehavior) *Client {
	return &Client{
		number:   number,
		log:      log,
		addrs:    addrs,
		behavior: behavior,
		conns:    map[int]*clientConn{},
	}
}

// Reconnect closes all connections; the next requests open new ones.
func (c *Client) Reconnect() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, conn := range c.conns {
		conn.closeGracefully()
	}
	c.conns = map[int]*clientConn{}
}

// Close closes all connections and waits for their goroutines to end.
func (c *Client) Close() {
	c.Reconnect()
	c.readers.Wait()
}

// Result is the outcome of a request for its client, retries included.
type Result struct {
	Code    proto.Code    // 0: no answer
	Latency time.Duration // from the start of the first try
	Cell    int           // that stores a served request's data; -1: unknown
}

// Do sends a request to the first of the instances and retries it as the client's behaviour specifies, until
// it is served or its timeout has passed. request.Timeout is the total time over all tries; answerTimeout, if
// not 0, limits the wait for one answer.
func (c *Client) Do(ctx context.Context, request proto.Request, instances []int,
	answerTimeout time.Duration) Result {
	start := time.Now()
	deadline := start.Add(request.Timeout)
	failovers := 0
	request.Client = uint32(c.number)
	for try := 0; ; try++ {
		request.ClientTry = uint16(try)
		request.Timeout = time.Until(deadline)
		if answerTimeout > 0 {
			request.Timeout = min(request.Timeout, answerTimeout)
		}
		answer, reached := c.send(ctx, request, instances[failovers%len(instances)])
		if reached && answer.Code == proto.OK {
			return Result{proto.OK, time.Since(start), int(answer.Cell) - 1}
		}
		if try >= c.behavior.Retries || ctx.Err() != nil {
			return Result{answer.Code, time.Since(start), noCell}
		}
		if !reached && c.behavior.FailOver {
			failovers++
		}
		delay := c.retryDelay(answer)
		if time.Until(deadline) <= delay || !sleep(ctx, delay) {
			return Result{answer.Code, time.Since(start), noCell}
		}
	}
}

// retryDelay returns the delay before a retry after an answer.
func (c *Client) retryDelay(answer proto.Answer) time.Duration {
	if c.behavior.HonorRetryAfter {
		return max(c.behavior.RetryDelay, answer.RetryAfter)
	}
	return c.behavior.RetryDelay
}

// send sends a request once and returns its answer, or the zero value if none arrived in time. It returns
// false if the instance could not be reached, or the connection or ctx ended before the answer.
func (c *Client) send(ctx context.Context, request proto.Request, instance int) (proto.Answer, bool) {
	conn := c.connTo(ctx, instance)
	if conn.err != nil {
		return proto.Answer{}, false
	}
	pending, ok := conn.post(request)
	if !ok {
		return proto.Answer{}, false
	}
	return conn.await(ctx, pending)
}

// connTo returns the connection to an instance and opens it if there is none. Its err is not nil if that
// failed.
func (c *Client) connTo(ctx context.Context, instance int) *clientConn {
	c.mu.Lock()
	conn := c.conns[instance]
	if conn != nil {
		c.mu.Unlock()
		<-conn.dialed
		return conn
	}
	c.connsMade++
	conn = newClientConn(c, instance, c.connsMade)
	c.conns[instance] = conn
	c.mu.Unlock()
	dialCtx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	conn.conn, conn.err = proto.Dial(dialCtx, c.addrs[instance], c.connConfig())
	if conn.err == nil {
		c.readers.Go(func() { conn.read(ctx) })
	} else {
		c.removeConn(conn)
	}
	close(conn.dialed)
	return conn
}

func (c *Client) connConfig() proto.Config {
	return proto.Config{
		Hello:            proto.Hello{Role: "client", Number: uint32(c.number)},
		HandshakeTimeout: clientHandshakeTimeout,
		SilenceTimeout:   clientSilenceTimeout,
		Limits: proto.Limits{
			MaxHeader:  clientMaxHeader,
			MaxPayload: clientMaxPayload,
			MaxStreams: clientMaxRequests,
			MaxBacklog: clientMaxBacklog,
		},
	}
}

// removeConn removes a connection, so that the next request to its instance opens a new one.
func (c *Client) removeConn(conn *clientConn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.conns[conn.instance] == conn {
		delete(c.conns, conn.instance)
	}
}
