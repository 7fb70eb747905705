package platform

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"log/slog"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"slices"
	"strings"
	"syscall"
	"testing"
	"time"
)

// gatewayProcessVariable names the environment variable with the configuration file of a scheduler as which
// the test binary runs instead of running tests.
const gatewayProcessVariable = "TEST_GATEWAY_CONFIG"

// runGatewayProcess runs a scheduler until standard input ends. It writes its address to standard output.
func runGatewayProcess(configPath string) error {
	document, err := os.ReadFile(configPath)
	if err != nil {
		return err
	}
	config, err := parseConfig(document, noEnvironment)
	if err != nil {
		return err
	}
	ApplyRuntimeLimits(config)
	gateway, err := New(config, slog.New(slog.NewTextHandler(os.Stderr, nil)))
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(context.Background())
	terminated := make(chan os.Signal, 1)
	signal.Notify(terminated, syscall.SIGTERM)
	go func() {
		<-terminated
		gateway.Shutdown()
	}()
	go func() {
		fmt.Println(<-gateway.started)
		_, _ = io.Copy(io.Discard, os.Stdin)
		cancel()
	}()
	return gateway.Run(ctx)
}

// gatewayProcess is a scheduler in a process of its own, which a test can hold up.
type gatewayProcess struct {
	t       *testing.T
	command *exec.Cmd
	address string
}

// startGatewayProcess starts a scheduler with one disk server. Its writes are ordered by key.
func startGatewayProcess(t *testing.T, diskServer *fakeDiskServer) *gatewayProcess {
	t.Helper()
	return startGatewayProcessWith(t, diskServer, nil)
}

// startGatewayProcessWith is startGatewayProcess with a configuration file that is passed through change,
// unless that is nil.
func startGatewayProcessWith(t *testing.T, diskServer *fakeDiskServer,
	change func(string) string) *gatewayProcess {
	t.Helper()
	list := List{Generation: 7, Reset: true, Instances: []ListedServer{listedServer("s-0", diskServer, 0)}}
	discovery := newFakeDiscovery(t, list)
	document := withOrderedWrites(t)(string(configDocument(discovery.address(), &list, 256)))
	if change != nil {
		document = change(document)
	}
	path := filepath.Join(t.TempDir(), "config.json")
	if err := os.WriteFile(path, []byte(document), 0o600); err != nil {
		t.Fatal(err)
	}
	process := &gatewayProcess{t: t, command: exec.Command(os.Args[0])}
	process.command.Env = append(os.Environ(), gatewayProcessVariable+"="+path)
	process.command.Stderr = os.Stderr
	stdin, err := process.command.StdinPipe()
	if err != nil {
		t.Fatal(err)
	}
	stdout, err := process.command.StdoutPipe()
	if err != nil {
		t.Fatal(err)
	}
	if err := process.command.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		process.signal(syscall.SIGCONT)
		stdin.Close()
		_ = process.command.Wait()
	})
	line, err := bufio.NewReader(stdout).ReadString('\n')
	if err != nil {
		t.Fatal("the scheduler did not start:", err)
	}
	process.address = strings.TrimSpace(line)
	return process
}

func (p *gatewayProcess) signal(number syscall.Signal) { _ = p.command.Process.Signal(number) }

// holdUp stops the process for a while.
func (p *gatewayProcess) holdUp(duration time.Duration) {
	p.signal(syscall.SIGSTOP)
	time.Sleep(duration)
	p.signal(syscall.SIGCONT)
}

func (p *gatewayProcess) dial() *testClient {
	p.t.Helper()
	return dialTestClient(p.t, p.address)
}

// withOrderedWrites returns a function that configures the class write to be ordered by key.
func withOrderedWrites(t *testing.T) func(string) string {
	return func(config string) string {
		return replaceOnce(t, config, `"window_ns":5000000000,`, `"window_ns":5000000000,"fifo_by_key":true,`)
	}
}

// orderedWriteText returns a write with a key.
func orderedWriteText(id, key string) string {
	return requestText("PUT", "write", id, 0, "data", "Idempotency-Key: "+key)
}

