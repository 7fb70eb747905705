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

	"go.uber.org/goleak"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

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

func configDocument(discovery string, known *List, sockets int) []byte {
	doc, err := json.Marshal(map[string]any{"name": "n0", "listen": "127.0.0.1:0", "discovery": discovery,
		"seed":   "1f",
		"limits": Limits{Cores: 1, MemoryMB: 64, Sockets: sockets}, "known": known,
		"settings": json.RawMessage(testSettings)})
	if err != nil {
		panic(err)
	}
	return doc
}

func noEnvironment(string) string { return "" }

// rig is a scheduler with one disk server a shard.
type gatewayFixture struct {
	t         *testing.T
	gateway   *Gateway
	address   string
	discovery *fakeDiscovery
	done      chan error
	logBuffer *safeBuffer
}

type safeBuffer struct {
	mu sync.Mutex
	b  bytes.Buffer
}

func (buffer *safeBuffer) Write(p []byte) (int, error) {
	buffer.mu.Lock()
	defer buffer.mu.Unlock()
	return buffer.b.Write(p)
}

func (buffer *safeBuffer) String() string {
	buffer.mu.Lock()
	defer buffer.mu.Unlock()
	return buffer.b.String()
}

func startGateway(t *testing.T, sockets int, disks ...*fakeDiskServer) *gatewayFixture {
	var list List
	list.Generation, list.Reset = 7, true
	for i, diskServer := range disks {
		list.Instances = append(list.Instances, listedServer(fmt.Sprintf("s-%d", i), diskServer, i))
	}
	discovery := newFakeDiscovery(t, list)
	fixture := runGateway(t, configDocument(discovery.address(), &list, sockets))
	fixture.discovery = discovery
	<-fixture.gateway.loop.Ready()
	return fixture
}

// startAt starts a scheduler whose discovery is at an address; its list of the start names one disk server.
func startGatewayAt(
	t *testing.T,
	discovery string,
	diskServer *fakeDiskServer,
	change func(string) string,
) *gatewayFixture {
	list := List{Generation: 7, Reset: true, Instances: []ListedServer{listedServer("s-0", diskServer, 0)}}
	text := string(configDocument(discovery, &list, 256))
	if change != nil {
		text = change(text)
	}
	return runGateway(t, []byte(text))
}

// launch runs a scheduler with a configuration until the test ends; its log is shown if that fails.
func runGateway(t *testing.T, config []byte) *gatewayFixture {
	cfg, err := parseConfig(config, noEnvironment)
	if err != nil {
		t.Fatal(err)
	}
	fixture := &gatewayFixture{t: t, done: make(chan error, 1), logBuffer: &safeBuffer{}}
	if fixture.gateway, err = New(cfg, slog.New(slog.NewTextHandler(fixture.logBuffer,
		&slog.HandlerOptions{Level: slog.LevelDebug}))); err != nil {
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

func (fixture *gatewayFixture) awaitListVersion(version uint64, deadline time.Time) {
	fixture.t.Helper()
	for {
		if _, v := fixture.gateway.loop.ListVersion(); v == version {
			return
		}
		if time.Now().After(deadline) {
			_, v := fixture.gateway.loop.ListVersion()
			fixture.t.Fatalf("version %d is held, not %d", v, version)
		}
		time.Sleep(2 * time.Millisecond)
	}
}

// only is the one client's connection that is open, once it is in a state.
func (fixture *gatewayFixture) awaitOnlyClient(state connState) *clientConn {
	fixture.t.Helper()
	var only *clientConn
	eventually(fixture.t, "one client's connection is as expected", func() bool {
		fixture.gateway.frontend.mu.Lock()
		defer fixture.gateway.frontend.mu.Unlock()
		for connection := range fixture.gateway.frontend.connections {
			only = connection
		}
		return len(fixture.gateway.frontend.connections) == 1 && only.state == state
	})
	return only
}

// stops begins a stop at its end: nothing new is taken, connections end as soon as nothing is on them.
func (fixture *gatewayFixture) stopAcceptingRequests() {
	fixture.gateway.shutdownAt = time.Now()
	fixture.gateway.frontend.closeGracefully()
	fixture.gateway.loop.Stop()
}

// idleConns waits until as many connections to disk servers idle and none is in work.
func awaitIdleConnections(fixture *gatewayFixture, want int) {
	fixture.t.Helper()
	eventually(fixture.t, "connections idle and no attempt is on its way", func() bool {
		pool := fixture.gateway.upstream
		pool.mu.Lock()
		defer pool.mu.Unlock()
		idle := 0
		for _, row := range pool.idle {
			idle += len(row)
		}
		return idle == want && len(pool.attempts) == 0 && pool.connections == want
	})
}

// idleOrNone waits until no attempt is on its way.
func awaitNoAttempts(fixture *gatewayFixture) {
	fixture.t.Helper()
	eventually(fixture.t, "no attempt is on its way", func() bool {
		fixture.gateway.upstream.mu.Lock()
		defer fixture.gateway.upstream.mu.Unlock()
		return len(fixture.gateway.upstream.attempts) == 0
	})
}

func eventually(t *testing.T, what string, is func() bool) {
	t.Helper()
	for deadline := time.Now().Add(5 * time.Second); !is(); time.Sleep(2 * time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("not within 5 s: %s", what)
		}
	}
}

// replaceOnce changes what stands once in a text.
func replaceOnce(t *testing.T, text, from, to string) string {
	t.Helper()
	if strings.Count(text, from) != 1 {
		t.Fatalf("%q does not stand once in %q", from, text)
	}
	return strings.Replace(text, from, to, 1)
}
