package platform

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"log/slog"
	"os"
	"strings"
	"sync"
	"testing"
	"time"

	"landingpaddle/internal/arrival/arrivaltest"
)

func TestMain(m *testing.M) {
	if path := os.Getenv(gatewayProcessVariable); path != "" {
		if err := runGatewayProcess(path); err != nil {
			fmt.Fprintln(os.Stderr, err)
			os.Exit(1)
		}
		return
	}
	if crowd := os.Getenv(crowdProcessVariable); crowd != "" {
		runCrowdProcess(crowd)
		return
	}
	arrivaltest.RunTests(m)
}

const (
	eventualTimeout      = 5 * time.Second
	eventualPollInterval = 2 * time.Millisecond
)

const testSettings = `{"classes":[
 {"name":"read","deadline_ns":2000000000,"on_time_ns":400000000,"repeat":"read_like","worth":2},
 {"name":"write","deadline_ns":2000000000,"on_time_ns":500000000,"repeat":"idempotency_key","group":"cell",
  "window_ns":5000000000,"worth":2},
 {"name":"pay","deadline_ns":2000000000,"on_time_ns":500000000,"repeat":"non_idempotent","worth":2}],
"contracts":[{"name":"gold","base_rate":100,"proportion":1,"reservation":50,"worth_factor":1}],
"domain":{"mean_units":2,"most_units":6,"shards":2,"class_writes":[false,true,true]},
"failure_domains":["a"],"kinds":["m"],
"limits":{"attempts_cap":3,"cancel":true,"probes":true,"peers":true,"second_copies":true,"retry_after":true,
 "max_retry_after_ns":500000000,"dial_timeout_ns":250000000,"idle_close_ns":15000000000,"max_open":1000},
"me":0,"peers_total":1,"registry_mode":"ask","round_ns":1000000,
"rules":{"answer_slack_ns":8000000,"ask_within_ns":10000000000,"drain_grace_ns":1000000000},"zone":0}`

// configDocument returns a configuration file with testSettings.
func configDocument(discovery string, initialList *List, sockets int) []byte {
	document, err := json.Marshal(map[string]any{
		"name":      "n0",
		"listen":    "127.0.0.1:0",
		"discovery": discovery,
		"seed":      "1f",
		"limits":    Limits{Cores: 1, MemoryMB: 64, Sockets: sockets},
		"known":     initialList,
		"settings":  json.RawMessage(testSettings),
	})
	if err != nil {
		panic(err)
	}
	return document
}

func noEnvironment(string) string { return "" }

// parseTestConfig parses the file of configDocument without an initial list.
func parseTestConfig(t *testing.T, discovery string) *Config {
	t.Helper()
	config, err := parseConfig(configDocument(discovery, nil, 256), noEnvironment)
	if err != nil {
		t.Fatal(err)
	}
	return config
}

// gatewayFixture is a running scheduler.
type gatewayFixture struct {
	t         *testing.T
	gateway   *Gateway
	address   string
	discovery *fakeDiscovery // nil: the test runs its own discovery service
	done      chan error     // receives the result of Run
	logBuffer *safeBuffer
}

// safeBuffer is a buffer for concurrent use.
type safeBuffer struct {
	mu     sync.Mutex
	buffer bytes.Buffer
}

func (b *safeBuffer) Write(text []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buffer.Write(text)
}

func (b *safeBuffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buffer.String()
}

// startGateway starts a scheduler with one disk server for each shard, named s-0, s-1 and so on, and waits
// until it is ready. The endpoint list has version 7.
func startGateway(t *testing.T, sockets int, diskServers ...*fakeDiskServer) *gatewayFixture {
	t.Helper()
	return startGatewayWith(t, sockets, nil, diskServers...)
}

// startGatewayWith is startGateway with a configuration file that is passed through change, unless that is
// nil.
func startGatewayWith(t *testing.T, sockets int, change func(string) string,
	diskServers ...*fakeDiskServer) *gatewayFixture {
	t.Helper()
	list := List{Generation: 7, Reset: true}
	for i, diskServer := range diskServers {
		list.Instances = append(list.Instances, listedServer(fmt.Sprintf("s-%d", i), diskServer, i))
	}
	discovery := newFakeDiscovery(t, list)
	text := string(configDocument(discovery.address(), &list, sockets))
	if change != nil {
		text = change(text)
	}
	fixture := runGateway(t, []byte(text))
	fixture.discovery = discovery
	<-fixture.gateway.loop.Ready()
	return fixture
}

