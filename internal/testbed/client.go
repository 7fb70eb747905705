package testbed

import (
	"context"
	"sync"
	"time"

	"landingpaddle/internal/proto"
)

// Habit is what clients do when a try was not served.
type ClientBehavior struct {
	Retries         int
	RetryDelay      time.Duration // before a retry
	HonorRetryAfter bool          // stay away as long as advised
	FailOver        bool          // go to another instance when this one cannot be reached
}

// Client is a stand-in client: one connection to each instance that it uses, made when needed.
type Client struct {
	number int
	log    *Log
	addrs  []string // of instances
	habit  ClientBehavior

	mu    sync.Mutex
	conns map[int]*clientConn
	made  uint64
	wg    sync.WaitGroup
}

type clientConn struct {
	c    *Client
	inst int
	nth  uint64
	made chan struct{} // closed once conn or err is set
	conn *proto.Conn
	err  error

	mu    sync.Mutex
	next  uint64
	calls map[uint64]chan proto.Answer
	sent  map[uint64]proto.Request // all streams, so that a second answer is known for what it is
	gone  bool
	left  bool // the client ended it itself
}

// NewClient makes a client of the instances at those addresses.
func NewClient(number int, log *Log, addrs []string, habit ClientBehavior) *Client {
	return &Client{number: number, log: log, addrs: addrs, habit: habit, conns: map[int]*clientConn{}}
}

// Reconnect breaks all connections; the next request makes new ones.
func (c *Client) Reconnect() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, cc := range c.conns {
		select {
		case <-cc.made:
			if cc.conn != nil {
				cc.mu.Lock()
				cc.left = true
				cc.mu.Unlock()
				cc.conn.CloseGracefully("reconnect")
			}
		default:
		}
	}
	c.conns = map[int]*clientConn{}
}

// Close ends all connections and waits for their goroutines.
func (c *Client) Close() {
	c.Reconnect()
	c.wg.Wait()
}

// link is the connection to an instance, made if there is none.
func (c *Client) link(ctx context.Context, inst int) *clientConn {
	c.mu.Lock()
	cc := c.conns[inst]
	if cc != nil {
		c.mu.Unlock()
		<-cc.made
		return cc
	}
	c.made++
	cc = &clientConn{c: c, inst: inst, nth: c.made, made: make(chan struct{}),
		calls: map[uint64]chan proto.Answer{}, sent: map[uint64]proto.Request{}}
	c.conns[inst] = cc
	c.mu.Unlock()
	dial, cancel := context.WithTimeout(ctx, 250*time.Millisecond)
	defer cancel()
	cfg := proto.Config{Hello: proto.Hello{Role: "client", Number: uint32(c.number)}, Handshake: time.Second,
		Silence: 5 * time.Minute, Limits: proto.Limits{Header: 4 << 10, Payload: 64 << 20, Streams: 1 << 16,
			Backlog: 256 << 20}}
	cc.conn, cc.err = proto.Dial(dial, c.addrs[inst], cfg)
	if cc.err == nil {
		c.wg.Add(1)
		go func() {
			defer c.wg.Done()
			_ = cc.conn.Run(ctx, cc.frame) // an end is seen by the calls that wait
			cc.end()
		}()
	} else {
		c.forget(cc)
	}
	close(cc.made)
	return cc
}

func (c *Client) forget(cc *clientConn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.conns[cc.inst] == cc {
		delete(c.conns, cc.inst)
	}
}

func (cc *clientConn) frame(f proto.Frame) error {
	if f.Type != proto.TypeAnswer {
		return nil
	}
	var a proto.Answer
	if err := f.Decode(&a); err != nil {
		return err
	}
	cc.mu.Lock()
	q := cc.sent[f.Stream]
	done := cc.calls[f.Stream]
	delete(cc.calls, f.Stream)
	cc.mu.Unlock()
	cc.conn.CloseStream(f.Stream)
	cc.c.log.Add(Event{Kind: KindAnswer, Instance: cc.inst, Client: cc.c.number, Conn: cc.nth, Seq: f.Stream,
		Token: q.Token, Try: int(q.Try), Class: int(q.Class), Plan: int(q.Plan), Volume: q.Volume, Key: q.Key,
		Units: int(q.Units), Code: a.Code, Reason: a.Reason, Wait: int64(a.RetryAfter), Cell: int(a.Cell) - 1,
		Sum: checksum(q.Offset, f.Payload), Data: rangedOf(&q), Offset: q.Offset,
		Length: uint64(len(f.Payload)), Write: q.Write})
	if done != nil {
		done <- a
	}
	return nil
}

