package platform

import (
	"fmt"
	"io"
	"net"
	"os"
	"os/exec"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"
)

const (
	crowdSize         = 500  // clients, but for behaviours of a single one
	crowdMemoryMB     = 32   // of the scheduler, the least that the platform gives
	crowdDescriptors  = 1024 // of the scheduler
	crowdTime         = 3 * time.Second
	usualClients      = 8
	usualInterval     = 20 * time.Millisecond
	usualObjective    = 400 * time.Millisecond // of the class read
	largeBodyBytes    = 60_000
	endlessHeadFields = 1_000_000
	endlessReads      = 1_000_000
	// crowdProcessors leaves most of the machine to the scheduler, and to tests that run beside this one.
	crowdProcessors = "GOMAXPROCS=2"
)

// crowdProcessVariable names the environment variable with the address of a scheduler and the behaviour of
// the crowd of clients as which the test binary runs instead of running tests.
const crowdProcessVariable = "TEST_CROWD"

// crowdBehaviour is a way in which a number of clients behave badly. The function ends with its connection.
type crowdBehaviour struct {
	clients int
	behave  func(conn net.Conn, client int)
}

var crowdBehaviours = map[string]crowdBehaviour{
	"write slowly":                        {crowdSize, writeSlowly},
	"stop half way":                       {crowdSize, stopHalfWay},
	"send heads of short fields":          {crowdSize, sendShortFields},
	"read no answers":                     {crowdSize, readNoAnswers},
	"read no health answers":              {crowdSize, readNoHealthAnswers},
	"one sends writes under new names":    {1, sendNewNames},
	"one sends unsound requests at speed": {1, sendUnsound},
}

func writeSlowly(conn net.Conn, client int) {
	const pieceBytes, interval = 3000, 100 * time.Millisecond
	text := payText(fmt.Sprintf("slow%d", client), strings.Repeat("x", largeBodyBytes))
	for len(text) > 0 {
		piece := min(len(text), pieceBytes)
		if _, err := io.WriteString(conn, text[:piece]); err != nil {
			return
		}
		text = text[piece:]
		time.Sleep(interval)
	}
	awaitEnd(conn)
}

func stopHalfWay(conn net.Conn, client int) {
	text := payText(fmt.Sprintf("half%d", client), strings.Repeat("x", largeBodyBytes))
	if _, err := io.WriteString(conn, text[:len(text)/2]); err == nil {
		awaitEnd(conn)
	}
}

func sendShortFields(conn net.Conn, _ int) {
	text := "GET /api?extent=7f3a9c21e0b4d655 HTTP/1.1\r\n" + strings.Repeat("a:b\r\n", endlessHeadFields)
	if _, err := io.WriteString(conn, text); err == nil {
		awaitEnd(conn)
	}
}

func readNoAnswers(conn net.Conn, client int) {
	const receiveBuffer = 4 << 10
	if err := conn.(*net.TCPConn).SetReadBuffer(receiveBuffer); err != nil {
		return
	}
	for n := range endlessReads {
		if _, err := io.WriteString(conn, readText(fmt.Sprintf("unread%d-%d", client, n))); err != nil {
			return
		}
	}
}

func readNoHealthAnswers(conn net.Conn, _ int) {
	_, _ = io.WriteString(conn, strings.Repeat(healthRequest, endlessReads))
}

// sendNewNames sends writes one behind another, each with a volume, an extent, a key and an id of its own.
func sendNewNames(conn net.Conn, client int) {
	go awaitEnd(conn)
	for n := range endlessReads {
		text := requestText("PUT", "write", fmt.Sprintf("new%d-%d", client, n), 0, "x",
			fmt.Sprintf("Idempotency-Key: key%d", n))
		text = strings.Replace(text, "00000003b4d60021", fmt.Sprintf("%016x", n), 1)
		text = strings.Replace(text, "7f3a9c21e0b4d655", fmt.Sprintf("%016x", n), 1)
		if _, err := io.WriteString(conn, text); err != nil {
			return
		}
	}
}

func sendUnsound(conn net.Conn, client int) {
	text := readText(fmt.Sprintf("unsound%d", client))
	text = strings.Replace(text, "X-Call-Class: read", "X-Call-Class: none", 1)
	if _, err := io.WriteString(conn, strings.Repeat(text, 100)); err == nil {
		awaitEnd(conn)
	}
}

// awaitEnd reads until a connection ends.
func awaitEnd(conn net.Conn) { _, _ = io.Copy(io.Discard, conn) }

// runCrowdProcess lets crowdSize clients behave badly, each again as soon as its connection has ended, until
// standard input ends.
func runCrowdProcess(description string) {
	address, behaviour, _ := strings.Cut(description, " ")
	crowd := crowdBehaviours[behaviour]
	for client := range crowd.clients {
		go func() {
			for {
				conn, err := net.Dial("tcp4", address)
				if err != nil {
					time.Sleep(10 * time.Millisecond)
					continue
				}
				crowd.behave(conn, client)
				conn.Close()
			}
		}()
	}
	_, _ = io.Copy(io.Discard, os.Stdin)
}

