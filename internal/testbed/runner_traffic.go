package testbed

import (
	"cmp"
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"landingpaddle/internal/proto"
)

const (
	// firstStreamSeed makes the random seeds of streams differ from those of nodes.
	firstStreamSeed = 1000
	// busiestInstanceShare is the share of a volume's requests that are sent to its busiest instance.
	busiestInstanceShare = 0.6
)

// clientRequest is a request of a stream, and how its client sends it.
type clientRequest struct {
	request       proto.Request
	instances     []int         // in the order in which the client tries them
	answerTimeout time.Duration // limit of the wait for one answer; 0: the request's timeout
}

// scheduledRequest is a request of a run and when it is sent.
type scheduledRequest struct {
	after time.Duration // from the run's start
	clientRequest
}

// runStream sends a stream's requests while traffic lasts, and returns once all of them have ended.
func (r *scenarioRunner) runStream(ctx, traffic context.Context, number int) {
	stream := &r.scenario.Traffic[number]
	rng := rand.New(rand.NewPCG(r.options.Seed, uint64(firstStreamSeed+number)))
	var requests sync.WaitGroup
	defer requests.Wait()
	if stream.Fields != nil && stream.Fields.RunInterval > 0 {
		r.sendRuns(ctx, traffic, &requests, stream, rng)
	} else {
		r.sendAtRate(ctx, traffic, &requests, stream, rng)
	}
}

// sendAtRate sends requests of random volumes at the stream's rate.
func (r *scenarioRunner) sendAtRate(ctx, traffic context.Context, requests *sync.WaitGroup, stream *Traffic,
	rng *rand.Rand) {
	plan := r.scenario.Site.PlanNumber(stream.Plan)
	next := time.Now()
	for traffic.Err() == nil {
		volume := rng.IntN(stream.Volumes)
		if rng.Float64() < stream.HotShare {
			volume = 0
		}
		factor, maxFactor := r.changes.rateFactor(plan, volume), r.changes.maxRateFactor(plan)
		// Requests are drawn at the highest rate of all volumes; those in excess of their volume's rate are
		// discarded below, so that a surge of a few volumes adds requests for these only.
		next = next.Add(time.Duration(rng.ExpFloat64() / (stream.Rate * maxFactor) * float64(time.Second)))
		if !sleep(traffic, time.Until(next)) {
			return
		}
		if rng.Float64()*maxFactor > factor {
			continue
		}
		drawn, ok := r.drawRequest(stream, volume, rng)
		if !ok {
			continue
		}
		if stream.Fields != nil {
			stream.Fields.setSlice(&drawn.request, rng.Uint64N(stream.Fields.sliceCount()))
		}
		r.send(ctx, requests, drawn)
	}
}

// sendRuns sends requests for all slices of all fields within the stream's spread, once per run interval, as
// product jobs do when a model run ends.
func (r *scenarioRunner) sendRuns(ctx, traffic context.Context, requests *sync.WaitGroup, stream *Traffic,
	rng *rand.Rand) {
	for start := time.Now(); traffic.Err() == nil; start = start.Add(stream.Fields.RunInterval) {
		for _, scheduled := range r.drawRun(stream, rng) {
			if !sleep(traffic, time.Until(start.Add(scheduled.after))) && traffic.Err() != nil {
				return
			}
			r.send(ctx, requests, scheduled.clientRequest)
		}
		if !sleep(traffic, time.Until(start.Add(stream.Fields.RunInterval))) && traffic.Err() != nil {
			return
		}
	}
}

// drawRun returns the requests of one run, in the order in which they are sent.
func (r *scenarioRunner) drawRun(stream *Traffic, rng *rand.Rand) []scheduledRequest {
	var run []scheduledRequest
	for volume := range stream.Volumes {
		for slice := range stream.Fields.sliceCount() {
			drawn, ok := r.drawRequest(stream, volume, rng)
			if !ok {
				continue
			}
			stream.Fields.setSlice(&drawn.request, slice)
			after := time.Duration(rng.Int64N(int64(stream.Fields.RunSpread) + 1))
			run = append(run, scheduledRequest{after, drawn})
		}
	}
	slices.SortStableFunc(run, func(a, b scheduledRequest) int { return cmp.Compare(a.after, b.after) })
	return run
}

