package main

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"
)

const (
	lateClients = 12
	lateLength  = 40 * time.Second
	lateThink   = 200 * time.Millisecond // mean time between a client's requests: about 55 requests a second
	lateWork    = 20 * time.Millisecond
	lateShare   = 4 // one of so many answers is followed by a second copy
	lateBy      = 12 * time.Millisecond
	lateLink    = 700 * time.Microsecond // one way; between halls it is 0.42 to 0.78 ms
)

// lateCase lets disk servers send second copies of some answers some milliseconds late.
func lateCase(rec *recorder) error {
	var copies atomic.Int64
	g, _, err := startWorld(rec, 4, lateHandler(&copies), func(server *disk) (string, error) {
		return startLink(server.address, lateLink)
	}, 0)
	if err != nil {
		return err
	}
	defer g.close()
	var wait sync.WaitGroup
	var served atomic.Int64
	until := rec.now() + lateLength
	for i := range lateClients {
		wait.Go(func() { lateClient(rec, g, rand.New(rand.NewPCG(1, uint64(i))), until, &served) })
	}
	wait.Wait()
	rec.logf("%d requests served, %d second copies sent", served.Load(), copies.Load())
	if served.Load() == 0 || trouble && copies.Load() == 0 {
		return fmt.Errorf("nothing was served, or no second copy sent")
	}
	return nil
}

// lateHandler serves every request. Some answers are followed by a second copy, if nothing else waits on the
// connection by then.
func lateHandler(copies *atomic.Int64) func(*diskRequest) bool {
	var answers atomic.Int64
	return func(q *diskRequest) bool {
		time.Sleep(lateWork)
		q.run()
		if !q.write(q.ok()) {
			return false
		}
		if !trouble || answers.Add(1)%lateShare != 0 || q.isFollowed(lateBy) {
			return true
		}
		copies.Add(1)
		q.server.rec.logf("disk %s sends a second copy of the answer to %s", q.server.name, q.id())
		return q.write(q.ok())
	}
}

// lateClient sends one request after another until the time is over.
func lateClient(rec *recorder, g *gateway, random *rand.Rand, until time.Duration, served *atomic.Int64) {
	var c *clientConn
	for rec.now() < until {
		time.Sleep(time.Duration(random.ExpFloat64() * float64(lateThink)))
		if c == nil {
			var err error
			if c, err = dialClient(rec, g.listen); err != nil {
				rec.logf("no connection: %v", err)
				return
			}
		}
		extent := random.Uint64() >> 1
		m := read(extent, random.IntN(4), 2500*time.Millisecond)
		if random.IntN(100) < 35 {
			m = write(extent, m.shard, 3*time.Second, fmt.Appendf(nil, "content of %s", m.extent))
		}
		got := c.ask(m)
		if got.status == 200 && got.err == nil {
			served.Add(1)
			if !bytes.Equal(got.body, m.expected()) {
				rec.breakf("%s %s was served with another request's answer: %q", m.method(), m.id, got.body)
			}
		}
		if got.err != nil || got.close {
			c.conn.Close()
			c = nil
		}
	}
}
