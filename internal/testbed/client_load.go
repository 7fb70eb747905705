package testbed

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"landingpaddle/internal/proto"
)

// loadKeys is the number of keys that the requests of a load use in turn. It is prime, so that each key is
// combined with all volumes and cells.
const loadKeys = 997

// Load specifies requests that one client sends to instances in turn, at a constant rate.
type Load struct {
	Instances int // number of instances, from 0, that the requests use in turn
	Requests  int
	Rate      float64 // requests a second
	Class     uint16
	Plan      uint16
	Cells     int32  // number of cells, from 0, that the requests use in turn
	Volumes   uint64 // number of volumes, from 1, that the requests use in turn
	Units     uint32 // of each request
	Timeout   time.Duration
	Write     bool
}

// LoadResult is the outcome of a load.
type LoadResult struct {
	CountByCode map[proto.Code]int // number of requests by the code of their answer; 0: no answer
	MeanLatency time.Duration      // over Load.Requests, whatever their code; includes retries
}

// SendLoad sends a load until it is complete or ctx ends, and returns once all requests that were sent have
// ended.
func (c *Client) SendLoad(ctx context.Context, load Load) LoadResult {
	result := LoadResult{CountByCode: map[proto.Code]int{}}
	var mu sync.Mutex
	var total time.Duration
	var requests sync.WaitGroup
	// Random tokens keep nodes from deduplicating requests against those of an earlier load.
	start, firstToken := time.Now(), rand.Uint64()>>1
	for i := range load.Requests {
		after := time.Duration(float64(i) / load.Rate * float64(time.Second))
		time.Sleep(time.Until(start.Add(after)))
		if ctx.Err() != nil {
			break
		}
		requests.Go(func() {
			outcome := c.Do(ctx, load.request(uint64(i), firstToken), []int{i % load.Instances}, 0)
			mu.Lock()
			defer mu.Unlock()
			result.CountByCode[outcome.Code]++
			total += outcome.Latency
		})
	}
	requests.Wait()
	result.MeanLatency = total / time.Duration(load.Requests)
	return result
}

// request returns the request with a number, counted from 0.
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