// startGatewayAt starts a scheduler whose discovery service is at an address. Its initial list, of version 7,
// contains one disk server. Unless change is nil, the configuration file is passed through it.
func startGatewayAt(t *testing.T, discovery string, diskServer *fakeDiskServer,
	change func(string) string) *gatewayFixture {
	t.Helper()
	list := List{Generation: 7, Reset: true, Instances: []ListedServer{listedServer("s-0", diskServer, 0)}}
	text := string(configDocument(discovery, &list, 256))
	if change != nil {
		text = change(text)
	}
	return runGateway(t, []byte(text))
}

// runGateway runs a scheduler with a configuration until the test ends, and prints its log if that failed.
func runGateway(t *testing.T, document []byte) *gatewayFixture {
	t.Helper()
	config, err := parseConfig(document, noEnvironment)
	if err != nil {
		t.Fatal(err)
	}
	fixture := &gatewayFixture{t: t, done: make(chan error, 1), logBuffer: &safeBuffer{}}
	handler := slog.NewTextHandler(fixture.logBuffer, &slog.HandlerOptions{Level: slog.LevelDebug})
	if fixture.gateway, err = New(config, slog.New(handler)); err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		fixture.done <- fixture.gateway.Run(ctx)
	}()
	t.Cleanup(func() {
		cancel()
		<-ended
		if t.Failed() {
			fmt.Fprintln(os.Stderr, fixture.logBuffer.String())
		}
	})
	fixture.address = (<-fixture.gateway.started).String()
	return fixture
}

// awaitListVersion waits until the scheduler has a version of the endpoint list. It fails the test after a
// deadline.
func (f *gatewayFixture) awaitListVersion(version uint64, deadline time.Time) {
	f.t.Helper()
	for {
		_, current := f.gateway.loop.ListVersion()
		if current == version {
			return
		}
		if time.Now().After(deadline) {
			f.t.Fatalf("got list version %d, want %d", current, version)
		}
		time.Sleep(eventualPollInterval)
	}
}

// awaitClientDisconnect waits until the scheduler has recorded that one request's client disconnected.
func (f *gatewayFixture) awaitClientDisconnect() {
	f.t.Helper()
	eventually(f.t, "the client is counted as disconnected", func() bool {
		return f.gateway.loop.Stats.ClientGone.Load() == 1
	})
}

// awaitOnlyClient waits until exactly one client connection is open and in a state, and returns it.
func (f *gatewayFixture) awaitOnlyClient(state connState) *clientConn {
	f.t.Helper()
	frontend := f.gateway.frontend
	var only *clientConn
	eventually(f.t, "the only client connection is in the expected state", func() bool {
		frontend.mu.Lock()
		defer frontend.mu.Unlock()
		for connection := range frontend.connections {
			only = connection
		}
		return len(frontend.connections) == 1 && only.state == state
	})
	return only
}

// awaitIdleConnections waits until want connections to disk servers are open, all are idle, and no attempt is
// in flight.
func (f *gatewayFixture) awaitIdleConnections(want int) {
	f.t.Helper()
	eventually(f.t, fmt.Sprintf("%d connections are idle and no attempt is in flight", want), func() bool {
		pool := f.gateway.upstream
		pool.mu.Lock()
		defer pool.mu.Unlock()
		idle := 0
		for _, connections := range pool.idle {
			idle += len(connections)
		}
		return idle == want && len(pool.attempts) == 0 && pool.connections == want
	})
}

// awaitNoAttempts waits until no attempt is in flight.
func (f *gatewayFixture) awaitNoAttempts() {
	f.t.Helper()
	eventually(f.t, "no attempt is in flight", func() bool {
		return len(f.gateway.upstream.attemptsByNode()) == 0
	})
}

// stopAcceptingRequests begins the last phase of a graceful shutdown: no more requests are accepted, and each
// connection is closed once no request is in flight on it.
func (f *gatewayFixture) stopAcceptingRequests() {
	f.gateway.shutdownAt = time.Now()
	f.gateway.frontend.closeGracefully()
	f.gateway.loop.Stop()
}

// eventually waits until a condition is true. It fails the test after eventualTimeout.
func eventually(t *testing.T, description string, condition func() bool) {
	t.Helper()
	for deadline := time.Now().Add(eventualTimeout); !condition(); time.Sleep(eventualPollInterval) {
		if time.Now().After(deadline) {
			t.Fatalf("condition not met within %v: %s", eventualTimeout, description)
		}
	}
}

// replaceOnce replaces a string that occurs exactly once in a text.
func replaceOnce(t *testing.T, text, from, to string) string {
	t.Helper()
	if strings.Count(text, from) != 1 {
		t.Fatalf("%q does not occur exactly once in %q", from, text)
	}
	return strings.Replace(text, from, to, 1)
}
