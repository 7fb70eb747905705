package main

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
	"time"

	"github.com/rogpeppe/go-internal/testscript"
)

var (
	exampleAddr = regexp.MustCompile(`127\.0\.0\.1:7\d+`)

	errNoExamples = errors.New("no examples")
)

const (
	examplesGlob   = "../../examples/*.lisp"
	exampleDataDir = "/tmp/landingpaddle"
	instanceAddr   = "127.0.0.1:7120" // of the first instance in the examples
)

func TestMain(m *testing.M) {
	testscript.Main(m, map[string]func(){programName: main})
}

// The scripts run the shipped examples as a user would, on free ports of this machine.
func TestScripts_RunExamples(t *testing.T) {
	testscript.Run(t, testscript.Params{
		Dir:      "testdata",
		Deadline: time.Now().Add(90 * time.Second),
		Setup:    copyExamples,
		Cmds:     map[string]func(*testscript.TestScript, bool, []string){"reach": waitUntilReached},
	})
}

// copyExamples copies the examples into a script's folder, with free ports and a separate data folder.
func copyExamples(env *testscript.Env) error {
	files, err := filepath.Glob(examplesGlob)
	if err != nil {
		return err
	}
	if len(files) == 0 {
		return errNoExamples
	}
	ports := freePorts{byExample: map[string]string{}}
	defer ports.close()
	for _, file := range files {
		data, err := os.ReadFile(file)
		if err != nil {
			return err
		}
		text, err := ports.replaceAddrs(string(data))
		if err != nil {
			return err
		}
		text = strings.ReplaceAll(text, exampleDataDir, env.WorkDir+"/landingpaddle")
		path := filepath.Join(env.WorkDir, filepath.Base(file))
		if err := os.WriteFile(path, []byte(text), 0o644); err != nil {
			return err
		}
	}
	env.Setenv("INSTANCE", ports.byExample[instanceAddr])
	return nil
}

// freePorts replaces the addresses of the examples with those of free ports. The listeners stay open until
// all ports are chosen, so that none is assigned twice.
type freePorts struct {
	byExample map[string]string
	listeners []net.Listener
}

func (p *freePorts) replaceAddrs(text string) (string, error) {
	for _, addr := range exampleAddr.FindAllString(text, -1) {
		if p.byExample[addr] != "" {
			continue
		}
		listener, err := listenBelowEphemeralPorts()
		if err != nil {
			return "", err
		}
		p.listeners = append(p.listeners, listener)
		p.byExample[addr] = listener.Addr().String()
	}
	return exampleAddr.ReplaceAllStringFunc(text, func(addr string) string { return p.byExample[addr] }), nil
}

func (p *freePorts) close() {
	for _, listener := range p.listeners {
		listener.Close()
	}
}

// listenBelowEphemeralPorts listens on a free port that the system does not assign to outgoing connections:
// an ephemeral port could be taken by a test that runs in parallel before the script's process listens on it.
func listenBelowEphemeralPorts() (listener net.Listener, err error) {
	const first, last, maxAttempts = 10_000, 30_000, 100
	for range maxAttempts {
		port := first + rand.IntN(last-first)
		if listener, err = net.Listen("tcp4", fmt.Sprintf("127.0.0.1:%d", port)); err == nil {
			return listener, nil
		}
	}
	return nil, err
}

// waitUntilReached waits until an address accepts connections; it tries 200 times, 50 ms apart.
func waitUntilReached(script *testscript.TestScript, _ bool, args []string) {
	for range 200 {
		if conn, err := net.Dial("tcp4", args[0]); err == nil {
			conn.Close()
			return
		}
		script.Check(script.Exec("sleep", "0.05"))
	}
	script.Fatalf("%s accepts no connections after 200 attempts", args[0])
}
