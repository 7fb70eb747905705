package testbed

import (
	"context"
	"sync"
	"time"

	"landingpaddle/internal/proto"
)

// Limits of a client's connections, and for how long it tries to make one.
const (
	dialTimeout       = 250 * time.Millisecond
	clientHandshake   = time.Second
	clientSilence     = 5 * time.Minute
	clientMaxHeader   = 4 << 10   // bytes
	clientMaxPayload  = 64 << 20  // bytes
	clientMaxBacklog  = 256 << 20 // bytes
	clientMaxRequests = 1 << 16
)

// lateMargin is how long stand-in clients stay to see a late answer; the invariant checker judges by the
// site's own slack.
const lateMargin = 200 * time.Millisecond

// noCell stands for a cell that is not known.
const noCell = -1

// ClientBehavior is what clients do when a request was not served.
type ClientBehavior struct {
	Retries         int
	RetryDelay      time.Duration // before a retry
	HonorRetryAfter bool          // wait as long as a rejection says
	FailOver        bool          // go to another instance when one cannot be reached
}

// Client is a stand-in client: one connection to each instance that it uses, made when needed. Any goroutine
// may use it.
type Client struct {
	number   int
	log      *Log
	addrs    []string // of the instances
	behavior ClientBehavior

	mu        sync.Mutex
	conns     map[int]*clientConn // by instance
	connsMade uint64
	readers   sync.WaitGroup
}

// NewClient makes a client of the instances at those addresses.
func NewClient(number int, log *Log, addrs []string, behavior ClientBehavior) *Client {
	return &Client{
		number:   number,
		log:      log,
		addrs:    addrs,
		behavior: behavior,
		conns:    map[int]*clientConn{},
	}
}

// Reconnect closes all connections; the next request makes new ones.
func (c *Client) Reconnect() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, conn := range c.conns {
		conn.leave()
	}
	c.conns = map[int]*clientConn{}
}

// Close ends all connections and waits for their goroutines.
func (c *Client) Close() {
	c.Reconnect()
	c.readers.Wait()
}

// Result is how a request ended for its client, its retries included.
type Result struct {
	Code proto.Code // 0: no answer
	Took time.Duration
	Cell int // that holds a served request's data; -1: not known
}

// Do sends a request to one of the instances, and again by the client's behaviour, until it is served or its
// timeout has passed. request.Timeout is the whole time that the client waits; patience, where not 0, is how
// long it waits for one answer.
func (c *Client) Do(ctx context.Context, request proto.Request, instances []int,
	patience time.Duration) Result {
	start := time.Now()
	deadline := start.Add(request.Timeout)
	turn := 0
	request.Client = uint32(c.number)
	for try := 0; ; try++ {
		request.ClientTry = uint16(try)
		request.Timeout = time.Until(deadline)
		if patience > 0 {
			request.Timeout = min(request.Timeout, patience)
		}
		answer, reached := c.send(ctx, request, instances[turn%len(instances)])
		if reached && answer.Code == proto.OK {
			return Result{proto.OK, time.Since(start), int(answer.Cell) - 1}
		}
		if try >= c.behavior.Retries || ctx.Err() != nil {
			return Result{answer.Code, time.Since(start), noCell}
		}
		if !reached && c.behavior.FailOver {
			turn++
		}
		delay := c.retryDelay(answer)
		if time.Until(deadline) <= delay || !sleep(ctx, delay) {
			return Result{answer.Code, time.Since(start), noCell}
		}
	}
}

// retryDelay is how long the client waits before it retries after an answer.
func (c *Client) retryDelay(answer proto.Answer) time.Duration {
	if c.behavior.HonorRetryAfter {
		return max(c.behavior.RetryDelay, answer.RetryAfter)
	}
	return c.behavior.RetryDelay
}

// send sends a request once and returns its answer, the zero one if none came in time. It returns false where
// the instance could not be reached or was lost before it answered.
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

// connTo is the connection to an instance, made if there is none. Its err says whether that failed.
func (c *Client) connTo(ctx context.Context, instance int) *clientConn {
	c.mu.Lock()
	conn := c.conns[instance]
	if conn != nil {
		c.mu.Unlock()
		<-conn.made
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
		c.forget(conn)
	}
	close(conn.made)
	return conn
}

func (c *Client) connConfig() proto.Config {
	return proto.Config{
		Hello:            proto.Hello{Role: "client", Number: uint32(c.number)},
		HandshakeTimeout: clientHandshake,
		SilenceTimeout:   clientSilence,
		Limits: proto.Limits{
			MaxHeader:  clientMaxHeader,
			MaxPayload: clientMaxPayload,
			MaxStreams: clientMaxRequests,
			MaxBacklog: clientMaxBacklog,
		},
	}
}

// forget makes the next request to a connection's instance make another one.
func (c *Client) forget(conn *clientConn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.conns[conn.instance] == conn {
		delete(c.conns, conn.instance)
	}
}
