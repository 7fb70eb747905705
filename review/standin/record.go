package main

import (
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"time"
)

// record writes what was sent, answered and run to record.txt, with times in seconds since its creation.
type record struct {
	mu    sync.Mutex
	file  *os.File
	start time.Time
}

func newRecord(folder string) (*record, error) {
	file, err := os.Create(filepath.Join(folder, "record.txt"))
	return &record{file: file, start: time.Now()}, err
}

func (r *record) add(format string, values ...any) {
	r.addAt(time.Now(), format, values...)
}

func (r *record) addAt(at time.Time, format string, values ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%9.4f "+format+"\n", append([]any{at.Sub(r.start).Seconds()}, values...)...)
}
