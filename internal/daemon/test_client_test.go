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
	t       *testing.T
	conn    *proto.Conn
	mu      sync.Mutex
	answers map[uint64][]proto.Answer
	bodies  map[uint64][]byte
	ended   chan struct{}
	next    uint64
}

func (c *testClient) ask(change func(*proto.Request)) uint64 { return c.send(nil, change) }

func (c *testClient) send(payload []byte, change func(*proto.Request)) uint64 {
	c.t.Helper()
	c.next++
	q := proto.Request{Token: c.next, Volume: 1, Units: 1, Timeout: 4 * time.Second, VolumeInstances: 1}
	if change != nil {
		change(&q)
	}
	err := errors.Join(c.conn.OpenStream(c.next), c.conn.Send(proto.TypeRequest, c.next, q, payload))
	if err != nil {
		c.t.Fatal(err)
	}
	return c.next
}

// wait returns the answer to a request once there is one.
func (c *testClient) wait(stream uint64) proto.Answer {
	c.t.Helper()
	for range 1000 {
		if a := c.all(stream); len(a) > 0 {
			return a[0]
		}
		time.Sleep(10 * time.Millisecond)
	}
	c.t.Fatalf("request %d: no answer", stream)
	return proto.Answer{}
}

func (c *testClient) all(stream uint64) []proto.Answer {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.answers[stream]
}

// once checks that all requests have exactly one final answer.
func (c *testClient) once() {
	c.t.Helper()
	c.mu.Lock()
	defer c.mu.Unlock()
	for s := uint64(1); s <= c.next; s++ {
		if n := len(c.answers[s]); n != 1 {
			c.t.Errorf("request %d has %d final answers", s, n)
		}
	}
}
