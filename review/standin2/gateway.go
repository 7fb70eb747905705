package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync/atomic"
	"syscall"
	"time"
)

type object = map[string]any

// gateway is the project's scheduler, started as the deploy file states.
type gateway struct {
	rec       *recorder
	root      string
	folder    string // temporary
	listen    string
	discovery *discovery
	settings  object
	limits    object
	cmd       *exec.Cmd
	exited    chan struct{}
}

// fieldStore returns settings like those of a small deployment of the field store.
func fieldStore(shards int) object {
	return object{
		"callers": object{"marks_retry": false},
		"classes": []object{
			{"name": "field-read", "deadline_ns": 2500000000, "on_time_ns": 500000000,
				"repeat": "read_like", "group": "all", "window_ns": 5000000000, "worth": 2.0,
				"late_worth": 0.15, "streaming": false},
			{"name": "field-write", "deadline_ns": 3000000000, "on_time_ns": 600000000,
				"repeat": "idempotency_key", "group": "cell", "window_ns": 5000000000, "worth": 2.0,
				"late_worth": 0.15, "streaming": false, "fifo_by_key": true},
		},
		"contracts": []object{
			{"name": "standard", "base_rate": 3.5, "proportion": 1.0, "reservation": 1.8,
				"worth_factor": 0.72, "never_over": 35.0, "most_at_once": 47.0, "limit_slack": 6.0},
			{"name": "operational", "base_rate": 6.9, "proportion": 2.0, "reservation": 6.9,
				"worth_factor": 0.9, "never_over": 0.0, "most_at_once": 0.0, "limit_slack": 0.0},
		},
		"domain": object{"beyond_share": 0.08, "class_writes": []bool{false, true},
			"cold_bears": 62.0, "fair_worth": 0.3, "mean_units": 2.0, "metering_ns": 2000000000,
			"most_units": 6, "shards": shards, "tells_elsewhere": true},
		"failure_domains": []string{"hall-a", "hall-b", "hall-c"},
		"kinds":           []string{"box-3c"},
		"limits": object{"attempts_cap": 3, "cancel": true, "probes": true, "peers": false,
			"second_copies": true, "retry_after": true, "max_retry_after_ns": 500000000,
			"dial_timeout_ns": 250000000, "idle_close_ns": 15000000000, "max_open": 33333},
		"me": 0, "peers_total": 1, "registry_mode": "ask", "round_ns": 2000000,
		"rules": object{"answer_slack_ns": 8000000, "ask_within_ns": 10000000000, "cold_share": 0.23,
			"drain_grace_ns": 1000000000, "fall_multiple": 2.5, "order_pause_ns": 100000000,
			"ramp_time_ns": 17000000000, "tip_after_ns": 3000000000},
		"zone": 0,
	}
}

// newGateway prepares a scheduler; start starts it.
func newGateway(rec *recorder, d *discovery, shards int) (*gateway, error) {
	root := os.Getenv("ROOT")
	if root == "" {
		root = "."
	}
	folder, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	listener, err := net.Listen("tcp4", "127.0.0.1:0") // a free port
	if err != nil {
		return nil, err
	}
	listener.Close()
	g := &gateway{rec: rec, root: root, folder: folder, listen: listener.Addr().String(), discovery: d,
		settings: fieldStore(shards),
		limits:   object{"cores": 1.0, "memory_mb": 64, "sockets": 512}}
	present.Store(g)
	return g, nil
}

// present is the scheduler of the case; nil: there is none yet.
var present atomic.Pointer[gateway]

// running is the process of the scheduler that runs; 0: none does.
var running atomic.Int64

// giveUp kills the scheduler and removes its folder when a case is given up.
func giveUp() {
	if process := int(running.Load()); process > 0 {
		syscall.Kill(process, syscall.SIGKILL) //nolint:errcheck // it may have ended
	}
	if g := present.Load(); g != nil {
		os.RemoveAll(g.folder)
	}
}

func (g *gateway) configPath() string { return filepath.Join(g.folder, "config.json") }

func (g *gateway) writeConfig() error {
	text, err := json.MarshalIndent(object{"name": "n0", "listen": g.listen,
		"discovery": g.discovery.address, "seed": "8c1f30d27a5be964", "limits": g.limits,
		"known": g.discovery.whole(), "settings": g.settings}, "", " ")
	if err != nil {
		return err
	}
	if err := os.WriteFile(g.configPath()+".new", text, 0o644); err != nil {
		return err
	}
	return os.Rename(g.configPath()+".new", g.configPath())
}

// start starts the scheduler and waits until it is ready.
func (g *gateway) start() error {
	if err := g.writeConfig(); err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(g.folder, "log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return err
	}
	defer log.Close()
	g.cmd = exec.Command("/bin/sh", "-c", "exec bin/storage-gateway platform")
	g.cmd.Dir, g.cmd.Stdout, g.cmd.Stderr = g.root, log, log
	g.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL} // also if this process is killed
	g.cmd.Env = append(os.Environ(), "BALANCER_CONFIG="+g.configPath(), "BALANCER_NAME=n0",
		"BALANCER_LISTEN="+g.listen, "BALANCER_DISCOVERY="+g.discovery.address, "TMPDIR="+g.folder)
	if err := g.cmd.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	g.exited = exited
	running.Store(int64(g.cmd.Process.Pid))
	go func() {
		err := g.cmd.Wait()
		running.Store(0)
		g.rec.logf("scheduler ended: %v", err)
		close(exited)
	}()
	for deadline := time.Now().Add(10 * time.Second); time.Now().Before(deadline); {
		response, err := http.Get("http://" + g.listen + "/healthz")
		if err == nil {
			response.Body.Close()
			if response.StatusCode == http.StatusOK {
				g.rec.logf("scheduler ready at %s, process %d", g.listen, g.cmd.Process.Pid)
				http.DefaultClient.CloseIdleConnections()
				return nil
			}
		}
		time.Sleep(20 * time.Millisecond)
	}
	return fmt.Errorf("the scheduler is not ready")
}

func (g *gateway) signal(signal syscall.Signal) {
	g.rec.logf("signal %v to the scheduler", signal)
	g.cmd.Process.Signal(signal) //nolint:errcheck // it may have ended
}

// close ends the scheduler and removes its folder.
func (g *gateway) close() {
	if g.cmd != nil && g.cmd.Process != nil {
		g.cmd.Process.Kill() //nolint:errcheck // it may have ended
		<-g.exited
	}
	if text, err := os.ReadFile(filepath.Join(g.folder, "log")); err == nil {
		g.rec.logf("log of the scheduler (its last 4000 bytes):\n%s", text[max(0, len(text)-4000):])
	}
	os.RemoveAll(g.folder)
}
