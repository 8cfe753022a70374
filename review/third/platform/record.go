package main

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// record writes what was sent, answered and run, with the time since the start of the case.
type record struct {
	mu      sync.Mutex
	file    *os.File
	started time.Time
}

func newRecord(path string) (*record, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{file: file, started: time.Now()}, nil
}

// write writes one line.
func (r *record) write(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	line := fmt.Sprintf("%9.3f s  "+format+"\n", append([]any{time.Since(r.started).Seconds()}, args...)...)
	if _, err := r.file.WriteString(line); err != nil {
		fmt.Fprintln(os.Stderr, "record not written:", err)
	}
}

// note writes one line and shows it.
func (r *record) note(format string, args ...any) {
	r.write(format, args...)
	fmt.Printf(format+"\n", args...)
}