// rangedOf is the volume whose bytes a ranged request is for, else 0.
func rangedOf(q *proto.Request) uint64 {
	if q.Ranged {
		return q.DataVolume()
	}
	return 0
}

func (cc *clientConn) end() {
	cc.c.forget(cc)
	cc.mu.Lock()
	defer cc.mu.Unlock()
	cc.gone = true
	for _, done := range cc.calls {
		close(done)
	}
	cc.calls = nil
}

// Result is how an operation ended for its client.
type Result struct {
	Code proto.Code // 0: no answer
	Took time.Duration
	Cell int // where a new object was put, -1: unknown
}

// Do asks one of the instances, and again by the client's habit, until the operation is served or its
// deadline has passed. q.Wait is the whole time that the client waits; patience, where not 0, is how long
// it waits for one try.
func (c *Client) Do(ctx context.Context, q proto.Request, insts []int, patience time.Duration) Result {
	start := time.Now()
	deadline := start.Add(q.Timeout)
	at := 0
	q.Client = uint32(c.number)
	for try := 0; ; try++ {
		q.Try = uint16(try)
		q.Timeout = time.Until(deadline)
		if patience > 0 {
			q.Timeout = min(q.Timeout, patience)
		}
		a, reached := c.try(ctx, q, insts[at%len(insts)])
		if reached && a.Code == proto.OK {
			return Result{proto.OK, time.Since(start), int(a.Cell) - 1}
		}
		if try >= c.habit.Retries || ctx.Err() != nil {
			return Result{a.Code, time.Since(start), -1}
		}
		wait := c.habit.RetryDelay
		if c.habit.HonorRetryAfter {
			wait = max(wait, a.RetryAfter)
		}
		if !reached && c.habit.FailOver {
			at++
		}
		if time.Until(deadline) <= wait || !sleep(ctx, wait) {
			return Result{a.Code, time.Since(start), -1}
		}
	}
}

// try is one try; false where the instance could not be reached or was lost before it answered.
func (c *Client) try(ctx context.Context, q proto.Request, inst int) (proto.Answer, bool) {
	cc := c.link(ctx, inst)
	if cc.err != nil {
		return proto.Answer{}, false
	}
	cc.mu.Lock()
	if cc.gone {
		cc.mu.Unlock()
		return proto.Answer{}, false
	}
	cc.next++
	stream := cc.next
	done := make(chan proto.Answer, 1)
	cc.calls[stream], cc.sent[stream] = done, q
	e := Event{Kind: KindSent, Instance: inst, Client: c.number, Conn: cc.nth, Seq: stream, Token: q.Token,
		Try: int(q.Try), Class: int(q.Class), Plan: int(q.Plan), Volume: q.Volume, Key: q.Key,
		Units: int(q.Units), Wait: int64(q.Timeout), Cell: int(q.Cell), Write: q.Write}
	var payload []byte
	if q.Ranged {
		e.Data, e.Offset, e.Length = q.DataVolume(), q.Offset, uint64(q.Length)
		if q.Write {
			payload = make([]byte, q.Length)
			for i := range payload {
				payload[i] = writtenByte(q.Token, q.Offset+uint64(i))
			}
			e.Sum = checksum(q.Offset, payload)
		}
	}
	// Logged and posted under one lock: the order in the log is the order on the connection.
	c.log.Add(e)
	err := cc.conn.OpenStream(stream)
	if err == nil {
		err = cc.conn.Send(proto.TypeRequest, stream, q, payload)
	}
	cc.mu.Unlock()
	if err != nil {
		e.Kind = KindBroken
		c.log.Add(e)
		return proto.Answer{}, false
	}
	// The client waits a little longer than it said, to see whether the answer comes when it must.
	t := time.NewTimer(q.Timeout + lateMargin)
	defer t.Stop()
	select {
	case a, ok := <-done:
		if !ok {
			e.Kind = KindBroken
			cc.mu.Lock()
			if cc.left {
				e.Kind = KindClientLeft
			}
			cc.mu.Unlock()
			c.log.Add(e)
		}
		return a, ok
	case <-t.C:
		e.Kind = KindTimedOut
		c.log.Add(e)
		return proto.Answer{}, true
	case <-ctx.Done():
		return proto.Answer{}, false
	}
}

// lateMargin is how long stand-in clients stay to see a late answer; the audit judges by its own, stated
// slack.
const lateMargin = 200 * time.Millisecond
