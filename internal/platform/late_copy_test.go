package platform

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

// lateCopies answers requests, and sends a second copy of each answer on its connection after a delay, unless
// another request has come on it by then. The copy is on its way for a while.
type lateCopies struct {
	work, delay, travel time.Duration
	requests            sync.Map // number of requests by connection: int to *atomic.Int64
	sent                sync.WaitGroup
	copies              atomic.Int64
}

func (c *lateCopies) respond(n int, request *receivedRequest) []byte {
	value, _ := c.requests.LoadOrStore(request.connection, new(atomic.Int64))
	count := value.(*atomic.Int64)
	own := count.Add(1)
	time.Sleep(c.work)
	response := echoID(n, request)
	c.sent.Go(func() {
		time.Sleep(c.delay)
		if count.Load() != own {
			return
		}
		time.Sleep(c.travel)
		c.copies.Add(1)
		request.conn.Write(response) // its error means that the connection has ended
	})
	return response
}

// Guards against an answer that belongs to another request: a connection was used again while a second copy
// of its last answer, some milliseconds late, was on its way.
func TestAttempt_NeverServesLateSecondCopy(t *testing.T) {
	const clients, requests, maxGap = 8, 30, 40 * time.Millisecond
	for _, delay := range []time.Duration{12 * time.Millisecond, 25 * time.Millisecond} {
		t.Run(delay.String(), func(t *testing.T) {
			copies := &lateCopies{work: 10 * time.Millisecond, delay: delay, travel: 5 * time.Millisecond}
			fixture := startGateway(t, 256, newFakeDiskServer(t, copies.respond))
			var foreign atomic.Int64
			var wait sync.WaitGroup
			for number := range clients {
				client, random := fixture.dial(), rand.New(rand.NewPCG(1, uint64(number)))
				wait.Go(func() {
					for n := range requests {
						id := fmt.Sprintf("a%d-%d", number, n)
						client.send(readText(id))
						if status, _, body := client.readAnswer(); status == 200 && body != id {
							foreign.Add(1)
						}
						time.Sleep(time.Duration(random.Int64N(int64(maxGap))))
					}
				})
			}
			wait.Wait()
			copies.sent.Wait()
			if count := foreign.Load(); count > 0 || copies.copies.Load() == 0 {
				t.Errorf("got %d of %d requests served with another one's answer, %d second copies sent; "+
					"want none and some", count, clients*requests, copies.copies.Load())
			}
		})
	}
}
