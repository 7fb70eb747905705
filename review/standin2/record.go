package main

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// recorder writes what was sent, answered and run to a file: a line for each event, with the time since the
// start.
type recorder struct {
	mu      sync.Mutex
	file    *os.File
	started time.Time
	broken  []string
}

func newRecorder(path string) (*recorder, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &recorder{file: file, started: time.Now()}, nil
}

func (r *recorder) now() time.Duration { return time.Since(r.started) }

func (r *recorder) logf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%10.4f %s\n", r.now().Seconds(), fmt.Sprintf(format, args...))
}

// breakf records that the rule was broken.
func (r *recorder) breakf(format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	r.logf("BROKEN %s", text)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.broken = append(r.broken, text)
}

func (r *recorder) breaks() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]string(nil), r.broken...)
}