// receivedIDs returns the ids of the requests that a disk server has received, in that order.
func receivedIDs(diskServer *fakeDiskServer) []string {
	var ids []string
	for _, request := range diskServer.received() {
		ids = append(ids, request.field(fieldID))
	}
	return ids
}

// Guards against an order of arrival that is taken from the order in which goroutines run: after a hold-up of
// the process, writes of one key ran in the opposite order, and the oldest data stood in the end.
func TestOrder_KeptAfterHoldUp(t *testing.T) {
	const (
		rounds  = 4
		heldFor = 140 * time.Millisecond
	)
	// When the writes are sent, from the beginning of the hold-up. The last one is read promptly after it.
	sendTimes := []time.Duration{5, 40, 75, 110, 138}
	for name, dialLate := range map[string]bool{"kept connections": false, "new connections": true} {
		t.Run(name, func(t *testing.T) {
			diskServer := newOKDiskServer(t)
			process := startGatewayProcess(t, diskServer)
			for round := range rounds {
				clients := make([]*testClient, len(sendTimes))
				for i := range clients {
					if !dialLate {
						clients[i] = process.dial()
						clients[i].send(readText(fmt.Sprintf("c%d%d", round, i)))
						clients[i].readAnswer()
					}
				}
				diskServer.clearRequests()
				go process.holdUp(heldFor)
				var want []string
				began := time.Now()
				for i, sendTime := range sendTimes {
					time.Sleep(time.Until(began.Add(sendTime * time.Millisecond)))
					if dialLate {
						clients[i] = process.dial()
					}
					id := fmt.Sprintf("d%d%d", round, i)
					want = append(want, id)
					clients[i].send(orderedWriteText(id, fmt.Sprintf("e%d", round)))
				}
				for i, client := range clients {
					if status, _, _ := client.readAnswer(); status != 200 {
						t.Errorf("round %d, write %d: got status %d, want 200", round, i, status)
					}
				}
				if got := receivedIDs(diskServer); !slices.Equal(got, want) {
					t.Errorf("round %d: got writes in the order %v, want %v", round, got, want)
				}
			}
		})
	}
}

// The same without a hold-up of the process: the requests lie in connections that are not accepted yet.
func TestOrder_KeptForUnacceptedConnections(t *testing.T) {
	const clients = 6
	diskServer := newOKDiskServer(t)
	fixture, release := startGatewayWithHeldAccept(t, diskServer, withOrderedWrites(t))
	var dialed []*testClient
	for range clients {
		dialed = append(dialed, fixture.dial())
	}
	var want []string
	for i := range clients {
		id := fmt.Sprintf("a%d", i)
		want = append(want, id)
		dialed[clients-1-i].send(orderedWriteText(id, "b"))
		time.Sleep(5 * time.Millisecond)
	}
	time.Sleep(50 * time.Millisecond)
	close(release)
	for i, client := range dialed {
		if status, _, _ := client.readAnswer(); status != 200 {
			t.Errorf("client %d: got status %d, want 200", i, status)
		}
	}
	if got := receivedIDs(diskServer); !slices.Equal(got, want) {
		t.Errorf("got writes in the order %v, want %v", got, want)
	}
}

// Guards against an answer that counts as too late because the process was held up: it had arrived before the
// time-out of its attempt, and was unread when the process went on.
func TestAttempt_AnswerUnreadDuringHoldUpMeetsTimeout(t *testing.T) {
	const (
		rounds     = 8
		answerTime = 330 * time.Millisecond // the attempt's time-out is 400 ms
		holdTime   = 300 * time.Millisecond
		heldFor    = 140 * time.Millisecond
	)
	diskServer := newFakeDiskServer(t, func(n int, request *receivedRequest) []byte {
		time.Sleep(answerTime)
		return echoID(n, request)
	})
	process := startGatewayProcess(t, diskServer)
	served := 0
	for round := range rounds {
		client := process.dial()
		id := fmt.Sprintf("a%d", round)
		client.send(readText(id))
		time.Sleep(holdTime)
		process.holdUp(heldFor)
		status, _, body := client.readAnswer()
		if status == 200 && body == id {
			served++
		}
	}
	if served != rounds {
		t.Errorf("got %d of %d requests served, want all", served, rounds)
	}
}
