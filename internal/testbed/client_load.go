package testbed

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"landingpaddle/internal/proto"
)

// loadKeys is how many keys a load's requests have in turn.
const loadKeys = 997

// Load is requests that one client sends to instances in turn, at a rate.
type Load struct {
	Instances int
	Requests  int
	Rate      float64 // requests a second
	Class     uint16
	Plan      uint16
	Cells     int32  // the requests' cells are 0 to this less one, in turn
	Volumes   uint64 // the requests' volumes are 1 to this, in turn
	Units     uint32 // of each request
	Timeout   time.Duration
	Write     bool
}

// LoadResult is what a load came to.
type LoadResult struct {
	Ended       map[proto.Code]int // requests by the code of their answer; 0: no answer
	MeanLatency time.Duration
}

// SendLoad sends a load, or what of it is sent before ctx ends, and returns once all its requests have
// ended.
func (c *Client) SendLoad(ctx context.Context, load Load) LoadResult {
	result := LoadResult{Ended: map[proto.Code]int{}}
	var mu sync.Mutex
	var total time.Duration
	var requests sync.WaitGroup
	start, firstToken := time.Now(), rand.Uint64()>>1
	for i := range load.Requests {
		after := time.Duration(float64(i) / load.Rate * float64(time.Second))
		time.Sleep(time.Until(start.Add(after)))
		if ctx.Err() != nil {
			break
		}
		requests.Go(func() {
			ended := c.Do(ctx, load.request(uint64(i), firstToken), []int{i % load.Instances}, 0)
			mu.Lock()
			defer mu.Unlock()
			result.Ended[ended.Code]++
			total += ended.Took
		})
	}
	requests.Wait()
	result.MeanLatency = total / time.Duration(load.Requests)
	return result
}

// request makes the request of that number, from 0.
func (l *Load) request(number, firstToken uint64) proto.Request {
	return proto.Request{
		Token:           firstToken + number,
		Class:           l.Class,
		Plan:            l.Plan,
		Volume:          1 + number%l.Volumes,
		VolumeInstances: 1,
		Key:             1 + number%loadKeys,
		Units:           l.Units,
		Cell:            int32(number) % l.Cells,
		Timeout:         l.Timeout,
		Write:           l.Write,
	}
}
