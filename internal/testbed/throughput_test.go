package testbed

import (
	"context"
	"fmt"
	"net"
	"os"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"landingpaddle/internal/config"
	"landingpaddle/internal/daemon"
	"landingpaddle/internal/proto"
	"landingpaddle/internal/registry"
	"landingpaddle/scheduler"
)

// throughputSite has aims so long that nothing is given up: what is measured is the path, not the decisions
// to refuse.
func throughputSite() config.Site {
	s := config.DefaultSite()
	s.Classes = []config.Class{
		{Name: "read", LatencyObjective: 20 * time.Second, Deadline: 30 * time.Second, PriorityWeight: 1},
		{
			Name:             "write",
			LatencyObjective: 20 * time.Second,
			Deadline:         30 * time.Second,
			PriorityWeight:   1,
			Writes:           true,
		}}
	s.Plans = []config.Plan{{Name: "p", Rate: 100, Weight: 1, PriorityWeight: 1}}
	s.Limits.Streams = 1024
	return s
}

// drive sends n requests over the path, so many in flight, and returns requests a second and the latencies.
func drive(ctx context.Context, tb testing.TB, addrs []string, flight, n int, write bool,
	gap time.Duration) (float64,
	*hdrhistogram.Histogram) {
	tb.Helper()
	var conns []*proto.Conn
	waits := make([]sync.Map, len(addrs))
	var wg sync.WaitGroup
	for i, a := range addrs {
		c, err := proto.Dial(ctx, a, proto.Config{Hello: proto.Hello{Role: "client"}})
		if err != nil {
			tb.Fatal(err)
		}
		conns = append(conns, c)
		wg.Go(func() {
			_ = c.Run(ctx, func(f proto.Frame) error {
				c.CloseStream(f.Stream)
				if done, ok := waits[i].LoadAndDelete(f.Stream); ok {
					var a proto.Answer
					_ = f.Decode(&a)
					done.(chan proto.Code) <- a.Code
				}
				return nil
			})
		})
	}
	lat := hdrhistogram.New(1, int64(time.Minute), 3)
	var mu sync.Mutex
	jobs := make(chan int)
	start := time.Now()
	var workers sync.WaitGroup
	for range flight {
		workers.Go(func() {
			done := make(chan proto.Code, 1)
			for k := range jobs {
				at := time.Now()
				cell := k % nodesOfThroughput
				i := cell % len(conns)
				q := proto.Request{Token: uint64(k + 1), Volume: uint64(1 + k%16), Units: 1,
					Cell:    int32(cell),
					Timeout: 30 * time.Second, VolumeInstances: 1, Write: write}
				if write {
					q.Class = 1
				}
				waits[i].Store(uint64(k+1), done)
				if conns[i].OpenStream(uint64(k+1)) != nil ||
					conns[i].Send(proto.TypeRequest, uint64(k+1), &q, nil) != nil {
					tb.Error("not sent")
					return
				}
				if code := <-done; code != proto.OK {
					tb.Errorf("code %d", code)
					return
				}
				took := time.Since(at)
				mu.Lock()
				_ = lat.RecordValue(int64(took))
				mu.Unlock()
			}
		})
	}
	for k := range n {
		if gap > 0 {
			for time.Until(start.Add(time.Duration(k)*gap)) > 0 {
				time.Sleep(time.Until(start.Add(time.Duration(k) * gap)))
			}
		}
		jobs <- k
	}
	close(jobs)
	workers.Wait()
	rate := float64(n) / time.Since(start).Seconds()
	for _, c := range conns {
		c.CloseGracefully("done")
	}
	wg.Wait()
	return rate, lat
}

const nodesOfThroughput = 4

// TestThroughput compares one scheduler's path with the straight one, in one run. It takes part in the
// tests with few requests; LANDINGPADDLE_MEASURE gives the number for a measurement.
func TestThroughput(t *testing.T) {
	n := 2000
	if v, err := strconv.Atoi(os.Getenv("LANDINGPADDLE_MEASURE")); err == nil {
		n = min(max(v, 1), 2_000_000)
	}
	for _, work := range []time.Duration{0, 4 * time.Millisecond} {
		t.Run(fmt.Sprintf("work=%v", work), func(t *testing.T) {
			ctx, cancel := context.WithCancel(context.Background())
			var wg sync.WaitGroup
			defer wg.Wait()
			defer cancel()
			site := throughputSite()
			lists, err := net.Listen("tcp4", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			list := registry.NewServer(registry.ServerConfig{Epoch: 1, MaxWait: time.Second})
			wg.Go(func() { _ = list.Serve(ctx, lists) })
			kind := config.NodeModel{Cores: 4, Queue: 4096, PerUnit: work, WritePer: 1, Conns: 64}
			group := NewDedupGroup()
			var direct []string
			for i := range nodesOfThroughput {
				node, err := NewNode(NodeConfig{Number: i, Cell: uint16(i), Model: kind, Site: &site,
					Registry: lists.Addr().String(), Seed: 1, Meter: NewMeter(0),
					DedupGroups: func(scheduler.DedupScope) *DedupGroup { return group }})
				if err != nil {
					t.Fatal(err)
				}
				direct = append(direct, node.Addr().String())
				wg.Go(func() { _ = node.Run(ctx) })
			}
			ln, err := net.Listen("tcp4", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			inst, err := daemon.New(daemon.Config{Instances: 1, Seed: 1, Site: site, Listener: ln,
				Registry: lists.Addr().String()})
			if err != nil {
				t.Fatal(err)
			}
			wg.Go(func() { _ = inst.Run(ctx) })
			sleep(ctx, 300*time.Millisecond)
			// As many connections either way: what differs is the scheduler alone.
			through := []string{ln.Addr().String(), ln.Addr().String(), ln.Addr().String(),
				ln.Addr().String()}
			total, flight := n, 64
			if work > 0 {
				total = max(n/10, 1000)
			}
			for _, write := range []bool{false, true} {
				if work == 0 && write {
					continue
				}
				d, dl := drive(ctx, t, direct, flight, total, write, 0)
				s, sl := drive(ctx, t, through, flight, total, write, 0)
				t.Logf("write %v, %d in flight: direct %.0f/s p50 %v p99 %v; "+
					"through %.0f/s p50 %v p99 %v; %.1f%%", write, flight, d, at(dl, 50), at(dl, 99), s,
					at(sl, 50), at(sl, 99), 100*s/d)
				gap := time.Duration(2 / s * float64(time.Second)) // half the load that the path carries
				_, dl = drive(ctx, t, direct, flight, total/2, write, gap)
				_, sl = drive(ctx, t, through, flight, total/2, write, gap)
				t.Logf("write %v, half load: direct p50 %v p99 %v; through p50 %v p99 %v", write, at(dl, 50),
					at(dl, 99), at(sl, 50), at(sl, 99))
			}
		})
	}
}

func at(h *hdrhistogram.Histogram, q float64) time.Duration {
	return time.Duration(h.ValueAtQuantile(q)).Round(time.Microsecond)
}
