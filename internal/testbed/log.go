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
)

// maxLogLine is the maximum length of one line of a log, in bytes.
const maxLogLine = 1 << 16

var (
	// ErrNoLogs is returned for a folder that contains no logs.
	ErrNoLogs = errors.New("no *.jsonl files")
	// ErrNoKind is returned for a line of a log whose event has no kind.
	ErrNoKind = errors.New("the event has no kind")
)

// LogError reports a line of a log that cannot be read.
type LogError struct {
	File string
	Line int // from 1
	Err  error
}

// Error returns the file, the line, column 1 and the cause, in the form of errors in settings files.
func (e *LogError) Error() string { return fmt.Sprintf("%s:%d:1: %v", e.File, e.Line, e.Err) }

// Unwrap returns the cause.
func (e *LogError) Unwrap() error { return e.Err }

// Log stores events in the order in which they were added. It is safe for concurrent use.
type Log struct {
	mu     sync.Mutex
	events []Event
	start  time.Time
}

// NewLog returns an empty log whose clock starts at the current time.
func NewLog() *Log { return &Log{start: time.Now()} }

// Now returns the time of the log's clock, which is monotonic, in Unix nanoseconds.
func (l *Log) Now() int64 { return l.start.UnixNano() + int64(time.Since(l.start)) }

// Add sets an event's time to Now and appends it.
func (l *Log) Add(event Event) {
	l.mu.Lock()
	defer l.mu.Unlock()
	event.Time = l.Now()
	l.events = append(l.events, event)
}

// Events returns a copy of all events so far, in order of time.
func (l *Log) Events() []Event {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.Clone(l.events)
}

// WriteFile writes the events as lines of JSON.
func (l *Log) WriteFile(path string) error { return WriteEvents(path, l.Events()) }

// WriteEvents writes events as lines of JSON.
func WriteEvents(path string, events []Event) (err error) {
	file, err := os.Create(path)
	if err != nil {
		return err
	}
	defer func() { err = errors.Join(err, file.Close()) }()
	buffered := bufio.NewWriter(file)
	encoder := json.NewEncoder(buffered)
	for _, event := range events {
		if err := encoder.Encode(event); err != nil {
			return err
		}
	}
	return buffered.Flush()
}

// ReadDir reads all logs (*.jsonl) of a folder and returns their events in order of time. It returns
// ErrNoLogs where there are none, and a LogError for a line that cannot be read.
func ReadDir(dir string) ([]Event, error) {
	paths, err := filepath.Glob(filepath.Join(dir, "*.jsonl"))
	if err != nil {
		return nil, err
	}
	if len(paths) == 0 {
		return nil, fmt.Errorf("%s: %w", dir, ErrNoLogs)
	}
	var all []Event
	for _, path := range paths {
		events, err := readFile(path)
		if err != nil {
			return nil, err
		}
		all = append(all, events...)
	}
	slices.SortStableFunc(all, compareTime)
	return all, nil
}

func readFile(path string) ([]Event, error) {
	file, err := os.Open(path)
	if err != nil {
		return nil, err
	}
	defer file.Close()
	return readEvents(path, file)
}

func readEvents(name string, r io.Reader) ([]Event, error) {
	var events []Event
	scanner := bufio.NewScanner(r)
	scanner.Buffer(make([]byte, 0, 4096), maxLogLine)
	line := 0
	for scanner.Scan() {
		line++
		var event Event
		if err := json.Unmarshal(scanner.Bytes(), &event); err != nil {
			return nil, &LogError{name, line, err}
		}
		if event.Kind == "" {
			return nil, &LogError{name, line, ErrNoKind}
		}
		events = append(events, event)
	}
	if err := scanner.Err(); err != nil {
		return nil, &LogError{name, line + 1, err}
	}
	return events, nil
}