// startCrowdProcess runs a crowd of clients in a process of its own until the test ends.
func startCrowdProcess(t *testing.T, address, behaviour string) {
	t.Helper()
	command := exec.Command(os.Args[0])
	command.Env = append(os.Environ(), crowdProcessVariable+"="+address+" "+behaviour, crowdProcessors)
	stdin, err := command.StdinPipe()
	if err != nil {
		t.Fatal(err)
	}
	if err := command.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		stdin.Close()
		_ = command.Wait()
	})
}

// peakMemoryMB returns the peak of the process's memory that was resident at a time.
func (p *gatewayProcess) peakMemoryMB() float64 {
	p.t.Helper()
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.command.Process.Pid))
	if err != nil {
		p.t.Fatal(err)
	}
	_, rest, _ := strings.Cut(string(status), "VmHWM:")
	kilobytes, err := strconv.ParseFloat(strings.Fields(rest)[0], 64)
	if err != nil {
		p.t.Fatal(err)
	}
	return kilobytes / 1024
}

// usualOutcome is what became of the requests of usual clients.
type usualOutcome struct {
	mu      sync.Mutex
	total   int
	late    int // served after usualObjective
	failed  int // not served
	longest time.Duration
}

// sendUsualReads lets usual clients send reads, each one at a time on a kept connection, for a while.
func sendUsualReads(address string, duration time.Duration) *usualOutcome {
	outcome := &usualOutcome{}
	var clients sync.WaitGroup
	for client := range usualClients {
		clients.Go(func() {
			usual := &usualClient{address: address, buffer: make([]byte, 2*largeBodyBytes)}
			defer usual.close()
			until := time.Now().Add(duration)
			for n := 0; time.Now().Before(until); n++ {
				sentAt := time.Now()
				err := usual.serve(readText(fmt.Sprintf("usual%d-%d", client, n)))
				outcome.record(time.Since(sentAt), err)
				time.Sleep(usualInterval)
			}
		})
	}
	clients.Wait()
	return outcome
}

func (o *usualOutcome) record(took time.Duration, err error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.total++
	o.longest = max(o.longest, took)
	switch {
	case err != nil:
		o.failed++
	case took > usualObjective:
		o.late++
	}
}

// usualClient is a client that behaves well.
type usualClient struct {
	address string
	conn    net.Conn // nil: not connected
	buffer  []byte
}

// serve sends a request and reads its answer; once more on a new connection if a kept one has ended.
func (c *usualClient) serve(text string) error {
	wasKept := c.conn != nil
	err := c.exchange(text)
	if err != nil && wasKept && c.conn == nil {
		err = c.exchange(text)
	}
	return err
}

// exchange sends a request and reads its answer. It closes the connection if that ended.
func (c *usualClient) exchange(text string) (err error) {
	if c.conn == nil {
		if c.conn, err = net.Dial("tcp4", c.address); err != nil {
			return err
		}
	}
	c.conn.SetDeadline(time.Now().Add(2 * time.Second))
	if _, err := io.WriteString(c.conn, text); err != nil {
		c.close()
		return err
	}
	for received := 0; ; {
		count, err := c.conn.Read(c.buffer[received:])
		if received += count; err != nil {
			c.close()
			return err
		}
		head, body, isWhole := strings.Cut(string(c.buffer[:received]), "\r\n\r\n")
		if isWhole && !strings.HasPrefix(head, "HTTP/1.1 200 ") {
			return fmt.Errorf("got answer %q", head)
		}
		if isWhole && len(body) == largeBodyBytes {
			return nil
		}
	}
}

func (c *usualClient) close() {
	if c.conn != nil {
		c.conn.Close()
		c.conn = nil
	}
}

// Guards against hundreds of bad clients that keep the processor, the scheduler's queue or the memory from
// others: usual requests waited for seconds behind heads without end and behind answers that nobody read.
func TestFrontend_ServesBesideBadCrowd(t *testing.T) {
	answer := okResponse(strings.Repeat("y", largeBodyBytes))
	for behaviour := range crowdBehaviours {
		t.Run(behaviour, func(t *testing.T) {
			diskServer := newFakeDiskServer(t, func(int, *receivedRequest) []byte { return answer })
			process := startGatewayProcessWith(t, diskServer, func(config string) string {
				memory := fmt.Sprintf(`"memory_mb":%d`, crowdMemoryMB)
				config = replaceOnce(t, config, `"memory_mb":64`, memory)
				return replaceOnce(t, config, `"sockets":256`, fmt.Sprintf(`"sockets":%d`, crowdDescriptors))
			})
			startCrowdProcess(t, process.address, behaviour)
			outcome := sendUsualReads(process.address, crowdTime)
			peak := process.peakMemoryMB()
			t.Logf("peak memory %.1f MB; of %d usual requests %d failed, %d late; the longest took %v", peak,
				outcome.total, outcome.failed, outcome.late, outcome.longest)
			if peak > crowdMemoryMB {
				t.Errorf("got a peak of %.1f MB, want at most %d", peak, crowdMemoryMB)
			}
			if bad := outcome.failed + outcome.late; bad*50 > outcome.total {
				t.Errorf("got %d of %d usual requests failed or late, want at most one of 50", bad,
					outcome.total)
			}
		})
	}
}
