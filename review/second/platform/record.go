package main

import (
	"bufio"
	"fmt"
	"os"
	"sync"
	"time"
)

// record writes what was sent, answered and run, each line with the time since the start.
type record struct {
	mu     sync.Mutex
	file   *os.File
	out    *bufio.Writer
	start  time.Time
	closed bool
}

func newRecord(path string) (*record, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{file: file, out: bufio.NewWriter(file), start: time.Now()}, nil
}

// at returns a time as it is written.
func (r *record) at(t time.Time) string { return fmt.Sprintf("%.3f s", t.Sub(r.start).Seconds()) }

func (r *record) linef(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.closed {
		return
	}
	fmt.Fprintf(r.out, "%9.3f  %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...))
}

func (r *record) close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.closed = true
	if err := r.out.Flush(); err != nil {
		fmt.Fprintln(os.Stderr, "record:", err)
	}
	r.file.Close()
}