// send makes a client send a request, unless too many are open.
func (r *scenarioRunner) send(ctx context.Context, requests *sync.WaitGroup, drawn clientRequest) {
	if r.openRequests.Add(1) > maxOpenRequests {
		r.openRequests.Add(-1)
		r.suppressed.Add(1)
		return
	}
	requests.Go(func() {
		defer r.openRequests.Add(-1)
		request := &drawn.request
		client := r.clients[(request.Volume+request.Key)%uint64(len(r.clients))]
		result := client.Do(ctx, *request, drawn.instances, drawn.answerTimeout)
		if result.Code == proto.OK && request.Write && request.Cell < 0 && result.Cell >= 0 {
			r.objects.add(int(request.Plan), object{request.Key, result.Cell})
		}
	})
}

// drawRequest returns a request of a stream, or false if the stream reads new objects and has none yet.
func (r *scenarioRunner) drawRequest(stream *Traffic, volume int, rng *rand.Rand) (clientRequest, bool) {
	site := &r.scenario.Site
	classNumber, plan := site.ClassNumber(stream.Class), site.PlanNumber(stream.Plan)
	class := &site.Classes[classNumber]
	request := proto.Request{
		Token:           r.lastToken.Add(1),
		Class:           uint16(classNumber),
		Plan:            uint16(plan),
		Volume:          volumeNumber(uint64(plan+1), uint64(volume+1)),
		Timeout:         class.Deadline,
		Units:           uint32(stream.Units[0] + rng.IntN(stream.Units[1]-stream.Units[0]+1)),
		Write:           class.Writes,
		VolumeInstances: uint16(min(stream.VolumeInstances, r.scenario.Instances)),
	}
	if !r.drawKeyAndCell(&request, stream, rng) {
		return clientRequest{}, false
	}
	drawn := clientRequest{request: request}
	r.changes.apply(&drawn, rng)
	drawn.instances = r.drawInstances(&request, rng)
	return drawn, true
}

// drawKeyAndCell sets a request's key and cell; it returns false if the stream reads new objects and has none
// yet.
func (r *scenarioRunner) drawKeyAndCell(request *proto.Request, stream *Traffic, rng *rand.Rand) bool {
	switch {
	case stream.NewObjects && request.Write:
		request.Cell, request.Key = proto.NewObject, request.Token
	case stream.NewObjects:
		drawn, ok := r.objects.draw(int(request.Plan), rng)
		if !ok {
			return false
		}
		request.Key, request.Cell = drawn.key, int32(drawn.cell)
	default:
		if stream.Keys > 0 {
			request.Key = request.Volume<<20 | uint64(1+rng.IntN(stream.Keys))
		}
		request.Cell = int32(mixBits(request.Volume^request.Key) % uint64(len(r.nodes)))
	}
	return true
}

// drawInstances returns a volume's instances in the order in which its client tries them: the busiest one
// first or, for some requests, another.
func (r *scenarioRunner) drawInstances(request *proto.Request, rng *rand.Rand) []int {
	count := int(request.VolumeInstances)
	first := r.changes.rotation(request.Volume)
	if count > 1 && rng.Float64() > busiestInstanceShare {
		first += 1 + rng.IntN(count-1)
	}
	instances := make([]int, 0, count)
	for i := range count {
		instances = append(instances, (int(request.Volume)+(first+i)%count)%r.scenario.Instances)
	}
	return instances
}

// mixBits returns a hash of a number: evenly distributed, and the same on each run.
func mixBits(x uint64) uint64 {
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	return x
}
