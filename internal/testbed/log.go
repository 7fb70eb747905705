// Package lab is the laboratory: stand-ins for clients and nodes, days with faults, and the audit that
// judges the rules from what passed on the sockets. Nothing on the daemon's path imports it.
package testbed

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"time"

	"landingpaddle/internal/proto"
)

// Kind says what an event is.
type Kind string

// The kinds. The first are the clients', then the nodes', the list service's and the day's.
const (
	KindSent             Kind = "sent"    // a client wrote a request to an instance
	KindAnswer           Kind = "answer"  // and read a final answer
	KindBroken           Kind = "broken"  // its connection ended before that
	KindClientLeft       Kind = "left"    // the client ended its connection itself before that
	KindTimedOut         Kind = "waited"  // its wait was over before that
	KindNodeStarted      Kind = "boot"    // a node started
	KindNodeStopped      Kind = "down"    // a node's process ended
	KindArrive           Kind = "arrive"  // a request reached a node
	KindOverloaded       Kind = "full"    // it turned it away
	KindNotApplicable    Kind = "moot"    // it does not hold the cell
	KindStart            Kind = "start"   // work began
	KindEnd              Kind = "end"     // work ended; a write has taken effect
	KindRepeat           Kind = "repeat"  // dropped: the group remembers the operation
	KindCancel           Kind = "cancel"  // called off; a write has not taken effect
	KindCancelArrived    Kind = "called"  // the call to cancel arrived, or the connection ended
	KindReplied          Kind = "replied" // an answer was written to the socket
	KindCollapsed        Kind = "fell"    // a cold node was pushed over
	KindNotice           Kind = "notice"  // a node told an instance on its connection that it drains
	KindAcknowledged     Kind = "told"    // an instance has acknowledged news of a node
	KindInstanceStarted  Kind = "up"      // an instance started
	KindInstanceKilled   Kind = "kill"    // an instance was killed
	KindInstanceStalled  Kind = "stall"   // an instance stood still, for Wait
	KindConnectionsStuck Kind = "stuck"   // a node's connections were neither read nor written, for Wait
	KindProcessStalled   Kind = "pulse"   // the whole laboratory stood still, for Wait
)

// Event is one line of a log. T is in Unix nanoseconds of one clock for all that run in one process.
type Event struct {
	T       int64      `json:"t"`
	Kind    Kind       `json:"kind"`
	Inst    int        `json:"inst"`
	Node    int        `json:"node"`
	Client  int        `json:"client,omitempty"`
	Conn    uint64     `json:"conn,omitempty"` // of a client, in the order of its connections
	Seq     uint64     `json:"seq,omitempty"`  // of a request on its connection
	Token   uint64     `json:"token,omitempty"`
	Try     int        `json:"try,omitempty"`
	Attempt int        `json:"attempt,omitempty"`
	Class   int        `json:"class"`
	Plan    int        `json:"plan"`
	Volume  uint64     `json:"volume,omitempty"`
	Key     uint64     `json:"key,omitempty"`
	Units   int        `json:"units,omitempty"`
	Code    proto.Code `json:"code,omitempty"`
	Reason  string     `json:"reason,omitempty"`
	Wait    int64      `json:"wait,omitempty"` // nanoseconds
	Status  string     `json:"status,omitempty"`
	Boot    int64      `json:"boot,omitempty"`
	Zone    int        `json:"zone,omitempty"`
	Cell    int        `json:"cell,omitempty"`
	Write   bool       `json:"write,omitempty"`
	Op      uint64     `json:"op,omitempty"`    // at a node: of several members, each has its own line
	Piece   int        `json:"piece,omitempty"` // of the client's request
	Data    uint64     `json:"data,omitempty"`  // volume whose bytes a ranged request is for
	Offset  uint64     `json:"offset,omitempty"`
	Length  uint64     `json:"length,omitempty"`
	Sum     uint64     `json:"sum,omitempty"` // of the bytes and their places
}

// Log keeps events in the order in which they were noted.
type Log struct {
	mu     sync.Mutex
	events []Event
	start  time.Time
}

// NewLog starts an empty log.
func NewLog() *Log { return &Log{start: time.Now()} }

// Now is the log's clock.
func (l *Log) Now() int64 { return l.start.UnixNano() + int64(time.Since(l.start)) }

// Add notes an event now.
func (l *Log) Add(e Event) {
	l.mu.Lock()
	defer l.mu.Unlock()
	e.T = l.Now()
	l.events = append(l.events, e)
}

// Events are all so far, by time.
func (l *Log) Events() []Event {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.Clone(l.events)
}

// WriteFile writes the events as lines of JSON.
func (l *Log) WriteFile(path string) error { return WriteEvents(path, l.Events()) }

// WriteEvents writes events as lines of JSON.
func WriteEvents(path string, events []Event) (err error) {
	f, err := os.Create(path)
	if err != nil {
		return err
	}
	defer func() { err = errors.Join(err, f.Close()) }()
	w := bufio.NewWriter(f)
	enc := json.NewEncoder(w)
	for _, e := range events {
		if err := enc.Encode(e); err != nil {
			return err
		}
	}
	return w.Flush()
}

// mostLine bounds one line of a log.
const mostLine = 1 << 16

// ReadDir reads all logs (*.jsonl) of a folder and puts their events in order of time. An error names the
// line.
func ReadDir(dir string) ([]Event, error) {
	paths, err := filepath.Glob(filepath.Join(dir, "*.jsonl"))
	if err != nil {
		return nil, err
	}
	if len(paths) == 0 {
		return nil, fmt.Errorf("%s: no *.jsonl here", dir)
	}
	var all []Event
	for _, p := range paths {
		f, err := os.Open(p)
		if err != nil {
			return nil, err
		}
		events, err := readLog(p, f)
		f.Close()
		if err != nil {
			return nil, err
		}
		all = append(all, events...)
	}
	slices.SortStableFunc(all, func(a, b Event) int { return int(max(-1, min(1, a.T-b.T))) })
	return all, nil
}

func readLog(name string, r io.Reader) ([]Event, error) {
	var out []Event
	s := bufio.NewScanner(r)
	s.Buffer(make([]byte, 0, 4096), mostLine)
	line := 0
	for s.Scan() {
		line++
		var e Event
		if err := json.Unmarshal(s.Bytes(), &e); err != nil {
			return nil, fmt.Errorf("%s:%d:1: %w", name, line, err)
		}
		if e.Kind == "" {
			return nil, fmt.Errorf("%s:%d:1: no kind of event", name, line)
		}
		out = append(out, e)
	}
	if err := s.Err(); err != nil {
		return nil, fmt.Errorf("%s:%d:1: %w", name, line+1, err)
	}
	return out, nil
}
