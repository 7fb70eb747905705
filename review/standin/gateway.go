package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"regexp"
	"runtime"
	"syscall"
	"time"
)

const (
	readyTimeout = 10 * time.Second
	exitTimeout  = 6 * time.Second
	caseTimeout  = 110 * time.Second // a script runs for 120 s at most
)

// gateway is one scheduler process, started by the run command of the deploy file.
type gateway struct {
	address string
	command *exec.Cmd
	ended   chan struct{} // closed when the process has ended
	folder  string
}

// setup is the configuration of one scheduler.
type setup struct {
	discovery string
	known     list
	settings  map[string]any
}

// startGateway starts a scheduler and waits until it is ready.
func startGateway(s setup) (*gateway, error) {
	runCommand, err := deployRunCommand()
	if err != nil {
		return nil, err
	}
	folder, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	g := &gateway{folder: folder, ended: make(chan struct{})}
	if g.address, err = freeAddress(); err != nil {
		return nil, err
	}
	document, err := json.MarshalIndent(map[string]any{
		"name": "n0", "listen": g.address, "discovery": s.discovery, "seed": "8c1f30d27a5be964",
		"limits":   map[string]any{"cores": 1.0, "memory_mb": 192, "sockets": 1024},
		"known":    s.known,
		"settings": s.settings,
	}, "", " ")
	if err != nil {
		return nil, err
	}
	config := filepath.Join(folder, "config.json")
	if err := os.WriteFile(config, document, 0o600); err != nil {
		return nil, err
	}
	log, err := os.Create(filepath.Join(folder, "log.txt"))
	if err != nil {
		return nil, err
	}
	defer log.Close()
	g.command = exec.Command("/bin/sh", "-c", runCommand)
	g.command.Env = append(os.Environ(), "BALANCER_CONFIG="+config, "BALANCER_NAME=n0",
		"BALANCER_LISTEN="+g.address, "BALANCER_DISCOVERY="+s.discovery, "TMPDIR="+folder)
	g.command.Stdout, g.command.Stderr = log, log
	if err := g.run(); err != nil {
		return nil, err
	}
	stopOnSignal(g)
	return g, g.awaitReady()
}

// run starts the process. It is killed when this one ends, however that comes about: the signal is bound to
// the thread that started it, so that thread stays until the process has ended.
func (g *gateway) run() error {
	g.command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	started := make(chan error, 1)
	go func() {
		runtime.LockOSThread()
		defer runtime.UnlockOSThread()
		err := g.command.Start()
		started <- err
		if err == nil {
			_ = g.command.Wait()
			close(g.ended)
		}
	}()
	return <-started
}

// stopOnSignal ends a scheduler and this program when a signal asks for it or a case takes too long. The case
// has not run then.
func stopOnSignal(g *gateway) {
	received := make(chan os.Signal, 1)
	signal.Notify(received, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	go func() {
		select {
		case <-received:
		case <-time.After(caseTimeout):
		}
		_ = g.command.Process.Kill()
		<-g.ended
		_ = os.RemoveAll(g.folder)
		os.Exit(2)
	}()
}

func deployRunCommand() (string, error) {
	document, err := os.ReadFile("deploy/balancer.toml")
	if err != nil {
		return "", err
	}
	match := regexp.MustCompile(`(?m)^run = "([^"]*)"`).FindSubmatch(document)
	if match == nil {
		return "", errors.New("the deploy file has no run command")
	}
	return string(match[1]), nil
}

func freeAddress() (string, error) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	defer listener.Close()
	return listener.Addr().String(), nil
}

func (g *gateway) awaitReady() error {
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	for end := time.Now().Add(readyTimeout); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		response, err := client.Get("http://" + g.address + "/healthz")
		if err != nil {
			continue
		}
		response.Body.Close()
		if response.StatusCode == http.StatusOK {
			return nil
		}
	}
	g.stop()
	return fmt.Errorf("the scheduler was not ready within %v", readyTimeout)
}

// hasEnded reports whether the process has ended.
func (g *gateway) hasEnded() bool {
	select {
	case <-g.ended:
		return true
	default:
		return false
	}
}

// stop ends the process and removes its folder.
func (g *gateway) stop() {
	_ = g.command.Process.Signal(syscall.SIGTERM)
	select {
	case <-g.ended:
	case <-time.After(exitTimeout):
		_ = g.command.Process.Kill()
		<-g.ended
	}
	if os.Getenv("KEEP_LOG") == "" {
		_ = os.RemoveAll(g.folder)
	}
}
