package daemon

import (
	"errors"
	"sync"
	"testing"
	"time"

	"landingpaddle/internal/proto"
)

// testClient sends requests and collects all answers to them.
type testClient struct {
	t          *testing.T
	conn       *proto.Conn
	mu         sync.Mutex
	answers    map[uint64][]proto.Answer // by stream
	payloads   map[uint64][]byte         // of the last answer, by stream
	ended      chan struct{}             // closed when the connection has ended
	lastStream uint64
}

// sendRequest sends a request without payload, as modified by change, and returns its stream.
func (c *testClient) sendRequest(change func(*proto.Request)) uint64 {
	return c.sendPayload(nil, change)
}

// sendPayload sends a request with a payload and returns its stream. change may be nil.
func (c *testClient) sendPayload(payload []byte, change func(*proto.Request)) uint64 {
	c.t.Helper()
	c.lastStream++
	request := proto.Request{
		Token:           c.lastStream,
		Volume:          1,
		Units:           1,
		Timeout:         4 * time.Second,
		VolumeInstances: 1,
	}
	if change != nil {
		change(&request)
	}
	err := errors.Join(
		c.conn.OpenStream(c.lastStream),
		c.conn.Send(proto.TypeRequest, c.lastStream, request, payload),
	)
	if err != nil {
		c.t.Fatal(err)
	}
	return c.lastStream
}

// awaitAnswer waits up to 10 s for the answer to a request and returns it.
func (c *testClient) awaitAnswer(stream uint64) proto.Answer {
	c.t.Helper()
	for range 1000 {
		if a := c.answersTo(stream); len(a) > 0 {
			return a[0]
		}
		time.Sleep(10 * time.Millisecond)
	}
	c.t.Fatalf("request %d: got no answer within 10s; want one", stream)
	return proto.Answer{}
}

// answersTo returns all answers to a request so far.
func (c *testClient) answersTo(stream uint64) []proto.Answer {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.answers[stream]
}

// expectOneAnswerEach checks that each request has exactly one final answer.
func (c *testClient) expectOneAnswerEach() {
	c.t.Helper()
	c.mu.Lock()
	defer c.mu.Unlock()
	for stream := uint64(1); stream <= c.lastStream; stream++ {
		if n := len(c.answers[stream]); n != 1 {
			c.t.Errorf("request %d: got %d final answers; want 1", stream, n)
		}
	}
}

// call sends a request and returns its answer.
func (c *testClient) call(change func(*proto.Request)) proto.Answer {
	c.t.Helper()
	return c.awaitAnswer(c.sendRequest(change))
}

// withKey returns a change that sets the key of a request.
func withKey(key uint64) func(*proto.Request) {
	return func(q *proto.Request) { q.Key = key }
}
