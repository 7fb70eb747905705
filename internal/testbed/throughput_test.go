package testbed

import (
	"context"
	"fmt"
	"net"
	"os"
	"slices"
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

const (
	throughputNodes    = 4
	throughputInFlight = 64
	throughputRequests = 2000 // unless LANDINGPADDLE_MEASURE sets the number
)

// throughputSite returns a site with latency objectives so long that nothing is rejected: the test measures
// the request path, not decisions to reject.
func throughputSite() config.Site {
	site := config.DefaultSite()
	site.Classes = []config.Class{
		{Name: "read", LatencyObjective: 20 * time.Second, Deadline: 30 * time.Second, PriorityWeight: 1},
		{
			Name:             "write",
			LatencyObjective: 20 * time.Second,
			Deadline:         30 * time.Second,
			PriorityWeight:   1,
			Writes:           true,
		}}
	site.Plans = []config.Plan{{Name: "p", Rate: 100, Weight: 1, PriorityWeight: 1}}
	site.Limits.Streams = 1024
	return site
}

// loadGenerator sends requests over connections and waits for their answers.
type loadGenerator struct {
	conns   []*proto.Conn
	waiting []sync.Map // by connection: chan proto.Code by stream
	readers sync.WaitGroup
}

// load specifies the requests that a loadGenerator sends.
type load struct {
	requests int
	write    bool
	interval time.Duration // between two requests; 0: as fast as answers arrive
}

// throughput is the measured result of a load.
type throughput struct {
	rate      float64 // requests a second
	latencies *hdrhistogram.Histogram
}

// percentile returns the latency that the given percentage of the requests did not exceed.
func (m *throughput) percentile(percent float64) time.Duration {
	return time.Duration(m.latencies.ValueAtQuantile(percent)).Round(time.Microsecond)
}

func newLoadGenerator(ctx context.Context, tb testing.TB, addrs []string) *loadGenerator {
	tb.Helper()
	g := &loadGenerator{waiting: make([]sync.Map, len(addrs))}
	for i, addr := range addrs {
		conn, err := proto.Dial(ctx, addr, proto.Config{Hello: proto.Hello{Role: "client"}})
		if err != nil {
			tb.Fatal(err)
		}
		g.conns = append(g.conns, conn)
		g.readers.Go(func() { readAnswers(ctx, conn, &g.waiting[i]) })
	}
	return g
}

// readAnswers passes the code of each answer on a connection to the channel that waits for its stream.
func readAnswers(ctx context.Context, conn *proto.Conn, waiting *sync.Map) {
	_ = conn.Run(ctx, func(frame proto.Frame) error {
		conn.CloseStream(frame.Stream)
		if done, ok := waiting.LoadAndDelete(frame.Stream); ok {
			var answer proto.Answer
			_ = frame.Decode(&answer)
			done.(chan proto.Code) <- answer.Code
		}
		return nil
	})
}

// do sends a request and returns the code of its answer, or an error if it was not sent.
func (g *loadGenerator) do(number int, write bool, done chan proto.Code) (proto.Code, error) {
	cell := number % throughputNodes
	i := cell % len(g.conns)
	stream := uint64(number + 1)
	request := proto.Request{Token: stream, Volume: uint64(1 + number%16), Units: 1, Cell: int32(cell),
		Timeout: 30 * time.Second, VolumeInstances: 1, Write: write}
	if write {
		request.Class = 1
	}
	g.waiting[i].Store(stream, done)
	if err := g.conns[i].OpenStream(stream); err != nil {
		return 0, err
	}
	if err := g.conns[i].Send(proto.TypeRequest, stream, &request, nil); err != nil {
		return 0, err
	}
	return <-done, nil
}

func (g *loadGenerator) close() {
	for _, conn := range g.conns {
		conn.CloseGracefully("done")
	}
	g.readers.Wait()
}

// measure sends a load to addresses and returns its throughput.
func measure(ctx context.Context, tb testing.TB, addrs []string, load load) throughput {
	tb.Helper()
	generator := newLoadGenerator(ctx, tb, addrs)
	latencies := hdrhistogram.New(1, int64(time.Minute), 3)
	var mu sync.Mutex
	numbers := make(chan int)
	start := time.Now()
	var workers sync.WaitGroup
	for range throughputInFlight {
		workers.Go(func() {
			done := make(chan proto.Code, 1)
			for number := range numbers {
				sentAt := time.Now()
				code, err := generator.do(number, load.write, done)
				if err != nil {
					tb.Error("request not sent:", err)
					return
				}
				if code != proto.OK {
					tb.Errorf("answered with code %d, want OK", code)
					return
				}
				latency := time.Since(sentAt)
				mu.Lock()
				_ = latencies.RecordValue(int64(latency))
				mu.Unlock()
			}
		})
	}
	for number := range load.requests {
		due := start.Add(time.Duration(number) * load.interval)
		for load.interval > 0 && time.Until(due) > 0 {
			time.Sleep(time.Until(due))
		}
		numbers <- number
	}
	close(numbers)
	workers.Wait()
	rate := float64(load.requests) / time.Since(start).Seconds()
	generator.close()
	return throughput{rate, latencies}
}

// throughputPaths lists the addresses to which a load is sent: those of the nodes or, repeated once per node,
// that of the instance in front of them.
type throughputPaths struct{ direct, through []string }

// startThroughputFleet runs a registry, nodes that need workPerUnit for each unit, and one instance.
func startThroughputFleet(ctx context.Context, t *testing.T, running *sync.WaitGroup,
	workPerUnit time.Duration) throughputPaths {
	t.Helper()
	site := throughputSite()
	registryListener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := registry.NewServer(registry.ServerConfig{Epoch: 1, MaxWait: time.Second})
	running.Go(func() { _ = server.Serve(ctx, registryListener) })
	registryAddr := registryListener.Addr().String()
	model := config.NodeModel{Cores: 4, Queue: 4096, PerUnit: workPerUnit, WriteFactor: 1, MaxConnections: 64}
	group := NewDedupGroup()
	var direct []string
	for i := range throughputNodes {
		node, err := NewNode(NodeConfig{Number: i, Cell: uint16(i), Model: model, Site: &site,
			Registry: registryAddr, Seed: 1, Meter: NewMeter(0),
			DedupGroups: func(scheduler.DedupScope) *DedupGroup { return group }})
		if err != nil {
			t.Fatal(err)
		}
		direct = append(direct, node.Addr().String())
		running.Go(func() { _ = node.Run(ctx) })
	}
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	instance, err := daemon.New(daemon.Config{Instances: 1, Seed: 1, Site: site, Listener: listener,
		Registry: registryAddr})
	if err != nil {
		t.Fatal(err)
	}
	running.Go(func() { _ = instance.Run(ctx) })
	// The nodes register, and the instance receives the endpoint list.
	sleep(ctx, 300*time.Millisecond)
	// Both paths have the same number of connections: they differ in the scheduler alone.
	through := slices.Repeat([]string{listener.Addr().String()}, throughputNodes)
	return throughputPaths{direct, through}
}

// TestThroughput_ThroughSchedulerAndDirect compares the two paths in one run and logs the results. It fails
// if a request is not served; rates and latencies have no bounds. By default it sends few requests;
// LANDINGPADDLE_MEASURE sets the number for a measurement.
func TestThroughput_ThroughSchedulerAndDirect(t *testing.T) {
	requests := throughputRequests
	if number, err := strconv.Atoi(os.Getenv("LANDINGPADDLE_MEASURE")); err == nil {
		requests = min(max(number, 1), 2_000_000)
	}
	for _, workPerUnit := range []time.Duration{0, 4 * time.Millisecond} {
		t.Run(fmt.Sprintf("work=%v", workPerUnit), func(t *testing.T) {
			ctx, cancel := context.WithCancel(context.Background())
			var running sync.WaitGroup
			defer running.Wait()
			defer cancel()
			paths := startThroughputFleet(ctx, t, &running, workPerUnit)
			if workPerUnit == 0 {
				comparePaths(ctx, t, paths, load{requests: requests})
				return
			}
			requests := max(requests/10, 1000)
			comparePaths(ctx, t, paths, load{requests: requests})
			comparePaths(ctx, t, paths, load{requests: requests, write: true})
		})
	}
}

// comparePaths measures both paths at their highest rate, and both at half the rate of the path through the
// scheduler.
func comparePaths(ctx context.Context, t *testing.T, paths throughputPaths, full load) {
	t.Helper()
	direct := measure(ctx, t, paths.direct, full)
	through := measure(ctx, t, paths.through, full)
	t.Logf("write %v, %d in flight: direct %.0f/s p50 %v p99 %v; through %.0f/s p50 %v p99 %v; %.1f%%",
		full.write, throughputInFlight, direct.rate, direct.percentile(50), direct.percentile(99),
		through.rate, through.percentile(50), through.percentile(99), 100*through.rate/direct.rate)
	half := load{requests: full.requests / 2, write: full.write}
	// Half the rate through the scheduler.
	half.interval = time.Duration(2 / through.rate * float64(time.Second))
	direct = measure(ctx, t, paths.direct, half)
	through = measure(ctx, t, paths.through, half)
	t.Logf("write %v, half load: direct p50 %v p99 %v; through p50 %v p99 %v", full.write,
		direct.percentile(50), direct.percentile(99), through.percentile(50), through.percentile(99))
}
